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

/** What emptying machines would cost and how long it would take, by what is known of their tasks now; budgets are not in it. */
final class DrainForecast {
    private static final long LEAST_MACHINE_MS = 3000;

    /**
     * @param tasks that would be stopped, {@code cpuS} what that throws away; by team and class too
     * @param lastsMs until the last machine is gone
     */
    record Cost(int tasks, double cpuS, Map<String, double[]> byGroup, long lastsMs) {
        ObjectNode into(ObjectNode node) {
            node.put("tasks", tasks).put("cpuS", Math.round(cpuS)).put("endsInS", lastsMs / 1000.0);
            ObjectNode groups = node.putObject("byTeamAndClass");
            byGroup.forEach((g, s) -> groups.putArray(g).add(Math.round(s[0])).add(Math.round(s[1])));
            return node;
        }
    }

    private DrainForecast() {}

    static Cost of(
            Drain drain,
            List<Machine> machines,
            ClusterState clusterState,
            MachineTypeCatalog machineTypes,
            BiFunction<Job, Placement, TaskTermination> ending,
            long nowMs) {
        int tasks = 0;
        double cpuS = 0;
        long longest = 0;
        long sum = 0;
        long boot = 0;
        Map<String, double[]> groups = new TreeMap<>();
        for (Machine machine : machines) {
            long frees = LEAST_MACHINE_MS;
            MachineType type = machineTypes.get(machine.type);
            boot = Math.max(boot, type == null ? 0 : Math.round(1000 * type.startupS()));
            for (Placement placement : machine.placements.values()) {
                Job job = clusterState.job(placement.task.job());
                if (job == null) {
                    continue;
                }
                TaskTermination how = ending.apply(job, placement);
                frees = Math.max(frees, how.freedAtMs() - nowMs);
                if (how.method() != TaskTermination.Method.AT_END && how.method() != TaskTermination.Method.WITHDRAW) {
                    tasks++;
                    cpuS += how.lostCpuS();
                    double[] gains = groups.computeIfAbsent(
                            job.spec().team() + " " + job.spec().jobClass(), k -> new double[2]);
                    gains[0]++;
                    gains[1] += how.lostCpuS();
                }
            }
            longest = Math.max(longest, frees);
            sum += frees;
        }
        long lasts = !drain.replace()
                ? longest
                : machines.isEmpty()
                        ? 0
                        : ReplacementSteps.estimatedDurationMs(
                                drain.limits(), machines.size(), 0, (longest + sum / machines.size()) / 2, boot);
        return new Cost(tasks, cpuS, groups, lasts);
    }
}
