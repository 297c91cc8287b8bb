package org.beechhoist.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.drain.Drain;
import org.beechhoist.drain.Progress;
import org.beechhoist.store.Placement;

/** Views of drains for the API. */
final class DrainViews {
    private static final int MAX_BLOCK_REASONS = 8;

    private DrainViews() {}

    /** Returns a text on how many tasks of the job are on machines that are being drained, or null if none is. */
    static String describeDrainedTasks(Job job, ClusterState clusterState) {
        Map<String, Integer> tasksByDrain = new TreeMap<>();
        for (Placement placement : job.record.live.values()) {
            Machine machine = clusterState.findMachine(placement.machine);
            if (machine != null && machine.cordonedBy != null) {
                tasksByDrain.merge(machine.cordonedBy, 1, Integer::sum);
            }
        }
        return tasksByDrain.entrySet().stream()
                .map(e -> e.getValue() + " of its tasks are on machines that drain " + e.getKey() + " empties")
                .reduce((a, b) -> a + "; " + b)
                .orElse(null);
    }

    private static String status(Drain drain, Progress progress, long wallMs) {
        if (progress.endedAtMs > 0) {
            return "over";
        }
        return !drain.blocksNewWork(wallMs)
                ? "undone"
                : drain.state() == Drain.State.PAUSED
                        ? "paused"
                        : drain.pauses().isPaused(wallMs)
                                ? "rests"
                                : progress.pauseReason != null ? "paused: " + progress.pauseReason : "works";
    }

    /**
     * Returns the view of one drain: the request, its progress, what blocks it, and its cost.
     *
     * @param remaining the forecast cost of the rest of the drain, or null
     */
    static ObjectNode drainView(
            Drain drain,
            Progress progress,
            List<Machine> machines,
            DrainForecast.Cost remaining,
            Map<String, Integer> blocked,
            long wallMs) {
        ObjectNode node = drain.toNode();
        int draining = 0;
        int empty = 0;
        int tasks = 0;
        for (Machine machine : machines) {
            boolean ownMachine = drain.name().equals(machine.cordonedBy);
            draining += ownMachine ? 1 : 0;
            empty += ownMachine && machine.placements.isEmpty() ? 1 : 0;
            tasks += ownMachine ? machine.placements.size() : 0;
        }
        node.put("now", status(drain, progress, wallMs))
                .put("machinesLeft", machines.size())
                .put("inHand", draining)
                .put("empty", empty)
                .put("tasksThere", tasks)
                .put("gone", progress.gone)
                .put("steps", progress.steps)
                .put("pauses", progress.pauseCount)
                .put("spares", progress.spares.size())
                .put("sparesAsked", progress.sparesRequested)
                .put("sparesFailed", progress.sparesFailed);
        node.putObject("foreseen")
                .put("tasks", progress.forecastTasks)
                .put("cpuS", Math.round(progress.forecastLostCpuS))
                .put("end", progress.forecastEndMs);
        node.putObject("was")
                .put("tasks", progress.evictedTasks)
                .put("cpuS", Math.round(progress.lostCpuS))
                .put("end", progress.endedAtMs);
        if (remaining != null) {
            remaining.writeTo(node.putObject("left"));
        }
        ObjectNode reasons = node.putObject("blocked");
        blocked.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .limit(MAX_BLOCK_REASONS)
                .forEach(e -> reasons.put(e.getKey(), e.getValue()));
        if (blocked.size() > MAX_BLOCK_REASONS) {
            reasons.put("and more", blocked.size() - MAX_BLOCK_REASONS);
        }
        return node;
    }
}
