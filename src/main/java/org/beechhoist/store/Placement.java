package org.beechhoist.store;

import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.TaskId;

/**
 * Where a task may be. The first three fields are the committed record; the rest is what this leader knows of the
 * launch, and it decides which reports prove that the task is not there.
 */
public final class Placement {
    public final TaskId task;
    public final long attempt;
    public final MachineId machine;

    /** False while the transaction that records it is on its way: nothing may be launched before. */
    public boolean committed;
    /** A launch has been sent, or an earlier leader may have sent one. */
    public boolean launchSent;
    /** Reports older than this token can't speak for it: an earlier leader's launch might follow them. */
    public FencingToken evidenceFrom = FencingToken.NONE;
    /** The session the launch was for, and the report that its reply answered. */
    public long launchEpoch;

    public long launchSequence;
    public MonotonicTime placedAt = MonotonicTime.ZERO;
    /** Seconds from the job's submission to this placement, by the time of day: a later leader's guess of {@link #since}. */
    public int placedS;
    /** Taken from the record: when it began to run is not known, only about when it was placed. */
    public boolean recovered;
    /** When a report first showed it running; null before. */
    public MonotonicTime runningSince;
    /** A report has shown it, in whatever state. */
    public boolean reported;

    public boolean stopRequested;
    /** When its room is expected to be free, for it is to go; 0: it stays. */
    public long expectedGoneAtMs;
    /** Expected length, fetch included, as planned. */
    public long expectedDurationMs;

    public long fetchMs;

    /** A placement that is not committed yet. */
    public Placement(TaskId task, long attempt, MachineId machine) {
        this.task = task;
        this.attempt = attempt;
        this.machine = machine;
    }
}
