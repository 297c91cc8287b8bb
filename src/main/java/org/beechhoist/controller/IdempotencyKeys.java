package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.beechhoist.config.Policy;
import org.beechhoist.cron.Entry;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.Revision;

/**
 * Keys that make submissions the same work, whoever comes first: {@code once/<hash of team and key>} holds the first
 * one's ref for as long as its class says. It is written in the transaction that makes the job.
 */
final class IdempotencyKeys {
    private final Policy.Cron policy;
    /** Null where key sets are off. */
    private final KeySetRegistry keySets;

    IdempotencyKeys(Policy.Cron policy, KeySetRegistry keySets) {
        this.keySets = keySets;
        this.policy = policy;
    }

    /** The key's place in the state service, or null for a job without one. */
    static String recordKey(JobSpec spec) {
        return spec.idempotencyKey() == null
                ? null
                : "once/"
                        + Entry.hash(spec.team() + "\n" + spec.idempotencyKey())
                                .toString()
                                .replaceAll("[^0-9a-zA-Z]", "");
    }

    /** Adds what makes a job enter: its record, guarded against one of its name, and its key where it has one. */
    void addSubmission(Transaction transaction, JobSpec spec, Revision keyVersion, long wallMs) {
        String key = JobRecord.openKey(spec.id());
        transaction
                .guard(key, Revision.ABSENT)
                .guard(JobRecord.endedKey(spec.id()), Revision.ABSENT)
                .put(key, new JobRecord(spec, wallMs).toNode());
        if (spec.keySetBinding() != null) {
            keySets.guard(
                    transaction,
                    spec.keySetBinding().keySet()); // a submission that races a revocation is decided by the store
        }
        if (spec.idempotencyKey() != null) {
            ObjectNode value = Codec.map()
                    .put("ref", spec.id().text())
                    .put("key", spec.idempotencyKey())
                    .put("until", wallMs + policy.keepMs(spec.jobClass()));
            transaction.guard(recordKey(spec), keyVersion).put(recordKey(spec), value);
        }
    }

    static int putCount(JobSpec spec) {
        return spec.idempotencyKey() == null ? 1 : 2;
    }

    /** Whose work the key is, or null where that is long enough ago. */
    static JobId unexpiredJobId(JsonNode value, long wallMs) {
        String ref = value.path("ref").asText();
        return value.path("until").asLong() > wallMs && JobId.isValid(ref) ? new JobId(ref) : null;
    }
}
