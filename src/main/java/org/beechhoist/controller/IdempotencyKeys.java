package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.beechhoist.config.Policy;
import org.beechhoist.cron.Schedule;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.Revision;

/**
 * Stores idempotency keys: submissions of a team with the same key create one job, whichever is committed first. The
 * record {@code once/<hash of team and key>} holds the ID of the first submission's job for the retention time of its
 * class. It is written in the transaction that creates the job.
 */
final class IdempotencyKeys {
    private final Policy.Cron policy;
    /** Null if key sets are disabled. */
    private final KeySetRegistry keySets;

    IdempotencyKeys(Policy.Cron policy, KeySetRegistry keySets) {
        this.keySets = keySets;
        this.policy = policy;
    }

    /** Returns the state service key of a job's idempotency record, or null for a job without an idempotency key. */
    static String recordKey(JobSpec spec) {
        return spec.idempotencyKey() == null
                ? null
                : "once/"
                        + Schedule.hash(spec.team() + "\n" + spec.idempotencyKey())
                                .toString()
                                .replaceAll("[^0-9a-zA-Z]", "");
    }

    /**
     * Adds the changes that create a job: its record, guarded against an existing job of the same ID, and its
     * idempotency record if it has a key.
     */
    void addSubmission(Transaction transaction, JobSpec spec, Revision keyVersion, long wallMs) {
        String key = JobRecord.openKey(spec.id());
        transaction
                .guard(key, Revision.ABSENT)
                .guard(JobRecord.endedKey(spec.id()), Revision.ABSENT)
                .put(key, new JobRecord(spec, wallMs).toNode());
        if (spec.keySetBinding() != null) {
            // The state service decides between a submission and a concurrent revocation.
            keySets.addGuard(transaction, spec.keySetBinding().keySet());
        }
        if (spec.idempotencyKey() != null) {
            ObjectNode value = Codec.map()
                    .put("ref", spec.id().text())
                    .put("key", spec.idempotencyKey())
                    .put("until", wallMs + policy.keepMs(spec.jobClass()));
            transaction.guard(recordKey(spec), keyVersion).put(recordKey(spec), value);
        }
    }

    /** Returns the number of records that {@link #addSubmission} writes for a job. */
    static int putCount(JobSpec spec) {
        return spec.idempotencyKey() == null ? 1 : 2;
    }

    /** Returns the ID of the job that holds the idempotency key, or null if the key has expired. */
    static JobId unexpiredJobId(JsonNode value, long wallMs) {
        String ref = value.path("ref").asText();
        return value.path("until").asLong() > wallMs && JobId.isValid(ref) ? new JobId(ref) : null;
    }
}
