package org.beechhoist.controller;

import org.beechhoist.controller.context.ApiResponder;

/** The request API of a feature that a policy can disable; its paths do not exist while it is disabled. */
interface FeatureApi {
    /** Returns whether the path belongs to this feature. */
    boolean handles(String path);

    /** Handles a request for one of its paths; responds now or later. */
    void handle(ApiRequest request, ApiResponder responder);
}
