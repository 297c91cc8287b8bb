package org.beechhoist.daemon;

import java.util.List;
import java.util.function.Consumer;
import org.beechhoist.controller.context.Effect;
import org.beechhoist.metrics.Metrics;
import org.beechhoist.net.EventLoop;
import org.beechhoist.peer.PeerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out the controller's effects in order. One that fails, such as an answer or a transaction that can't be encoded, is
 * logged and counted, and the others are carried out: its request is answered with 500, and its call has a result.
 */
final class EffectExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(EffectExecutor.class);
    private static final String FAILURE_COUNTER = "effect failures";

    private final EventLoop loop;
    private final OpenRequests requests;
    private final ServiceCaller services;
    private final Consumer<PeerState> peers;
    private final Metrics metrics;

    /** Creates an executor; {@code peers} sends this node's state to the other controllers. */
    EffectExecutor(
            EventLoop loop, OpenRequests requests, ServiceCaller services, Consumer<PeerState> peers, Metrics metrics) {
        this.loop = loop;
        this.requests = requests;
        this.services = services;
        this.peers = peers;
        this.metrics = metrics;
    }

    /** Carries out the effects of an input. */
    void execute(List<Effect> effects) {
        for (Effect effect : effects) {
            try {
                execute(effect);
            } catch (RuntimeException | StackOverflowError e) {
                metrics.increment(FAILURE_COUNTER);
                LOG.error("effect failed: {}", describe(effect), e);
                answerFailed(effect);
            }
        }
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.Respond respond) {
            Effect.Respond response = respond.asOf(loop.now());
            requests.respond(response.request(), response.status(), response.body(), response.retryAfterS());
        } else if (effect instanceof Effect.Call call) {
            services.send(call);
        } else if (effect instanceof Effect.PublishToPeers publish) {
            peers.accept(publish.state());
        }
    }

    private void answerFailed(Effect effect) {
        if (effect instanceof Effect.Respond respond) {
            requests.fail(respond.request());
        }
    }

    /** Returns what the effect is, without its data, which may be what it failed for. */
    private static String describe(Effect effect) {
        if (effect instanceof Effect.Respond respond) {
            return "kind=response status=" + respond.status();
        }
        if (effect instanceof Effect.Call call) {
            return "kind=call target=" + call.target() + " method=" + call.method() + " path=" + call.path();
        }
        return "kind=peer-state";
    }
}
