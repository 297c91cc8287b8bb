package org.beechhoist.controller.context;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.beechhoist.peer.PeerState;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.ServiceCalls;

/**
 * The state of the input that the core is processing: its time, the effects it has caused so far, pending calls and timers.
 */
public final class ControllerContext implements ServiceCalls {
    private record Timer(MonotonicTime at, long order, Runnable action) {}

    /** The factor by which the recorded lag decreases with each group of due timers. */
    private static final double LAG_DECAY = 0.9;

    /** Above this lag, missing responses say nothing about the nodes and machines that owe them. */
    private static final long LAGGING_MS = 1000;

    private MonotonicTime now = MonotonicTime.ZERO;
    private double lagMs;
    private long wallMs;
    private long nextId = 1;
    private List<Effect> effects = new ArrayList<>();
    private List<Throwable> failures = new ArrayList<>();
    private Runnable failureHandler = () -> {};
    private boolean handlingFailure;
    private final Map<Long, Consumer<CallResult>> pendingCalls = new HashMap<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((a, b) -> a.at.equals(b.at) ? Long.compare(a.order, b.order) : a.at.compareTo(b.at));

    /**
     * Begins the processing of an input.
     *
     * @param at the monotonic time of the input; an earlier time than the current one is ignored, so that time never
     *     goes back
     * @param wall the time of day in milliseconds
     */
    public void beginInput(MonotonicTime at, long wall) {
        now = at.isBefore(now) ? now : at;
        wallMs = wall;
    }

    /** Returns the monotonic time of the current input. */
    public MonotonicTime now() {
        return now;
    }

    /** Returns the time of day of the current input, in milliseconds. */
    public long wallMs() {
        return wallMs;
    }

    /** Responds to a request; with status 503 or 429 the client is asked to retry after a second. */
    public void respond(long request, int status, JsonNode body) {
        effects.add(new Effect.Respond(request, status, body, status == 503 || status == 429 ? 1 : 0));
    }

    /**
     * Responds to a request with a command, or with an extension of a worker's lease: valid only before {@code until}.
     */
    public void respond(long request, int status, JsonNode body, MonotonicTime until) {
        effects.add(new Effect.Respond(request, status, body, 0, until));
    }

    /** Sends this node's state to the other controllers. */
    public void publishToPeers(PeerState state) {
        effects.add(new Effect.PublishToPeers(state));
    }

    @Override
    public void call(
            Target target,
            String address,
            String method,
            String path,
            JsonNode body,
            long timeoutMs,
            Consumer<CallResult> then) {
        callBefore(null, new ServiceRequest(target, address, method, path, body, timeoutMs), then);
    }

    /**
     * Calls another service before {@code until} (null: no bound). A call that was not sent by then has the result
     * {@link CallResult#NOT_SENT}.
     */
    public void callBefore(MonotonicTime until, ServiceRequest request, Consumer<CallResult> then) {
        long id = nextId++;
        pendingCalls.put(id, then);
        effects.add(new Effect.Call(
                id,
                request.target(),
                request.address(),
                request.method(),
                request.path(),
                request.body(),
                request.timeoutMs(),
                until));
    }

    /** Passes the result of the call {@code id} to its callback; the result of an unknown call is ignored. */
    public void completeCall(long id, CallResult result) {
        Consumer<CallResult> then = pendingCalls.remove(id);
        if (then != null) {
            runGuarded(() -> then.accept(result));
        }
    }

    /** Runs the action in {@code ms} milliseconds; actions of the same time run in the order in which they were scheduled. */
    public void schedule(long ms, Runnable action) {
        timers.add(new Timer(now.plusMs(ms), nextId++, action));
    }

    /** Returns the time at which the next timer is due; null if there is none. */
    public MonotonicTime nextTimerAt() {
        return timers.isEmpty() ? null : timers.peek().at;
    }

    /** Runs the actions of all timers that are due, including those that these actions schedule for now. */
    public void runDueTimers() {
        boolean first = true;
        while (!timers.isEmpty() && !now.isBefore(timers.peek().at)) {
            Timer timer = timers.poll();
            if (first) {
                // The delay of the timer that is longest overdue. It decays, because one slow input says little about
                // the next.
                lagMs = Math.max(LAG_DECAY * lagMs, now.since(timer.at));
                first = false;
            }
            runGuarded(timer.action);
        }
    }

    /**
     * Returns whether this node lags so much that missing responses say nothing about the machines and nodes that owe
     * them.
     */
    public boolean isLagging() {
        return lagMs > LAGGING_MS;
    }

    /** Returns the recent delay of timers in milliseconds: a node that has used up its processor quota lags. */
    public long lagMs() {
        return Math.round(lagMs);
    }

    /**
     * Runs one of several steps that do not depend on one another: an exception in it is recorded, and the caller goes on with
     * the others. Each timer and each callback of a call runs so.
     */
    public void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | StackOverflowError e) {
            failures.add(e);
            handleFailure();
        }
    }

    private void handleFailure() {
        if (handlingFailure) {
            return; // the handler itself has failed
        }
        handlingFailure = true;
        runGuarded(failureHandler);
        handlingFailure = false;
    }

    /** Sets what is done at once when a step has failed. */
    public void onFailure(Runnable handler) {
        failureHandler = handler;
    }

    /** Returns the exceptions of failed steps since the last call, and removes them. There are none as long as the program is correct. */
    public List<Throwable> drainFailures() {
        List<Throwable> out = failures;
        if (!out.isEmpty()) {
            failures = new ArrayList<>();
        }
        return out;
    }

    /** Returns the effects since the last call, in the order in which they were caused, and removes them. */
    public List<Effect> drainEffects() {
        List<Effect> out = effects;
        effects = new ArrayList<>();
        return out;
    }
}
