package org.beechhoist.wire;

import static org.beechhoist.wire.ProtocolFields.ATTEMPT;
import static org.beechhoist.wire.ProtocolFields.CHECKPOINT_STORED;
import static org.beechhoist.wire.ProtocolFields.EPOCH;
import static org.beechhoist.wire.ProtocolFields.EXIT_CAUSE;
import static org.beechhoist.wire.ProtocolFields.FENCING_TOKEN;
import static org.beechhoist.wire.ProtocolFields.MACHINE;
import static org.beechhoist.wire.ProtocolFields.MACHINE_TYPE;
import static org.beechhoist.wire.ProtocolFields.PREEMPTION_NOTICE_S;
import static org.beechhoist.wire.ProtocolFields.SEQUENCE;
import static org.beechhoist.wire.ProtocolFields.SPOT;
import static org.beechhoist.wire.ProtocolFields.TASK;
import static org.beechhoist.wire.ProtocolFields.TASK_COUNT;
import static org.beechhoist.wire.ProtocolFields.TASK_STATE;
import static org.beechhoist.wire.ProtocolFields.ZONE;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A worker's heartbeat with the status of its tasks: the body of {@code POST /checkin}, and of the answers to commands ({@code
 * /orders}) and probes ({@code /show}).
 *
 * @param epoch the worker's incarnation: larger after each of its leases has expired; unsigned
 * @param sequence the number of this message within the epoch; unsigned
 * @param fencingToken the newest token that the worker has seen
 * @param preemptionNoticeS how long until the cloud takes the machine back, or null without a notice
 */
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
    /** A task on the machine. {@code attempt} is unsigned, {@code cause} is null until it exited. */
    public record TaskStatus(TaskId task, long attempt, TaskState state, String cause, boolean checkpointStored) {
        /** Returns the attempt whose status this is. */
        public TaskAttempt taskAttempt() {
            return new TaskAttempt(task, attempt);
        }
    }

    /** What a worker says of a task. */
    public enum TaskState {
        /** Its image is being fetched. */
        FETCHING,
        /** It runs. */
        RUNNING,
        /** It was killed and saves its state. */
        SAVING,
        /** It has ended; {@link TaskStatus#cause} says why. */
        EXITED,
        /** A state that this version does not know: the task is there. */
        OTHER
    }

    private static final int MAX_MACHINE_ID = 200;

    /** Reads the body of {@code POST /checkin}, or of a worker's answer to commands and probes. */
    public static Heartbeat parse(JsonNode node) throws MalformedMessageException {
        List<TaskStatus> tasks = new ArrayList<>();
        JsonNode pieces = node.get(TASK_COUNT);
        if (pieces == null || !pieces.isArray()) {
            throw new MalformedMessageException("pieces: list expected");
        }
        for (JsonNode piece : pieces) {
            tasks.add(parseTask(piece));
        }
        String machine = Codec.text(node, MACHINE);
        if (machine.isEmpty() || machine.length() > MAX_MACHINE_ID) {
            throw new MalformedMessageException("host: 1 to 200 characters expected");
        }
        return new Heartbeat(
                new MachineId(machine),
                Codec.text(node, "address"),
                Codec.text(node, MACHINE_TYPE),
                Codec.text(node, ZONE),
                Codec.bool(node, SPOT),
                Codec.unsignedNumber(node, EPOCH),
                Codec.unsignedNumber(node, SEQUENCE),
                new FencingToken(Codec.isAbsent(node, FENCING_TOKEN) ? 0 : Codec.unsignedNumber(node, FENCING_TOKEN)),
                Codec.isAbsent(node, PREEMPTION_NOTICE_S) ? null : Codec.number(node, PREEMPTION_NOTICE_S, 0),
                tasks);
    }

    private static TaskStatus parseTask(JsonNode node) throws MalformedMessageException {
        TaskId id = TaskId.parse(Codec.text(node, TASK));
        if (id == null) {
            throw new MalformedMessageException("piece: not a task id");
        }
        JsonNode stored = node.get(CHECKPOINT_STORED);
        TaskState state = parseState(Codec.text(node, TASK_STATE));
        return new TaskStatus(
                id,
                Codec.unsignedNumber(node, ATTEMPT),
                state,
                Codec.isAbsent(node, EXIT_CAUSE) ? null : Codec.text(node, EXIT_CAUSE),
                stored != null && stored.asBoolean(false));
    }

    private static TaskState parseState(String text) {
        return switch (text) {
            case "fetching" -> TaskState.FETCHING;
            case "running" -> TaskState.RUNNING;
            case "saving" -> TaskState.SAVING;
            case "exited" -> TaskState.EXITED;
            default -> TaskState.OTHER;
        };
    }

    /** Whether the worker sent it after the message with this epoch and sequence number. */
    public boolean isNewerThan(long otherEpoch, long otherSequence) {
        return compareTo(otherEpoch, otherSequence) > 0;
    }

    /** Whether it is the message with this epoch and sequence number, or the worker sent it after that. */
    public boolean isNotOlderThan(long otherEpoch, long otherSequence) {
        return compareTo(otherEpoch, otherSequence) >= 0;
    }

    private int compareTo(long otherEpoch, long otherSequence) {
        int byEpoch = Long.compareUnsigned(epoch, otherEpoch);
        return byEpoch != 0 ? byEpoch : Long.compareUnsigned(sequence, otherSequence);
    }
}
