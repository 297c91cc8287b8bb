package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.controller.worker.CancellationAcknowledgements;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.CommitResult;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The job API for users, the same on every node: each answer is read from the state service or is a cached final
 * state.
 */
final class UserApi {
    private static final Logger LOG = LoggerFactory.getLogger(UserApi.class);
    private static final int MAX_CANCEL_CONFLICT_COUNT = 6;

    /** The error text for a request that needs the state service while it is unavailable. */
    static final String STORE_UNAVAILABLE = "the state service does not answer, or this node has used its share of it";

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final TokenBucket writes;
    /** Adds the details that only this node knows to an open job's state. */
    private final BiConsumer<JobId, ObjectNode> statusDetails;
    /** Receives each committed cancellation with its wall-clock time, before its user is answered. */
    private final BiConsumer<JobId, Long> cancellationCommitted;

    private final CancellationAcknowledgements acknowledgements;
    private final JobReader reader;
    private final ConditionalStatusReads statusReads;
    private final SharedRecordReads sharedReads;
    private final SubmissionRules rules;
    private final SubmissionHandler submissions;
    private final ResizeHandler resizeHandler;

    /**
     * Creates the API.
     *
     * @param leaderShortOfWrites returns whether this node leads and its writes run short
     * @param isolated returns whether this node reaches neither the state service nor another node
     * @param keySets null if key sets are disabled
     */
    UserApi(
            ControllerContext context,
            Settings settings,
            Policy policy,
            StoreClient store,
            TokenBucket requests,
            TokenBucket writes,
            MachineTypeCatalog machineTypes,
            BiConsumer<JobId, ObjectNode> statusDetails,
            IdempotencyKeys idempotencyKeys,
            BooleanSupplier leaderShortOfWrites,
            BooleanSupplier isolated,
            KeySetRegistry keySets,
            BiConsumer<JobId, Long> cancellationCommitted,
            CancellationAcknowledgements acknowledgements) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.writes = writes;
        this.statusDetails = statusDetails;
        this.cancellationCommitted = cancellationCommitted;
        this.acknowledgements = acknowledgements;
        this.reader = new JobReader(context, store, requests, isolated);
        this.resizeHandler = new ResizeHandler(
                context,
                store,
                requests,
                writes,
                policy,
                this::readIfAllowed,
                statusDetails,
                id -> refuse(id, STORE_UNAVAILABLE));
        this.statusReads = new ConditionalStatusReads(context, store, requests, settings);
        this.sharedReads = new SharedRecordReads(context, store, requests, settings);
        this.rules = new SubmissionRules(settings, machineTypes, keySets);
        this.submissions = new SubmissionHandler(
                new StateServiceAccess(context, settings, store, requests, writes),
                policy,
                rules,
                new SubmissionHandler.JobReads(reader, statusReads),
                idempotencyKeys,
                leaderShortOfWrites,
                this::refuse);
    }

    /** Records the final state of a job. */
    void recordEnded(JobId jobId, JsonNode state) {
        statusReads.forget(jobId);
        reader.cacheEnded(jobId, state);
    }

    private void refuse(long request, String why) {
        LOG.debug("request refused: request={} reason=\"{}\"", request, why);
        context.respond(request, 503, JobResponses.error(why));
    }

    /** Submits a job, or answers with the reason for the refusal. */
    void submit(long request, byte[] body) {
        submissions.submit(request, body);
    }

    /**
     * Returns the reason why a scheduled job cannot be submitted, temporarily ({@link
     * SubmissionRules#isTemporaryRefusal}) or permanently, or null if it can.
     */
    String refusal(JobSpec spec) {
        return rules.refusal(spec);
    }

    /** Returns an accepted job, bound to its key set if it requires one. */
    JobSpec bindToKeySet(JobSpec spec) {
        return rules.bindToKeySet(spec);
    }

    private void readIfAllowed(JobId jobId, Consumer<JobReader.StoredJob> then) {
        reader.read(jobId, requests.tryTake(context.now(), 1), then);
    }

    /** Reads a job's state for an answer of another API; passes null to {@code then} if it cannot be read now. */
    void readStatus(JobId jobId, Consumer<JsonNode> then) {
        readIfAllowed(jobId, found -> then.accept(found == null ? null : found.status()));
    }

    /** Answers with a job's state. */
    void status(long request, JobId jobId) {
        if (reader.isEndedCached(jobId)) {
            reader.read(jobId, true, found -> answerStatus(request, jobId, found));
            return;
        }
        if (reader.isIsolated()) {
            refuse(request, STORE_UNAVAILABLE);
            return;
        }
        statusReads.poll(jobId, (result, state) -> {
            switch (result) {
                case UNCHANGED -> {
                    statusDetails.accept(jobId, state);
                    context.respond(request, 200, state);
                }
                case MUST_READ -> sharedReads.read(jobId, open -> answerPoll(request, jobId, open));
                default -> refuse(request, STORE_UNAVAILABLE);
            }
        });
    }

    private void answerPoll(long request, JobId jobId, StoreClient.ReadResult open) {
        JsonNode finalState = reader.cachedEnded(jobId);
        if (finalState != null) {
            answerStatus(request, jobId, new JobReader.StoredJob(JobResponses.endedStatus(jobId, finalState), null));
        } else {
            reader.interpret(jobId, open, found -> answerStatus(request, jobId, found));
        }
    }

    private void answerStatus(long request, JobId jobId, JobReader.StoredJob found) {
        if (found == null) {
            refuse(request, STORE_UNAVAILABLE);
        } else if (found.status() == null) {
            context.respond(request, 404, JobResponses.error("no such job"));
        } else {
            if (found.open() != null) {
                statusReads.remember(jobId, found.open().version(), (ObjectNode) found.status());
                statusDetails.accept(jobId, (ObjectNode) found.status());
            }
            context.respond(request, 200, found.status());
        }
    }

    /**
     * Cancels a job; retries after a conflict.
     *
     * @param conflicts the number of conflicts so far
     */
    void cancel(long request, JobId jobId, int conflicts) {
        readIfAllowed(jobId, found -> {
            if (found == null || conflicts > MAX_CANCEL_CONFLICT_COUNT) {
                refuse(request, STORE_UNAVAILABLE);
            } else if (found.status() == null) {
                context.respond(request, 404, JobResponses.error("no such job"));
            } else if (found.open() == null) {
                context.respond(
                        request,
                        200,
                        JobResponses.status(jobId, found.status().get("status").asText()));
            } else if (found.open().value().path("cancel").asLong() > 0) {
                cancellationCommitted.accept(
                        jobId, found.open().value().path("cancel").asLong());
                answerCancelled(request, jobId);
            } else {
                cancelOpen(request, jobId, found.open(), conflicts);
            }
        });
    }

    /**
     * Cancels a run that a later run of its schedule replaces; passes to {@code then} whether the run is known to be
     * cancelled or ended.
     */
    void cancelReplaced(JobId jobId, Consumer<Boolean> then) {
        readIfAllowed(jobId, found -> {
            if (found == null
                    || found.open() == null
                    || found.open().value().path("cancel").asLong() > 0) {
                then.accept(found != null);
                return;
            }
            commitCancel(
                    jobId, found.open(), commit -> then.accept(commit.outcome() == CommitResult.Outcome.COMMITTED));
        });
    }

    private void commitCancel(JobId jobId, StoreClient.KeyValue open, Consumer<CommitResult> then) {
        long at = Math.max(1, context.wallMs());
        ObjectNode value = ((ObjectNode) open.value()).deepCopy().put("cancel", at);
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), 1);
        String key = JobRecord.openKey(jobId);
        store.commit(new Transaction().guard(key, open.version()).put(key, value), commit -> {
            if (commit.outcome() == CommitResult.Outcome.COMMITTED) {
                cancellationCommitted.accept(jobId, at);
            }
            then.accept(commit);
        });
    }

    private void cancelOpen(long request, JobId jobId, StoreClient.KeyValue open, int conflicts) {
        commitCancel(jobId, open, commit -> {
            switch (commit.outcome()) {
                case COMMITTED -> answerCancelled(request, jobId);
                case CONFLICT -> cancel(request, jobId, conflicts + 1);
                default -> refuse(request, STORE_UNAVAILABLE);
            }
        });
    }

    private void answerCancelled(long request, JobId jobId) {
        acknowledgements.awaitAcknowledgement(
                jobId, () -> context.respond(request, 200, JobResponses.status(jobId, "cancelled")));
    }

    /** Changes the width that a user allows a job; the leader adapts the job to it. */
    void resize(long request, JobId jobId, byte[] body) {
        resizeHandler.resize(request, jobId, body);
    }
}
