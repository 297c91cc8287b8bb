package org.beechhoist.controller.worker;

import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.Heartbeat;

/**
 * What a heartbeat may change. Copies of heartbeats arrive late, repeatedly, out of order, and from machines returned
 * long ago. Only two things distinguish them from the original: a newer message of the worker, and a fencing token that
 * no heartbeat can have named before this term began.
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
    /** A newer message is known, but it came just now: the worker may still wait for the answer to this one. */
    SUPERSEDED,
    /**
     * A newer message is known, and the sender of this one has stopped waiting: it is a copy, or the worker has begun
     * anew.
     */
    DUPLICATE;

    /** How long a worker waits for an answer, and what clocks and the network may add. */
    private static final long WORKER_TIMEOUT_MS = 4000 + 1000;

    /**
     * The validity of a heartbeat.
     *
     * @param fresh whether it is newer than all that is known of the worker
     * @param previousIncarnationToken the newest token that an earlier worker of the name can have seen; none: there
     *     was no other
     * @param firstOfTerm the first token of this term
     * @param sinceNewestMs how long ago the newest message of the worker came
     */
    public static HeartbeatValidity of(
            Heartbeat heartbeat,
            boolean fresh,
            FencingToken previousIncarnationToken,
            FencingToken firstOfTerm,
            long sinceNewestMs) {
        if (previousIncarnationToken.value() > 0 && heartbeat.fencingToken().compareTo(previousIncarnationToken) <= 0) {
            return PREVIOUS_INCARNATION;
        }
        if (fresh) {
            return heartbeat.fencingToken().compareTo(firstOfTerm) >= 0 ? CURRENT_TERM : UNVERIFIED;
        }
        return sinceNewestMs <= WORKER_TIMEOUT_MS ? SUPERSEDED : DUPLICATE;
    }

    /** Whether it may be answered with status 200, which renews the worker's lease. */
    public boolean mayRenewLease() {
        return this != DUPLICATE;
    }

    /**
     * Whether it proves anything of the machine as it is now: its preemption notice, its presence, the end of its
     * silence.
     */
    public boolean isCurrent() {
        return this == CURRENT_TERM;
    }

    /** Whether it is reconciled with the records. */
    public boolean shouldReconcile() {
        return this == CURRENT_TERM || this == UNVERIFIED;
    }
}
