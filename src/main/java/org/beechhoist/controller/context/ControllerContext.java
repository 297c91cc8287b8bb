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

    /** By how much the measured lag fades with each group of due timers. */
    private static final double LAG_DECAY = 0.9;

    /** From this lag on, missing answers of others prove nothing. */
    private static final long LAGGING_MS = 1000;

    private MonotonicTime now = MonotonicTime.ZERO;
    private double lagMs;
    private long wallMs;
    private long nextId = 1;
    private List<Effect> effects = new ArrayList<>();
    private final Map<Long, Consumer<CallResult>> pendingCalls = new HashMap<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((a, b) -> a.at.equals(b.at) ? Long.compare(a.order, b.order) : a.at.compareTo(b.at));

    /**
     * Begins the processing of an input.
     *
     * @param at the monotonic time of the input; the time never goes back, so an earlier one leaves it as it is
     * @param wall the time of day in milliseconds
     */
    public void beginInput(MonotonicTime at, long wall) {
        now = at.isBefore(now) ? now : at;
        wallMs = wall;
    }

    /** The monotonic time of the current input. */
    public MonotonicTime now() {
        return now;
    }

    /** The time of day of the current input, in milliseconds. */
    public long wallMs() {
        return wallMs;
    }

    /** Answers a request; with status 503 or 429 the client is asked to retry after a second. */
    public void respond(long request, int status, JsonNode body) {
        effects.add(new Effect.Respond(request, status, body, status == 503 || status == 429 ? 1 : 0));
    }

    /** Answers a request with a command, or with an extension of a worker's lease: valid only before {@code until}. */
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
     * Calls another service before {@code until} (null: no bound) or not at all; the result is {@link CallResult#NOT_SENT}
     * then.
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

    /** Hands the result of the call {@code id} to whoever made it; the result of an unknown call is ignored. */
    public void completeCall(long id, CallResult result) {
        Consumer<CallResult> then = pendingCalls.remove(id);
        if (then != null) {
            then.accept(result);
        }
    }

    /** Runs the action in {@code ms} milliseconds; actions of the same time run in the order in which they were scheduled. */
    public void schedule(long ms, Runnable action) {
        timers.add(new Timer(now.plusMs(ms), nextId++, action));
    }

    /** When the next timer is due, or null where there is none. */
    public MonotonicTime nextTimerAt() {
        return timers.isEmpty() ? null : timers.peek().at;
    }

    /** Runs the actions of all timers that are due, those included that these actions schedule for now. */
    public void runDueTimers() {
        boolean first = true;
        while (!timers.isEmpty() && !now.isBefore(timers.peek().at)) {
            Timer timer = timers.poll();
            if (first) {
                // The delay of the timer that is longest overdue. It fades, for one slow input says little of the next.
                lagMs = Math.max(LAG_DECAY * lagMs, now.since(timer.at));
                first = false;
            }
            timer.action.run();
        }
    }

    /** Whether this node is so far behind that missing answers prove nothing about the machines and nodes that owe them. */
    public boolean isLagging() {
        return lagMs > LAGGING_MS;
    }

    /** How late timers have lately run, in milliseconds: a node that has used up its share of the processor falls behind. */
    public long lagMs() {
        return Math.round(lagMs);
    }

    /** Returns the effects since the last call, in the order in which they were caused, and forgets them. */
    public List<Effect> drainEffects() {
        List<Effect> out = effects;
        effects = new ArrayList<>();
        return out;
    }
}
