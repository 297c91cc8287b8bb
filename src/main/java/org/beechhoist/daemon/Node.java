package org.beechhoist.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.beechhoist.config.Addresses;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.Controller;
import org.beechhoist.controller.context.Effect;
import org.beechhoist.http.HttpMessage;
import org.beechhoist.metrics.Metrics;
import org.beechhoist.net.EventLoop;
import org.beechhoist.net.HttpClient;
import org.beechhoist.net.HttpServer;
import org.beechhoist.peer.PeerCodec;
import org.beechhoist.peer.PeerState;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Joins the core to the network: hands it inputs, carries out its effects. */
public final class Node {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    private static final String CBOR = "application/cbor";
    private static final String TEXT = "text/plain";
    private static final int MAX_PEER_BODY = PeerCodec.MAX_BYTES;
    /** How long an address may still be held by the process before, and how often it is tried. */
    private static final int MOST_TRIES = 100;

    private static final long AGAIN_MS = 50;
    private static final byte[] EMPTY = new byte[0];

    private final Settings settings;
    private final EventLoop loop = new EventLoop();
    private final HttpClient client;
    private final HttpClient peerClient;
    /** Made when first needed: loading Avro would hold up the first answers after a restart. */
    private PeerCodec peerCodec;

    private final Metrics metrics = new Metrics();
    private final Controller core;
    private final Map<Long, HttpServer.Responder> open = new HashMap<>();
    private long nextRequest = 1;
    private EventLoop.Timer wake;
    private long wakeAt = Long.MAX_VALUE;

    /**
     * Listens on the node's two addresses, the public one and the one for other controllers.
     *
     * @throws IOException if an address can't be listened on
     */
    public Node(Settings settings, Policy policy) throws IOException {
        this.settings = settings;
        this.client = new HttpClient(loop, CBOR, settings.maxSockets() / 10);
        this.peerClient =
                new HttpClient(loop, "avro/binary", 2 * settings.seeds().size());
        this.core = new Controller(settings, policy, metrics, System.nanoTime());
        // A tenth of the sockets is kept for calls to others.
        listen(settings.publicAddress(), Codec.MAX_BODY, settings.maxSockets() * 8 / 10, this::request);
        listen(settings.internalAddress(), MAX_PEER_BODY, 64, this::peerRequest);
    }

    /** A process that is started again at once may find its addresses still held by the one before, which is being ended. */
    private void listen(InetSocketAddress address, int maxBody, int most, HttpServer.Handler handler)
            throws IOException {
        for (int tries = 0; ; tries++) {
            try {
                new HttpServer(loop, address, maxBody, most, handler);
                return;
            } catch (BindException e) {
                if (tries == MOST_TRIES) {
                    throw new IOException(
                            address + " can't be listened on, tried for " + MOST_TRIES * AGAIN_MS / 1000 + " s", e);
                }
                pause();
            }
        }
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(AGAIN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while an address was in use", e);
        }
    }

    /** Serves until {@link #stop} is called. */
    public void run() throws IOException {
        LOG.info("{} in {} serves users and workers on {}", settings.node(), settings.zone(), settings.publicAddress());
        settings.warnings().forEach(LOG::warn);
        loop.onTurnEnd(this::carryOut);
        core.start(loop.now(), System.currentTimeMillis());
        carryOut();
        loop.run();
    }

    /** Ends it as a kill would: nothing more is sent, answered or written. May be called from any thread. */
    public void stop() {
        loop.stop();
    }

    private void request(HttpMessage message, HttpServer.Responder responder) {
        long id = nextRequest++;
        String route = route(message.method(), message.target());
        long began = loop.now().ms();
        open.put(id, (status, type, body, retry) -> {
            metrics.recordLatency(route, loop.now().ms() - began);
            metrics.increment(route + " " + status);
            responder.respond(status, type, body, retry);
        });
        core.handleRequest(
                loop.now(), System.currentTimeMillis(), id, message.method(), message.target(), message.body());
    }

