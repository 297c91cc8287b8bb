package org.beechhoist.wire;

import com.fasterxml.jackson.databind.JsonNode;

/** How a call to another service ended. {@code body} is null where none could be read. */
public record Outcome(Kind kind, int status, JsonNode body) {
    /** What is known of the request's fate. */
    public enum Kind {
        /** An answer came. */
        ANSWERED,
        /** It certainly never reaches the other side. */
        NOT_SENT,
        /** It may have been executed, or may still be executed later. */
        UNKNOWN
    }

    public static final Outcome NOT_SENT = new Outcome(Kind.NOT_SENT, 0, null);
    public static final Outcome UNKNOWN = new Outcome(Kind.UNKNOWN, 0, null);

    public static Outcome answered(int status, JsonNode body) {
        return new Outcome(Kind.ANSWERED, status, body);
    }

    public boolean ok() {
        return kind == Kind.ANSWERED && status == 200 && body != null;
    }

    public boolean is(int expected) {
        return kind == Kind.ANSWERED && status == expected;
    }
}
