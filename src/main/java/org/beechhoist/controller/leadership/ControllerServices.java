package org.beechhoist.controller.leadership;

import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.store.RecordSizes;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;

/**
 * The services that most parts of a controller need, passed to them as one object.
 *
 * @param context the current input: time, effects, calls and timers
 * @param settings the node's settings
 * @param store the client of the state service
 * @param requestTokens tokens for requests to the state service
 * @param writeTokens tokens for the changes that its transactions make
 * @param election whether this node leads, and with which fencing token
 */
public record ControllerServices(
        ControllerContext context,
        Settings settings,
        StoreClient store,
        TokenBucket requestTokens,
        TokenBucket writeTokens,
        LeaderElection election) {
    /** Returns how records are split to fit the state service's limits. */
    public RecordSizes recordSizes() {
        return RecordSizes.of(
                settings.stateLimits().valueBytes(), settings.stateLimits().txnOps());
    }
}
