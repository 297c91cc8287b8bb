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
 * are listed by name; all others are only counted.
 */
public final class Progress {
    /** Version of the drain that this progress belongs to. */
    public long drainVersion;
    /** Machines that are being drained, and the wall clock time at which each drain began. */
    public final Map<MachineId, Long> draining = new TreeMap<>();
    /** New machines that are in reserve for old ones, and the wall clock time at which each was rented. */
    public final Map<MachineId, Long> spares = new TreeMap<>();

    /** Number of machines that are gone. */
    public int gone;
    /** Number of new machines that were released into normal use: one for each machine that is gone. */
    public int sparesReleased;

    /** Number of steps so far. */
    public int steps;
    /** Wall clock time at which the last machine of the first step was gone; 0: not yet. */
    public long canaryGoneMs;
    /** Number of requested new machines; reset to the current spares after each automatic pause. */
    public int sparesRequested;
    /** Number of these that did not come up. */
    public int sparesFailed;
    /** Reason of the automatic pause; null: the drain has not paused. */
    public String pauseReason;

    /** Wall clock time at which the reason of the automatic pause was last seen. */
    public long pausedAtMs;
    /** Number of automatic pauses so far. */
    public int pauseCount;
    /** Forecast at the start: number of tasks that will be evicted. */
    public int forecastTasks;

    /** Forecast at the start: CPU seconds that will be lost. */
    public double forecastLostCpuS;
    /** Forecast at the start: wall clock time at which the drain will end. */
    public long forecastEndMs;
    /** Number of tasks evicted so far. */
    public int evictedTasks;
    /** CPU seconds lost so far. */
    public double lostCpuS;
    /** Wall clock time at which the last machine was gone; 0: the drain has not ended. */
    public long endedAtMs;

    /** Returns the stored form; CPU seconds are rounded. */
    public ObjectNode toNode() {
        ObjectNode node = Codec.map()
                .put("number", drainVersion)
                .put("gone", gone)
                .put("released", sparesReleased)
                .put("steps", steps)
                .put("canaryGone", canaryGoneMs)
                .put("sparesAsked", sparesRequested)
                .put("sparesFailed", sparesFailed)
                .put("paused", pauseReason)
                .put("pausedAt", pausedAtMs)
                .put("pauses", pauseCount)
                .put("tasksForeseen", forecastTasks)
                .put("cpuSForeseen", Math.round(forecastLostCpuS))
                .put("endForeseen", forecastEndMs)
                .put("tasks", evictedTasks)
                .put("cpuS", Math.round(lostCpuS))
                .put("over", endedAtMs);
        writeMachines(node.putArray("begun"), draining);
        writeMachines(node.putArray("spares"), spares);
        return node;
    }

    private static void writeMachines(ArrayNode out, Map<MachineId, Long> machines) {
        machines.forEach((machine, at) -> out.add(machine.text()).add(at));
    }

    /** Reads the stored form; absent fields are zero. */
    public static Progress parse(JsonNode node) {
        Progress progress = new Progress();
        progress.drainVersion = node.path("number").asLong();
        progress.gone = node.path("gone").asInt();
        progress.sparesReleased = node.path("released").asInt();
        progress.steps = node.path("steps").asInt();
        progress.canaryGoneMs = node.path("canaryGone").asLong();
        progress.sparesRequested = node.path("sparesAsked").asInt();
        progress.sparesFailed = node.path("sparesFailed").asInt();
        progress.pauseReason = node.hasNonNull("paused") ? node.path("paused").asText() : null;
        progress.pausedAtMs = node.path("pausedAt").asLong();
        progress.pauseCount = node.path("pauses").asInt();
        progress.forecastTasks = node.path("tasksForeseen").asInt();
        progress.forecastLostCpuS = node.path("cpuSForeseen").asDouble();
        progress.forecastEndMs = node.path("endForeseen").asLong();
        progress.evictedTasks = node.path("tasks").asInt();
        progress.lostCpuS = node.path("cpuS").asDouble();
        progress.endedAtMs = node.path("over").asLong();
        readMachines(node.path("begun"), progress.draining);
        readMachines(node.path("spares"), progress.spares);
        return progress;
    }

    private static void readMachines(JsonNode rows, Map<MachineId, Long> out) {
        for (int i = 0; i + 1 < rows.size(); i += 2) {
            out.put(new MachineId(rows.get(i).asText()), rows.get(i + 1).asLong());
        }
    }
}
