package org.beechhoist.controller.leadership;

import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.store.RecordSizes;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;

/**
 * What most parts of a controller need, handed to them together.
 *
 * @param requests tokens for requests to the state service
 * @param writes tokens for the changes that its transactions make
 */
public record ControllerServices(
        ControllerContext context,
        Settings settings,
        StoreClient store,
        TokenBucket requests,
        TokenBucket writes,
        LeaderElection election) {
    /** How records are cut up to fit the state service's limits. */
    public RecordSizes recordSizes() {
        return RecordSizes.of(
                settings.stateLimits().valueBytes(), settings.stateLimits().txnOps());
    }
}
