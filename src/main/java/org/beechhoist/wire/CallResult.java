package org.beechhoist.wire;

import com.fasterxml.jackson.databind.JsonNode;

/** The result of a call to another service. {@code body} is null where none could be read. */
public record CallResult(Kind kind, int status, JsonNode body) {
    /** What is known about whether the request was carried out. */
    public enum Kind {
        /** An answer came. */
        ANSWERED,
        /** It certainly never reaches the other side. */
        NOT_SENT,
        /** It may have been executed, or may still be executed later. */
        UNKNOWN
    }

    /** The request was never sent. */
    public static final CallResult NOT_SENT = new CallResult(Kind.NOT_SENT, 0, null);
    /** No answer came; the request may have been carried out. */
    public static final CallResult UNKNOWN = new CallResult(Kind.UNKNOWN, 0, null);

    /** The result of a call that was answered with this HTTP status; the body is null where none could be read. */
    public static CallResult answered(int status, JsonNode body) {
        return new CallResult(Kind.ANSWERED, status, body);
    }

    /** Whether it was answered with status 200 and a body. */
    public boolean isOk() {
        return kind == Kind.ANSWERED && status == 200 && body != null;
    }

    /** Whether it was answered with this status. */
    public boolean hasStatus(int expected) {
        return kind == Kind.ANSWERED && status == expected;
    }
}
