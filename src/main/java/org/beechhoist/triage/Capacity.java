package org.beechhoist.triage;

import java.util.Map;
import org.beechhoist.floor.ServiceShare;

/**
 * The capacity of the machines, and the recent service shares.
 *
 * @param cpus CPUs of all machines
 * @param busyCpuMs remaining CPU time of running tasks, which have to end first
 * @param gpus GPUs of all machines
 * @param busyGpuMs remaining GPU time of running tasks
 * @param teams quota and running work of each team that has a maximum quota
 * @param recentShares recent service share of each group; a missing group has requested nothing
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
     * A team's maximum quota and running work.
     *
     * @param cpus maximum number of CPUs that it may use
     * @param busyCpuMs remaining CPU time of its running tasks
     */
    public record TeamQuota(double cpus, double busyCpuMs) {}
}
