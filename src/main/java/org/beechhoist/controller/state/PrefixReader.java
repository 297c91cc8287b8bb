package org.beechhoist.controller.state;

import java.util.function.Consumer;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;

/** What a leader reads once when it has won: all of a prefix, page by page, asked again until there is an answer or the leadership is over. */
public final class PrefixReader {
    private static final long AGAIN_MS = 700;
    private static final int PAGE = 60;

    private final ControllerContext turn;
    private final StoreClient store;
    private final TokenBucket requests;
    private final ClusterState book;

    public PrefixReader(ControllerContext turn, StoreClient store, TokenBucket requests, ClusterState book) {
        this.turn = turn;
        this.store = store;
        this.requests = requests;
        this.book = book;
    }

    public void read(String prefix, Consumer<StoreClient.KeyValue> each, Runnable done) {
        page(book.reign(), prefix, null, each, done);
    }

    private void page(long reign, String prefix, String after, Consumer<StoreClient.KeyValue> each, Runnable done) {
        if (reign != book.reign()) {
            return;
        }
        requests.take(turn.now(), 1);
        store.list(prefix, after, PAGE, page -> {
            if (reign != book.reign()) {
                return;
            }
            if (!page.ok()) {
                turn.after(AGAIN_MS, () -> page(reign, prefix, after, each, done));
                return;
            }
            page.items().forEach(each);
            if (page.more() && !page.items().isEmpty()) {
                page(reign, prefix, page.items().get(page.items().size() - 1).key(), each, done);
            } else {
                done.run();
            }
        });
    }
}
