package org.beechhoist.plan;

import java.util.Arrays;

/** The free resources of one machine, or within one limit, over time as a step function. Times are in milliseconds. */
final class AvailabilityProfile {
    /** The result if there is no gap. */
    static final long NEVER = Long.MAX_VALUE;

    private static final double EPSILON = 1e-6;
    private static final int INITIAL_STEPS = 8;

    private long[] stepStartMs = new long[INITIAL_STEPS];
    private double[] freeCpus = new double[INITIAL_STEPS];
    private double[] freeGpus = new double[INITIAL_STEPS];
    private double[] freeMemGb = new double[INITIAL_STEPS];
    private int stepCount;
    private int changeCount;
    /** Whether all reservations start at the beginning, so that the free resources never decrease and a gap never ends. */
    private boolean nonDecreasing = true;

    AvailabilityProfile(long start, double cpus, double gpus, double mem) {
        stepStartMs[0] = start;
        this.freeCpus[0] = cpus;
        this.freeGpus[0] = gpus;
        this.freeMemGb[0] = mem;
        stepCount = 1;
    }

    AvailabilityProfile(AvailabilityProfile profile) {
        stepStartMs = profile.stepStartMs.clone();
        freeCpus = profile.freeCpus.clone();
        freeGpus = profile.freeGpus.clone();
        freeMemGb = profile.freeMemGb.clone();
        stepCount = profile.stepCount;
        changeCount = profile.changeCount;
        nonDecreasing = profile.nonDecreasing;
    }

    private boolean fits(int index, double neededCpus, double neededGpus, double neededMemGb) {
        return freeCpus[index] + EPSILON >= neededCpus
                && freeGpus[index] + EPSILON >= neededGpus
                && freeMemGb[index] + EPSILON >= neededMemGb;
    }

    /** Returns the earliest start from {@code at} on with enough free throughout {@code length}, or {@link #NEVER}. */
    long earliest(long at, long length, double neededCpus, double neededGpus, double neededMemGb) {
        long start = Math.max(at, stepStartMs[0]);
        for (int i = indexAt(start); i < stepCount; i++) {
            if (!fits(i, neededCpus, neededGpus, neededMemGb)) {
                if (i + 1 == stepCount) {
                    return NEVER;
                }
                start = stepStartMs[i + 1];
            } else if (i + 1 == stepCount || stepStartMs[i + 1] >= start + length) {
                return start;
            }
        }
        return start;
    }

    /** Subtracts the given resources from those free between the two times. */
    void reserve(long start, long end, double neededCpus, double neededGpus, double neededMemGb) {
        if (end <= start) {
            return;
        }
        changeCount++;
        nonDecreasing &= start <= stepStartMs[0];
        int first = splitAt(start);
        int last = splitAt(end);
        for (int i = first; i < last; i++) {
            freeCpus[i] -= neededCpus;
            freeGpus[i] -= neededGpus;
            freeMemGb[i] -= neededMemGb;
        }
    }

    /** Returns the number of reservations made. */
    int changeCount() {
        return changeCount;
    }

    /** Returns whether the free resources never decrease, so that a task that fits at one time fits at any later time. */
    boolean isNonDecreasing() {
        return nonDecreasing;
    }

    /** Returns the start of the last step, after which the free resources no longer change. */
    long lastStepMs() {
        return stepStartMs[stepCount - 1];
    }

    double freeGpusAt(long time) {
        return freeGpus[indexAt(time)];
    }

    double freeCpusAt(long time) {
        return freeCpus[indexAt(time)];
    }

    /** Returns the index of the step that contains this time. */
    private int indexAt(long time) {
        int i = Arrays.binarySearch(stepStartMs, 0, stepCount, time);
        return i >= 0 ? i : Math.max(0, -i - 2);
    }

    /** Returns the index of the step that begins at this time, and creates it if there is none. */
    private int splitAt(long time) {
        if (time <= stepStartMs[0]) {
            return 0;
        }
        int index = indexAt(time);
        if (stepStartMs[index] == time) {
            return index;
        }
        if (stepCount == stepStartMs.length) {
            stepStartMs = Arrays.copyOf(stepStartMs, 2 * stepCount);
            freeCpus = Arrays.copyOf(freeCpus, 2 * stepCount);
            freeGpus = Arrays.copyOf(freeGpus, 2 * stepCount);
            freeMemGb = Arrays.copyOf(freeMemGb, 2 * stepCount);
        }
        int at = index + 1;
        System.arraycopy(stepStartMs, at, stepStartMs, at + 1, stepCount - at);
        System.arraycopy(freeCpus, index, freeCpus, at, stepCount - index);
        System.arraycopy(freeGpus, index, freeGpus, at, stepCount - index);
        System.arraycopy(freeMemGb, index, freeMemGb, at, stepCount - index);
        stepStartMs[at] = time;
        stepCount++;
        return at;
    }
}
