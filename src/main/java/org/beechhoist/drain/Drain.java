package org.beechhoist.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/**
 * A drain as operators have requested it, stored in the state service under {@code dr/put/NAME}. The selected machines are emptied, all
 * at once or step by step; from the commit of the drain on they get no new work.
 *
 * @param name the name of the drain
 * @param replace whether this is a rolling replacement: machines are emptied in steps and new ones take their place
 * @param with the type of the new machines; null: the type of the old ones
 * @param selector the machines to drain
 * @param limits the number of machines drained at once, and the time for which tasks may run on
 * @param byMs time by which the machines should be empty, in wall clock time; 0: the time at which the least work is lost
 * @param untilMs time from which the machines are used again, in wall clock time; 0: once the drain is aborted
 * @param keep whether machines are kept when they are empty; otherwise they are returned
 * @param pauses the times at which no task is evicted
 * @param state whether the drain runs, is paused or was aborted
 * @param atMs time of the request, in wall clock time
 * @param number the version, which grows with each change
 * @param history the latest changes, oldest first
 */
public record Drain(
        String name,
        boolean replace,
        String with,
        Selector selector,
        DrainLimits limits,
        long byMs,
        long untilMs,
        boolean keep,
        PauseSchedule pauses,
        State state,
        long atMs,
        long number,
        List<Change> history) {
    private static final int MAX_HISTORY_COUNT = 12;
    private static final long MAX_DELAY_S = 30L * 86_400;
    private static final long MS_PER_S = 1000;

    /** The state that operators have set; the names are stored in lower case. */
    public enum State {
        /** Machines are drained. */
        RUNNING,
        /** No further tasks are evicted until the drain is resumed; its machines still get no new work. */
        PAUSED,
        /** The drain is over and its machines are used again. */
        ABORTED;

        String text() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** One change of a drain: the action, the operator, the time and the reason. */
    public record Change(String what, String who, long atMs, String why) {}

    /** Reads and checks a drain from a request; its times are relative to now. */
    public static Drain fromRequest(String name, JsonNode node, long nowMs) throws MalformedMessageException {
        Fields.checkName("name", name);
        boolean replace = Fields.bool(node, "replace");
        boolean keep = Fields.bool(node, "keep");
        String with = Fields.optionalName(node, "with");
        if (with != null && !replace) {
            throw new MalformedMessageException(
                    "with = " + with + ": only machines that are replaced have others in their place");
        }
        if (replace && keep) {
            throw new MalformedMessageException("keep = true: machines that are replaced are returned");
        }
        long byMs = parseRelativeTimeMs(node, "inS", nowMs);
        long untilMs = parseRelativeTimeMs(node, "forS", nowMs);
        if (untilMs > 0 && untilMs < byMs) {
            throw new MalformedMessageException(
                    "forS = " + node.path("forS") + ": at least inS, " + node.path("inS") + ", is expected");
        }
        return new Drain(
                name,
                replace,
                with,
                Selector.parse(node),
                DrainLimits.parse(node, replace),
                byMs,
                untilMs,
                keep,
                PauseSchedule.parse(node),
                State.RUNNING,
                nowMs,
                0,
                List.of());
    }

    /** Reads a number of seconds from now and returns the wall clock time; 0 if the field is absent. */
    private static long parseRelativeTimeMs(JsonNode node, String field, long nowMs) throws MalformedMessageException {
        long seconds = Fields.wholeNumber(node, field, 0, 1, MAX_DELAY_S);
        return seconds == 0 ? 0 : nowMs + MS_PER_S * seconds;
    }

    /** Returns this drain with another schedule of pauses. */
    public Drain withPauses(PauseSchedule schedule) {
        return new Drain(
                name, replace, with, selector, limits, byMs, untilMs, keep, schedule, state, atMs, number, history);
    }

    /**
     * Returns this request as the next version of {@code before}, or as the first version if that is null. Machines that are already being
     * drained stay drained.
     */
    public Drain asNextVersionOf(Drain before, String who, long at, String why) {
        return nextVersion(before, State.RUNNING, before == null ? "put" : "put again", who, at, why);
    }

    /** Returns the next version of this drain, in another state; the change is added to the history. */
    public Drain withState(State next, String what, String who, long at, String why) {
        return nextVersion(this, next, what, who, at, why);
    }

    private Drain nextVersion(Drain before, State next, String what, String who, long at, String why) {
        List<Change> changes = new ArrayList<>(before == null ? List.of() : before.history);
        changes.add(new Change(what, who, at, why));
        List<Change> kept =
                List.copyOf(changes.subList(Math.max(0, changes.size() - MAX_HISTORY_COUNT), changes.size()));
        return new Drain(
                name,
                replace,
                with,
                selector,
                limits,
                byMs,
                untilMs,
                keep,
                pauses,
                next,
                atMs,
                before == null ? 1 : before.number + 1,
                kept);
    }

    /**
     * Returns whether the machines of this drain get no new work now. That holds during a pause too: no task is evicted then, but
     * machines that are being drained still get no new work.
     */
    public boolean blocksNewWork(long nowMs) {
        return state != State.ABORTED && (untilMs == 0 || nowMs < untilMs);
    }

    /** Returns the cause under which its evictions are charged. */
    public Cause cause() {
        return replace ? Cause.ROLLOUT : Cause.DRAIN;
    }

    /** Returns the stored form. */
    public ObjectNode toNode() {
        ObjectNode node = Codec.map()
                .put("name", name)
                .put("state", state.text())
                .put("replace", replace)
                .put("with", with)
                .put("keep", keep)
                .put("by", byMs)
                .put("until", untilMs)
                .put("at", atMs)
                .put("number", number);
        selector.writeTo(node);
        limits.writeTo(node, replace);
        pauses.writeTo(node);
        ArrayNode changes = node.putArray("history");
        history.forEach(change -> changes.addObject()
                .put("what", change.what)
                .put("who", change.who)
                .put("at", change.atMs)
                .put("why", change.why));
        return node;
    }

    /** Reads the stored form. */
    public static Drain parse(JsonNode node) throws MalformedMessageException {
        if (node == null || !node.isObject()) {
            throw new MalformedMessageException("not a drain");
        }
        String name = Codec.text(node, "name");
        boolean replace = Codec.bool(node, "replace");
        State state;
        try {
            state = State.valueOf(Codec.text(node, "state").toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException(
                    "state = " + node.path("state").asText() + ": running, paused or aborted is expected");
        }
        List<Change> history = new ArrayList<>();
        for (JsonNode change : node.path("history")) {
            history.add(new Change(
                    Codec.text(change, "what"),
                    Codec.text(change, "who"),
                    change.path("at").asLong(),
                    Codec.text(change, "why")));
        }
        return new Drain(
                name,
                replace,
                Codec.isAbsent(node, "with") ? null : Codec.text(node, "with"),
                Selector.parse(node),
                DrainLimits.parse(node, replace),
                node.path("by").asLong(),
                node.path("until").asLong(),
                Codec.bool(node, "keep"),
                PauseSchedule.parse(node),
                state,
                node.path("at").asLong(),
                Codec.wholeNumber(node, "number", 1, Long.MAX_VALUE),
                history);
    }
}
