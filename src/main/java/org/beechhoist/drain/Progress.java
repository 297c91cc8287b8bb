package org.beechhoist.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MachineId;

/**
 * How far a drain has come, as the leader keeps it: {@code dr/run/NAME}. What was begun, and the machines that stand beside, are named;
 * all else is counted.
 */
public final class Progress {
    /** Of which change of the drain it tells. */
    public long number;
    /** Machines in hand, and since when, by the time of day. */
    public final Map<MachineId, Long> begun = new TreeMap<>();
    /** New machines that stand beside the old ones. */
    public final Map<MachineId, Long> spares = new TreeMap<>();

    public int gone;
    /** Of the new ones, those that have become ordinary machines: one for each that is gone. */
    public int released;

    public int steps;
    public long canaryGoneMs;
    public int sparesAsked;
    public int sparesFailed;
    /** Why it goes no further by itself, and since when; null: it does. */
    public String paused;

    public long pausedMs;
    public int pauses;
    /** What it was thought to cost and to end when it began, and what it has cost. */
    public int tasksForeseen;

    public double cpuSForeseen;
    public long endForeseenMs;
    public int tasks;
    public double cpuS;
    /** When the last of its machines was gone; 0: it goes on. */
    public long overMs;

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
        hosts(node.putArray("begun"), begun);
        hosts(node.putArray("spares"), spares);
        return node;
    }

    private static void hosts(ArrayNode out, Map<MachineId, Long> hosts) {
        hosts.forEach((h, at) -> out.add(h.text()).add(at));
    }

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
        read(node.path("begun"), progress.begun);
        read(node.path("spares"), progress.spares);
        return progress;
    }

    private static void read(JsonNode rows, Map<MachineId, Long> out) {
        for (int i = 0; i + 1 < rows.size(); i += 2) {
            out.put(new MachineId(rows.get(i).asText()), rows.get(i + 1).asLong());
        }
    }
}
