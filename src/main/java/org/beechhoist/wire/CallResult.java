package org.beechhoist.wire;

import com.fasterxml.jackson.databind.JsonNode;

/** How a call to another service ended. {@code body} is null where none could be read. */
public record CallResult(Kind kind, int status, JsonNode body) {
    /** What is known of the request's fate. */
    public enum Kind {
        /** An answer came. */
        ANSWERED,
        /** It certainly never reaches the other side. */
        NOT_SENT,
        /** It may have been executed, or may still be executed later. */
        UNKNOWN
    }

    public static final CallResult NOT_SENT = new CallResult(Kind.NOT_SENT, 0, null);
    public static final CallResult UNKNOWN = new CallResult(Kind.UNKNOWN, 0, null);

    public static CallResult answered(int status, JsonNode body) {
        return new CallResult(Kind.ANSWERED, status, body);
    }

    public boolean isOk() {
        return kind == Kind.ANSWERED && status == 200 && body != null;
    }

    public boolean hasStatus(int expected) {
        return kind == Kind.ANSWERED && status == expected;
    }
}
