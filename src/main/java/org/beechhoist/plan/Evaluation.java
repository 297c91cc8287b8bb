package org.beechhoist.plan;

import java.util.HashMap;
import java.util.Map;
import org.beechhoist.wire.JobId;

/**
 * The rating of a plan; smaller is better in every component.
 *
 * @param lateCount number of tasks and elastic jobs that are planned too late for their objective; a plan with
 *     fewer of them is always better
 * @param waiting mean wait, in milliseconds
 * @param meanSlowdown mean bounded slowdown
 * @param fairness sum of the mean and the standard deviation of the teams' normalized waits
 * @param elasticCost cost of the widths of elastic jobs
 */
public record Evaluation(int lateCount, double waiting, double meanSlowdown, double fairness, double elasticCost) {
    /** Lower bound of the run time in the slowdown, so that short tasks do not dominate it. */
    private static final double MIN_RUN_MS = 10_000;
    /** Smallest improvement that makes a plan better, so that rounding errors do not decide. */
    private static final double MIN_GAIN = 1e-9;

    /** The weights of the relative changes of the components. */
    public record Weights(double waiting, double slowdown, double fairness) {
        /** The default weights. */
        public static final Weights DEFAULT = new Weights(1, 1, 10);
    }

    /**
     * The data of a planned job that its reservations do not contain. A job that begins after {@code latestStartMs}
     * misses its objective.
     */
    public record JobTiming(String team, long submittedMs, long latestStartMs, long lengthMs) {}

    /**
     * Evaluates a plan; jobs without timing data are left out.
     *
     * @param usage each team's fraction of all past CPU time, plus a minimum
     */
    public static Evaluation of(Plan plan, Map<JobId, JobTiming> timings, Map<String, Double> usage) {
        int late = 0;
        int count = 0;
        double wait = 0;
        double slowdown = 0;
        Map<String, Double> waits = new HashMap<>();
        for (Plan.Reservation reservation : plan.reservations()) {
            JobTiming timing = timings.get(reservation.job());
            if (timing == null) {
                continue;
            }
            double waited = Math.max(0, reservation.beginMs() - timing.submittedMs());
            count++;
            late += !reservation.beyondGuarantee() && reservation.beginMs() > timing.latestStartMs() ? 1 : 0;
            wait += waited;
            slowdown += Math.max(1, (waited + timing.lengthMs()) / Math.max(timing.lengthMs(), MIN_RUN_MS));
            waits.merge(timing.team(), waited, Double::sum);
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
        double change = weights.waiting() * relativeChange(waiting, other.waiting)
                + weights.slowdown() * relativeChange(meanSlowdown, other.meanSlowdown)
                + weights.fairness() * relativeChange(fairness, other.fairness)
                + relativeChange(elasticCost, other.elasticCost);
        return change < -MIN_GAIN;
    }

    private static double relativeChange(double now, double before) {
        if (before == 0) {
            return now == 0 ? 0 : 1;
        }
        return (now - before) / before;
    }
}
