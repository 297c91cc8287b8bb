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
 * What operators have asked for, as the state service holds it: {@code dr/put/NAME}. Machines are emptied, at once or in steps; from
 * its commit on they get no new work.
 *
 * @param replace in steps, and others take their place
 * @param with the type of machine that takes their place; null: the same
 * @param byMs by then they should be empty, by the time of day; 0: whenever it loses least
 * @param untilMs from then on they are used again; 0: until it is undone
 * @param keep whether machines stay when they are empty; else they are returned
 * @param atMs when it was put
 * @param number grows with each change
 */
public record Drain(
        String name,
        boolean replace,
        String with,
        Selector which,
        Pace pace,
        long byMs,
        long untilMs,
        boolean keep,
        Rest rest,
        State state,
        long atMs,
        long number,
        List<Past> history) {
    private static final int MOST_HISTORY = 12;
    private static final long LONGEST_S = 30L * 86_400;

    /** What people want of it. */
    public enum State {
        RUNNING,
        PAUSED,
        ABORTED;

        String text() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** One change: what, who, when and why. */
    public record Past(String what, String who, long atMs, String why) {}

    /** What a person puts, checked; times count from now. */
    public static Drain described(String name, JsonNode node, long nowMs) throws MalformedMessageException {
        Fields.name("name", name);
        boolean replace = Fields.flag(node, "replace");
        boolean keep = Fields.flag(node, "keep");
        String with = Fields.text(node, "with");
        if (with != null && !replace) {
            throw new MalformedMessageException(
                    "with = " + with + ": only machines that are replaced have others in their place");
        }
        if (replace && keep) {
            throw new MalformedMessageException("keep = true: machines that are replaced are returned");
        }
        long by = seconds(node, "inS", nowMs);
        long until = seconds(node, "forS", nowMs);
        if (until > 0 && until < by) {
            throw new MalformedMessageException(
                    "forS = " + node.path("forS") + ": at least inS, " + node.path("inS") + ", is expected");
        }
        return new Drain(
                name,
                replace,
                with,
                Selector.parse(node),
                Pace.parse(node, replace),
                by,
                until,
                keep,
                Rest.parse(node),
                State.RUNNING,
                nowMs,
                0,
                List.of());
    }

    private static long seconds(JsonNode node, String field, long nowMs) throws MalformedMessageException {
        long s = Fields.count(node, field, 0, 1, LONGEST_S);
        return s == 0 ? 0 : nowMs + 1000 * s;
    }

    public Drain with(Rest other) {
        return new Drain(name, replace, with, which, pace, byMs, untilMs, keep, other, state, atMs, number, history);
    }

    /** The change of this drain that makes it what is described; what has begun stays in hand. */
    public Drain put(Drain before, String who, long at, String why) {
        return changed(before, State.RUNNING, before == null ? "put" : "put again", who, at, why);
    }

    public Drain to(State next, String what, String who, long at, String why) {
        return changed(this, next, what, who, at, why);
    }

    private Drain changed(Drain before, State next, String what, String who, long at, String why) {
        List<Past> past = new ArrayList<>(before == null ? List.of() : before.history);
        past.add(new Past(what, who, at, why));
        List<Past> kept = List.copyOf(past.subList(Math.max(0, past.size() - MOST_HISTORY), past.size()));
        return new Drain(
                name,
                replace,
                with,
                which,
                pace,
                byMs,
                untilMs,
                keep,
                rest,
                next,
                atMs,
                before == null ? 1 : before.number + 1,
                kept);
    }

    /** Whether its machines get no new work: a pause stops nobody, but what is in hand stays in hand. */
    public boolean holds(long nowMs) {
        return state != State.ABORTED && (untilMs == 0 || nowMs < untilMs);
    }

    public Cause cause() {
        return replace ? Cause.ROLLOUT : Cause.DRAIN;
    }

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
        which.into(node);
        pace.into(node, replace);
        rest.into(node);
        ArrayNode past = node.putArray("history");
        history.forEach(earlier -> past.addObject()
                .put("what", earlier.what)
                .put("who", earlier.who)
                .put("at", earlier.atMs)
                .put("why", earlier.why));
        return node;
    }

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
        List<Past> history = new ArrayList<>();
        for (JsonNode earlier : node.path("history")) {
            history.add(new Past(
                    Codec.text(earlier, "what"),
                    Codec.text(earlier, "who"),
                    earlier.path("at").asLong(),
                    Codec.text(earlier, "why")));
        }
        return new Drain(
                name,
                replace,
                Codec.isAbsent(node, "with") ? null : Codec.text(node, "with"),
                Selector.parse(node),
                Pace.parse(node, replace),
                node.path("by").asLong(),
                node.path("until").asLong(),
                Codec.bool(node, "keep"),
                Rest.parse(node),
                state,
                node.path("at").asLong(),
                Codec.wholeNumber(node, "number", 1, Long.MAX_VALUE),
                history);
    }
}
