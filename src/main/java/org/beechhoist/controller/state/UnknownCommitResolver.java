package org.beechhoist.controller.state;

import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.ControllerServices;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;

/**
 * Resolves a commit whose result is unknown: after the leader key is rewritten under its guard, the commit either was applied before
 * or never will be; then the state is reloaded.
 */
final class UnknownCommitResolver {
    private static final long RETRY_INTERVAL_MS = 300;

    private final ControllerContext context;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final StateLoader loader;

    UnknownCommitResolver(ControllerServices services, StateLoader loader) {
        this.context = services.context();
        this.store = services.store();
        this.election = services.election();
        this.requests = services.requestTokens();
        this.writes = services.writeTokens();
        this.loader = loader;
    }

    /** Marks the state as in doubt, rewrites the leader key and then reloads the state. */
    void resolve() {
        loader.invalidate();
        long expectedEpoch = loader.loadEpoch();
        Transaction transaction = election.guardedTransaction();
        election.addTokenRotation(transaction);
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), 1);
        store.commit(transaction, commit -> {
            if (expectedEpoch != loader.loadEpoch()) {
                return;
            }
            switch (commit.outcome()) {
                case COMMITTED -> {
                    election.adoptToken(commit.revision());
                    loader.reload();
                }
                case CONFLICT -> resolveRewrittenKey(expectedEpoch);
                case LEASE_EXPIRED -> election.loseLeadership("the lease ended");
                default -> retryLater(expectedEpoch, this::resolve);
            }
        });
    }

    /**
     * Resolves a conflict on the leader key: either an earlier rewrite by this leader was applied and only its answer was lost, or
     * another node has written the key. An earlier rewrite by this leader resolves the unknown commit as well, because no
     * transaction guarded by the older revision can be applied any more.
     */
    private void resolveRewrittenKey(long expectedEpoch) {
        election.readKeyOwnership(ownership -> {
            if (expectedEpoch != loader.loadEpoch()) {
                return;
            }
            switch (ownership) {
                case HELD -> loader.reload();
                case LOST -> election.loseLeadership("the key was rewritten");
                default -> retryLater(expectedEpoch, () -> resolveRewrittenKey(expectedEpoch));
            }
        });
    }

    private void retryLater(long expectedEpoch, Runnable action) {
        context.schedule(RETRY_INTERVAL_MS, () -> {
            if (expectedEpoch == loader.loadEpoch()) {
                action.run();
            }
        });
    }
}
