package org.beechhoist.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.BoundedCollections;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.context.Pacer;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.CommitResult;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.Revision;

/**
 * Answers polls of open jobs from cached states, without reading records that have not changed.
 *
 * <p>Users poll open jobs whose records seldom change. One transaction that only compares asks the state service for
 * many cached records at once whether they still have the cached version. The state service decides this after the
 * poll arrived, so an answer is as recent as that of a read.
 */
final class ConditionalStatusReads {
    private static final int MAX_REMEMBERED_COUNT = 3000;
    /**
     * The share of all requests to the state service that the polls of all nodes may use together; polls that arrive
     * close together share a request.
     */
    private static final double POLL_REQUEST_SHARE = 0.2;
    /**
     * The upper bound of the interval between batches, because users wait 2 s for an answer. With so many nodes or so
     * low a request limit that this is too short, polls exceed their share.
     */
    private static final long MAX_BATCH_INTERVAL_MS = 500;
    /**
     * The share of a second's requests that polls leave to submissions and cancellations, which polls must not delay.
     */
    private static final double RESERVED_REQUEST_SHARE = 0.3;

    private record KnownState(Revision version, ObjectNode state) {}

    private record Poll(JobId jobId, BiConsumer<Result, ObjectNode> then) {}

    /** The result of a poll. */
    enum Result {
        /** The record still has the state that was passed along. */
        UNCHANGED,
        /** The record is not cached or has changed: it must be read. */
        MUST_READ,
        /** The state service was not asked, or did not answer. */
        UNAVAILABLE
    }

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final int maxGuards;
    private final Pacer pacer;
    private final Map<JobId, KnownState> known = BoundedCollections.leastRecentlyUsedMap(MAX_REMEMBERED_COUNT);
    private List<Poll> waiting = new ArrayList<>();
    private boolean commitInFlight;

    /** Creates a reader. The state service accepts four times as many comparisons as changes in one transaction. */
    ConditionalStatusReads(ControllerContext context, StoreClient store, TokenBucket requests, Settings settings) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.maxGuards = 4 * settings.stateLimits().txnOps();
        this.pacer = new Pacer(context, batchIntervalMs(settings));
    }

    /** Caches the state of a job's open record, which was read or written with this version. */
    void remember(JobId jobId, Revision version, ObjectNode state) {
        known.put(jobId, new KnownState(version, state.deepCopy()));
    }

    /** Removes a job from the cache. */
    void forget(JobId jobId) {
        known.remove(jobId);
    }

    /** Passes the cached state to {@code then} if the state service confirms it, possibly later. */
    void poll(JobId jobId, BiConsumer<Result, ObjectNode> then) {
        if (!known.containsKey(jobId)) {
            then.accept(Result.MUST_READ, null);
            return;
        }
        waiting.add(new Poll(jobId, then));
        sendBatch();
    }

    /** Returns whether enough requests are left for submissions and cancellations, which must not wait for polls. */
    static boolean hasSpareRequests(TokenBucket requests, MonotonicTime now) {
        return requests.available(now) >= 1 + RESERVED_REQUEST_SHARE * requests.capacity();
    }

    /**
     * Returns the interval between batches of polls, at most {@link #MAX_BATCH_INTERVAL_MS}, that keeps the polls of
     * all nodes together within {@link #POLL_REQUEST_SHARE} while requests run short.
     */
    static long batchIntervalMs(Settings settings) {
        return Math.min(
                MAX_BATCH_INTERVAL_MS,
                Math.round(1000
                        * settings.nodes()
                        / (POLL_REQUEST_SHARE * settings.stateLimits().rps())));
    }

    private boolean takeRequestToken() {
        return hasSpareRequests(requests, context.now()) && requests.tryTake(context.now(), 1);
    }

    private void sendBatch() {
        if (commitInFlight || waiting.isEmpty()) {
            return;
        }
        if (pacer.postponeIfNotDue(this::sendBatch)) {
            return;
        }
        List<Poll> batch = waiting;
        waiting = new ArrayList<>();
        if (!takeRequestToken()) {
            batch.forEach(p -> p.then.accept(Result.UNAVAILABLE, null));
            return;
        }
        pacer.recordRun();
        Map<JobId, KnownState> asked = new LinkedHashMap<>();
        Transaction transaction = new Transaction();
        List<Poll> polls = new ArrayList<>();
        for (Poll poll : batch) {
            KnownState version = asked.get(poll.jobId);
            if (version == null && asked.size() == maxGuards) {
                waiting.add(poll);
                continue;
            }
            if (version == null) {
                version = known.get(poll.jobId);
                if (version == null) {
                    poll.then.accept(Result.MUST_READ, null);
                    continue;
                }
                asked.put(poll.jobId, version);
                transaction.guard(JobRecord.openKey(poll.jobId), version.version);
            }
            polls.add(poll);
        }
        if (polls.isEmpty()) {
            sendBatch();
            return;
        }
        commitInFlight = true;
        store.commit(transaction, commit -> {
            commitInFlight = false;
            handleCommitResult(commit, asked, polls);
            sendBatch();
        });
    }

    private void handleCommitResult(CommitResult commit, Map<JobId, KnownState> asked, List<Poll> polls) {
        for (Poll poll : polls) {
            switch (commit.outcome()) {
                case COMMITTED ->
                    poll.then.accept(
                            Result.UNCHANGED, asked.get(poll.jobId).state.deepCopy());
                case CONFLICT -> {
                    if (commit.failedKeys().contains(JobRecord.openKey(poll.jobId))) {
                        forget(poll.jobId);
                        poll.then.accept(Result.MUST_READ, null);
                    } else {
                        waiting.add(poll); // the reply need not name every failed key: repeated without the named ones
                    }
                }
                default -> poll.then.accept(Result.UNAVAILABLE, null);
            }
        }
    }
}
