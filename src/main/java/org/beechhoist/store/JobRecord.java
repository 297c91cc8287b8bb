package org.beechhoist.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.TaskId;

/**
 * An open job as the state service keeps it: {@code jo/<ref>}, and for larger arrays the live tasks apart, in
 * {@code jo/<ref>/<chunk>} by task number, so that no value outgrows the limit and a change rewrites little. Ended
 * jobs are at {@code je/<ref>} with their final state alone.
 */
public final class JobRecord {
    public static final String OPEN_PREFIX = "jo/";
    public static final String ENDED_PREFIX = "je/";
    /** Fields of a live task; records of the first version had three, without the time. */
    private static final int STRIDE = 4;

    public final JobSpec spec;
    private int stride = STRIDE;
    public final long submittedWallMs;
    /** Attempts come from here and only grow, whatever the task. */
    public long nextAttempt = 1;

    public TaskSet done = new TaskSet();
    public final TreeMap<Integer, Placement> live = new TreeMap<>();
    /** When the cancellation was accepted, by the time of day; 0: not cancelled. */
    public long cancelledAtWallMs;

    public int failures;
    public String failureReason;
    /** Null for a job that was never given one: as many of its tasks may be on machines as there are. */
    public WidthRecord width;
    /** The number of the newest log segment whose news of this job are in the record. */
    public long foldedSegment;

    public RecordSizes sizes = RecordSizes.DEFAULT;

    /** The record of a job that has just been accepted. */
    public JobRecord(JobSpec spec, long submittedWallMs) {
        this.spec = spec;
        this.width = spec.width() == null
                ? null
                : new WidthRecord(spec.width(), 0, spec.width().min());
        this.submittedWallMs = submittedWallMs;
    }

    /** The key of an open job's record. */
    public static String openKey(JobId jobId) {
        return OPEN_PREFIX + jobId.text();
    }

    /** The key of an ended job's final state. */
    public static String endedKey(JobId jobId) {
        return ENDED_PREFIX + jobId.text();
    }

    /** Whether its cancellation was accepted. */
    public boolean isCancelled() {
        return cancelledAtWallMs > 0;
    }

    /** Whether all of its tasks are done. A service never is. */
    public boolean isComplete() {
        return !spec.isService() && done.size() == spec.tasks();
    }

    /** Whether its live tasks are stored apart from the record, in chunks. */
    public boolean isChunked() {
        return spec.tasks() > sizes.inlineTasks();
    }

    /** The key of the chunk that holds this task. */
    public String chunkKey(int task) {
        return openKey(spec.id()) + "/" + String.format("%04d", task / sizes.chunkTasks());
    }

    /** The record's own value. */
    public ObjectNode toNode() {
        ObjectNode node = Codec.map();
        node.set("spec", spec.toNode());
        node.put("at", submittedWallMs)
                .put("stride", STRIDE)
                .put("next", nextAttempt)
                .put("running", live.size());
        done.writeTo(node);
        if (isCancelled()) {
            node.put("cancel", cancelledAtWallMs);
        }
        if (foldedSegment > 0) {
            node.put("folded", foldedSegment);
        }
        if (failures > 0) {
            node.put("failures", failures).put("reason", failureReason);
        }
        if (width != null) {
            node.set("width", width.toNode());
        }
        if (!isChunked()) {
            ArrayNode list = node.putArray("live");
            live.values().forEach(p -> add(list, p));
        }
        return node;
    }

    /** The live tasks' chunks by key; none for a small job. */
    public Map<String, ArrayNode> chunks() {
        Map<String, ArrayNode> out = new HashMap<>();
        if (isChunked()) {
            for (Placement p : live.values()) {
                add(out.computeIfAbsent(chunkKey(p.task.index()), k -> Codec.list()), p);
            }
        }
        return out;
    }

    private static void add(ArrayNode list, Placement placement) {
        list.add(placement.task.index())
                .add(placement.attempt)
                .add(placement.machine.text())
                .add(placement.placedS);
    }

    /**
     * The job's final state as it is stored and answered.
     *
     * @param state {@code done} or {@code cancelled}
     */
    public ObjectNode finalStateNode(String state) {
        ObjectNode n = Codec.map().put("status", state).put("done", done.size());
        return spec.origin() == null ? n : n.put("origin", spec.origin());
    }

    /** Whether a value at an open key is a final state that has not been moved to its own key yet. */
    public static boolean isFinalState(JsonNode node) {
        return node != null && node.hasNonNull("status") && !node.has("spec");
    }

    /** When the cancellation that a record's value holds was accepted, by the wall clock; 0 where it holds none. */
    public static long cancelledAtWallMs(JsonNode value) {
        return value.path("cancel").longValue();
    }

    /** The width that a record's value holds, or null. */
    public static WidthRecord width(JsonNode value) throws MalformedMessageException {
        return Codec.isAbsent(value, "width") ? null : WidthRecord.parse(value.get("width"));
    }

    /** Reads a record's own value; chunks are added with {@link #addLiveTasks}. */
    public static JobRecord parse(JsonNode node) throws MalformedMessageException {
        if (node == null || !node.isObject() || node.get("spec") == null) {
            throw new MalformedMessageException("not a job record");
        }
        JobRecord record =
                new JobRecord(JobSpec.parse(node.get("spec")), node.path("at").longValue());
        record.stride = (int) (Codec.isAbsent(node, "stride") ? 3 : Codec.wholeNumber(node, "stride", 3, 16));
        record.nextAttempt = Codec.wholeNumber(node, "next", 1, Long.MAX_VALUE);
        record.done = TaskSet.parse(node, record.spec.tasks());
        record.cancelledAtWallMs = cancelledAtWallMs(node);
        record.foldedSegment = node.path("folded").longValue();
        record.failures = node.path("failures").intValue();
        record.failureReason = node.path("reason").textValue();
        record.width = width(node);
        if (node.has("live")) {
            record.addLiveTasks(node.get("live"));
        }
        return record;
    }

    /** Adds the live tasks of a chunk. */
    public void addLiveTasks(JsonNode list) throws MalformedMessageException {
        if (!list.isArray() || list.size() % stride != 0) {
            throw new MalformedMessageException("live tasks expected");
        }
        for (int i = 0; i < list.size(); i += stride) {
            TaskId id = new TaskId(spec.id(), list.get(i).intValue());
            Placement placement = new Placement(
                    id,
                    list.get(i + 1).longValue(),
                    new MachineId(list.get(i + 2).textValue()));
            placement.placedS = stride > 3 ? list.get(i + 3).intValue() : 0;
            live.put(id.index(), placement);
        }
    }

    /** Up to {@code most} tasks that neither are done nor may be anywhere, lowest first. */
    public List<Integer> waiting(int most) {
        List<Integer> out = new ArrayList<>();
        int first = done.nextAbsent(0);
        int end = Math.min(spec.tasks(), first + sizes.window());
        for (int i = first; i < end && out.size() < most; i = done.nextAbsent(i + 1)) {
            if (!live.containsKey(i)) {
                out.add(i);
            }
        }
        return out;
    }

    /** How many of its tasks are neither done nor on a machine. */
    public int waitingCount() {
        return spec.tasks() - done.size() - live.size();
    }
}
