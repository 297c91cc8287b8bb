package org.beechhoist.http;

import java.util.Map;

/** A complete request or response. In a request, {@code status} is 0; in a response, method and target are null. */
public record HttpMessage(String method, String target, int status, Map<String, String> headers, byte[] body) {
    /** Returns true if the sender closes the connection after this message. */
    public boolean closesConnection() {
        return "close".equalsIgnoreCase(headers.get("connection"));
    }
}
