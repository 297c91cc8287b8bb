package org.beechhoist.plan;

import java.util.HashMap;
import java.util.Map;
import org.beechhoist.wire.JobId;

/**
 * What a plan is worth, smaller is better: average wait, average bounded slowdown, and fairness as mean and standard
 * deviation of the teams' normalized waits. Tasks planned to begin after their objective's last moment are counted
 * apart: no gain elsewhere makes up for one more of them. {@code money} is what elastic jobs' widths cost.
 */
public record Evaluation(int late, double waiting, double slowdown, double fairness, double money) {
    /** Runs shorter than this count as this long, so that short tasks don't rule the slowdown. */
    private static final double BOUND_MS = 10_000;

    /** The weights of the parts' relative changes. */
    public record Weights(double waiting, double slowdown, double fairness) {
        public static final Weights DEFAULT = new Weights(1, 1, 10);
    }

    /** What is known of a planned job beside its reservations. */
    public record Facts(String team, long submittedMs, long latestStartMs, long lengthMs) {}

    /** @param usage each team's past use in fleet shares, with the floor added */
    public static Evaluation of(Plan plan, Map<JobId, Facts> facts, Map<String, Double> usage) {
        int late = 0;
        int count = 0;
        double wait = 0;
        double slowdown = 0;
        Map<String, Double> waits = new HashMap<>();
        for (Plan.Reservation reservation : plan.reservations()) {
            Facts fact = facts.get(reservation.job());
            if (fact == null) {
                continue;
            }
            double weight = Math.max(0, reservation.beginMs() - fact.submittedMs());
            count++;
            late += !reservation.wide() && reservation.beginMs() > fact.latestStartMs() ? 1 : 0;
            wait += weight;
            slowdown += Math.max(1, (weight + fact.lengthMs()) / Math.max(fact.lengthMs(), BOUND_MS));
            waits.merge(fact.team(), weight, Double::sum);
        }
        if (count == 0) {
            return new Evaluation(plan.lateWide(), 0, 0, 0, plan.money());
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
        return new Evaluation(late + plan.lateWide(), wait / count, slowdown / count, mean + deviation, plan.money());
    }

    /** Whether this plan is better than the other by the weighted sum of relative changes. */
    public boolean betterThan(Evaluation other, Weights weights) {
        if (late != other.late) {
            return late < other.late;
        }
        double change = weights.waiting() * relative(waiting, other.waiting)
                + weights.slowdown() * relative(slowdown, other.slowdown)
                + weights.fairness() * relative(fairness, other.fairness)
                + relative(money, other.money);
        return change < -1e-9;
    }

    private static double relative(double now, double before) {
        return before == 0 ? (now == 0 ? 0 : 1) : (now - before) / before;
    }
}
