package org.beechhoist.wire;

/**
 * One attempt to run a task.
 *
 * @param task the task
 * @param number the number of the attempt, which is used once per task
 */
public record TaskAttempt(TaskId task, long number) {
    @Override
    public String toString() {
        return task + "@" + number;
    }
}
