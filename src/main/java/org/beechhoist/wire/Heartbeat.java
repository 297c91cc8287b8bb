package org.beechhoist.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** A worker's report: the body of {@code POST /checkin} and of the answers of {@code /orders} and {@code /show}. */
public record Heartbeat(
        MachineId machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long epoch,
        long sequence,
        FencingToken fencingToken,
        Double preemptionNoticeS,
        List<TaskStatus> tasks) {
    /** A task on the machine. {@code cause} is null until it exited. */
    public record TaskStatus(TaskId task, long attempt, TaskState state, String cause, boolean checkpointStored) {}

    /** What a worker says of a task. */
    public enum TaskState {
        FETCHING,
        RUNNING,
        SAVING,
        EXITED,
        OTHER
    }

    public static Heartbeat parse(JsonNode node) throws MalformedMessageException {
        List<TaskStatus> tasks = new ArrayList<>();
        JsonNode pieces = node.get("pieces");
        if (pieces == null || !pieces.isArray()) {
            throw new MalformedMessageException("pieces: list expected");
        }
        for (JsonNode piece : pieces) {
            TaskId id = TaskId.parse(Codec.text(piece, "piece"));
            if (id == null) {
                throw new MalformedMessageException("piece: not a task id");
            }
            TaskState state =
                    switch (Codec.text(piece, "status")) {
                        case "fetching" -> TaskState.FETCHING;
                        case "running" -> TaskState.RUNNING;
                        case "saving" -> TaskState.SAVING;
                        case "exited" -> TaskState.EXITED;
                        default -> TaskState.OTHER;
                    };
            JsonNode stored = piece.get("stored");
            tasks.add(new TaskStatus(
                    id,
                    Codec.wholeNumber(piece, "try", 0, Long.MAX_VALUE),
                    state,
                    Codec.isAbsent(piece, "cause") ? null : Codec.text(piece, "cause"),
                    stored != null && stored.asBoolean(false)));
        }
        String machine = Codec.text(node, "host");
        if (machine.isEmpty() || machine.length() > 200) {
            throw new MalformedMessageException("host: 1 to 200 characters expected");
        }
        return new Heartbeat(
                new MachineId(machine),
                Codec.text(node, "address"),
                Codec.text(node, "hosttype"),
                Codec.text(node, "yard"),
                Codec.bool(node, "loaner"),
                Codec.wholeNumber(node, "shift", 0, Long.MAX_VALUE),
                Codec.wholeNumber(node, "counter", 0, Long.MAX_VALUE),
                new FencingToken(
                        Codec.isAbsent(node, "baton") ? 0 : Codec.wholeNumber(node, "baton", 0, Long.MAX_VALUE)),
                Codec.isAbsent(node, "warningS") ? null : Codec.number(node, "warningS", 0),
                tasks);
    }

    public boolean isNewerThan(long otherShift, long otherCounter) {
        return epoch > otherShift || (epoch == otherShift && sequence > otherCounter);
    }
}
