package org.beechhoist.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.TaskId;

/**
 * What changed of a job's tasks: placements that are new, tasks that are on no machine any more, and tasks that are done
 * (and on no machine either). The next attempt's number comes with it, for attempts only grow.
 *
 * @param begins from here on the log says all that differs from the job's record; what older segments say counts no more
 */
public record TaskChanges(
        long nextAttempt, List<Placement> placed, List<Integer> removed, TaskSet done, boolean replacesEarlier) {
    private static final int STRIDE = 4;

    /** Whether nothing changed. */
    public boolean isEmpty() {
        return placed.isEmpty() && removed.isEmpty() && done.size() == 0;
    }

    /** Bytes at most, in the form that limits count. */
    int maxBytes(JobId jobId) {
        int bytes = jobId.text().length() + 60 + 8 * removed.size() + done.maxBytes();
        for (Placement p : placed) {
            bytes += p.machine.text().length() + RecordSizes.TASK_BYTES - 8;
        }
        return bytes;
    }

    /** As many parts as are needed for each to take about that many bytes; one where it does anyway. */
    List<TaskChanges> split(JobId jobId, int most) {
        if (maxBytes(jobId) <= most || placed.size() + removed.size() <= 2) {
            return List.of(this);
        }
        int half = placed.size() / 2;
        int halfGone = removed.size() / 2;
        List<TaskChanges> out = new ArrayList<>(new TaskChanges(
                        nextAttempt, placed.subList(0, half), removed.subList(0, halfGone), done, replacesEarlier)
                .split(jobId, most));
        out.addAll(new TaskChanges(
                        nextAttempt,
                        placed.subList(half, placed.size()),
                        removed.subList(halfGone, removed.size()),
                        new TaskSet(),
                        false)
                .split(jobId, most));
        return out;
    }

    /** Makes the record what it was when this was written, given what it was before. */
    public void apply(JobRecord record) {
        record.nextAttempt = Math.max(record.nextAttempt, nextAttempt);
        removed.forEach(record.live::remove);
        for (Placement p : placed) {
            record.live.put(p.task.index(), p);
        }
        done.forEach(task -> {
            record.done.add(task);
            record.live.remove(task);
        });
    }

    ObjectNode toNode() {
        ObjectNode node = Codec.map().put("next", nextAttempt);
        ArrayNode live = node.putArray("live");
        placed.forEach(p ->
                live.add(p.task.index()).add(p.attempt).add(p.machine.text()).add(p.placedS));
        ArrayNode left = node.putArray("gone");
        removed.forEach(left::add);
        done.writeTo(node);
        if (replacesEarlier) {
            node.put("begins", true);
        }
        return node;
    }

    static TaskChanges parse(JobId jobId, int tasks, JsonNode node) throws MalformedMessageException {
        JsonNode live = node.path("live");
        JsonNode left = node.path("gone");
        if (!live.isArray() || live.size() % STRIDE != 0 || !left.isArray()) {
            throw new MalformedMessageException("placed and gone tasks expected");
        }
        List<Placement> placed = new ArrayList<>();
        for (int i = 0; i < live.size(); i += STRIDE) {
            int index = index(live.get(i), tasks);
            if (!live.get(i + 1).canConvertToLong() || !live.get(i + 2).isTextual()) {
                throw new MalformedMessageException("live: attempt and machine of task " + index + " expected");
            }
            Placement placement = new Placement(
                    new TaskId(jobId, index),
                    live.get(i + 1).longValue(),
                    new MachineId(live.get(i + 2).textValue()));
            placement.placedS = live.get(i + 3).intValue();
            placed.add(placement);
        }
        List<Integer> gone = new ArrayList<>();
        for (JsonNode g : left) {
            gone.add(index(g, tasks));
        }
        return new TaskChanges(
                Codec.wholeNumber(node, "next", 1, Long.MAX_VALUE),
                placed,
                gone,
                TaskSet.parse(node, tasks),
                node.path("begins").asBoolean());
    }

    private static int index(JsonNode node, int tasks) throws MalformedMessageException {
        if (!node.isInt() || node.intValue() < 0 || node.intValue() >= tasks) {
            throw new MalformedMessageException("task " + node + " of " + tasks);
        }
        return node.intValue();
    }
}
