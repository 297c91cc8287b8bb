package org.beechhoist.daemon;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
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

/** Connects the controller to the network: passes inputs to it and executes its effects. */
public final class Node {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    private static final String CBOR = "application/cbor";
    private static final String TEXT = "text/plain";
    private static final int MAX_PEER_BODY_BYTES = PeerCodec.MAX_BYTES;
    /** Binding is retried because a previous process may still hold the address. */
    private static final int MAX_BIND_RETRIES = 100;

    private static final long BIND_RETRY_INTERVAL_MS = 50;
    private static final int MAX_PEER_CONNECTIONS = 64;
    private static final long PEER_TIMEOUT_MS = 900;
    private static final byte[] EMPTY = new byte[0];
    private static final String INPUT_FAILURE_COUNTER = "input failures";

    private final Settings settings;
    private final EventLoop loop = new EventLoop();
    private final HttpClient peerClient;
    /** Created on first use, because loading Avro would delay the first responses after a restart. */
    private PeerCodec peerCodec;

    private final Metrics metrics = new Metrics();
    private final Controller controller;
    private final OpenRequests openRequests = new OpenRequests(loop, metrics);
    private final EffectExecutor executor;
    private EventLoop.Timer wakeTimer;
    private long wakeAtMs = Long.MAX_VALUE;

    /**
     * Listens on the node's public address and on its internal address for other controllers.
     *
     * @throws IOException if an address cannot be bound
     */
    public Node(Settings settings, Policy policy) throws IOException {
        this.settings = settings;
        ServiceCaller services = new ServiceCaller(
                loop,
                new HttpClient(loop, CBOR, settings.maxSockets() / 10),
                new ServiceCaller.Endpoints(settings.state(), settings.cloud()),
                this::handleCallResult);
        this.executor = new EffectExecutor(loop, openRequests, services, this::publishToPeers, metrics);
        this.peerClient =
                new HttpClient(loop, "avro/binary", 2 * settings.seeds().size());
        this.controller = new Controller(settings, policy, metrics, System.nanoTime());
        // A tenth of the sockets is reserved for outgoing calls.
        listen(settings.publicAddress(), Codec.MAX_BODY, settings.maxSockets() * 8 / 10, this::handleRequest);
        listen(settings.internalAddress(), MAX_PEER_BODY_BYTES, MAX_PEER_CONNECTIONS, this::handlePeerRequest);
    }

    /**
     * Listens on an address, and retries while it is in use: a process restarted at once may find its addresses still held by
     * the previous process, which is being stopped.
     */
    private void listen(InetSocketAddress address, int maxBodyBytes, int maxConnections, HttpServer.Handler handler)
            throws IOException {
        for (int retries = 0; ; retries++) {
            try {
                new HttpServer(loop, address, maxBodyBytes, maxConnections, handler);
                return;
            } catch (BindException e) {
                if (retries == MAX_BIND_RETRIES) {
                    throw new IOException(
                            address + " cannot be bound, retried for "
                                    + MAX_BIND_RETRIES * BIND_RETRY_INTERVAL_MS / 1000 + " s",
                            e);
                }
                sleepBeforeRetry();
            }
        }
    }

    private static void sleepBeforeRetry() throws IOException {
        try {
            Thread.sleep(BIND_RETRY_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for an address in use", e);
        }
    }

    /** Serves until {@link #stop} is called. */
    public void run() throws IOException {
        LOG.info(
                "node started: node={} zone={} address={}", settings.node(), settings.zone(), settings.publicAddress());
        settings.warnings().forEach(LOG::warn);
        loop.onIterationEnd(this::executeEffects);
        handleInput(() -> controller.start(loop.now(), System.currentTimeMillis()));
        executeEffects();
        loop.run();
    }

    /** Stops the node as abruptly as a kill: it sends, answers and writes nothing more. May be called from any thread. */
    public void stop() {
        loop.stop();
    }

    private void handleRequest(HttpMessage message, HttpServer.Responder responder) {
        long id = openRequests.open(route(message.method(), message.target()), responder);
        boolean handled = handleInput(() -> controller.handleRequest(
                loop.now(), System.currentTimeMillis(), id, message.method(), message.target(), message.body()));
        if (!handled) {
            openRequests.fail(id);
        }
    }

    private void handleCallResult(long call, CallResult result) {
        handleInput(() -> controller.handleCallResult(loop.now(), System.currentTimeMillis(), call, result));
    }

    /**
     * Passes an input to the controller. An exception in it is logged and counted, and does not reach the connection or the
     * timer that the input came from.
     *
     * @return whether the input was handled without an exception
     */
    private boolean handleInput(Runnable input) {
        try {
            input.run();
            return true;
        } catch (RuntimeException | StackOverflowError e) {
            recordFailure(e);
            return false;
        } finally {
            controller.drainFailures().forEach(this::recordFailure);
        }
    }

    private void recordFailure(Throwable failure) {
        metrics.increment(INPUT_FAILURE_COUNTER);
        LOG.error("unexpected exception while an input was handled", failure);
    }

    /** Returns the route name used in the metrics, which is the same for all jobs. */
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

    private void handlePeerRequest(HttpMessage message, HttpServer.Responder responder) {
        if (!message.target().equals("/peer") || !message.method().equals("POST")) {
            responder.respond(404, TEXT, EMPTY, 0);
            return;
        }
        try {
            PeerState state = peerCodec().decode(message.body());
            boolean handled =
                    handleInput(() -> controller.handlePeerState(loop.now(), System.currentTimeMillis(), state));
            responder.respond(handled ? 200 : 500, TEXT, EMPTY, 0);
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

    private void publishToPeers(PeerState state) {
        byte[] body = peerCodec().encode(state);
        for (Settings.Seed seed : settings.seeds().values()) {
            peerClient.request(seed.address(), "POST", "/peer", body, PEER_TIMEOUT_MS, outcome -> {});
        }
    }

    /** Executes the effects of the controller until it produces no more, then sets its next timer. */
    private void executeEffects() {
        List<Effect> effects = controller.drainEffects();
        while (!effects.isEmpty()) {
            executor.execute(effects);
            effects = controller.drainEffects();
        }
        scheduleWake();
    }

    /** Sets the timer to the time at which the controller next wants to run. */
    private void scheduleWake() {
        long nextWakeMs = controller.nextWakeAt() == null
                ? Long.MAX_VALUE
                : controller.nextWakeAt().ms();
        if (wakeTimer == null || nextWakeMs != wakeAtMs) {
            if (wakeTimer != null) {
                wakeTimer.cancel();
            }
            wakeAtMs = nextWakeMs;
            wakeTimer = nextWakeMs == Long.MAX_VALUE
                    ? null
                    : loop.schedule(nextWakeMs - loop.now().ms(), () -> {
                        wakeTimer = null;
                        handleInput(() -> controller.handleTimer(loop.now(), System.currentTimeMillis()));
                    });
        }
    }
}
