package org.beechhoist.controller.worker;

import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.Heartbeat;

/**
 * The evidence in a worker's heartbeat that a task which it does not name is gone. A missing or old heartbeat proves
 * nothing.
 */
public enum AbsenceEvidence {
    /** No evidence: a launch may still be in flight, or the heartbeat is older than the launch. */
    NONE,
    /** The task is gone: the heartbeat was made after any command in flight could have arrived. */
    NEWER_HEARTBEAT,
    /**
     * The task is gone: the epoch of the launch has ended, so the worker has ended all its tasks and refuses late
     * commands.
     */
    NEW_EPOCH;

    /**
     * A launch of a task, as known in this term.
     *
     * @param maybeSent whether this term or an earlier one may have sent it
     * @param minEvidenceToken the lowest fencing token that a heartbeat must carry to be evidence: a launch by an
     *     earlier leader might arrive after a heartbeat with a lower one
     * @param epoch the worker's epoch that it was sent for; 0: another term sent it, if any did
     * @param sequence the sequence number of the worker's newest message when it was sent
     */
    public record Launch(boolean maybeSent, FencingToken minEvidenceToken, long epoch, long sequence) {}

    /**
     * The commands that may still reach a worker.
     *
     * @param inFlight whether commands that were sent directly to it have no response yet
     * @param unacknowledgedToken a launch that was sent with this token or a lower one may be executed minutes late
     */
    public record PendingCommands(boolean inFlight, FencingToken unacknowledgedToken) {
        /** Returns whether a worker that has seen the token refuses every command sent before. */
        public boolean noneExecutableAfter(FencingToken seen) {
            return !inFlight && seen.compareTo(unacknowledgedToken) > 0;
        }
    }

    /**
     * Returns the evidence in the worker's own heartbeat (never in its response to a command or a probe) that a task
     * which it does not name is gone.
     */
    public static AbsenceEvidence of(Launch launch, PendingCommands pending, Heartbeat heartbeat) {
        if (!launch.maybeSent) {
            return NONE; // not launched yet
        }
        if (launch.epoch != 0 && Long.compareUnsigned(heartbeat.epoch(), launch.epoch) > 0) {
            return NEW_EPOCH;
        }
        boolean madeAfterAllCommands = pending.noneExecutableAfter(heartbeat.fencingToken())
                && heartbeat.fencingToken().compareTo(launch.minEvidenceToken) >= 0;
        boolean madeAfterLaunch = heartbeat.isNewerThan(launch.epoch, launch.sequence);
        return madeAfterAllCommands && madeAfterLaunch ? NEWER_HEARTBEAT : NONE;
    }
}
