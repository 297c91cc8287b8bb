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

    private static final double FADES = 0.9;

    private MonotonicTime now = MonotonicTime.ZERO;
    private static final long LATE_MS = 1000;
    private double lateMs;
    private long wallMs;
    private long nextId = 1;
    private List<Effect> effects = new ArrayList<>();
    private final Map<Long, Consumer<CallResult>> waiting = new HashMap<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((a, b) -> a.at.equals(b.at) ? Long.compare(a.order, b.order) : a.at.compareTo(b.at));

    public void begin(MonotonicTime at, long wall) {
        now = at.before(now) ? now : at;
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

    public void tell(PeerState state) {
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
        command(null, target, address, method, path, body, timeoutMs, then);
    }

    /** A call that is sent before {@code until} or not at all; {@link CallResult#NOT_SENT} then. */
    public void command(
            MonotonicTime until,
            Target target,
            String address,
            String method,
            String path,
            JsonNode body,
            long timeoutMs,
            Consumer<CallResult> then) {
        long id = nextId++;
        waiting.put(id, then);
        effects.add(new Effect.Call(id, target, address, method, path, body, timeoutMs, until));
    }

    public void outcome(long id, CallResult result) {
        Consumer<CallResult> then = waiting.remove(id);
        if (then != null) {
            then.accept(result);
        }
    }

    public void after(long ms, Runnable action) {
        timers.add(new Timer(now.plusMs(ms), nextId++, action));
    }

    /** When the next deadline is due, or null. */
    public MonotonicTime nextTimer() {
        return timers.isEmpty() ? null : timers.peek().at;
    }

    public void runTimers() {
        boolean first = true;
        while (!timers.isEmpty() && !now.before(timers.peek().at)) {
            Timer timer = timers.poll();
            if (first) {
                // The longest wait of those due; it fades, for one slow turn says little of the next.
                lateMs = Math.max(FADES * lateMs, now.since(timer.at));
                first = false;
            }
            timer.action.run();
        }
    }

    /** Whether this node is so far behind that what others don't seem to answer says nothing of them. */
    public boolean late() {
        return lateMs > LATE_MS;
    }

    /** How late deadlines have lately been met: a node that has used its share of the processor falls behind. */
    public long lateMs() {
        return Math.round(lateMs);
    }

    public List<Effect> drain() {
        List<Effect> out = effects;
        effects = new ArrayList<>();
        return out;
    }
}
