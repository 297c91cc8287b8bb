package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.RequestShares;
import org.beechhoist.keyset.KeySets;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.CommitResult;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.Revision;

/** Checks job submissions and commits them in batches. */
final class SubmissionHandler {
    private static final int MAX_CONCURRENT_COMMIT_COUNT = 4;
    private static final int MAX_QUEUED_COUNT = 400;
    /** Keeps a transaction well below its size limit. */
    private static final int MAX_BATCH_WRITE_COUNT = 20;

    private static final String QUEUE_FULL = "too many submissions wait here";
    private static final String WRITES_USED_UP = "this node has used its share of the state service's writes";

    /** Answers a request that cannot be served now. */
    interface Refusal {
        /** Answers a request with the reason; the user retries later. */
        void refuse(long request, String reason);
    }

    /**
     * A submission that waits to be committed.
     *
     * @param replacedKey the version of the expired idempotency record that it replaces, or absent
     */
    private record Submission(long request, JobSpec spec, Revision replacedKey) {}

    private final ControllerContext context;
    private final Settings settings;
    private final Policy policy;
    private final StoreClient store;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final SubmissionRules rules;
    private final JobReader reader;
    private final ConditionalStatusReads statusReads;
    private final IdempotencyKeys idempotencyKeys;
    private final BooleanSupplier leaderShortOfWrites;
    private final Refusal refusal;
    private final TeamFairShareLimiter teamFairShareLimiter = new TeamFairShareLimiter();
    /**
     * Limits the writes of a leader's own users, while writes run short, to the rate guaranteed to any other node.
     * Without it, at a hundred submissions a second, those on the leader's node used all of its share, and nothing was
     * launched for 20 s.
     */
    private final TokenBucket userWritesOnLeader;

    private final List<Submission> queue = new ArrayList<>();
    private int commitsInFlight;

    /** Creates a handler; {@code leaderShortOfWrites} returns whether this node leads and its writes run short. */
    SubmissionHandler(
            StateServiceAccess access,
            Policy policy,
            SubmissionRules rules,
            JobReads jobReads,
            IdempotencyKeys idempotencyKeys,
            BooleanSupplier leaderShortOfWrites,
            Refusal refusal) {
        this.context = access.context();
        this.settings = access.settings();
        this.policy = policy;
        this.store = access.store();
        this.requests = access.requestTokens();
        this.writes = access.writeTokens();
        this.rules = rules;
        this.reader = jobReads.reader();
        this.statusReads = jobReads.statusReads();
        this.idempotencyKeys = idempotencyKeys;
        this.leaderShortOfWrites = leaderShortOfWrites;
        this.refusal = refusal;
        this.userWritesOnLeader = new TokenBucket(Math.max(
                1, RequestShares.guaranteedFollowerRate(settings.stateLimits().writeRps(), settings.nodes())));
    }

    /**
     * The readers of jobs.
     *
     * @param reader reads single jobs
     * @param statusReads answers polls; caches the version of a new job's record
     */
    record JobReads(JobReader reader, ConditionalStatusReads statusReads) {}

    /** Submits a job, or answers with the reason for the refusal. */
    void submit(long request, byte[] body) {
        JobSpec spec;
        try {
            spec = JobSpec.parse(Codec.decodeMap(body));
            if (!policy.elastic().on()) {
                spec = spec.withoutWidth(); // ignored, as any unknown field is
            }
            spec = (policy.cron().on() ? spec : spec.withoutIdempotencyKey())
                    .withOrigin(null)
                    .withKeySetBinding(null);
            spec = policy.releases() ? spec : spec.withoutRelease();
            spec = rules.keySets() == null ? spec.withoutKeySet() : spec; // ignored, as any unknown field is
        } catch (MalformedMessageException e) {
            context.respond(request, 400, JobResponses.error(e.getMessage()));
            return;
        }
        JsonNode finalState = reader.cachedEnded(spec.id());
        if (finalState != null) {
            context.respond(request, 200, JobResponses.endedStatus(spec.id(), finalState));
            return;
        }
        if (reader.isIsolated()) {
            refusal.refuse(request, UserApi.STORE_UNAVAILABLE);
            return;
        }
        if (!rules.areMachineTypesLoaded()) {
            refusal.refuse(request, SubmissionRules.MACHINE_TYPES_UNKNOWN);
            return;
        }
        enqueue(request, spec);
    }

    private void enqueue(long request, JobSpec spec) {
        KeySets.BindingDecision binding = rules.keySetBinding(spec);
        if (binding == null) {
            refusal.refuse(request, SubmissionRules.KEY_SETS_UNKNOWN);
            return;
        }
        String permanent =
                rules.permanentRefusal(spec) == null ? binding.refusalReason() : rules.permanentRefusal(spec);
        if (permanent != null) {
            // A job that was accepted before, with other machine types, must not be refused now.
            reader.read(spec.id(), requests.tryTake(context.now(), 1), found -> {
                if (found == null) {
                    refusal.refuse(request, UserApi.STORE_UNAVAILABLE);
                } else if (found.status() == null) {
                    context.respond(request, 422, JobResponses.error(permanent));
                } else {
                    context.respond(request, 200, found.status());
                }
            });
            return;
        }
        if (queue.size() >= MAX_QUEUED_COUNT) {
            refusal.refuse(request, QUEUE_FULL);
            return;
        }
        if (!teamFairShareLimiter.allows(
                spec.team(), writes.available(context.now()) - queue.size(), writes.capacity(), context.now())) {
            writes.recordMissed(1);
            refusal.refuse(request, WRITES_USED_UP);
            return;
        }
        teamFairShareLimiter.recordAccepted(spec.team(), context.now());
        queue.add(new Submission(request, spec.withKeySetBinding(binding.keySetBinding()), Revision.ABSENT));
        flush();
    }

