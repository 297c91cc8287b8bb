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
public record TaskChanges(long nextAttempt, List<Placement> placed, List<Integer> gone, TaskSet done, boolean begins) {
    private static final int STRIDE = 4;

    public boolean isEmpty() {
        return placed.isEmpty() && gone.isEmpty() && done.size() == 0;
    }

    /** Bytes at most, in the form that limits count. */
    int bytes(JobId ref) {
        int bytes = ref.text().length() + 60 + 8 * gone.size() + done.runBytes();
        for (Placement p : placed) {
            bytes += p.host.text().length() + RecordSizes.TASK_BYTES - 8;
        }
        return bytes;
    }

    /** As many parts as are needed for each to take about that many bytes; one where it does anyway. */
    List<TaskChanges> parts(JobId ref, int most) {
        if (bytes(ref) <= most || placed.size() + gone.size() <= 2) {
            return List.of(this);
        }
        int half = placed.size() / 2;
        int halfGone = gone.size() / 2;
        List<TaskChanges> out = new ArrayList<>(
                new TaskChanges(nextAttempt, placed.subList(0, half), gone.subList(0, halfGone), done, begins)
                        .parts(ref, most));
        out.addAll(new TaskChanges(
                        nextAttempt,
                        placed.subList(half, placed.size()),
                        gone.subList(halfGone, gone.size()),
                        new TaskSet(),
                        false)
                .parts(ref, most));
        return out;
    }

    /** Makes the record what it was when this was written, given what it was before. */
    public void apply(JobRecord record) {
        record.nextAttempt = Math.max(record.nextAttempt, nextAttempt);
        gone.forEach(record.live::remove);
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
        placed.forEach(
                p -> live.add(p.task.index()).add(p.attempt).add(p.host.text()).add(p.placedS));
        ArrayNode left = node.putArray("gone");
        gone.forEach(left::add);
        done.write(node);
        if (begins) {
            node.put("begins", true);
        }
        return node;
    }

    static TaskChanges parse(JobId ref, int tasks, JsonNode node) throws MalformedMessageException {
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
                    new TaskId(ref, index),
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
                Codec.count(node, "next", 1, Long.MAX_VALUE),
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
