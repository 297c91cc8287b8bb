package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.context.Pacer;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.ReadResult;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MonotonicTime;

/**
 * Reads open records for polls. While requests are plentiful each poll has a read of its own. When they run short,
 * polls that arrive within an interval share listings, each of which starts at the record of the longest waiting poll;
 * no poll is refused for the shortage alone. When all nodes had restarted, each poll was a single read, and the polls
 * of some jobs were refused repeatedly.
 */
final class SharedRecordReads {
    private static final String LISTED_PREFIX = JobRecord.OPEN_PREFIX;
    /** The maximum number of records of one listing: a hundred records are a few hundred KB at most. */
    private static final int MAX_LISTED_COUNT = 100;

    private static final int MAX_WAITING_COUNT = 1000;
    /**
     * The maximum wait of a poll; one that waited longer is refused so that the user retries. Users wait 2 s for an
     * answer.
     */
    private static final long MAX_WAIT_MS = 1400;

    private record WaitingRead(JobId jobId, MonotonicTime since, Consumer<ReadResult> then) {}

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final Pacer pacer;
    private List<WaitingRead> waiting = new ArrayList<>();
    private boolean listingInFlight;

    SharedRecordReads(ControllerContext context, StoreClient store, TokenBucket requests, Settings settings) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.pacer = new Pacer(context, ConditionalStatusReads.batchIntervalMs(settings));
    }

    /** Passes the record of an open job, or {@link ReadResult#UNKNOWN}, to {@code then}. */
    void read(JobId jobId, Consumer<ReadResult> then) {
        if (ConditionalStatusReads.hasSpareRequests(requests, context.now()) && requests.tryTake(context.now(), 1)) {
            store.get(JobRecord.openKey(jobId), then);
        } else if (waiting.size() >= MAX_WAITING_COUNT) {
            then.accept(ReadResult.UNKNOWN);
        } else {
            waiting.add(new WaitingRead(jobId, context.now(), then));
            sendListing();
        }
    }

    private void sendListing() {
        refuseExpired();
        if (listingInFlight || waiting.isEmpty()) {
            return;
        }
        if (pacer.postponeIfNotDue(this::sendListing)) {
            return;
        }
        pacer.recordRun();
        listingInFlight = true;
        String first = JobRecord.openKey(waiting.get(0).jobId);
        Set<WaitingRead> asked = new HashSet<>(waiting);
        requests.takeOrOverdraw(context.now(), 1); // listings are too rare to be limited
        store.list(LISTED_PREFIX, keyBefore(first), MAX_LISTED_COUNT, page -> {
            listingInFlight = false;
            if (page.isOk()) {
                handleListing(first, asked, page);
            }
            sendListing();
        });
    }

    /** Returns a key that sorts before the given one and after all existing keys before it. */
    private static String keyBefore(String key) {
        int last = key.length() - 1;
        return key.substring(0, last) + (char) (key.charAt(last) - 1) + "~";
    }

    private void handleListing(String first, Set<WaitingRead> asked, StoreClient.Page page) {
        Map<String, StoreClient.KeyValue> items = new HashMap<>();
        String end = first;
        for (StoreClient.KeyValue item : page.items()) {
            items.put(item.key(), item);
            end = item.key();
        }
        List<WaitingRead> before = waiting;
        List<WaitingRead> out = new ArrayList<>();
        waiting = new ArrayList<>();
        for (WaitingRead read : before) {
            String key = JobRecord.openKey(read.jobId);
            boolean within = key.compareTo(first) >= 0 && (!page.more() || key.compareTo(end) <= 0);
            if (within && asked.contains(read)) {
                out.add(read);
            } else {
                // Includes polls that arrived during the listing: it may be older than their last answer.
                waiting.add(read);
            }
        }
        out.forEach(w -> w.then.accept(ReadResult.of(items.get(JobRecord.openKey(w.jobId)))));
    }

    private void refuseExpired() {
        List<WaitingRead> late = new ArrayList<>();
        waiting.removeIf(w -> context.now().since(w.since) > MAX_WAIT_MS && late.add(w));
        late.forEach(w -> w.then.accept(ReadResult.UNKNOWN));
    }
}
