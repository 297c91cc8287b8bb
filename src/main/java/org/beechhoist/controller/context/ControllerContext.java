package org.beechhoist.core;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.beechhoist.peer.PeerState;
import org.beechhoist.wire.Calls;
import org.beechhoist.wire.Outcome;
import org.beechhoist.wire.Tick;

/** The core's view of the input it works on: the time, the effects so far, and calls and deadlines that wait. */
final class Turn implements Calls {
    private record Timer(Tick at, long order, Runnable action) {}

    private static final double FADES = 0.9;

    private Tick now = Tick.ZERO;
    private static final long LATE_MS = 1000;
    private double lateMs;
    private long wallMs;
    private long nextId = 1;
    private List<Effect> effects = new ArrayList<>();
    private final Map<Long, Consumer<Outcome>> waiting = new HashMap<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((a, b) -> a.at.equals(b.at) ? Long.compare(a.order, b.order) : a.at.compareTo(b.at));

    void begin(Tick at, long wall) {
        now = at.before(now) ? now : at;
        wallMs = wall;
    }

    Tick now() {
        return now;
    }

    long wallMs() {
        return wallMs;
    }

    void answer(long request, int status, JsonNode body) {
        effects.add(new Effect.Answer(request, status, body, status == 503 || status == 429 ? 1 : 0));
    }

    /** The answer is a command, or lets one's right to command last: it counts only before {@code until}. */
    void answer(long request, int status, JsonNode body, Tick until) {
        effects.add(new Effect.Answer(request, status, body, 0, until));
    }

    void tell(PeerState state) {
        effects.add(new Effect.Tell(state));
    }

    @Override
    public void call(
            Target target,
            String address,
            String method,
            String path,
            JsonNode body,
            long timeoutMs,
            Consumer<Outcome> then) {
        command(null, target, address, method, path, body, timeoutMs, then);
    }

    /** A call that is sent before {@code until} or not at all; {@link Outcome#NOT_SENT} then. */
    void command(
            Tick until,
            Target target,
            String address,
            String method,
            String path,
            JsonNode body,
            long timeoutMs,
            Consumer<Outcome> then) {
        long id = nextId++;
        waiting.put(id, then);
        effects.add(new Effect.Call(id, target, address, method, path, body, timeoutMs, until));
    }

    void outcome(long id, Outcome result) {
        Consumer<Outcome> then = waiting.remove(id);
        if (then != null) {
            then.accept(result);
        }
    }

    void after(long ms, Runnable action) {
        timers.add(new Timer(now.plusMs(ms), nextId++, action));
    }

    /** When the next deadline is due, or null. */
    Tick nextTimer() {
        return timers.isEmpty() ? null : timers.peek().at;
    }

    void runTimers() {
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
    boolean late() {
        return lateMs > LATE_MS;
    }

    /** How late deadlines have lately been met: a node that has used its share of the processor falls behind. */
    long lateMs() {
        return Math.round(lateMs);
    }

    List<Effect> drain() {
        List<Effect> out = effects;
        effects = new ArrayList<>();
        return out;
    }
}
