package org.beechhoist.plan;

import java.util.List;

/**
 * A limit on the width of an elastic job over time, in the manner of a team's limit.
 *
 * @param width how many of the job's tasks may run at once
 * @param taskEndsMs the ends of those that run or are planned already
 */
record WidthLimit(int width, List<Long> taskEndsMs) {
    private static final long STEP_MS = 1000;

    /** Returns what the limit leaves free over time; a task takes one "CPU" of it. */
    AvailabilityProfile toProfile(long nowMs) {
        AvailabilityProfile profile = new AvailabilityProfile(nowMs, width, 0, 0);
        taskEndsMs.forEach(end -> profile.reserve(nowMs, roundedUp(nowMs, end), 1, 0, 0));
        return profile;
    }

    /** Enters one more task that runs from {@code startMs} to {@code endMs} into a profile of this kind. */
    static void reserveTask(AvailabilityProfile profile, long nowMs, long startMs, long endMs) {
        profile.reserve(nowMs + (startMs - nowMs) / STEP_MS * STEP_MS, roundedUp(nowMs, endMs), 1, 0, 0);
    }

    /** Rounds an end up to whole seconds from now, on the safe side, so that a thousand tasks' ends make few steps. */
    private static long roundedUp(long nowMs, long end) {
        return nowMs + (end - nowMs + STEP_MS - 1) / STEP_MS * STEP_MS;
    }
}
