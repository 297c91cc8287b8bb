package org.beechhoist.http;

import java.util.Map;

/** A request or a response, whole. For a request {@code status} is 0; for a response method and target are null. */
public record HttpMessage(String method, String target, int status, Map<String, String> headers, byte[] body) {
    /** Whether the sender closes the connection after this message. */
    public boolean closesConnection() {
        return "close".equalsIgnoreCase(headers.get("connection"));
    }
}
