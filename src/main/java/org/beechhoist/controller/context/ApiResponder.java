package org.beechhoist.controller.context;

import com.fasterxml.jackson.databind.JsonNode;

/** Where the response to a request goes. It is called once, now or later. */
public interface ApiResponder {
    /** Responds with this HTTP status and body. */
    void respond(int status, JsonNode body);
}
