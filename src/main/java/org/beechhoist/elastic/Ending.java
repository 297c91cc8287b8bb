package org.beechhoist.elastic;

/**
 * How a surplus task is ended: the way that throws least away among those that free its room in time.
 *
 * @param atMs when its worker is told; for {@link Way#AT_END}, when it is expected to be over by itself
 * @param freesAtMs when its room is free
 * @param lostCpuS work thrown away, in CPU seconds, time spent saving included
 */
public record Ending(Way way, long atMs, long freesAtMs, double lostCpuS) {
    /** The ways there are. */
    public enum Way {
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
    public record Task(
            boolean sent, boolean running, long ranMs, long leftMs, double cpus, long snapshotEveryMs, long saveMs) {
        boolean saves() {
            return snapshotEveryMs > 0;
        }

        boolean endless() {
            return leftMs == NEVER;
        }

        long sinceSnapshotMs() {
            return saves() ? ranMs % snapshotEveryMs : ranMs;
        }
    }

    /** Who needs the room: by when, and whether work may be thrown away where nothing else frees it by then. */
    public record Need(long byMs, boolean mayKill) {}

    /** For a task whose end is not in sight. */
    public static final long NEVER = Long.MAX_VALUE;
    /** From the decision to the worker's stop, and from its stop to the report that proves it. */
    private static final long STOP_MS = 500;
    /** A snapshot is foreseen from reports, which come late, and from a speed that differs by a tenth. */
    private static final long REPORT_LATE_MS = 1000;

    private static final double SPEED_ERROR = 0.1;

    /** How the task is best ended, given who needs its place and when. */
    public static Ending choose(Task task, long nowMs, Need need) {
        if (!task.sent()) {
            return new Ending(Way.WITHDRAW, nowMs, nowMs, 0);
        }
        if (!task.running()) {
            return new Ending(Way.UNSTARTED, nowMs, nowMs + STOP_MS, 0);
        }
        Ending kill =
                new Ending(Way.KILL, nowMs, nowMs + STOP_MS, task.endless() ? 0 : cpuS(task, task.sinceSnapshotMs()));
        Ending best =
                task.endless() && !task.saves() ? kill : null; // a replica without checkpoints has nothing to lose
        if (!task.endless()) {
            best = better(best, new Ending(Way.AT_END, nowMs + task.leftMs(), nowMs + task.leftMs(), 0), need);
        }
        if (task.saves()) {
            best = better(
                    best,
                    new Ending(Way.SAVE, nowMs, nowMs + task.saveMs() + STOP_MS, cpuS(task, task.saveMs())),
                    need);
            best = better(best, atSnapshot(task, nowMs), need);
        }
        boolean tooLate = best.freesAtMs() > need.byMs() && kill.freesAtMs() <= need.byMs();
        return tooLate && need.mayKill() ? kill : best;
    }

    private static Ending atSnapshot(Task task, long nowMs) {
        long error = Math.min(task.snapshotEveryMs(), REPORT_LATE_MS + Math.round(SPEED_ERROR * task.ranMs()));
        long at = nowMs + task.snapshotEveryMs() - task.sinceSnapshotMs() + REPORT_LATE_MS;
        return new Ending(Way.AT_SNAPSHOT, at, at + STOP_MS, cpuS(task, error));
    }

    private static double cpuS(Task task, long ms) {
        return task.cpus() * ms / 1000.0;
    }

    /** In time before late; in time, what loses less; late, what is over sooner. */
    private static Ending better(Ending first, Ending second, Need need) {
        if (first == null) {
            return second;
        }
        boolean aInTime = first.freesAtMs() <= need.byMs();
        boolean bInTime = second.freesAtMs() <= need.byMs();
        if (aInTime != bInTime) {
            return aInTime ? first : second;
        }
        if (aInTime && first.lostCpuS() != second.lostCpuS()) {
            return first.lostCpuS() < second.lostCpuS() ? first : second;
        }
        return first.freesAtMs() <= second.freesAtMs() ? first : second;
    }
}
