package org.beechhoist.triage;

import java.util.Set;
import org.beechhoist.wire.JobId;

/**
 * What an open job still asks for.
 *
 * @param groups its class, its team, and the group of its class's largest jobs if it is one of them; none of these groups has more
 *     than half of its jobs shed for the sake of others
 * @param rank jobs of a lower rank go before those of a higher one
 * @param cpuMs CPU time of its waiting tasks
 * @param gpuMs GPU time of its waiting tasks
 * @param lengthMs duration of one task, fetching its image included
 * @param deadlineMs its deadline; {@link #NO_DEADLINE} if it has none, or none that can still be missed
 * @param missed whether it is late already
 * @param keep whether it must not be shed: machines for it may still be rented, it is prioritized, or it has begun
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
