package org.beechhoist.controller.worker;

import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.Heartbeat;

/**
 * What a report may change. Copies come late, many times, out of order, from machines long returned; only two things tell them
 * from the first sending: a newer message of the worker, and a token that no report can have had before this leadership began.
 */
public enum HeartbeatValidity {
    /** It names a token of this leadership: it was made since, and nothing newer of the worker is known. */
    CURRENT_TERM,
    /** Nothing newer is known, and it may be of any age: it is the worker's first since this leadership began, or a copy. */
    UNVERIFIED,
    /** It may be of an earlier worker of the name, whose messages would seem newer: it is answered, and says nothing. */
    PREVIOUS_INCARNATION,
    /** A newer message is known, which came just now: the worker may still wait for the answer to this one. */
    SUPERSEDED,
    /** A newer message is known, and whoever sent this one has stopped waiting: a copy, or a worker that began anew. */
    DUPLICATE;

    /** How long a worker waits for an answer, and what clocks and the way may add. */
    private static final long WORKER_WAITS_MS = 4000 + 1000;

    /**
     * @param fresh whether it is newer than all that is known of the worker
     * @param ghosts the newest token that an earlier worker of the name can have seen; none: there was no other
     * @param first the first token of this leadership
     * @param sinceNewestMs since the newest message of the worker came
     */
    public static HeartbeatValidity of(
            Heartbeat heartbeat, boolean fresh, FencingToken ghosts, FencingToken first, long sinceNewestMs) {
        if (ghosts.value() > 0 && heartbeat.fencingToken().compareTo(ghosts) <= 0) {
            return PREVIOUS_INCARNATION;
        }
        if (fresh) {
            return heartbeat.fencingToken().compareTo(first) >= 0 ? CURRENT_TERM : UNVERIFIED;
        }
        return sinceNewestMs <= WORKER_WAITS_MS ? SUPERSEDED : DUPLICATE;
    }

    /** Whether a 200 to it may renew the worker's lease. */
    public boolean mayRenewLease() {
        return this != DUPLICATE;
    }

    /** Whether it says anything of the machine as it is now: its notice, that it is there, that its silence is over. */
    public boolean isCurrent() {
        return this == CURRENT_TERM;
    }

    /** Whether it is held against the records. */
    public boolean isReconciled() {
        return this == CURRENT_TERM || this == UNVERIFIED;
    }
}
