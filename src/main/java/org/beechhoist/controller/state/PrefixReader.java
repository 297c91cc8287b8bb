package org.beechhoist.controller.state;

import java.util.function.Consumer;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;

/**
 * Reads all of a prefix once when a term begins, page by page; each page is requested again until there is an answer or the term
 * is over.
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
     * @param requests tokens for requests to the state service
     * @param clusterState tells which term it is
     */
    public PrefixReader(ControllerContext context, StoreClient store, TokenBucket requests, ClusterState clusterState) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.clusterState = clusterState;
    }

    /** Reads all of the prefix; {@code each} gets every item, and {@code done} is run after the last. */
    public void read(String prefix, Consumer<StoreClient.KeyValue> each, Runnable done) {
        readPage(clusterState.term(), prefix, null, each, done);
    }

    private void readPage(long term, String prefix, String after, Consumer<StoreClient.KeyValue> each, Runnable done) {
        if (term != clusterState.term()) {
            return;
        }
        requests.takeOrOverdraw(context.now(), 1);
        store.list(prefix, after, PAGE_SIZE, page -> {
            if (term != clusterState.term()) {
                return;
            }
            if (!page.isOk()) {
                context.schedule(RETRY_INTERVAL_MS, () -> readPage(term, prefix, after, each, done));
                return;
            }
            page.items().forEach(each);
            if (page.more() && !page.items().isEmpty()) {
                readPage(term, prefix, page.items().get(page.items().size() - 1).key(), each, done);
            } else {
                done.run();
            }
        });
    }
}
