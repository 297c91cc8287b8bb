package org.beechhoist.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/**
 * A limit on the work of a team, or of one of its classes, that may be disrupted on purpose.
 *
 * @param team the team; {@link #DEFAULT} for every team that has no budget of its own
 * @param jobClass the class; null for all classes of the team
 * @param atOnce number of tasks that may be away at once; 0: none
 * @param lostCpuSPerHour CPU seconds of work that may be lost in an hour; losses that were not on purpose count too
 * @param leastUp the share of a service's replicas that stay up; null: all but one; 1: replicas are never disrupted
 * @param againS minimum time between two disruptions of one task, in seconds
 * @param who the operator who declared the budget
 * @param atMs time of the declaration, in wall clock time
 * @param why the reason that was given
 * @param number the version, which grows with each change
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
    /** Name of the team whose budget applies to every team without one. */
    public static final String DEFAULT = "default";
    /** The budget of teams for which none is declared, not even a default. */
    public static final DisruptionBudget FALLBACK =
            new DisruptionBudget(DEFAULT, null, 10, 20_000, null, 300, "", 0, "", 0);

    /** Largest {@code atOnce} that can be declared. */
    public static final int MAX_AT_ONCE = 60;
    /** Largest {@code againS} that can be declared; accounts remember disruptions of a task for this long. */
    public static final long MAX_AGAIN_S = 3600;

    private static final double MAX_LOST_CPU_S_PER_HOUR = 1e9;
    /** Keeps a product that should be a whole number from being rounded down to the one below. */
    private static final double ROUNDING_ERROR = 1e-9;

    /** Returns the key of the budget: the team, or the team and the class. */
    public String key() {
        return key(team, jobClass);
    }

    /** Returns the key of the budget of a team, or of one of its classes if {@code jobClass} is not null. */
    public static String key(String team, String jobClass) {
        return jobClass == null ? team : team + "~" + jobClass;
    }

    /** Reads and checks a budget from a request; absent fields have the values of {@link #FALLBACK}. */
    public static DisruptionBudget fromRequest(JsonNode node, String who, long atMs, String why, long number)
            throws MalformedMessageException {
        String team = Fields.checkName("team", Codec.text(node, "team"));
        String jobClass = Fields.optionalName(node, "class");
        if (team.equals(DEFAULT) && jobClass != null) {
            throw new MalformedMessageException("class = " + jobClass + ": the default is for all classes");
        }
        int atOnce = (int) Fields.wholeNumber(node, "atOnce", FALLBACK.atOnce, 0, MAX_AT_ONCE);
        double lostCpuSPerHour =
                Fields.number(node, "lostCpuSPerHour", FALLBACK.lostCpuSPerHour, 0, MAX_LOST_CPU_S_PER_HOUR);
        Double leastUp =
                Codec.isAbsent(node, "leastUp") ? null : Double.valueOf(Fields.number(node, "leastUp", 1, 0, 1));
        return new DisruptionBudget(
                team,
                jobClass,
                atOnce,
                lostCpuSPerHour,
                leastUp,
                Fields.wholeNumber(node, "againS", FALLBACK.againS, 0, MAX_AGAIN_S),
                who,
                atMs,
                why,
                number);
    }

    /** Returns the largest number of a service's replicas that may be away at once. */
    public int maxReplicasAway(int replicas) {
        return leastUp == null ? 1 : (int) Math.floor(replicas * (1 - leastUp) + ROUNDING_ERROR);
    }

    /** Returns the stored form. */
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

    /** Reads the stored form. */
    public static DisruptionBudget parse(JsonNode node) throws MalformedMessageException {
        if (node == null || !node.isObject()) {
            throw new MalformedMessageException("not a budget");
        }
        return fromRequest(
                node,
                Codec.text(node, "who"),
                node.path("at").asLong(),
                Codec.text(node, "why"),
                Codec.wholeNumber(node, "number", 1, Long.MAX_VALUE));
    }
}
