package org.beechhoist.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import org.beechhoist.metrics.Metrics;
import org.beechhoist.net.EventLoop;
import org.beechhoist.net.HttpServer;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MonotonicTime;

/** The requests on the public address that are not answered yet, by number. It counts answers and measures latencies by route. */
final class OpenRequests {
    private static final String CBOR = "application/cbor";
    private static final byte[] EMPTY = new byte[0];
    private static final int INTERNAL_ERROR = 500;
    private static final byte[] INTERNAL_ERROR_BODY = Codec.encode(Codec.map().put("error", "internal error"));

    private record OpenRequest(String route, MonotonicTime receivedAt, HttpServer.Responder responder) {}

    private final EventLoop loop;
    private final Metrics metrics;
    private final Map<Long, OpenRequest> requests = new HashMap<>();
    private long nextId = 1;

    OpenRequests(EventLoop loop, Metrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
    }

    /**
     * Adds a request and returns its number.
     *
     * @param route the name under which its answer is counted
     */
    long open(String route, HttpServer.Responder responder) {
        long id = nextId++;
        requests.put(id, new OpenRequest(route, loop.now(), responder));
        return id;
    }

    /**
     * Answers a request.
     *
     * @param body the body of the answer, or null for none
     * @throws IllegalStateException if the request is unknown or was answered before, or if the body can't be encoded: then
     *     it is still open
     */
    void respond(long id, int status, JsonNode body, int retryAfterS) {
        if (!requests.containsKey(id)) {
            throw new IllegalStateException("no open request with number " + id);
        }
        send(id, status, body == null ? EMPTY : Codec.encode(body), retryAfterS);
    }

    /** Answers a request with 500, unless it was answered before: its user retries. */
    void fail(long id) {
        if (requests.containsKey(id)) {
            send(id, INTERNAL_ERROR, INTERNAL_ERROR_BODY, 0);
        }
    }

    private void send(long id, int status, byte[] body, int retryAfterS) {
        OpenRequest request = requests.remove(id);
        metrics.recordLatency(request.route, loop.now().since(request.receivedAt));
        metrics.increment(request.route + " " + status);
        request.responder.respond(status, CBOR, body, retryAfterS);
    }
}
