package org.beechhoist.triage;

import java.util.Set;
import org.beechhoist.wire.JobId;

/**
 * The remaining demand of an open job.
 *
 * @param groups its class, its team, and the groups of its class's largest jobs that it belongs to; none of these
 *     groups has more than half of its jobs shed in favor of other groups
 * @param rank jobs of a lower rank are planned before those of a higher one
 * @param cpuMs CPU time of its waiting tasks
 * @param gpuMs GPU time of its waiting tasks
 * @param lengthMs duration of one task, including the transfer of its image
 * @param deadlineMs its deadline; {@link #NO_DEADLINE} if it has none that can still be missed
 * @param missed whether its deadline has passed
 * @param keep whether it must not be shed, because machines for it may still be rented, it is prioritized, or it has started
 */
public record Demand(
        JobId job,
        Set<String> groups,
        int rank,
        String team,
        double cpuMs,
        double gpuMs,
        long lengthMs,
        long deadlineMs,
        boolean missed,
        boolean keep) {
    /** The value of {@code dueMs} for a job without a deadline that can be missed. */
    public static final long NO_DEADLINE = Long.MAX_VALUE;
}
