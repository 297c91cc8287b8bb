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
 * Reads of open records for polls. One each while requests are plentiful. Where they run short none is refused for that: those
 * that come within a moment share listings, which begin at whoever has waited longest. With all nodes started anew each poll was a
 * read, and some jobs were unlucky again and again.
 */
final class SharedRecordReads {
    private static final String LISTED = JobRecord.OPEN_PREFIX;
    /** Of one listing: some hundred records are a few hundred KB at the most. */
    private static final int MOST_LISTED = 100;

    private static final int MOST_WAITING = 1000;
    /** Users wait 2 s; who waited this long is told to come back. */
    private static final long LONGEST_WAIT_MS = 1400;

    private record Waiting(JobId ref, MonotonicTime since, Consumer<ReadResult> then) {}

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final Pacer pace;
    private List<Waiting> waiting = new ArrayList<>();
    private boolean asking;

    SharedRecordReads(ControllerContext context, StoreClient store, TokenBucket requests, Settings settings) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.pace = new Pacer(context, ConditionalStatusReads.batchIntervalMs(settings));
    }

    /** Hands over what the state service holds, or {@link Read#UNKNOWN}. */
    void read(JobId jobId, Consumer<ReadResult> then) {
        if (ConditionalStatusReads.hasSpareRequests(requests, context.now()) && requests.tryTake(context.now(), 1)) {
            store.get(JobRecord.openKey(jobId), then);
        } else if (waiting.size() >= MOST_WAITING) {
            then.accept(ReadResult.UNKNOWN);
        } else {
            waiting.add(new Waiting(jobId, context.now(), then));
            ask();
        }
    }

    private void ask() {
        refuseLate();
        if (asking || waiting.isEmpty()) {
            return;
        }
        if (pace.postponeIfNotDue(this::ask)) {
            return;
        }
        pace.recordRun();
        asking = true;
        String first = JobRecord.openKey(waiting.get(0).ref);
        Set<Waiting> asked = new HashSet<>(waiting);
        requests.takeOrOverdraw(context.now(), 1); // so few of them that none needs to wait for its turn
        store.list(LISTED, before(first), MOST_LISTED, page -> {
            asking = false;
            if (page.isOk()) {
                listed(first, asked, page);
            }
            ask();
        });
    }

    /** A key that comes before this one and after all others that do. */
    private static String before(String key) {
        int last = key.length() - 1;
        return key.substring(0, last) + (char) (key.charAt(last) - 1) + "~";
    }

    private void listed(String first, Set<Waiting> asked, StoreClient.Page page) {
        Map<String, StoreClient.KeyValue> items = new HashMap<>();
        String end = first;
        for (StoreClient.KeyValue item : page.items()) {
            items.put(item.key(), item);
            end = item.key();
        }
        List<Waiting> before = waiting;
        List<Waiting> out = new ArrayList<>();
        waiting = new ArrayList<>();
        for (Waiting read : before) {
            String key = JobRecord.openKey(read.ref);
            boolean within = key.compareTo(first) >= 0 && (!page.more() || key.compareTo(end) <= 0);
            if (within && asked.contains(read)) {
                out.add(read);
            } else {
                waiting.add(
                        read); // also who came while the listing was on its way: it may be older than what they were
                // told
            }
        }
        out.forEach(w -> w.then.accept(new ReadResult(true, items.get(JobRecord.openKey(w.ref)))));
    }

    private void refuseLate() {
        List<Waiting> late = new ArrayList<>();
        waiting.removeIf(w -> context.now().since(w.since) > LONGEST_WAIT_MS && late.add(w));
        late.forEach(w -> w.then.accept(ReadResult.UNKNOWN));
    }
}
