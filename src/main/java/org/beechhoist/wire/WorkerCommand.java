package org.beechhoist.wire;

import static org.beechhoist.wire.ProtocolFields.ATTEMPT;
import static org.beechhoist.wire.ProtocolFields.GRACE_S;
import static org.beechhoist.wire.ProtocolFields.TASK;
import static org.beechhoist.wire.ProtocolFields.VERB;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;

/** A command to a worker. */
public record WorkerCommand(Verb verb, TaskId task, long attempt, double graceS) {
    /** What a worker can be told. */
    public enum Verb {
        /** Start an attempt of a task. */
        LAUNCH,
        /** End an attempt. */
        KILL,
        /** Take an exited attempt off the heartbeats. */
        FORGET
    }

    /** Starts an attempt of a task. */
    public static WorkerCommand launch(TaskId task, long attempt) {
        return new WorkerCommand(Verb.LAUNCH, task, attempt, 0);
    }

    /**
     * Ends an attempt of a task.
     *
     * @param graceS how long it may save its state; 0 ends it at once
     */
    public static WorkerCommand kill(TaskId task, long attempt, double graceS) {
        return new WorkerCommand(Verb.KILL, task, attempt, graceS);
    }

    /** Takes an attempt that has exited off the worker's heartbeats. */
    public static WorkerCommand forget(TaskId task, long attempt) {
        return new WorkerCommand(Verb.FORGET, task, attempt, 0);
    }

    /** The commands as they are sent, in the order in which they are to be carried out. */
    public static ArrayNode toNode(List<WorkerCommand> commands) {
        ArrayNode out = Codec.list();
        for (WorkerCommand command : commands) {
            ObjectNode node = out.addObject();
            node.put(VERB, command.verb.name().toLowerCase(Locale.ROOT)).put(TASK, command.task.toString());
            Codec.putUnsigned(node, ATTEMPT, command.attempt);
            if (command.verb == Verb.KILL) {
                node.put(GRACE_S, command.graceS);
            }
        }
        return out;
    }
}
