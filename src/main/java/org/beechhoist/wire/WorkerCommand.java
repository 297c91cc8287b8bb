package org.beechhoist.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** A command to a worker. */
public record WorkerCommand(Verb verb, TaskId task, long attempt, double graceS) {
    /** What a worker can be told. */
    public enum Verb {
        LAUNCH,
        KILL,
        FORGET
    }

    public static WorkerCommand launch(TaskId task, long attempt) {
        return new WorkerCommand(Verb.LAUNCH, task, attempt, 0);
    }

    public static WorkerCommand kill(TaskId task, long attempt, double graceS) {
        return new WorkerCommand(Verb.KILL, task, attempt, graceS);
    }

    public static WorkerCommand forget(TaskId task, long attempt) {
        return new WorkerCommand(Verb.FORGET, task, attempt, 0);
    }

    public static ArrayNode toNode(List<WorkerCommand> orders) {
        ArrayNode out = Codec.list();
        for (WorkerCommand command : orders) {
            ObjectNode node = out.addObject();
            node.put("verb", command.verb.name().toLowerCase(java.util.Locale.ROOT))
                    .put("piece", command.task.toString())
                    .put("try", command.attempt);
            if (command.verb == Verb.KILL) {
                node.put("windDownS", command.graceS);
            }
        }
        return out;
    }
}
