package org.beechhoist.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the state service holds of a job's tasks, by its record and the log together. */
public final class CommittedTasks {
    /** Attempts of the live tasks. */
    private final Map<Integer, Long> live = new HashMap<>();

    private TaskSet done;

    private CommittedTasks(TaskSet done) {
        this.done = done;
    }

    /** The record's tasks as they are now. */
    public static CommittedTasks of(JobRecord record) {
        CommittedTasks committed = new CommittedTasks(record.done.copy());
        record.live.forEach((i, p) -> committed.live.put(i, p.attempt));
        return committed;
    }

    /** The changes that lead from here to the record as it is now. */
    public TaskChanges changesTo(JobRecord record) {
        return changesTo(record, false);
    }

    /** The same, where this is the stored record alone: the result replaces all that the log says of the job. */
    public TaskChanges allChangesTo(JobRecord record) {
        return changesTo(record, true);
    }

    private TaskChanges changesTo(JobRecord record, boolean begins) {
        List<Placement> placed = new ArrayList<>();
        List<Integer> gone = new ArrayList<>();
        for (Map.Entry<Integer, Placement> entry : record.live.entrySet()) {
            Long attempt = live.get(entry.getKey());
            if (attempt == null || attempt != entry.getValue().attempt) {
                placed.add(entry.getValue());
            }
        }
        for (Integer task : live.keySet()) {
            if (!record.live.containsKey(task) && !record.done.contains(task)) {
                gone.add(task);
            }
        }
        return new TaskChanges(record.nextAttempt, placed, gone, record.done.minus(done), begins);
    }

    /** The state service holds these changes now, too. */
    public void apply(TaskChanges changes) {
        changes.removed().forEach(live::remove);
        changes.placed().forEach(p -> live.put(p.task.index(), p.attempt));
        done = done.plus(changes.done());
        changes.done().forEach(live::remove);
    }
}