    /** The request's kind, for the metrics: one name for all jobs. */
    private static String route(String method, String target) {
        if (target.startsWith("/v1/jobs/")) {
            return target.endsWith("/cancel") ? "cancel" : target.endsWith("/width") ? "resize" : "status";
        }
        return switch (target) {
            case "/v1/jobs" -> "submit";
            case "/checkin" -> "checkin";
            case "/ready" -> "ready";
            default -> target.startsWith("/v1/") && target.length() < 14 && method.equals("GET") ? "view" : "other";
        };
    }

    private void peerRequest(HttpMessage message, HttpServer.Responder responder) {
        if (!message.target().equals("/peer") || !message.method().equals("POST")) {
            responder.respond(404, TEXT, EMPTY, 0);
            return;
        }
        try {
            core.handlePeerState(
                    loop.now(), System.currentTimeMillis(), peerCodec().decode(message.body()));
            responder.respond(200, TEXT, EMPTY, 0);
        } catch (MalformedMessageException e) {
            responder.respond(400, TEXT, e.getMessage().getBytes(StandardCharsets.US_ASCII), 0);
        }
    }

    private PeerCodec peerCodec() {
        if (peerCodec == null) {
            peerCodec = new PeerCodec();
        }
        return peerCodec;
    }

    private void tell(PeerState state) {
        byte[] body = peerCodec().encode(state);
        for (Settings.Seed seed : settings.seeds().values()) {
            peerClient.request(seed.address(), "POST", "/peer", body, 900, o -> {});
        }
    }

    private void carryOut() {
        var effects = core.drainEffects();
        while (!effects.isEmpty()) {
            for (Effect effect : effects) {
                if (effect instanceof Effect.Respond decided) {
                    Effect.Respond answer = decided.asOf(loop.now());
                    open.remove(answer.request())
                            .respond(
                                    answer.status(),
                                    CBOR,
                                    answer.body() == null ? EMPTY : Codec.encode(answer.body()),
                                    answer.retryAfterS());
                } else if (effect instanceof Effect.Call call) {
                    call(call);
                } else if (effect instanceof Effect.PublishToPeers tell) {
                    tell(tell.state());
                }
            }
            effects = core.drainEffects();
        }
        plan();
    }

    private void plan() {
        long at = core.nextWakeAt() == null ? Long.MAX_VALUE : core.nextWakeAt().ms();
        if (wake == null || at != wakeAt) {
            if (wake != null) {
                wake.cancel();
            }
            wakeAt = at;
            wake = at == Long.MAX_VALUE
                    ? null
                    : loop.schedule(at - loop.now().ms(), () -> {
                        wake = null;
                        core.handleTimer(loop.now(), System.currentTimeMillis());
                    });
        }
    }

    private void call(Effect.Call call) {
        InetSocketAddress address =
                switch (call.target()) {
                    case STATE -> settings.state();
                    case CLOUD -> settings.cloud();
                    case HOST -> Addresses.parse(call.address());
                };
        if (address == null || call.isExpired(loop.now())) {
            loop.schedule(
                    0,
                    () -> core.handleCallResult(
                            loop.now(), System.currentTimeMillis(), call.id(), CallResult.NOT_SENT));
            return;
        }
        client.request(
                address,
                call.method(),
                call.path(),
                call.body() == null ? null : Codec.encode(call.body()),
                call.timeoutMs(),
                call.until(),
                o -> core.handleCallResult(loop.now(), System.currentTimeMillis(), call.id(), read(o)));
    }

    private static CallResult read(HttpClient.Outcome result) {
        if (result instanceof HttpClient.NotSent) {
            return CallResult.NOT_SENT;
        }
        if (!(result instanceof HttpClient.Response answer)) {
            return CallResult.UNKNOWN;
        }
        JsonNode body = null;
        if (answer.body().length > 0) {
            try {
                body = Codec.decodeMap(answer.body());
            } catch (MalformedMessageException e) {
                LOG.debug("an answer with status {} is no CBOR map", answer.status());
            }
        }
        return CallResult.answered(answer.status(), body);
    }
}
