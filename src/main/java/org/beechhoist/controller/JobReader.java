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
    private static final int MAX_CACHED_ENDED_COUNT = 2000;

    /**
     * The state service's records of a job.
     *
     * @param status the job's state as users see it, or null if the state service has no record of it
     * @param open the record of an open job, else null
     */
    record StoredJob(JsonNode status, StoreClient.KeyValue open) {}

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final BooleanSupplier isolated;
    private final Map<JobId, JsonNode> finalStates = BoundedCollections.leastRecentlyUsedMap(MAX_CACHED_ENDED_COUNT);

    /**
     * Creates a reader; {@code isolated} returns whether the node reaches neither the state service nor another node.
     */
    JobReader(ControllerContext context, StoreClient store, TokenBucket requests, BooleanSupplier isolated) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.isolated = isolated;
    }

    /** Returns whether this node reaches neither the state service nor another node; it then sends no requests. */
    boolean isIsolated() {
        return isolated.getAsBoolean();
    }

    /** Caches the final state of a job. */
    void cacheEnded(JobId jobId, JsonNode state) {
        finalStates.put(jobId, state);
    }

    /** Returns the cached final state of a job, or null. */
    JsonNode cachedEnded(JobId jobId) {
        return finalStates.get(jobId);
    }

    /**
     * Returns whether the final state of a job is cached; unlike {@link #cachedEnded} this does not count as a use of
     * the entry.
     */
    boolean isEndedCached(JobId jobId) {
        return finalStates.containsKey(jobId);
    }

    /** Reads a job and passes it to {@code then}, or null if it could not be read. */
    void read(JobId jobId, boolean allowed, Consumer<StoredJob> then) {
        JsonNode finalState = finalStates.get(jobId);
        if (finalState != null) {
            then.accept(new StoredJob(JobResponses.endedStatus(jobId, finalState), null));
            return;
        }
        if (!allowed || isolated.getAsBoolean()) {
            then.accept(null);
            return;
        }
        store.get(JobRecord.openKey(jobId), open -> interpret(jobId, open, then));
    }

    /**
     * Interprets the result of reading an open record, and reads the ended record if there is none. A job moves from
     * open to ended, so reading in this order cannot miss it.
     */
    void interpret(JobId jobId, StoreClient.ReadResult open, Consumer<StoredJob> then) {
        if (!open.answered()) {
            then.accept(null);
        } else if (open.item() != null && JobRecord.isFinalState(open.item().value())) {
            finalStates.put(jobId, open.item().value());
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
                    finalStates.put(jobId, end.item().value());
                    then.accept(new StoredJob(
                            JobResponses.endedStatus(jobId, end.item().value()), null));
                }
            });
        }
    }
}
