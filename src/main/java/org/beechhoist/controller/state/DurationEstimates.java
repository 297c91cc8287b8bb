package org.beechhoist.controller.state;

import java.util.HashMap;
import java.util.Map;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MonotonicTime;

/** Expected task durations: the estimates of the jobs, corrected per job class by the observed durations. */
public final class DurationEstimates {
    private static final long SERVICE_DURATION_MS = 24L * 3600 * 1000;
    /** The weight of the newest observation in the exponential moving average. */
    private static final double OBSERVATION_WEIGHT = 0.08;

    private static final double MIN_RATIO = 0.2;
    private static final double MAX_RATIO = 5;
    private static final long MIN_DURATION_MS = 1000;
    /** The least time that a task with a requested or expected stop is assumed to stay. */
    private static final long MIN_STOP_MS = 300;
    /** A task this close to its expected end counts as past its estimate. */
    private static final long OVERDUE_MARGIN_MS = 1000;
    /** A task past its estimate is expected to run at least this long. */
    private static final long MIN_OVERDUE_MS = 1000;

    /** The moving average of observed to estimated duration, by job class. */
    private final Map<String, Double> ratios = new HashMap<>();

    /** Returns the expected duration of a task of the job, in milliseconds; one day for a service. */
    public long expectedMs(JobSpec spec) {
        if (spec.isService()) {
            return SERVICE_DURATION_MS;
        }
        return Math.max(
                MIN_DURATION_MS, Math.round(1000 * spec.estimateS() * ratios.getOrDefault(spec.jobClass(), 1.0)));
    }

    /** Updates the average of the job class with an observed task duration. */
    public void recordDuration(JobSpec spec, long durationMs) {
        if (spec.isService() || spec.estimateS() <= 0) {
            return;
        }
        double ratio = Math.max(MIN_RATIO, Math.min(MAX_RATIO, durationMs / (1000 * spec.estimateS())));
        ratios.merge(spec.jobClass(), ratio, (old, r) -> old + OBSERVATION_WEIGHT * (r - old));
    }

    /** Returns the time at which the task is expected to end. */
    public MonotonicTime expectedEnd(Placement placement, MonotonicTime now) {
        MonotonicTime begin =
                placement.runningSince != null ? placement.runningSince : placement.placedAt.plusMs(placement.fetchMs);
        MonotonicTime end = begin.plusMs(placement.expectedDurationMs);
        if (placement.stopRequested) {
            return now.plusMs(MIN_STOP_MS);
        }
        if (placement.expectedGoneAtMs > 0) {
            return new MonotonicTime(Math.max(now.ms() + MIN_STOP_MS, placement.expectedGoneAtMs));
        }
        long overdueMs = now.since(end);
        // Past its estimate, a task is expected to run for another sixth of the time that it has run so far.
        return overdueMs > -OVERDUE_MARGIN_MS ? now.plusMs(Math.max(MIN_OVERDUE_MS, now.since(begin) / 6)) : end;
    }
}
