package org.beechhoist.release;

/**
 * Whether a release will be met, by the plan as it is.
 *
 * @param endMs when its last job is over, by the time of day; 0: the plan does not reach that far, or it has no job
 * @param slackMs from then to the factory moment
 * @param risk null: it will be met with something to spare; else what stands in the way
 */
public record Forecast(long endMs, long slackMs, String risk) {
    /** Estimates are off by half; a release that has less to spare than this part of what is left is at risk. */
    private static final double SPARE = 0.15;

    private static final long LEAST_SPARE_MS = 30_000;

    /**
     * What is known of its open jobs.
     *
     * @param openJobs that are open, {@code held} of them by their key set
     * @param unplannedTasks tasks that have no place in the plan
     * @param quotaLimited whether the team's limit keeps some of them waiting
     * @param plannedEndMs when the last of those that are planned is over
     * @param longestTaskMs the longest task's estimate
     */
    public record Inputs(
            int openJobs,
            int heldJobs,
            int unplannedTasks,
            boolean quotaLimited,
            long plannedEndMs,
            long longestTaskMs) {}

    /** The forecast for a release that is due at {@code dueMs}. */
    public static Forecast of(Inputs facts, long dueMs, long nowMs) {
        if (facts.openJobs == 0) {
            return new Forecast(0, dueMs - nowMs, null);
        }
        long slack = facts.plannedEndMs == 0 ? 0 : dueMs - facts.plannedEndMs;
        if (facts.heldJobs > 0) {
            return new Forecast(facts.plannedEndMs, slack, "key set: " + facts.heldJobs + " of its jobs are held");
        }
        if (nowMs > dueMs) {
            return new Forecast(facts.plannedEndMs, slack, "overdue");
        }
        if (facts.plannedEndMs == 0 || facts.unplannedTasks > 0) {
            // Out of the plan's sight; whether that is late can be told only where the moment is near.
            boolean near = dueMs - nowMs < 10 * Math.max(facts.longestTaskMs, LEAST_SPARE_MS);
            return new Forecast(
                    0,
                    0,
                    !near
                            ? null
                            : facts.quotaLimited
                                    ? "limit: its team may use no more"
                                    : "machines: " + facts.unplannedTasks + " tasks have no place in the plan");
        }
        long spare = Math.max(LEAST_SPARE_MS, Math.round(SPARE * (facts.plannedEndMs - nowMs)));
        if (slack >= spare) {
            return new Forecast(facts.plannedEndMs, slack, null);
        }
        return new Forecast(
                facts.plannedEndMs,
                slack,
                facts.quotaLimited
                        ? "limit: its team may use no more"
                        : nowMs + facts.longestTaskMs > dueMs ? "one long task" : "machines");
    }
}
