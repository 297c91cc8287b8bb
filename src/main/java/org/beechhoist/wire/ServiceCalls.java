package org.beechhoist.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;

/** Calls other services; each call ends with exactly one result. */
public interface ServiceCalls {
    /** Whom a call is for. */
    enum Target {
        /** The state service. */
        STATE,
        /** The cloud that rents machines. */
        CLOUD,
        /** A machine's worker. */
        HOST
    }

    /**
     * Sends a request.
     *
     * @param address the machine's address for {@code HOST}, or null
     * @param timeoutMs how long to wait for the answer; without one the result is {@link CallResult#UNKNOWN}
     * @param then receives the result, later
     */
    void call(
            Target target,
            String address,
            String method,
            String path,
            JsonNode body,
            long timeoutMs,
            Consumer<CallResult> then);
}
