package org.beechhoist.controller.context;

import com.fasterxml.jackson.databind.JsonNode;
import org.beechhoist.wire.ServiceCalls;

/**
 * A request to another service.
 *
 * @param address the machine's address for {@link ServiceCalls.Target#HOST}, else null
 * @param body null for none
 * @param timeoutMs the timeout of the response
 */
public record ServiceRequest(
        ServiceCalls.Target target, String address, String method, String path, JsonNode body, long timeoutMs) {}
