package org.beechhoist.triage;

import java.util.Set;
import org.beechhoist.wire.JobId;

/**
 * What an open job still asks for.
 *
 * @param groups its class, its team, and its class's largest where it is one: of none of them more than half is left behind for another's sake
 * @param rank whose work goes before whose, the lower first
 * @param cpuMs of its tasks that wait, and {@code gpuMs} of the GPUs that they need
 * @param lengthMs what one of them takes, its image included
 * @param dueMs by when it must be over; {@link #NO_DUE} where nothing can be missed any more, or ever could
 * @param missed whether it is late for all that it was promised
 * @param keep whether it is not to be left behind: machines for it may still be had, it goes first, or it has begun
 */
public record Demand(
        JobId job,
        Set<String> groups,
        int rank,
        String team,
        double cpuMs,
        double gpuMs,
        long lengthMs,
        long dueMs,
        boolean missed,
        boolean keep) {
    public static final long NO_DUE = Long.MAX_VALUE;
}
