package org.beechhoist.release;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;

/**
 * Forecasts held against what happened: how much longer what was left took than the plan had said, jobs that came meanwhile included.
 * The plan's word is stretched by the middle of what was seen lately; nothing is said before enough was.
 */
public final class Calibration {
    /** How many of the latest ratios are kept. */
    public static final int MAX_RATIO_COUNT = 60;

    private static final int ENOUGH = 8;
    /** A forecast of less than this is right or wrong by chance. */
    private static final long LEAST_MS = 20_000;

    private static final double LEAST = 0.5;
    private static final double MOST_TIMES = 5;
    private static final double HIGH = 0.9;

    private final Deque<Double> ratios = new ArrayDeque<>();

    /** @param madeAtMs when it was said that all is over at {@code saidMs}; it was at {@code wasMs} */
    public void addOutcome(long madeAtMs, long saidMs, long wasMs) {
        if (saidMs - madeAtMs >= LEAST_MS && wasMs > madeAtMs) {
            addRatio((double) (wasMs - madeAtMs) / (saidMs - madeAtMs));
        }
    }

    /** Adds the ratio of the time that something took to the time that was forecast. */
    public void addRatio(double ratio) {
        ratios.addLast(Math.max(LEAST, Math.min(MOST_TIMES, ratio)));
        if (ratios.size() > MAX_RATIO_COUNT) {
            ratios.removeFirst();
        }
    }

    /** Forgets all ratios. */
    public void clear() {
        ratios.clear();
    }

    /** The newest last. */
    public List<Double> ratios() {
        return List.copyOf(ratios);
    }

    /** How many ratios are kept. */
    public int size() {
        return ratios.size();
    }

    private double at(double share) {
        if (ratios.size() < ENOUGH) {
            return 1;
        }
        List<Double> sorted = new ArrayList<>(ratios);
        Collections.sort(sorted);
        return sorted.get((int) Math.min(sorted.size() - 1, Math.floor(share * sorted.size())));
    }

    /** When it will be over, by the plan's word. */
    public long medianEndMs(long nowMs, long saidMs) {
        return nowMs + Math.round(at(0.5) * (saidMs - nowMs));
    }

    /** By when nine of ten were over. */
    public long percentile90EndMs(long nowMs, long saidMs) {
        return nowMs + Math.round(at(HIGH) * (saidMs - nowMs));
    }
}
