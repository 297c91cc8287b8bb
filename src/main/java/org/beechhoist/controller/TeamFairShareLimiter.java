package org.beechhoist.controller;

import java.util.HashMap;
import java.util.Map;
import org.beechhoist.wire.MonotonicTime;

/**
 * Whose submissions go first where changes of the state service run short. A team that has lately had more than its even part of
 * what this node accepted must leave the second half of the node's budget to the others: thousands of tiny jobs of one team once
 * had seven of ten submissions of all others refused.
 */
final class TeamFairShareLimiter {
    /** After this long what a team was given counts for a third. */
    private static final double FADES_MS = 5000;
    /** Less of a team than this within that time: it asks for nothing now. */
    private static final double IDLE = 0.05;
    /** The part of a full budget that is for teams that had less than the others. */
    private static final double KEPT = 0.5;

    private static final double TOLERANCE = 1.1;

    private final Map<String, Double> given = new HashMap<>();
    private MonotonicTime faded = MonotonicTime.ZERO;

    /** Whether the team's next submission may be taken with so much of the budget left. */
    boolean allows(String team, double available, double most, MonotonicTime now) {
        fade(now);
        if (available >= KEPT * most) {
            return true;
        }
        double all = given.values().stream().mapToDouble(Double::doubleValue).sum();
        int teams = given.size() + (given.containsKey(team) ? 0 : 1);
        return given.getOrDefault(team, 0.0) <= TOLERANCE * all / teams;
    }

    void recordAccepted(String team, MonotonicTime now) {
        fade(now);
        given.merge(team, 1.0, Double::sum);
    }

    private void fade(MonotonicTime now) {
        if (faded != MonotonicTime.ZERO && faded.isBefore(now)) {
            double by = Math.exp(-now.since(faded) / FADES_MS);
            given.replaceAll((t, n) -> n * by);
            given.values().removeIf(n -> n < IDLE);
        }
        faded = now;
    }
}
