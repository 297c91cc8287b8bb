package org.beechhoist.controller;

import java.util.List;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.context.Effect;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.metrics.Metrics;
import org.beechhoist.peer.PeerState;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.MonotonicTime;

/**
 * One controller node as a state machine. Its inputs are requests, results of calls, messages of peers and the passing
 * of time, each with the readings of the clocks; {@link #drainEffects} returns the resulting effects after each input.
 * It does no I/O and reads no clock.
 */
public final class Controller {
    private static final long RUN_INTERVAL_MS = 500;
    private static final long PUBLISH_INTERVAL_MS = 1000;

    private final ControllerContext context;
    private final ControllerComponents components;
    private final LeaderElection election;
    private final Leader leader;
    private final RequestLimitDivider limits;
    private final PeerExchange peerExchange;
    private MonotonicTime nextPublishAt = MonotonicTime.ZERO;

    /**
     * Creates a node that has not started.
     *
     * @param seed seeds the random moves of the plan search
     */
    public Controller(Settings settings, Policy policy, Metrics metrics, long seed) {
        this.components = new ControllerComponents(settings, policy, metrics, seed);
        this.context = components.context;
        this.election = components.election;
        this.leader = components.leader;
        this.limits = components.limits;
        this.peerExchange = components.peerExchange;
    }

    /** Starts the node: the first input, once. */
    public void start(MonotonicTime now, long wallMs) {
        context.beginInput(now, wallMs);
        nextPublishAt = now.plusMs(PUBLISH_INTERVAL_MS);
        components.machineTypes.start();
        components.features.start();
        election.start();
        runPeriodic();
    }

    /** Runs the timers that are due. */
    public void handleTimer(MonotonicTime now, long wallMs) {
        beginInput(now, wallMs);
        context.runDueTimers();
        settleInput();
    }

    /** Returns the latest time at which {@link #handleTimer} should be called next. */
    public MonotonicTime nextWakeAt() {
        MonotonicTime deadline = context.nextTimerAt();
        if (leader.hasPendingPlanning()
                && (deadline == null || leader.nextPlanningAt().isBefore(deadline))) {
            return leader.nextPlanningAt();
        }
        return deadline;
    }

    /** Returns the effects since the last call, in order. */
    public List<Effect> drainEffects() {
        return context.drainEffects();
    }

    /**
     * Returns the unexpected exceptions since the last call. The steps that they ended were given up; the others were run.
     */
    public List<Throwable> drainFailures() {
        return context.drainFailures();
    }

    /** Handles the result of a call that an {@link Effect} requested. */
    public void handleCallResult(MonotonicTime now, long wallMs, long call, CallResult result) {
        beginInput(now, wallMs);
        context.completeCall(call, result);
        context.runDueTimers();
        settleInput();
    }

    /** Handles the state that another controller has sent. */
    public void handlePeerState(MonotonicTime now, long wallMs, PeerState state) {
        beginInput(now, wallMs);
        peerExchange.receive(state);
    }

    /**
     * Handles a request on the public address. Each is answered with one {@link Effect.Respond}, possibly later; if this throws
     * an exception, the caller answers.
     */
    public void handleRequest(MonotonicTime now, long wallMs, long id, String method, String target, byte[] body) {
        beginInput(now, wallMs);
        context.runDueTimers();
        try {
            components.router.route(ApiRequest.of(id, method, target, body));
        } finally {
            settleInput();
        }
    }

    /**
     * Begins an input. A leader that was suspended and has lost its lease resumes with a leader's share of the request
     * limits, to which it is no longer entitled, and with all user requests that arrived meanwhile; the limits are
     * divided again first.
     */
    private void beginInput(MonotonicTime now, long wallMs) {
        context.beginInput(now, wallMs);
        if (limits.hasLeaderShare() && !election.holdsLease()) {
            limits.divide(false);
        }
    }

    private void settleInput() {
        leader.completeInput();
        context.runGuarded(peerExchange::acknowledgeCancellations);
    }

    private void runPeriodic() {
        leader.runPeriodic();
        if (!context.now().isBefore(nextPublishAt)) {
            nextPublishAt = context.now().plusMs(PUBLISH_INTERVAL_MS);
            context.runGuarded(this::publishState);
        }
        context.schedule(RUN_INTERVAL_MS, this::runPeriodic);
    }

    private void publishState() {
        limits.updateDemand(leader.pendingWrites());
        limits.divide(election.holdsLease());
        peerExchange.publishPeriodically();
    }
}
