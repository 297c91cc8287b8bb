package org.beechhoist.controller;

import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;

/**
 * What a component needs to read and write the state service, whether this node leads or not.
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
