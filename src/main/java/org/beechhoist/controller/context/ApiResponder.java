package org.beechhoist.controller.context;

import com.fasterxml.jackson.databind.JsonNode;

/** Receives the response to an API request. It is called exactly once, immediately or in a later input. */
public interface ApiResponder {
    /** Responds with this HTTP status and body. */
    void respond(int status, JsonNode body);
}
