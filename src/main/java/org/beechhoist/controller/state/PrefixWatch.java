package org.beechhoist.controller.state;

import java.util.List;
import java.util.function.Consumer;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.Revision;

/**
 * Reads all items of a prefix, page by page, and watches its changes. The prefix is read again if the state service no longer keeps
 * the changes since the last known revision.
 */
public final class PrefixWatch {
    private static final long WATCH_HOLD_MS = 20_000;
    private static final long RETRY_INTERVAL_MS = 500;
    /** The pause after changes, so that several changes per second share a request. */
    private static final long CHANGE_PAUSE_MS = 40;

    private static final int STATUS_OK = 200;
    private static final int STATUS_GONE = 410;
    private static final int PAGE_SIZE = 200;

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final String prefix;
    private final Runnable onRestart;
    private final Consumer<StoreClient.KeyValue> onItem;
    private final Consumer<List<StoreClient.KeyValue>> onChanges;
    /** Changes each time the prefix is read from the beginning; answers to earlier requests are ignored. */
    private long watchEpoch;

    /**
     * Creates a watch; {@link #start} begins it.
     *
     * @param onRestart called when the prefix is read from the beginning: all items known so far must be discarded
     * @param onItem called with each item of a page; pages have different revisions and are consistent only together with the
     *     changes in between
     * @param onChanges called with a possibly empty list of changes; the first call has the changes made while the pages were
     *     read, which completes the initial state
     */
    public PrefixWatch(
            ControllerContext context,
            StoreClient store,
            TokenBucket requests,
            String prefix,
            Runnable onRestart,
            Consumer<StoreClient.KeyValue> onItem,
            Consumer<List<StoreClient.KeyValue>> onChanges) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.prefix = prefix;
        this.onRestart = onRestart;
        this.onItem = onItem;
        this.onChanges = onChanges;
    }

    /** Reads the prefix from the beginning and then watches it. */
    public void start() {
        onRestart.run();
        readPage(++watchEpoch, null, null);
    }

    private void schedule(long ms, long expectedEpoch, Runnable action) {
        context.schedule(ms, () -> {
            if (expectedEpoch == watchEpoch) {
                action.run();
            }
        });
    }

    private void readPage(long expectedEpoch, String after, Revision start) {
        requests.takeOrOverdraw(context.now(), 1);
        store.list(prefix, after, PAGE_SIZE, page -> {
            if (expectedEpoch != watchEpoch) {
                return;
            }
            if (!page.isOk()) {
                schedule(RETRY_INTERVAL_MS, expectedEpoch, this::start);
                return;
            }
            page.items().forEach(onItem);
            Revision first = start == null ? page.revision() : start;
            if (page.more() && !page.items().isEmpty()) {
                readPage(
                        expectedEpoch, page.items().get(page.items().size() - 1).key(), first);
            } else {
                watch(expectedEpoch, first, 0);
            }
        });
    }

    private void watch(long expectedEpoch, Revision after, long holdMs) {
        requests.takeOrOverdraw(context.now(), 1);
        store.watch(prefix, after, holdMs, changes -> {
            if (expectedEpoch != watchEpoch) {
                return;
            }
            if (changes.status() == STATUS_GONE) {
                start();
            } else if (changes.status() != STATUS_OK) {
                schedule(RETRY_INTERVAL_MS, expectedEpoch, () -> watch(expectedEpoch, after, holdMs));
            } else {
                onChanges.accept(changes.changes());
                schedule(
                        changes.changes().isEmpty() ? 0 : CHANGE_PAUSE_MS,
                        expectedEpoch,
                        () -> watch(expectedEpoch, changes.revision(), WATCH_HOLD_MS));
            }
        });
    }
}
