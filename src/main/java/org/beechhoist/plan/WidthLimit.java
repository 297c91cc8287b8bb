package org.beechhoist.plan;

import java.util.List;

/**
 * A limit on the width of an elastic job over time, in the manner of a team's limit.
 *
 * @param width how many of the job's tasks may run at once
 * @param busyUntil the ends of those that run or are planned already
 */
record WidthLimit(int width, List<Long> busyUntil) {
    private static final long STEP_MS = 1000;

    /** Returns what the limit leaves free over time; a task takes one "CPU" of it. */
    Profile profile(long nowMs) {
        Profile profile = new Profile(nowMs, width, 0, 0);
        busyUntil.forEach(end -> profile.take(nowMs, roundedUp(nowMs, end), 1, 0, 0));
        return profile;
    }

    /** Enters one more task that runs from {@code startMs} to {@code endMs} into a profile of this kind. */
    static void takeOne(Profile profile, long nowMs, long startMs, long endMs) {
        profile.take(nowMs + (startMs - nowMs) / STEP_MS * STEP_MS, roundedUp(nowMs, endMs), 1, 0, 0);
    }

    /** Rounds an end up to whole seconds from now, on the safe side, so that a thousand tasks' ends make few steps. */
    private static long roundedUp(long nowMs, long end) {
        return nowMs + (end - nowMs + STEP_MS - 1) / STEP_MS * STEP_MS;
    }
}
