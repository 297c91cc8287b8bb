package org.beechhoist.release;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;

/**
 * Corrects planned end times by the ratio of actual to forecast remaining time of recent forecasts; the actual time includes jobs
 * submitted after the forecast. The planned end is scaled by the median ratio, and is unchanged until there are enough ratios.
 */
public final class Calibration {
    /** Maximum number of ratios kept; older ones are dropped. */
    public static final int MAX_RATIO_COUNT = 60;

    private static final int MIN_RATIO_COUNT = 8;
    /** Minimum forecast duration; shorter forecasts are right or wrong by chance. */
    private static final long MIN_FORECAST_MS = 20_000;

    private static final double MIN_RATIO = 0.5;
    private static final double MAX_RATIO = 5;
    private static final double LATE_QUANTILE = 0.9;

    private final Deque<Double> ratios = new ArrayDeque<>();

    /**
     * Adds the outcome of a forecast.
     *
     * @param madeAtMs when the forecast was made
     * @param forecastEndMs the forecast end
     * @param actualEndMs the actual end
     */
    public void addOutcome(long madeAtMs, long forecastEndMs, long actualEndMs) {
        if (forecastEndMs - madeAtMs >= MIN_FORECAST_MS && actualEndMs > madeAtMs) {
            addRatio((double) (actualEndMs - madeAtMs) / (forecastEndMs - madeAtMs));
        }
    }

    /** Adds a ratio of actual to forecast time, limited to a fixed range. */
    public void addRatio(double ratio) {
        ratios.addLast(Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio)));
        if (ratios.size() > MAX_RATIO_COUNT) {
            ratios.removeFirst();
        }
    }

    /** Removes all ratios. */
    public void clear() {
        ratios.clear();
    }

    /** Returns the ratios, newest last. */
    public List<Double> ratios() {
        return List.copyOf(ratios);
    }

    /** Returns the number of ratios. */
    public int size() {
        return ratios.size();
    }

    private double quantile(double fraction) {
        if (ratios.size() < MIN_RATIO_COUNT) {
            return 1;
        }
        List<Double> sorted = new ArrayList<>(ratios);
        Collections.sort(sorted);
        return sorted.get((int) Math.min(sorted.size() - 1, Math.floor(fraction * sorted.size())));
    }

    /** Returns the planned end, scaled by the median ratio. */
    public long medianEndMs(long nowMs, long forecastEndMs) {
        return nowMs + Math.round(quantile(0.5) * (forecastEndMs - nowMs));
    }

    /** Returns the planned end, scaled by the ratio that nine of ten forecasts did not exceed. */
    public long percentile90EndMs(long nowMs, long forecastEndMs) {
        return nowMs + Math.round(quantile(LATE_QUANTILE) * (forecastEndMs - nowMs));
    }
}
