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

/** What people are told of drains. */
final class DrainViews {
    private static final int MAX_BLOCK_REASONS = 8;

    private DrainViews() {}

    /** What a person asks about a job some of whose tasks are on machines that are emptied, or null. */
    static String describeDrainedTasks(Job job, ClusterState clusterState) {
        Map<String, Integer> by = new TreeMap<>();
        for (Placement placement : job.record.live.values()) {
            Machine machine = clusterState.findMachine(placement.machine);
            if (machine != null && machine.cordonedBy != null) {
                by.merge(machine.cordonedBy, 1, Integer::sum);
            }
        }
        return by.entrySet().stream()
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
     * One drain: what was put, how far it is, what keeps it, and what it costs.
     *
     * @param left what the rest would cost by what is known now, or null
     */
    static ObjectNode drainView(
            Drain drain,
            Progress progress,
            List<Machine> matched,
            DrainForecast.Cost left,
            Map<String, Integer> blocked,
            long wallMs) {
        ObjectNode node = drain.toNode();
        int hand = 0;
        int empty = 0;
        int tasks = 0;
        for (Machine machine : matched) {
            boolean mine = drain.name().equals(machine.cordonedBy);
            hand += mine ? 1 : 0;
            empty += mine && machine.placements.isEmpty() ? 1 : 0;
            tasks += mine ? machine.placements.size() : 0;
        }
        node.put("now", status(drain, progress, wallMs))
                .put("machinesLeft", matched.size())
                .put("inHand", hand)
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
        if (left != null) {
            left.writeTo(node.putObject("left"));
        }
        ObjectNode why = node.putObject("blocked");
        blocked.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .limit(MAX_BLOCK_REASONS)
                .forEach(e -> why.put(e.getKey(), e.getValue()));
        if (blocked.size() > MAX_BLOCK_REASONS) {
            why.put("and more", blocked.size() - MAX_BLOCK_REASONS);
        }
        return node;
    }
}
