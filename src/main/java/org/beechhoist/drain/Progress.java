package org.beechhoist.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MachineId;

/**
 * The progress of a drain, stored by the leader under {@code dr/run/NAME}. Machines that are being drained and new machines in reserve
 * are listed by name; everything else is counted.
 */
public final class Progress {
    /** Version of the drain that this progress belongs to. */
    public long number;
    /** Machines that are being drained, and since when, in wall clock time. */
    public final Map<MachineId, Long> begun = new TreeMap<>();
    /** New machines that are in reserve for old ones, and since when, in wall clock time. */
    public final Map<MachineId, Long> spares = new TreeMap<>();

    /** Number of machines that are gone. */
    public int gone;
    /** Number of new machines that have become ordinary ones: one for each machine that is gone. */
    public int released;

    /** Number of steps so far. */
    public int steps;
    /** When the last machine of the first step was gone, in wall clock time; 0: it is not. */
    public long canaryGoneMs;
    /** Number of requested new machines, counted anew after each automatic pause. */
    public int sparesAsked;
    /** How many of these did not come up. */
    public int sparesFailed;
    /** Why the drain has paused automatically; null: it has not. */
    public String paused;

    /** Since when it has paused automatically, in wall clock time. */
    public long pausedMs;
    /** Number of automatic pauses so far. */
    public int pauses;
    /** Forecast at the start: number of tasks that will be evicted. */
    public int tasksForeseen;

    /** Forecast at the start: CPU seconds that will be lost. */
    public double cpuSForeseen;
    /** Forecast at the start: when the drain will end, in wall clock time. */
    public long endForeseenMs;
    /** Number of tasks evicted so far. */
    public int tasks;
    /** CPU seconds lost so far. */
    public double cpuS;
    /** When the last machine was gone, in wall clock time; 0: the drain is not over. */
    public long overMs;

    /** Returns the stored form; CPU seconds are rounded. */
    public ObjectNode toNode() {
        ObjectNode node = Codec.map()
                .put("number", number)
                .put("gone", gone)
                .put("released", released)
                .put("steps", steps)
                .put("canaryGone", canaryGoneMs)
                .put("sparesAsked", sparesAsked)
                .put("sparesFailed", sparesFailed)
                .put("paused", paused)
                .put("pausedAt", pausedMs)
                .put("pauses", pauses)
                .put("tasksForeseen", tasksForeseen)
                .put("cpuSForeseen", Math.round(cpuSForeseen))
                .put("endForeseen", endForeseenMs)
                .put("tasks", tasks)
                .put("cpuS", Math.round(cpuS))
                .put("over", overMs);
        writeMachines(node.putArray("begun"), begun);
        writeMachines(node.putArray("spares"), spares);
        return node;
    }

    private static void writeMachines(ArrayNode out, Map<MachineId, Long> machines) {
        machines.forEach((machine, at) -> out.add(machine.text()).add(at));
    }

    /** Reads the stored form; absent fields are zero. */
    public static Progress parse(JsonNode node) {
        Progress progress = new Progress();
        progress.number = node.path("number").asLong();
        progress.gone = node.path("gone").asInt();
        progress.released = node.path("released").asInt();
        progress.steps = node.path("steps").asInt();
        progress.canaryGoneMs = node.path("canaryGone").asLong();
        progress.sparesAsked = node.path("sparesAsked").asInt();
        progress.sparesFailed = node.path("sparesFailed").asInt();
        progress.paused = node.hasNonNull("paused") ? node.path("paused").asText() : null;
        progress.pausedMs = node.path("pausedAt").asLong();
        progress.pauses = node.path("pauses").asInt();
        progress.tasksForeseen = node.path("tasksForeseen").asInt();
        progress.cpuSForeseen = node.path("cpuSForeseen").asDouble();
        progress.endForeseenMs = node.path("endForeseen").asLong();
        progress.tasks = node.path("tasks").asInt();
        progress.cpuS = node.path("cpuS").asDouble();
        progress.overMs = node.path("over").asLong();
        readMachines(node.path("begun"), progress.begun);
        readMachines(node.path("spares"), progress.spares);
        return progress;
    }

    private static void readMachines(JsonNode rows, Map<MachineId, Long> out) {
        for (int i = 0; i + 1 < rows.size(); i += 2) {
            out.put(new MachineId(rows.get(i).asText()), rows.get(i + 1).asLong());
        }
    }
}
