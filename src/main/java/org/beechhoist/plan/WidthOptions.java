package org.beechhoist.plan;

/**
 * The parameters for choosing the width of an elastic job.
 *
 * @param from number of its tasks that are live or already placed
 * @param most maximum width
 * @param deadlineMs the job's deadline; Long.MAX_VALUE if it has none
 * @param latenessWeight cost of a second of lateness, in seconds of the job at its maximum width at the lowest price
 * @param lowestCostPerCpu lowest price of one CPU for an hour among the machine types that the job may use
 * @param fixedWidth the width to use without comparing others, or null
 */
public record WidthOptions(
        int from, int most, long deadlineMs, double latenessWeight, double lowestCostPerCpu, Integer fixedWidth) {
    /** Returns the same options with a fixed width. */
    public WidthOptions withFixedWidth(int width) {
        return new WidthOptions(from, most, deadlineMs, latenessWeight, lowestCostPerCpu, width);
    }
}
