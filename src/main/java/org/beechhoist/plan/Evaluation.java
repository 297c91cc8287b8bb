package org.beechhoist.plan;

import java.util.HashMap;
import java.util.Map;
import org.beechhoist.wire.JobId;

/**
 * What a plan is worth; smaller is better.
 *
 * @param lateCount how many tasks and elastic jobs are planned too late for their objective; no gain elsewhere makes up for one more
 * @param waiting the average wait
 * @param meanSlowdown the average bounded slowdown
 * @param fairness mean and standard deviation, added, of the teams' normalized waits
 * @param elasticCost what elastic jobs' widths cost
 */
public record Evaluation(int lateCount, double waiting, double meanSlowdown, double fairness, double elasticCost) {
    /** Runs shorter than this count as this long, so that short tasks don't dominate the slowdown. */
    private static final double BOUND_MS = 10_000;
    /** A plan is better only by more than this, so that rounding does not decide. */
    private static final double MIN_GAIN = 1e-9;

    /** The weights of the parts' relative changes. */
    public record Weights(double waiting, double slowdown, double fairness) {
        /** The weights that are used where nothing else is said. */
        public static final Weights DEFAULT = new Weights(1, 1, 10);
    }

    /** What is known of a planned job beside its reservations. A later begin than {@code latestStartMs} misses its objective. */
    public record JobTiming(String team, long submittedMs, long latestStartMs, long lengthMs) {}

    /**
     * Evaluates a plan; jobs without facts are left out.
     *
     * @param usage each team's past use in fleet shares, with the minimum added
     */
    public static Evaluation of(Plan plan, Map<JobId, JobTiming> facts, Map<String, Double> usage) {
        int late = 0;
        int count = 0;
        double wait = 0;
        double slowdown = 0;
        Map<String, Double> waits = new HashMap<>();
        for (Plan.Reservation reservation : plan.reservations()) {
            JobTiming fact = facts.get(reservation.job());
            if (fact == null) {
                continue;
            }
            double waited = Math.max(0, reservation.beginMs() - fact.submittedMs());
            count++;
            late += !reservation.beyondGuarantee() && reservation.beginMs() > fact.latestStartMs() ? 1 : 0;
            wait += waited;
            slowdown += Math.max(1, (waited + fact.lengthMs()) / Math.max(fact.lengthMs(), BOUND_MS));
            waits.merge(fact.team(), waited, Double::sum);
        }
        if (count == 0) {
            return new Evaluation(plan.lateElasticJobs(), 0, 0, 0, plan.elasticCost());
        }
        double sum = 0;
        double squares = 0;
        for (Map.Entry<String, Double> entry : waits.entrySet()) {
            double normalized = entry.getValue() / usage.getOrDefault(entry.getKey(), 1.0);
            sum += normalized;
            squares += normalized * normalized;
        }
        double mean = sum / waits.size();
        double deviation = Math.sqrt(Math.max(0, squares / waits.size() - mean * mean));
        return new Evaluation(
                late + plan.lateElasticJobs(), wait / count, slowdown / count, mean + deviation, plan.elasticCost());
    }

    /** Returns whether this plan is better than the other by the weighted sum of relative changes. */
    public boolean isBetterThan(Evaluation other, Weights weights) {
        if (lateCount != other.lateCount) {
            return lateCount < other.lateCount;
        }
        double change = weights.waiting() * relative(waiting, other.waiting)
                + weights.slowdown() * relative(meanSlowdown, other.meanSlowdown)
                + weights.fairness() * relative(fairness, other.fairness)
                + relative(elasticCost, other.elasticCost);
        return change < -MIN_GAIN;
    }

    private static double relative(double now, double before) {
        if (before == 0) {
            return now == 0 ? 0 : 1;
        }
        return (now - before) / before;
    }
}
