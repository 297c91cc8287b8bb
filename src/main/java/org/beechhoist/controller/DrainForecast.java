package org.beechhoist.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.drain.Drain;
import org.beechhoist.drain.ReplacementSteps;
import org.beechhoist.elastic.TaskTermination;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.MachineType;

/** Forecasts the cost and the duration of draining machines from the current state of their tasks; budgets are not considered. */
final class DrainForecast {
    private static final long MIN_MACHINE_DRAIN_MS = 3000;

    /**
     * The forecast cost of a drain.
     *
     * @param tasks number of tasks that would be stopped
     * @param cpuS CPU seconds of work that would be lost
     * @param byGroup number of tasks and lost CPU seconds by team and class
     * @param durationMs time until the last machine is gone
     */
    record Cost(int tasks, double cpuS, Map<String, double[]> byGroup, long durationMs) {
        ObjectNode writeTo(ObjectNode node) {
            node.put("tasks", tasks).put("cpuS", Math.round(cpuS)).put("endsInS", durationMs / 1000.0);
            ObjectNode groups = node.putObject("byTeamAndClass");
            byGroup.forEach((group, sums) ->
                    groups.putArray(group).add(Math.round(sums[0])).add(Math.round(sums[1])));
            return node;
        }
    }

    private DrainForecast() {}

    static Cost estimate(
            Drain drain,
            List<Machine> machines,
            ClusterState clusterState,
            MachineTypeCatalog machineTypes,
            BiFunction<Job, Placement, TaskTermination> chooseTermination,
            long nowMs) {
        int tasks = 0;
        double cpuS = 0;
        long longestMs = 0;
        long totalMs = 0;
        long startupMs = 0;
        Map<String, double[]> groups = new TreeMap<>();
        for (Machine machine : machines) {
            long machineMs = MIN_MACHINE_DRAIN_MS;
            MachineType type = machineTypes.get(machine.type);
            startupMs = Math.max(startupMs, type == null ? 0 : Math.round(1000 * type.startupS()));
            for (Placement placement : machine.placements.values()) {
                Job job = clusterState.job(placement.task.job());
                if (job == null) {
                    continue;
                }
                TaskTermination termination = chooseTermination.apply(job, placement);
                machineMs = Math.max(machineMs, termination.freedAtMs() - nowMs);
                if (termination.method() != TaskTermination.Method.AT_END
                        && termination.method() != TaskTermination.Method.WITHDRAW) {
                    tasks++;
                    cpuS += termination.lostCpuS();
                    double[] groupSums = groups.computeIfAbsent(
                            job.spec().team() + " " + job.spec().jobClass(), k -> new double[2]);
                    groupSums[0]++;
                    groupSums[1] += termination.lostCpuS();
                }
            }
            longestMs = Math.max(longestMs, machineMs);
            totalMs += machineMs;
        }
        long durationMs = !drain.replace()
                ? longestMs
                : machines.isEmpty()
                        ? 0
                        : ReplacementSteps.estimatedDurationMs(
                                drain.limits(),
                                machines.size(),
                                0,
                                (longestMs + totalMs / machines.size()) / 2,
                                startupMs);
        return new Cost(tasks, cpuS, groups, durationMs);
    }
}
