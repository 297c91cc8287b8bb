package org.beechhoist.plan;

/**
 * What is known of an elastic job beside its entry.
 *
 * @param from how many of its tasks are live or placed already
 * @param most how many may be
 * @param deadlineMs when it should be done; Long.MAX_VALUE: no hurry
 * @param latenessWeight what a second of lateness costs, in seconds of the whole wide job at the lowest price
 * @param lowestCostPerCpu an hour of one CPU at the lowest price that the job may use
 * @param fixedWidth the width to use without comparing others, or null
 */
public record WidthOptions(
        int from, int most, long deadlineMs, double latenessWeight, double lowestCostPerCpu, Integer fixedWidth) {
    /** Returns the same options with the width given. */
    public WidthOptions withFixedWidth(int width) {
        return new WidthOptions(from, most, deadlineMs, latenessWeight, lowestCostPerCpu, width);
    }
}
