package org.beechhoist.triage;

import java.util.Map;
import org.beechhoist.floor.ServiceShare;

/**
 * What the machines can do, and what was served before.
 *
 * @param cpus CPUs of all machines
 * @param busyCpuMs CPU time of running tasks, which have to end first
 * @param gpus GPUs of all machines
 * @param busyGpuMs GPU time of running tasks
 * @param teams limit and running work of each team that has a limit
 * @param recentShares what each group asked for and was served before; a group that is missing has asked for nothing
 */
public record Capacity(
        long nowMs,
        double cpus,
        double busyCpuMs,
        double gpus,
        double busyGpuMs,
        Map<String, TeamQuota> teams,
        Map<String, ServiceShare> recentShares) {
    /**
     * A team's limit and running work.
     *
     * @param cpus the most CPUs that it may use
     * @param busyCpuMs CPU time of its running tasks
     */
    public record TeamQuota(double cpus, double busyCpuMs) {}
}
