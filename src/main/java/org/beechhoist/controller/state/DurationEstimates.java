package org.beechhoist.controller.state;

import java.util.HashMap;
import java.util.Map;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MonotonicTime;

/** How long tasks are expected to run: the estimates of their jobs, corrected for each job class by the observed durations. */
public final class DurationEstimates {
    private static final long SERVICE_MS = 24L * 3600 * 1000;
    /** The weight of the newest observation in the moving average. */
    private static final double WEIGHT = 0.08;

    /** For each job class, the observed durations in proportion to the estimated ones. */
    private final Map<String, Double> ratios = new HashMap<>();

    /** How long a task of the job is expected to run, in milliseconds; a day for a service. */
    public long expectedMs(JobSpec spec) {
        if (spec.isService()) {
            return SERVICE_MS;
        }
        return Math.max(1000, Math.round(1000 * spec.estimateS() * ratios.getOrDefault(spec.jobClass(), 1.0)));
    }

    /** Takes an observed duration of a task into account. */
    public void recordDuration(JobSpec spec, long ms) {
        if (spec.isService() || spec.estimateS() <= 0) {
            return;
        }
        double ratio = Math.max(0.2, Math.min(5, ms / (1000 * spec.estimateS())));
        ratios.merge(spec.jobClass(), ratio, (old, r) -> old + WEIGHT * (r - old));
    }

    /** When the task is expected to end. */
    public MonotonicTime expectedEnd(Placement placement, MonotonicTime now) {
        MonotonicTime begin =
                placement.runningSince != null ? placement.runningSince : placement.placedAt.plusMs(placement.fetchMs);
        MonotonicTime end = begin.plusMs(placement.expectedDurationMs);
        if (placement.stopRequested) {
            return now.plusMs(300);
        }
        if (placement.expectedGoneAtMs > 0) {
            return new MonotonicTime(Math.max(now.ms() + 300, placement.expectedGoneAtMs));
        }
        long late = now.since(end);
        // It is past its estimate: the expected end moves ahead, the further the longer the task has run.
        return late > -1000 ? now.plusMs(Math.max(1000, now.since(begin) / 6)) : end;
    }
}
