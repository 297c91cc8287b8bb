package org.beechhoist.triage;

import org.beechhoist.wire.JobRef;

/**
 * What an open job still asks for.
 *
 * @param rank whose work goes before whose, the lower first
 * @param cpuMs of its tasks that wait
 * @param lengthMs what one of them takes, its image included
 * @param dueMs by when it must be over; {@link #NO_DUE} where nothing can be missed any more, or ever could
 * @param grows whether machines for it may still be had
 */
public record Demand(JobRef job, int rank, String team, double cpuMs, long lengthMs, long dueMs, boolean grows) {
    public static final long NO_DUE = Long.MAX_VALUE;
}
