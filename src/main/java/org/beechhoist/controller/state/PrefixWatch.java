package org.beechhoist.controller.state;

import java.util.List;
import java.util.function.Consumer;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.Revision;

/**
 * Reads all of a prefix, page by page, and watches its changes. The prefix is read anew where the state service does not keep
 * the changes since any more.
 */
public final class PrefixWatch {
    private static final long WATCH_HOLD_MS = 20_000;
    private static final long RETRY_INTERVAL_MS = 500;
    /** The pause after changes, so that several changes a second share a request. */
    private static final long CHANGE_PAUSE_MS = 40;

    private static final int PAGE_SIZE = 200;

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final String prefix;
    private final Runnable onRestart;
    private final Consumer<StoreClient.KeyValue> onItem;
    private final Consumer<List<StoreClient.KeyValue>> onChanges;
    /** Changes with each new reading: answers to requests of an earlier one are ignored. */
    private long watchEpoch;

    /**
     * Creates a watch; {@link #start} begins it.
     *
     * @param begun called when the prefix is read from the beginning: everything known of it is to be forgotten
     * @param found called with each item of a page; pages are of different revisions, and consistent only together with the changes
     *     in between
     * @param changes called with changes, perhaps none; the first call brings those made while the pages were read, after which
     *     everything is known
     */
    public PrefixWatch(
            ControllerContext context,
            StoreClient store,
            TokenBucket requests,
            String prefix,
            Runnable begun,
            Consumer<StoreClient.KeyValue> found,
            Consumer<List<StoreClient.KeyValue>> changes) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.prefix = prefix;
        this.onRestart = begun;
        this.onItem = found;
        this.onChanges = changes;
    }

    /** Reads the prefix from the beginning and then watches it. */
    public void start() {
        onRestart.run();
        readPage(++watchEpoch, null, null);
    }

    private void schedule(long ms, long expectedRound, Runnable then) {
        context.schedule(ms, () -> {
            if (expectedRound == watchEpoch) {
                then.run();
            }
        });
    }

    private void readPage(long expectedRound, String after, Revision start) {
        requests.takeOrOverdraw(context.now(), 1);
        store.list(prefix, after, PAGE_SIZE, page -> {
            if (expectedRound != watchEpoch) {
                return;
            }
            if (!page.isOk()) {
                schedule(RETRY_INTERVAL_MS, expectedRound, this::start);
                return;
            }
            page.items().forEach(onItem);
            Revision first = start == null ? page.revision() : start;
            if (page.more() && !page.items().isEmpty()) {
                readPage(
                        expectedRound, page.items().get(page.items().size() - 1).key(), first);
            } else {
                watch(expectedRound, first, 0);
            }
        });
    }

    private void watch(long expectedRound, Revision after, long holdMs) {
        requests.takeOrOverdraw(context.now(), 1);
        store.watch(prefix, after, holdMs, changes -> {
            if (expectedRound != watchEpoch) {
                return;
            }
            if (changes.status() == 410) {
                start();
            } else if (changes.status() != 200) {
                schedule(RETRY_INTERVAL_MS, expectedRound, () -> watch(expectedRound, after, holdMs));
            } else {
                onChanges.accept(changes.changes());
                schedule(
                        changes.changes().isEmpty() ? 0 : CHANGE_PAUSE_MS,
                        expectedRound,
                        () -> watch(expectedRound, changes.revision(), WATCH_HOLD_MS));
            }
        });
    }
}
