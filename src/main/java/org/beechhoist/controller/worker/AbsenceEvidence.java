package org.beechhoist.controller.worker;

import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.Heartbeat;

/** What a worker's report proves of a task that is not in it. Silence, and an old report, prove nothing. */
public enum AbsenceEvidence {
    /** A launch may still be on its way, or the report is older than it. */
    NONE,
    /** The report was made after any command in flight could have arrived. */
    NEWER_HEARTBEAT,
    /** The session that the launch was for is over: the worker has ended all that it had, and refuses late commands for it. */
    NEW_EPOCH;

    /**
     * A launch, as far as this leadership knows.
     *
     * @param maybeSent by this leadership or an earlier one
     * @param provenFrom reports that have not seen this token can't speak for it: an earlier leader's launch might follow them
     * @param shift the session it was for, and {@code counter} the newest message of the worker when it was sent; 0: another
     *     leadership sent it, if anybody did
     */
    public record Launch(boolean maybeSent, FencingToken evidenceFrom, long epoch, long sequence) {}

    /**
     * What may still reach a worker.
     *
     * @param ordersOut orders sent straight to it have not been answered yet
     * @param limbo a launch sent with this token or a lower one may be executed minutes late
     */
    public record PendingCommands(boolean inFlight, FencingToken unacknowledgedToken) {
        /** Whether a worker that has seen the token can get no command any more that was sent before. */
        public boolean noneCanArriveAt(FencingToken seen) {
            return !inFlight && seen.compareTo(unacknowledgedToken) > 0;
        }
    }

    /** What the worker's own report (never an answer to a command or a question) says of a task that it does not hold. */
    public static AbsenceEvidence of(Launch launch, PendingCommands inFlight, Heartbeat heartbeat) {
        if (!launch.maybeSent) {
            return NONE; // it was not launched yet: there is nothing to be proven
        }
        if (launch.epoch > 0 && heartbeat.epoch() > launch.epoch) {
            return NEW_EPOCH;
        }
        boolean seesAll = inFlight.noneCanArriveAt(heartbeat.fencingToken())
                && heartbeat.fencingToken().compareTo(launch.evidenceFrom) >= 0;
        return seesAll && heartbeat.isNewerThan(launch.epoch, launch.sequence) ? NEWER_HEARTBEAT : NONE;
    }
}
