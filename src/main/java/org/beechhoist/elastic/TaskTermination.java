package org.beechhoist.elastic;

/**
 * How a surplus task is ended: the way that throws least away among those that free its room in time.
 *
 * @param atMs when its worker is told; for {@link Method#AT_END}, when it is expected to be over by itself
 * @param freedAtMs when its room is free
 * @param lostCpuS work thrown away, in CPU seconds, time spent saving included
 */
public record TaskTermination(Method method, long atMs, long freedAtMs, double lostCpuS) {
    /** The ways there are. */
    public enum Method {
        /** Its launch was never sent, and never will be. */
        WITHDRAW,
        /** It waits for its image; nothing of it has run. */
        UNSTARTED,
        /** Stopped just after it has saved by itself. */
        AT_SNAPSHOT,
        /** It comes to its own end. */
        AT_END,
        /** Stopped with time to save. */
        SAVE,
        /** Stopped at once: what it has not saved is lost. */
        KILL
    }

    /** What is known of a live task. {@code leftMs} is {@link #NEVER} for a replica, which has no end of its own. */
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

    /** Who needs the room: by when, and whether work may be thrown away where nothing else frees it by then. */
    public record CapacityNeed(long byMs, boolean mayKill) {}

    /** For a task whose end is not in sight. */
    public static final long NEVER = Long.MAX_VALUE;
    /** From the decision to the worker's stop, and from its stop to the report that proves it. */
    private static final long STOP_MS = 500;
    /** A snapshot is foreseen from reports, which come late, and from a speed that differs by a tenth. */
    private static final long REPORT_LATE_MS = 1000;

    private static final double SPEED_ERROR = 0.1;

    /** How the task is best ended, given who needs its place and when. */
    public static TaskTermination choose(LiveTask task, long nowMs, CapacityNeed need) {
        if (!task.launchSent()) {
            return new TaskTermination(Method.WITHDRAW, nowMs, nowMs, 0);
        }
        if (!task.running()) {
            return new TaskTermination(Method.UNSTARTED, nowMs, nowMs + STOP_MS, 0);
        }
        TaskTermination kill = new TaskTermination(
                Method.KILL,
                nowMs,
                nowMs + STOP_MS,
                task.runsIndefinitely() ? 0 : cpuS(task, task.sinceCheckpointMs()));
        TaskTermination best = task.runsIndefinitely() && !task.hasCheckpoints()
                ? kill
                : null; // a replica without checkpoints has nothing to lose
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
                            nowMs + task.checkpointCostMs() + STOP_MS,
                            cpuS(task, task.checkpointCostMs())),
                    need);
            best = better(best, atSnapshot(task, nowMs), need);
        }
        boolean tooLate = best.freedAtMs() > need.byMs() && kill.freedAtMs() <= need.byMs();
        return tooLate && need.mayKill() ? kill : best;
    }

    private static TaskTermination atSnapshot(LiveTask task, long nowMs) {
        long error = Math.min(task.checkpointIntervalMs(), REPORT_LATE_MS + Math.round(SPEED_ERROR * task.elapsedMs()));
        long at = nowMs + task.checkpointIntervalMs() - task.sinceCheckpointMs() + REPORT_LATE_MS;
        return new TaskTermination(Method.AT_SNAPSHOT, at, at + STOP_MS, cpuS(task, error));
    }

    private static double cpuS(LiveTask task, long ms) {
        return task.cpus() * ms / 1000.0;
    }

    /** In time before late; in time, what loses less; late, what is over sooner. */
    private static TaskTermination better(TaskTermination first, TaskTermination second, CapacityNeed need) {
        if (first == null) {
            return second;
        }
        boolean aInTime = first.freedAtMs() <= need.byMs();
        boolean bInTime = second.freedAtMs() <= need.byMs();
        if (aInTime != bInTime) {
            return aInTime ? first : second;
        }
        if (aInTime && first.lostCpuS() != second.lostCpuS()) {
            return first.lostCpuS() < second.lostCpuS() ? first : second;
        }
        return first.freedAtMs() <= second.freedAtMs() ? first : second;
    }
}
