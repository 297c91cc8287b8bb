package org.beechhoist.controller.worker;

import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.Heartbeat;

/**
 * The validity of a heartbeat, which determines what it may change. Copies of heartbeats arrive late, repeatedly, out
 * of order, and from machines that were returned long ago. Only two things distinguish them from the original: a newer
 * message of the worker, and a fencing token that no heartbeat can have named before this term began.
 */
public enum HeartbeatValidity {
    /** It names a token of this term, so it was made since the term began, and nothing newer of the worker is known. */
    CURRENT_TERM,
    /** Nothing newer is known, but it may be of any age: it is the worker's first since this term began, or a copy. */
    UNVERIFIED,
    /**
     * It may come from an earlier worker of the same name, whose messages would seem newer: it is answered, and changes
     * nothing.
     */
    PREVIOUS_INCARNATION,
    /** A newer message is known, but arrived only recently: the worker may still wait for the response to this one. */
    SUPERSEDED,
    /**
     * A newer message is known, and the sender of this one no longer waits: it is a copy, or the worker has restarted.
     */
    DUPLICATE;

    /** The time that a worker waits for a response, plus the delay that clocks and the network may add. */
    private static final long WORKER_TIMEOUT_MS = 4000 + 1000;

    /**
     * The validity of a heartbeat.
     *
     * @param fresh whether it is newer than all that is known of the worker
     * @param previousIncarnationToken the newest token that an earlier worker of the name can have seen; none: there
     *     was no other
     * @param firstOfTerm the first token of this term
     * @param sinceNewestMs the time since the newest message of the worker arrived
     */
    public static HeartbeatValidity of(
            Heartbeat heartbeat,
            boolean fresh,
            FencingToken previousIncarnationToken,
            FencingToken firstOfTerm,
            long sinceNewestMs) {
        if (!fresh) {
            return sinceNewestMs <= WORKER_TIMEOUT_MS ? SUPERSEDED : DUPLICATE;
        }
        boolean hadPreviousIncarnation = !previousIncarnationToken.equals(FencingToken.NONE);
        if (hadPreviousIncarnation && heartbeat.fencingToken().compareTo(previousIncarnationToken) <= 0) {
            return PREVIOUS_INCARNATION;
        }
        return heartbeat.fencingToken().compareTo(firstOfTerm) >= 0 ? CURRENT_TERM : UNVERIFIED;
    }

    /**
     * Returns whether the worker may have restarted, which only its answer to a probe distinguishes from a copy of an early
     * heartbeat. A restarted worker that was not sent anything yet names no token.
     */
    public boolean mayBeOfRestartedWorker(Heartbeat heartbeat) {
        return this == DUPLICATE
                || this == SUPERSEDED && heartbeat.fencingToken().equals(FencingToken.NONE);
    }

    /** Returns whether the response may have status 200, which renews the worker's lease. */
    public boolean mayRenewLease() {
        return this != DUPLICATE;
    }

    /**
     * Returns whether it proves the current state of the machine: its presence, its preemption notice, the resumption
     * of heartbeats.
     */
    public boolean isCurrent() {
        return this == CURRENT_TERM;
    }

    /** Returns whether it is reconciled with the records. */
    public boolean shouldReconcile() {
        return this == CURRENT_TERM || this == UNVERIFIED;
    }
}
