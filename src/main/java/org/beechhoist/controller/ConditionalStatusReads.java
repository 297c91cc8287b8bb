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
 * Users poll open jobs whose records seldom change. What was read of one before is not read again: a transaction that only
 * compares asks for many of them at once whether they still have that version. It is decided by the state service after
 * the poll came, so an answer is as new as a read's.
 */
final class ConditionalStatusReads {
    private static final int MAX_REMEMBERED_COUNT = 3000;
    /** Of all requests to the state service, what all nodes' polls together are asked with; the polls of one time share one. */
    private static final double POLL_REQUEST_SHARE = 0.2;
    /** Users wait 2 s for an answer: with so many nodes or so few requests that this is not enough, polls cost more. */
    private static final long MAX_BATCH_INTERVAL_MS = 500;
    /** Of a second's requests: the rest is for submissions and cancellations, which no poll may push aside. */
    private static final double RESERVED_REQUEST_SHARE = 0.3;

    private record KnownState(Revision version, ObjectNode state) {}

    private record Poll(JobId jobId, BiConsumer<Result, ObjectNode> then) {}

    /** What came of a poll. */
    enum Result {
        /** The state that was handed over is the record's now. */
        UNCHANGED,
        /** Nothing is known of it, or it has changed: it must be read. */
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

    /** The state service takes four times as many comparisons as changes in one transaction. */
    ConditionalStatusReads(ControllerContext context, StoreClient store, TokenBucket requests, Settings settings) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.maxGuards = 4 * settings.stateLimits().txnOps();
        this.pacer = new Pacer(context, batchIntervalMs(settings));
    }

    /** The job's record was read or written as this version. */
    void remember(JobId jobId, Revision version, ObjectNode state) {
        known.put(jobId, new KnownState(version, state.deepCopy()));
    }

    void forget(JobId jobId) {
        known.remove(jobId);
    }

    /** Hands over the job's state if it is known and certain, in its own time. */
    void poll(JobId jobId, BiConsumer<Result, ObjectNode> then) {
        if (!known.containsKey(jobId)) {
            then.accept(Result.MUST_READ, null);
            return;
        }
        waiting.add(new Poll(jobId, then));
        sendBatch();
    }

    /** Whether enough requests are left for what must not wait for polls. */
    static boolean hasSpareRequests(TokenBucket requests, MonotonicTime now) {
        return requests.available(now) >= 1 + RESERVED_REQUEST_SHARE * requests.capacity();
    }

    /** How long questions for polls gather while requests run short, for all nodes' to take no more than their share. */
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
                        waiting.add(poll); // whether all that failed are named is not said: asked again without those
                    }
                }
                default -> poll.then.accept(Result.UNAVAILABLE, null);
            }
        }
    }
}
