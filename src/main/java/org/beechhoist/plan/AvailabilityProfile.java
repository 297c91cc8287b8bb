package org.beechhoist.plan;

import java.util.Arrays;

/** What is free over time, as a step function: on one machine, or under one limit. Times are in milliseconds. */
final class AvailabilityProfile {
    /** The answer where there is no gap. */
    static final long NEVER = Long.MAX_VALUE;

    private static final double EPSILON = 1e-6;
    private static final int INITIAL_STEPS = 8;

    private long[] from = new long[INITIAL_STEPS];
    private double[] cpus = new double[INITIAL_STEPS];
    private double[] gpus = new double[INITIAL_STEPS];
    private double[] mem = new double[INITIAL_STEPS];
    private int steps;
    private int changes;
    /** Whether everything was taken from the beginning on, so that what is free only grows and a gap never ends. */
    private boolean grows = true;

    AvailabilityProfile(long start, double cpus, double gpus, double mem) {
        from[0] = start;
        this.cpus[0] = cpus;
        this.gpus[0] = gpus;
        this.mem[0] = mem;
        steps = 1;
    }

    AvailabilityProfile(AvailabilityProfile profile) {
        from = profile.from.clone();
        cpus = profile.cpus.clone();
        gpus = profile.gpus.clone();
        mem = profile.mem.clone();
        steps = profile.steps;
        changes = profile.changes;
        grows = profile.grows;
    }

    private boolean fits(int index, double neededCpus, double neededGpus, double neededMemGb) {
        return cpus[index] + EPSILON >= neededCpus
                && gpus[index] + EPSILON >= neededGpus
                && mem[index] + EPSILON >= neededMemGb;
    }

    /** Returns the earliest start from {@code at} on with enough free throughout {@code length}, or {@link #NEVER}. */
    long earliest(long at, long length, double neededCpus, double neededGpus, double neededMemGb) {
        long start = Math.max(at, from[0]);
        for (int i = index(start); i < steps; i++) {
            if (!fits(i, neededCpus, neededGpus, neededMemGb)) {
                if (i + 1 == steps) {
                    return NEVER;
                }
                start = from[i + 1];
            } else if (i + 1 == steps || from[i + 1] >= start + length) {
                return start;
            }
        }
        return start;
    }

    /** Takes so much from what is free between the two times. */
    void reserve(long start, long end, double neededCpus, double neededGpus, double neededMemGb) {
        if (end <= start) {
            return;
        }
        changes++;
        grows &= start <= from[0];
        int first = split(start);
        int last = split(end);
        for (int i = first; i < last; i++) {
            cpus[i] -= neededCpus;
            gpus[i] -= neededGpus;
            mem[i] -= neededMemGb;
        }
    }

    /** Returns how often something was taken. */
    int changeCount() {
        return changes;
    }

    /** Returns whether what is free only grows, so that what fits at one time fits ever after. */
    boolean isNonDecreasing() {
        return grows;
    }

    /** Returns the time from which on everything is free that ever will be. */
    long lastStepMs() {
        return from[steps - 1];
    }

    double freeGpusAt(long time) {
        return gpus[index(time)];
    }

    double freeCpusAt(long time) {
        return cpus[index(time)];
    }

    /** Returns the index of the step that this time is in. */
    private int index(long time) {
        int i = Arrays.binarySearch(from, 0, steps, time);
        return i >= 0 ? i : Math.max(0, -i - 2);
    }

    /** Returns the index of the step that begins at this time, which is made if there is none. */
    private int split(long time) {
        if (time <= from[0]) {
            return 0;
        }
        int index = index(time);
        if (from[index] == time) {
            return index;
        }
        if (steps == from.length) {
            from = Arrays.copyOf(from, 2 * steps);
            cpus = Arrays.copyOf(cpus, 2 * steps);
            gpus = Arrays.copyOf(gpus, 2 * steps);
            mem = Arrays.copyOf(mem, 2 * steps);
        }
        int at = index + 1;
        System.arraycopy(from, at, from, at + 1, steps - at);
        System.arraycopy(cpus, index, cpus, at, steps - index);
        System.arraycopy(gpus, index, gpus, at, steps - index);
        System.arraycopy(mem, index, mem, at, steps - index);
        from[at] = time;
        steps++;
        return at;
    }
}
