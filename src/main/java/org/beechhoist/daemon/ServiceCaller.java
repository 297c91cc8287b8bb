package org.beechhoist.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import org.beechhoist.config.Addresses;
import org.beechhoist.controller.context.Effect;
import org.beechhoist.net.EventLoop;
import org.beechhoist.net.HttpClient;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends the controller's calls to the state service, the cloud and workers, and reports each result once, in a later step of the loop. */
final class ServiceCaller {
    private static final Logger LOG = LoggerFactory.getLogger(ServiceCaller.class);

    /** The addresses of the services that are known from the settings. */
    record Endpoints(InetSocketAddress state, InetSocketAddress cloud) {}

    /** Receives the results of calls. */
    interface ResultHandler {
        /** Handles the result of the call with this number. */
        void handle(long call, CallResult result);
    }

    private final EventLoop loop;
    private final HttpClient client;
    private final Endpoints endpoints;
    private final ResultHandler results;

    ServiceCaller(EventLoop loop, HttpClient client, Endpoints endpoints, ResultHandler results) {
        this.loop = loop;
        this.client = client;
        this.endpoints = endpoints;
        this.results = results;
    }

    /**
     * Sends a call, unless it has expired or its address is none. Its result is reported also where this method fails: a call
     * whose body can't be encoded was not sent, and of one that fails later nothing is known.
     *
     * @throws RuntimeException if the call could not be encoded or handed to the client
     */
    void send(Effect.Call call) {
        InetSocketAddress address =
                switch (call.target()) {
                    case STATE -> endpoints.state();
                    case CLOUD -> endpoints.cloud();
                    case HOST -> Addresses.parse(call.address());
                };
        if (address == null || call.isExpired(loop.now())) {
            reportLater(call, CallResult.NOT_SENT);
            return;
        }
        CallResult resultOfFailure = CallResult.NOT_SENT;
        try {
            byte[] body = call.body() == null ? null : Codec.encode(call.body());
            resultOfFailure = CallResult.UNKNOWN;
            request(address, call, body);
        } catch (RuntimeException | StackOverflowError e) {
            reportLater(call, resultOfFailure);
            throw e;
        }
    }

    private void request(InetSocketAddress address, Effect.Call call, byte[] body) {
        client.request(
                address,
                call.method(),
                call.path(),
                body,
                call.timeoutMs(),
                call.until(),
                outcome -> results.handle(call.id(), toCallResult(outcome)));
    }

    private void reportLater(Effect.Call call, CallResult result) {
        loop.schedule(0, () -> results.handle(call.id(), result));
    }

    private static CallResult toCallResult(HttpClient.Outcome outcome) {
        if (outcome instanceof HttpClient.NotSent) {
            return CallResult.NOT_SENT;
        }
        if (!(outcome instanceof HttpClient.Response response)) {
            return CallResult.UNKNOWN;
        }
        JsonNode body = null;
        if (response.body().length > 0) {
            try {
                body = Codec.decodeMap(response.body());
            } catch (MalformedMessageException e) {
                LOG.debug("response body unreadable: status={} cause={}", response.status(), e.getMessage());
            }
        }
        return CallResult.answered(response.status(), body);
    }
}
