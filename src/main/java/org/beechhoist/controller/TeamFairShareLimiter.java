package org.beechhoist.controller;

import java.util.HashMap;
import java.util.Map;
import org.beechhoist.wire.MonotonicTime;

/**
 * Limits the submissions of a team when the write budget of the state service runs short. A team with more than its fair share of
 * the submissions recently accepted by this node may not use the second half of the node's budget. Without this limit, thousands of
 * tiny jobs of one team caused seven of ten submissions of all other teams to be refused.
 */
final class TeamFairShareLimiter {
    /** Time constant of the exponential decay: after this time an accepted submission counts for a third. */
    private static final double DECAY_TIME_MS = 5000;
    /** A team whose decayed count is below this value is considered inactive. */
    private static final double MIN_TRACKED_COUNT = 0.05;
    /** The fraction of a full budget that is reserved for teams below their fair share. */
    private static final double RESERVED_BUDGET_FRACTION = 0.5;

    private static final double FAIR_SHARE_TOLERANCE = 1.1;

    private final Map<String, Double> acceptedByTeam = new HashMap<>();
    private MonotonicTime decayedAt = MonotonicTime.ZERO;

    /** Returns whether the team's next submission may be accepted with the available part of the budget. */
    boolean allows(String team, double available, double capacity, MonotonicTime now) {
        decay(now);
        if (available >= RESERVED_BUDGET_FRACTION * capacity) {
            return true;
        }
        double total = acceptedByTeam.values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
        int teams = acceptedByTeam.size() + (acceptedByTeam.containsKey(team) ? 0 : 1);
        return acceptedByTeam.getOrDefault(team, 0.0) <= FAIR_SHARE_TOLERANCE * total / teams;
    }

    /** Counts an accepted submission of the team. */
    void recordAccepted(String team, MonotonicTime now) {
        decay(now);
        acceptedByTeam.merge(team, 1.0, Double::sum);
    }

    private void decay(MonotonicTime now) {
        if (decayedAt != MonotonicTime.ZERO && decayedAt.isBefore(now)) {
            double factor = Math.exp(-now.since(decayedAt) / DECAY_TIME_MS);
            acceptedByTeam.replaceAll((t, n) -> n * factor);
            acceptedByTeam.values().removeIf(n -> n < MIN_TRACKED_COUNT);
        }
        decayedAt = now;
    }
}
