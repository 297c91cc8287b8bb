package org.beechhoist.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/**
 * How much of a team's work, or of one of its classes, may be disturbed on purpose.
 *
 * @param team {@link #DEFAULT}: of every team that has none of its own
 * @param jobClass null: all of the team's
 * @param atOnce tasks that may be away at once; 0: never
 * @param lostCpuSPerHour work thrown away, in CPU seconds, in the last hour; what happened by itself counts
 * @param leastUp the share of a service's replicas that stay up; null: all but one. 1: they are never moved
 * @param againS how often one task may be disturbed
 * @param number grows with each change
 */
public record DisruptionBudget(
        String team,
        String jobClass,
        int atOnce,
        double lostCpuSPerHour,
        Double leastUp,
        long againS,
        String who,
        long atMs,
        String why,
        long number) {
    public static final String DEFAULT = "default";
    /** What teams have that nobody has spoken of. */
    public static final DisruptionBudget USUAL =
            new DisruptionBudget(DEFAULT, null, 10, 20_000, null, 300, "", 0, "", 0);

    public static final int MOST_AT_ONCE = 60;
    /** Accounts remember a task for so long. */
    public static final long MOST_AGAIN_S = 3600;

    private static final double MOST_LOST = 1e9;

    /** The name that it goes by: the team's, or the team's and the class's. */
    public String key() {
        return key(team, jobClass);
    }

    public static String key(String team, String jobClass) {
        return jobClass == null ? team : team + "~" + jobClass;
    }

    /** What a person puts, checked; what is left out is as {@link #USUAL} says. */
    public static DisruptionBudget described(JsonNode node, String who, long atMs, String why, long number)
            throws MalformedMessageException {
        String team = Fields.name("team", Codec.text(node, "team"));
        String jobClass = Fields.text(node, "class");
        if (team.equals(DEFAULT) && jobClass != null) {
            throw new MalformedMessageException("class = " + jobClass + ": the default is for all classes");
        }
        int atOnce = (int) Fields.count(node, "atOnce", USUAL.atOnce, 0, MOST_AT_ONCE);
        double lost = Fields.number(node, "lostCpuSPerHour", USUAL.lostCpuSPerHour, 0, MOST_LOST);
        Double up = Codec.isAbsent(node, "leastUp") ? null : Double.valueOf(Fields.number(node, "leastUp", 1, 0, 1));
        return new DisruptionBudget(
                team,
                jobClass,
                atOnce,
                lost,
                up,
                Fields.count(node, "againS", USUAL.againS, 0, MOST_AGAIN_S),
                who,
                atMs,
                why,
                number);
    }

    /** How many of a service's replicas may be away. */
    public int mayBeAway(int replicas) {
        return leastUp == null ? 1 : (int) Math.floor(replicas * (1 - leastUp) + 1e-9);
    }

    public ObjectNode toNode() {
        return Codec.map()
                .put("team", team)
                .put("class", jobClass)
                .put("atOnce", atOnce)
                .put("lostCpuSPerHour", lostCpuSPerHour)
                .put("leastUp", leastUp)
                .put("againS", againS)
                .put("who", who)
                .put("at", atMs)
                .put("why", why)
                .put("number", number);
    }

    public static DisruptionBudget parse(JsonNode node) throws MalformedMessageException {
        if (node == null || !node.isObject()) {
            throw new MalformedMessageException("not a budget");
        }
        return described(
                node,
                Codec.text(node, "who"),
                node.path("at").asLong(),
                Codec.text(node, "why"),
                Codec.wholeNumber(node, "number", 1, Long.MAX_VALUE));
    }
}
