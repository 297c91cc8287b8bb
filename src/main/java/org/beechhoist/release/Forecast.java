package org.beechhoist.release;

/**
 * The forecast whether a release will be met, based on the current plan.
 *
 * @param endMs wall-clock time at which the last job of the release ends; 0 if it is beyond the plan, or if there is no open job
 * @param slackMs time from that end to the due time
 * @param risk the reason why the release is at risk; null if it will be met with enough slack
 */
public record Forecast(long endMs, long slackMs, String risk) {
    /** A release with less slack than this fraction of the remaining time is at risk; estimates are off by half. */
    private static final double MIN_SLACK_FRACTION = 0.15;

    private static final long MIN_SLACK_MS = 30_000;

    /** A release counts as due soon within this many times its longest task. */
    private static final int DUE_SOON_FACTOR = 10;

    /**
     * The state of the open jobs of a release.
     *
     * @param openJobs number of open jobs
     * @param heldJobs number of open jobs that are held because of their key set
     * @param unplannedTasks number of tasks without a reservation in the plan
     * @param quotaLimited whether the team's maximum quota keeps some of the jobs waiting
     * @param plannedEndMs wall-clock time at which the last planned job ends; 0 if none is planned
     * @param longestTaskMs estimated duration of the longest task
     */
    public record Inputs(
            int openJobs,
            int heldJobs,
            int unplannedTasks,
            boolean quotaLimited,
            long plannedEndMs,
            long longestTaskMs) {}

    /** Returns the forecast for a release that is due at {@code dueMs}. */
    public static Forecast of(Inputs inputs, long dueMs, long nowMs) {
        if (inputs.openJobs == 0) {
            return new Forecast(0, dueMs - nowMs, null);
        }
        long slack = inputs.plannedEndMs == 0 ? 0 : dueMs - inputs.plannedEndMs;
        if (inputs.heldJobs > 0) {
            return new Forecast(inputs.plannedEndMs, slack, "key set: " + inputs.heldJobs + " of its jobs are held");
        }
        if (nowMs > dueMs) {
            return new Forecast(inputs.plannedEndMs, slack, "overdue");
        }
        if (inputs.plannedEndMs == 0 || inputs.unplannedTasks > 0) {
            // The end is beyond the plan; the release counts as at risk only when it is due soon.
            boolean dueSoon = dueMs - nowMs < DUE_SOON_FACTOR * Math.max(inputs.longestTaskMs, MIN_SLACK_MS);
            return new Forecast(
                    0,
                    0,
                    !dueSoon
                            ? null
                            : inputs.quotaLimited
                                    ? "limit: its team may use no more"
                                    : "machines: " + inputs.unplannedTasks + " tasks have no place in the plan");
        }
        long requiredSlack = Math.max(MIN_SLACK_MS, Math.round(MIN_SLACK_FRACTION * (inputs.plannedEndMs - nowMs)));
        if (slack >= requiredSlack) {
            return new Forecast(inputs.plannedEndMs, slack, null);
        }
        return new Forecast(
                inputs.plannedEndMs,
                slack,
                inputs.quotaLimited
                        ? "limit: its team may use no more"
                        : nowMs + inputs.longestTaskMs > dueMs ? "one long task" : "machines");
    }
}
