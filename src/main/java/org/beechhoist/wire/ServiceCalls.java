package org.beechhoist.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;

/** Makes calls to other services; each ends with exactly one outcome. */
public interface ServiceCalls {
    /** Whom a call is for. */
    enum Target {
        STATE,
        CLOUD,
        HOST
    }

    /** @param address the machine's, for {@code HOST}; null for the others */
    void call(
            Target target,
            String address,
            String method,
            String path,
            JsonNode body,
            long timeoutMs,
            Consumer<CallResult> then);
}
