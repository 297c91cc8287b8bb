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
     * @param jobs that are open, {@code held} of them by their key set
     * @param unplanned tasks that have no place in the plan
     * @param limited whether the team's limit keeps some of them waiting
     * @param endMs when the last of those that are planned is over
     * @param longestMs the longest task's estimate
     */
    public record Facts(int jobs, int held, int unplanned, boolean limited, long endMs, long longestMs) {}

    /** The forecast for a release that is due at {@code dueMs}. */
    public static Forecast of(Facts facts, long dueMs, long nowMs) {
        if (facts.jobs == 0) {
            return new Forecast(0, dueMs - nowMs, null);
        }
        long slack = facts.endMs == 0 ? 0 : dueMs - facts.endMs;
        if (facts.held > 0) {
            return new Forecast(facts.endMs, slack, "key set: " + facts.held + " of its jobs are held");
        }
        if (nowMs > dueMs) {
            return new Forecast(facts.endMs, slack, "overdue");
        }
        if (facts.endMs == 0 || facts.unplanned > 0) {
            // Out of the plan's sight; whether that is late can be told only where the moment is near.
            boolean near = dueMs - nowMs < 10 * Math.max(facts.longestMs, LEAST_SPARE_MS);
            return new Forecast(
                    0,
                    0,
                    !near
                            ? null
                            : facts.limited
                                    ? "limit: its team may use no more"
                                    : "machines: " + facts.unplanned + " tasks have no place in the plan");
        }
        long spare = Math.max(LEAST_SPARE_MS, Math.round(SPARE * (facts.endMs - nowMs)));
        if (slack >= spare) {
            return new Forecast(facts.endMs, slack, null);
        }
        return new Forecast(
                facts.endMs,
                slack,
                facts.limited
                        ? "limit: its team may use no more"
                        : nowMs + facts.longestMs > dueMs ? "one long task" : "machines");
    }
}