    private void flush() {
        while (!queue.isEmpty() && commitsInFlight < MAX_CONCURRENT_COMMIT_COUNT) {
            double availableWrites = Math.min(
                    writes.available(context.now()),
                    leaderShortOfWrites.getAsBoolean()
                            ? userWritesOnLeader.available(context.now())
                            : MAX_BATCH_WRITE_COUNT);
            int limit = (int) Math.min(
                    Math.min(settings.stateLimits().txnOps(), MAX_BATCH_WRITE_COUNT), Math.floor(availableWrites));
            if (limit < 1 || !requests.tryTake(context.now(), 1)) {
                // Refused rather than kept waiting: the answer makes the user retry.
                writes.recordMissed(queue.size());
                queue.forEach(submission -> refusal.refuse(submission.request, WRITES_USED_UP));
                queue.clear();
                return;
            }
            List<Submission> batch = new ArrayList<>();
            List<Submission> duplicates = new ArrayList<>();
            int puts = 0;
            Set<String> keys = new HashSet<>();
            while (!queue.isEmpty()
                    && (batch.isEmpty() || puts + IdempotencyKeys.putCount(queue.get(0).spec) <= limit)) {
                Submission submission = queue.get(0);
                if (submission.spec.idempotencyKey() != null && !keys.add(IdempotencyKeys.recordKey(submission.spec))) {
                    break; // same idempotency key: committed after the first, in another transaction
                }
                queue.remove(0);
                boolean duplicate =
                        batch.stream().anyMatch(other -> other.spec.id().equals(submission.spec.id()));
                (duplicate ? duplicates : batch).add(submission);
                puts += IdempotencyKeys.putCount(submission.spec);
            }
            writes.takeOrOverdraw(context.now(), puts);
            userWritesOnLeader.takeOrOverdraw(context.now(), puts);
            send(batch);
            duplicates.forEach(duplicate -> answerKnown(duplicate.request, duplicate.spec.id()));
        }
    }

    private void send(List<Submission> batch) {
        Transaction transaction = new Transaction();
        for (Submission submission : batch) {
            idempotencyKeys.addSubmission(transaction, submission.spec, submission.replacedKey, context.wallMs());
        }
        commitsInFlight++;
        store.commit(transaction, commit -> {
            commitsInFlight--;
            switch (commit.outcome()) {
                case COMMITTED -> batch.forEach(submission -> answerQueued(submission, commit));
                case CONFLICT -> batch.forEach(submission -> resolveConflict(submission, commit));
                default -> batch.forEach(submission -> refusal.refuse(submission.request, UserApi.STORE_UNAVAILABLE));
            }
            flush();
        });
    }

    private void answerQueued(Submission submission, CommitResult commit) {
        JobId jobId = submission.spec.id();
        statusReads.remember(
                jobId,
                commit.revision(),
                JobResponses.openStatus(jobId, new JobRecord(submission.spec, context.wallMs()).toNode()));
        context.respond(submission.request, 201, JobResponses.status(jobId, "queued"));
    }

    private void resolveConflict(Submission submission, CommitResult commit) {
        JobSpec spec = submission.spec;
        if (commit.failedKeys().contains(JobRecord.openKey(spec.id()))
                || commit.failedKeys().contains(JobRecord.endedKey(spec.id()))) {
            answerKnown(submission.request, spec.id());
        } else if (spec.idempotencyKey() != null && commit.failedKeys().contains(IdempotencyKeys.recordKey(spec))) {
            answerFirstSubmission(submission);
        } else if (spec.keySetBinding() != null
                && commit.failedKeys()
                        .contains(KeySetRegistry.SETS_PREFIX
                                + spec.keySetBinding().keySet())) {
            rules.keySets()
                    .refreshConflicting(
                            Set.of(KeySetRegistry.SETS_PREFIX
                                    + spec.keySetBinding().keySet()),
                            () -> enqueue(submission.request, spec.withKeySetBinding(null)));
        } else {
            queue.add(submission);
        }
    }

    /**
     * Answers with the job of the first submission that used the idempotency key; if that key has expired, the
     * submission is queued again to replace it.
     */
    private void answerFirstSubmission(Submission submission) {
        requests.takeOrOverdraw(context.now(), 1);
        store.get(IdempotencyKeys.recordKey(submission.spec), read -> {
            JobId owner = read.item() == null
                    ? null
                    : IdempotencyKeys.unexpiredJobId(read.item().value(), context.wallMs());
            if (!read.answered()) {
                refusal.refuse(submission.request, UserApi.STORE_UNAVAILABLE);
            } else if (owner != null) {
                answerKnown(submission.request, owner);
            } else {
                queue.add(new Submission(
                        submission.request,
                        submission.spec,
                        read.item() == null ? Revision.ABSENT : read.item().version()));
                flush();
            }
        });
    }

    private void answerKnown(long request, JobId jobId) {
        requests.takeOrOverdraw(context.now(), 1);
        reader.read(jobId, true, found -> {
            if (found == null || found.status() == null) {
                refusal.refuse(request, UserApi.STORE_UNAVAILABLE);
            } else {
                context.respond(request, 200, found.status());
            }
        });
    }
}
