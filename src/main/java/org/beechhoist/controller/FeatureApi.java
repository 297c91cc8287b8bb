package org.beechhoist.controller;

import org.beechhoist.controller.context.ApiResponder;

/** The request API of a feature that a policy may switch off; its paths are unknown where it is off. */
interface FeatureApi {
    /** Whether the path belongs to this feature. */
    boolean handles(String path);

    /** Handles a request for one of its paths, and responds now or later. */
    void handle(ApiRequest request, ApiResponder responder);
}
