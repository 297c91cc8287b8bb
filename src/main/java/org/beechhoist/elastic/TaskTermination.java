package org.beechhoist.elastic;

/**
 * The termination of a surplus task: of the methods that free its resources in time, the one that loses the least work.
 *
 * @param atMs when its worker is sent the command; for {@link Method#AT_END}, when the task is expected to finish
 * @param freedAtMs when its resources are free
 * @param lostCpuS lost work in CPU seconds, including the time spent on saving a checkpoint
 */
public record TaskTermination(Method method, long atMs, long freedAtMs, double lostCpuS) {
    /** The methods of termination. */
    public enum Method {
        /** Its launch command was not sent and will not be. */
        WITHDRAW,
        /** Stopped while it waits for its image, before any work is done. */
        UNSTARTED,
        /** Stopped just after its next periodic checkpoint. */
        AT_SNAPSHOT,
        /** Left to finish. */
        AT_END,
        /** Stopped with time to save a checkpoint. */
        SAVE,
        /** Stopped at once; work since its last checkpoint is lost. */
        KILL
    }

    /** The state of a live task. {@code leftMs} is {@link #NEVER} for a service replica, which does not finish by itself. */
    public record LiveTask(
            boolean launchSent,
            boolean running,
            long elapsedMs,
            long remainingMs,
            double cpus,
            long checkpointIntervalMs,
            long checkpointCostMs) {
        boolean hasCheckpoints() {
            return checkpointIntervalMs > 0;
        }

        boolean runsIndefinitely() {
            return remainingMs == NEVER;
        }

        long sinceCheckpointMs() {
            return hasCheckpoints() ? elapsedMs % checkpointIntervalMs : elapsedMs;
        }
    }

    /**
     * The need for the task's resources: the time by which they are needed, and whether the task may be killed if
     * nothing else frees them by then.
     */
    public record CapacityNeed(long byMs, boolean mayKill) {}

    /** The remaining time of a task that does not finish by itself. */
    public static final long NEVER = Long.MAX_VALUE;
    /** Time from the decision until the worker stops the task and its report of that arrives. */
    private static final long STOP_DELAY_MS = 500;
    /** Delay of reports, from which the time of the next checkpoint is estimated. */
    private static final long REPORT_DELAY_MS = 1000;

    /** Relative error of the task speed, a tenth, from which the time of the next checkpoint is estimated. */
    private static final double SPEED_ERROR = 0.1;

    /** Returns the best termination of the task for the given need. */
    public static TaskTermination choose(LiveTask task, long nowMs, CapacityNeed need) {
        if (!task.launchSent()) {
            return new TaskTermination(Method.WITHDRAW, nowMs, nowMs, 0);
        }
        if (!task.running()) {
            return new TaskTermination(Method.UNSTARTED, nowMs, nowMs + STOP_DELAY_MS, 0);
        }
        TaskTermination kill = new TaskTermination(
                Method.KILL,
                nowMs,
                nowMs + STOP_DELAY_MS,
                task.runsIndefinitely() ? 0 : cpuS(task, task.sinceCheckpointMs()));
        TaskTermination best = task.runsIndefinitely() && !task.hasCheckpoints()
                ? kill
                : null; // a service replica without checkpoints has no work to lose
        if (!task.runsIndefinitely()) {
            best = better(
                    best,
                    new TaskTermination(Method.AT_END, nowMs + task.remainingMs(), nowMs + task.remainingMs(), 0),
                    need);
        }
        if (task.hasCheckpoints()) {
            best = better(
                    best,
                    new TaskTermination(
                            Method.SAVE,
                            nowMs,
                            nowMs + task.checkpointCostMs() + STOP_DELAY_MS,
                            cpuS(task, task.checkpointCostMs())),
                    need);
            best = better(best, atCheckpoint(task, nowMs), need);
        }
        boolean tooLate = best.freedAtMs() > need.byMs() && kill.freedAtMs() <= need.byMs();
        return tooLate && need.mayKill() ? kill : best;
    }

    private static TaskTermination atCheckpoint(LiveTask task, long nowMs) {
        long error =
                Math.min(task.checkpointIntervalMs(), REPORT_DELAY_MS + Math.round(SPEED_ERROR * task.elapsedMs()));
        long at = nowMs + task.checkpointIntervalMs() - task.sinceCheckpointMs() + REPORT_DELAY_MS;
        return new TaskTermination(Method.AT_SNAPSHOT, at, at + STOP_DELAY_MS, cpuS(task, error));
    }

    private static double cpuS(LiveTask task, long ms) {
        return task.cpus() * ms / 1000.0;
    }

    /**
     * Returns the better termination: one in time before one that is late; of two in time, the one that loses less
     * work; of two late ones, the one that frees the resources sooner.
     */
    private static TaskTermination better(TaskTermination first, TaskTermination second, CapacityNeed need) {
        if (first == null) {
            return second;
        }
        boolean firstInTime = first.freedAtMs() <= need.byMs();
        boolean secondInTime = second.freedAtMs() <= need.byMs();
        if (firstInTime != secondInTime) {
            return firstInTime ? first : second;
        }
        if (firstInTime && first.lostCpuS() != second.lostCpuS()) {
            return first.lostCpuS() < second.lostCpuS() ? first : second;
        }
        return first.freedAtMs() <= second.freedAtMs() ? first : second;
    }
}
