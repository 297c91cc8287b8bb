package org.beechhoist.controller.state;

import java.util.function.Consumer;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;

/**
 * Reads all items of a prefix once when a term begins, page by page; each page is requested again until it is answered or the term
 * ends.
 */
public final class PrefixReader {
    private static final long RETRY_INTERVAL_MS = 700;
    private static final int PAGE_SIZE = 60;

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final ClusterState clusterState;

    /**
     * Creates a reader.
     *
     * @param requests rate limit of requests to the state service
     * @param clusterState provides the current term
     */
    public PrefixReader(ControllerContext context, StoreClient store, TokenBucket requests, ClusterState clusterState) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.clusterState = clusterState;
    }

    /** Reads all items of the prefix; {@code onItem} receives each item, and {@code onDone} is run after the last. */
    public void read(String prefix, Consumer<StoreClient.KeyValue> onItem, Runnable onDone) {
        readPage(clusterState.term(), prefix, null, onItem, onDone);
    }

    private void readPage(
            long term, String prefix, String after, Consumer<StoreClient.KeyValue> onItem, Runnable onDone) {
        if (term != clusterState.term()) {
            return;
        }
        requests.takeOrOverdraw(context.now(), 1);
        store.list(prefix, after, PAGE_SIZE, page -> {
            if (term != clusterState.term()) {
                return;
            }
            if (!page.isOk()) {
                context.schedule(RETRY_INTERVAL_MS, () -> readPage(term, prefix, after, onItem, onDone));
                return;
            }
            page.items().forEach(onItem);
            if (page.more() && !page.items().isEmpty()) {
                readPage(term, prefix, page.items().get(page.items().size() - 1).key(), onItem, onDone);
            } else {
                onDone.run();
            }
        });
    }
}
