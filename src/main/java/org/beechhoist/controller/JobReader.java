package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.beechhoist.controller.context.BoundedCollections;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.JobId;

/** Reads jobs from the state service and caches their final states. */
final class JobReader {
    private static final int CACHED_ENDED = 2000;

    /**
     * What the state service holds of a job.
     *
     * @param status the job's state as users see it, or null where the state service holds nothing
     * @param open the record of an open job, else null
     */
    record StoredJob(JsonNode status, StoreClient.KeyValue open) {}

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final BooleanSupplier cutOff;
    private final Map<JobId, JsonNode> ended = BoundedCollections.leastRecentlyUsedMap(CACHED_ENDED);

    /** Creates a reader; {@code cutOff} says whether the node reaches neither the state service nor another node. */
    JobReader(ControllerContext context, StoreClient store, TokenBucket requests, BooleanSupplier cutOff) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.cutOff = cutOff;
    }

    /** Whether this node reaches neither the state service nor another node: it then sends no requests. */
    boolean isIsolated() {
        return cutOff.getAsBoolean();
    }

    /** Caches the final state of a job. */
    void cacheEnded(JobId jobId, JsonNode state) {
        ended.put(jobId, state);
    }

    /** The cached final state of a job, or null. */
    JsonNode cachedEnded(JobId jobId) {
        return ended.get(jobId);
    }

    /** Whether the final state of a job is cached; unlike {@link #cachedEnded} this does not count as a use of it. */
    boolean isEndedCached(JobId jobId) {
        return ended.containsKey(jobId);
    }

    /** Reads a job; hands over null where nothing could be learnt. */
    void read(JobId jobId, boolean allowed, Consumer<StoredJob> then) {
        JsonNode finalState = ended.get(jobId);
        if (finalState != null) {
            then.accept(new StoredJob(JobResponses.endedStatus(jobId, finalState), null));
            return;
        }
        if (!allowed || cutOff.getAsBoolean()) {
            then.accept(null);
            return;
        }
        store.get(JobRecord.openKey(jobId), open -> interpret(jobId, open, then));
    }

    /**
     * Interprets what was read of an open record, and reads the ended one if there is none. A job moves from open to ended, so that
     * this order can't miss it.
     */
    void interpret(JobId jobId, StoreClient.ReadResult open, Consumer<StoredJob> then) {
        if (!open.answered()) {
            then.accept(null);
        } else if (open.item() != null && JobRecord.isFinalState(open.item().value())) {
            ended.put(jobId, open.item().value());
            then.accept(
                    new StoredJob(JobResponses.endedStatus(jobId, open.item().value()), null));
        } else if (open.item() != null) {
            then.accept(new StoredJob(JobResponses.openStatus(jobId, open.item().value()), open.item()));
        } else {
            requests.takeOrOverdraw(context.now(), 1);
            store.get(JobRecord.endedKey(jobId), end -> {
                if (!end.answered()) {
                    then.accept(null);
                } else if (end.item() == null) {
                    then.accept(new StoredJob(null, null));
                } else {
                    ended.put(jobId, end.item().value());
                    then.accept(new StoredJob(
                            JobResponses.endedStatus(jobId, end.item().value()), null));
                }
            });
        }
    }
}
