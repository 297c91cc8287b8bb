package org.beechhoist.store;

import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.TaskId;

/**
 * Where a task may be. Task, attempt and machine are the committed record; the rest is what this leader knows of the launch, and it
 * decides which heartbeats prove that the task is not there.
 */
public final class Placement {
    /** The task. */
    public final TaskId task;
    /** The attempt of the task. */
    public final long attempt;
    /** The machine on which it may be. */
    public final MachineId machine;

    /** False while the transaction that records it is on its way: nothing may be launched before. */
    public boolean committed;
    /** A launch was sent, or an earlier leader may have sent one. */
    public boolean launchSent;
    /** The token of the launch that was sent directly to the worker, whose copies may arrive at any time; none: there was none. */
    public FencingToken directLaunchToken = FencingToken.NONE;
    /** Heartbeats with an older token prove nothing about it: an earlier leader's launch might follow them. */
    public FencingToken evidenceFrom = FencingToken.NONE;
    /** The epoch of the worker that the launch was for; 0 where this leader sent none. */
    public long launchEpoch;
    /** The newest message of the worker when the launch was sent. */
    public long launchSequence;
    /** When it was placed; for a recovered placement derived from {@link #placedS}. */
    public MonotonicTime placedAt = MonotonicTime.ZERO;
    /** Wall-clock seconds from the job's submission to this placement, by which a later leader estimates {@link #placedAt}. */
    public int placedS;
    /** It was read from the records: when it began to run is not known, only about when it was placed. */
    public boolean recovered;
    /** When a heartbeat first showed it running; null before. */
    public MonotonicTime runningSince;
    /** A heartbeat has shown it, in whatever state. */
    public boolean reported;
    /** A kill was decided. */
    public boolean stopRequested;
    /** When it is expected to have left the machine, in milliseconds of the monotonic clock; 0: it stays. */
    public long expectedGoneAtMs;
    /** The expected duration as planned, fetching of the image included. */
    public long expectedDurationMs;
    /** The part of that for fetching the image. */
    public long fetchMs;

    /** Returns the newest token that a direct launch of it may have carried; none: there was none. */
    public FencingToken newestLaunchToken() {
        return directLaunchToken.compareTo(evidenceFrom) >= 0 ? directLaunchToken : evidenceFrom;
    }

    /** A placement that is not committed yet. */
    public Placement(TaskId task, long attempt, MachineId machine) {
        this.task = task;
        this.attempt = attempt;
        this.machine = machine;
    }
}
