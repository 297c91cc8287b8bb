package org.beechhoist.controller;

import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;

/**
 * The dependencies of a component that reads and writes the state service, on any node.
 *
 * @param requestTokens tokens for requests to the state service
 * @param writeTokens tokens for the changes that its transactions make
 */
record StateServiceAccess(
        ControllerContext context,
        Settings settings,
        StoreClient store,
        TokenBucket requestTokens,
        TokenBucket writeTokens) {}
