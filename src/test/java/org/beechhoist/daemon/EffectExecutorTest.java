package org.beechhoist.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.beechhoist.controller.context.Effect;
import org.beechhoist.metrics.Metrics;
import org.beechhoist.net.EventLoop;
import org.beechhoist.net.HttpClient;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.ServiceCalls;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against an effect that can't be carried out ending the node, or leaving the others of its input undone. */
class EffectExecutorTest {
    private static final int MAX_NESTING = 1000;

    private final Metrics metrics = new Metrics();
    private final List<String> answers = new ArrayList<>();
    private final List<String> results = new ArrayList<>();
    private EventLoop loop;
    private OpenRequests requests;
    private EffectExecutor executor;

    @BeforeEach
    void createExecutor() throws Exception {
        loop = new EventLoop();
        requests = new OpenRequests(loop, metrics);
        InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 1);
        ServiceCaller services = new ServiceCaller(
                loop,
                new HttpClient(loop, "application/cbor", 1),
                new ServiceCaller.Endpoints(nowhere, nowhere),
                (id, result) -> results.add(id + " " + result.kind()));
        executor = new EffectExecutor(loop, requests, services, state -> {}, metrics);
    }

    private long openRequest() {
        return requests.open(
                "submit", (status, type, body, retryAfterS) -> answers.add(status + " " + (body.length > 0)));
    }

    private static JsonNode unpairedSurrogate() {
        return Codec.map().put("error", "name \uD842");
    }

    private static JsonNode tooDeep() {
        ObjectNode out = Codec.map();
        for (int depth = 0; depth < 2 * MAX_NESTING; depth++) {
            out = Codec.map().set("inner", out);
        }
        return out;
    }

    private static Effect.Call commit(long id, JsonNode body) {
        return new Effect.Call(id, ServiceCalls.Target.STATE, null, "POST", "/commit", body, 1000, null);
    }

    private long failures() {
        return metrics.toNode().path("counters").path("effect failures").asLong();
    }

    /** Guards against a request without an answer where the answer can't be encoded. */
    @Test
    void answerThatCannotBeEncodedIs500AndTheNextOnesAreGiven() {
        for (JsonNode body : List.of(unpairedSurrogate(), tooDeep())) {
            executor.execute(List.of(
                    new Effect.Respond(openRequest(), 400, body, 0),
                    new Effect.Respond(openRequest(), 200, Codec.map(), 0)));
        }
        assertEquals(List.of("500 true", "200 true", "500 true", "200 true"), answers);
        assertEquals(2, failures());
    }

    /** Guards against a caller that waits for ever for the result of a call that can't be encoded: it was never sent. */
    @Test
    void callThatCannotBeEncodedWasNotSent() throws Exception {
        executor.execute(List.of(
                commit(7, unpairedSurrogate()),
                commit(8, tooDeep()),
                new Effect.Respond(openRequest(), 200, Codec.map(), 0)));
        assertEquals(List.of("200 true"), answers);
        loop.schedule(1, loop::stop);
        loop.run();
        assertEquals(List.of("7 " + CallResult.Kind.NOT_SENT, "8 " + CallResult.Kind.NOT_SENT), results);
    }

    /** Guards against the end of a node by a second answer to one request, or by one that nobody awaits. */
    @Test
    void secondAnswerToARequestIsDropped() {
        long request = openRequest();
        executor.execute(List.of(
                new Effect.Respond(request, 200, Codec.map(), 0),
                new Effect.Respond(request, 503, Codec.map(), 0),
                new Effect.Respond(9999, 200, Codec.map(), 0),
                new Effect.Respond(openRequest(), 201, Codec.map(), 0)));
        assertEquals(List.of("200 true", "201 true"), answers);
        assertEquals(2, failures());
    }
}
