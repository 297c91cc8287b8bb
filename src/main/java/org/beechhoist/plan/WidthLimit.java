package org.beechhoist.plan;

import java.util.List;

/**
 * A limit on the width of an elastic job over time, similar to a team's quota.
 *
 * @param width maximum number of concurrent tasks of the job
 * @param taskEndsMs end times of the tasks that are already running or planned
 */
record WidthLimit(int width, List<Long> taskEndsMs) {
    private static final long STEP_MS = 1000;

    /** Returns what the limit leaves free over time; a task takes one "CPU" of the profile. */
    AvailabilityProfile toProfile(long nowMs) {
        AvailabilityProfile profile = new AvailabilityProfile(nowMs, width, 0, 0);
        taskEndsMs.forEach(end -> profile.reserve(nowMs, roundedUp(nowMs, end), 1, 0, 0));
        return profile;
    }

    /** Adds a task that runs from {@code startMs} to {@code endMs} to a profile from {@link #toProfile}. */
    static void reserveTask(AvailabilityProfile profile, long nowMs, long startMs, long endMs) {
        profile.reserve(nowMs + (startMs - nowMs) / STEP_MS * STEP_MS, roundedUp(nowMs, endMs), 1, 0, 0);
    }

    /**
     * Rounds an end up to whole seconds from now, so that usage is not underestimated and a thousand tasks' ends
     * produce few steps.
     */
    private static long roundedUp(long nowMs, long end) {
        return nowMs + (end - nowMs + STEP_MS - 1) / STEP_MS * STEP_MS;
    }
}
