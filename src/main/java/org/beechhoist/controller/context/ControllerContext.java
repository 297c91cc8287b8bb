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

/** The core's view of the input it works on: the time, the effects so far, and calls and deadlines that wait. */
public final class ControllerContext implements ServiceCalls {
    private record Timer(MonotonicTime at, long order, Runnable action) {}

    private static final double LAG_DECAY = 0.9;

    private MonotonicTime now = MonotonicTime.ZERO;
    private static final long LAGGING_MS = 1000;
    private double lagMs;
    private long wallMs;
    private long nextId = 1;
    private List<Effect> effects = new ArrayList<>();
    private final Map<Long, Consumer<CallResult>> pendingCalls = new HashMap<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((a, b) -> a.at.equals(b.at) ? Long.compare(a.order, b.order) : a.at.compareTo(b.at));

    public void beginInput(MonotonicTime at, long wall) {
        now = at.isBefore(now) ? now : at;
        wallMs = wall;
    }

    public MonotonicTime now() {
        return now;
    }

    public long wallMs() {
        return wallMs;
    }

    public void answer(long request, int status, JsonNode body) {
        effects.add(new Effect.Answer(request, status, body, status == 503 || status == 429 ? 1 : 0));
    }

    /** The answer is a command, or lets one's right to command last: it counts only before {@code until}. */
    public void answer(long request, int status, JsonNode body, MonotonicTime until) {
        effects.add(new Effect.Answer(request, status, body, 0, until));
    }

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
        callBefore(null, target, address, method, path, body, timeoutMs, then);
    }

    /** A call that is sent before {@code until} or not at all; {@link CallResult#NOT_SENT} then. */
    public void callBefore(
            MonotonicTime until,
            Target target,
            String address,
            String method,
            String path,
            JsonNode body,
            long timeoutMs,
            Consumer<CallResult> then) {
        long id = nextId++;
        pendingCalls.put(id, then);
        effects.add(new Effect.Call(id, target, address, method, path, body, timeoutMs, until));
    }

    public void completeCall(long id, CallResult result) {
        Consumer<CallResult> then = pendingCalls.remove(id);
        if (then != null) {
            then.accept(result);
        }
    }

    public void schedule(long ms, Runnable action) {
        timers.add(new Timer(now.plusMs(ms), nextId++, action));
    }

    /** When the next deadline is due, or null. */
    public MonotonicTime nextDeadline() {
        return timers.isEmpty() ? null : timers.peek().at;
    }

    public void runDueTimers() {
        boolean first = true;
        while (!timers.isEmpty() && !now.isBefore(timers.peek().at)) {
            Timer timer = timers.poll();
            if (first) {
                // The longest wait of those due; it fades, for one slow turn says little of the next.
                lagMs = Math.max(LAG_DECAY * lagMs, now.since(timer.at));
                first = false;
            }
            timer.action.run();
        }
    }

    /** Whether this node is so far behind that what others don't seem to answer says nothing of them. */
    public boolean isLagging() {
        return lagMs > LAGGING_MS;
    }

    /** How late deadlines have lately been met: a node that has used its share of the processor falls behind. */
    public long lagMs() {
        return Math.round(lagMs);
    }

    public List<Effect> drainEffects() {
        List<Effect> out = effects;
        effects = new ArrayList<>();
        return out;
    }
}
