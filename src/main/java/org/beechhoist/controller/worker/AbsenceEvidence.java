package org.beechhoist.controller.worker;

import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.Heartbeat;

/**
 * What a worker's heartbeat proves of a task that it does not name. A machine's silence proves nothing, and neither
 * does an old heartbeat.
 */
public enum AbsenceEvidence {
    /** Nothing: a launch may still be in flight, or the heartbeat is older than the launch. */
    NONE,
    /** The task is gone: the heartbeat was made after any command in flight could have arrived. */
    NEWER_HEARTBEAT,
    /**
     * The task is gone: the epoch that the launch was for is over, so the worker has ended all its tasks and refuses
     * late commands.
     */
    NEW_EPOCH;

    /**
     * A launch, as far as this term knows.
     *
     * @param maybeSent whether this term or an earlier one may have sent it
     * @param minEvidenceToken the lowest fencing token that a heartbeat must name to prove anything: a launch by an earlier
     *     leader might arrive after a heartbeat with a lower one
     * @param epoch the worker's epoch that it was sent for; 0: another term sent it, if any did
     * @param sequence the sequence number of the worker's newest message when it was sent
     */
    public record Launch(boolean maybeSent, FencingToken minEvidenceToken, long epoch, long sequence) {}

    /**
     * The commands that may still reach a worker.
     *
     * @param inFlight whether commands that were sent straight to it have no answer yet
     * @param unacknowledgedToken a launch that was sent with this token or a lower one may be executed minutes late
     */
    public record PendingCommands(boolean inFlight, FencingToken unacknowledgedToken) {
        /** Whether no command that was sent before can reach a worker any more that has seen the token. */
        public boolean noneExecutableAfter(FencingToken seen) {
            return !inFlight && seen.compareTo(unacknowledgedToken) > 0;
        }
    }

    /**
     * What the worker's own heartbeat (never its answer to a command or a probe) proves of a task that it does not
     * name.
     */
    public static AbsenceEvidence of(Launch launch, PendingCommands pending, Heartbeat heartbeat) {
        if (!launch.maybeSent) {
            return NONE; // it was not launched yet: there is nothing to prove
        }
        if (launch.epoch > 0 && heartbeat.epoch() > launch.epoch) {
            return NEW_EPOCH;
        }
        boolean madeAfterAllCommands = pending.noneExecutableAfter(heartbeat.fencingToken())
                && heartbeat.fencingToken().compareTo(launch.minEvidenceToken) >= 0;
        boolean madeAfterLaunch = heartbeat.isNewerThan(launch.epoch, launch.sequence);
        return madeAfterAllCommands && madeAfterLaunch ? NEWER_HEARTBEAT : NONE;
    }
}
