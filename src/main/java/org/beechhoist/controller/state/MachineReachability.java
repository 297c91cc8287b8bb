package org.beechhoist.controller.state;

import org.beechhoist.wire.MonotonicTime;

/**
 * Whether a machine hears. That it speaks proves nothing of that: its reports may arrive while answers and commands don't
 * reach it. It is thought to hear until messages to it were lost twice with no proof in between.
 *
 * @param provedAt when it last proved to have heard something, or when it was first met
 * @param missed messages to it that were lost since
 * @param deafFrom when that became too many; null: it is thought to hear
 * @param spokeAt when it last spoke, having missed something; null: it has not
 */
public record MachineReachability(
        MonotonicTime lastProvenAt, int missed, MonotonicTime unreachableSince, MonotonicTime lastHeartbeatAt) {
    /** So many lost messages in a row: one may be lost on the way, or be late because this node was. */
    public static final int MISSED_LIMIT = 2;
    /** What was given to it and never seen there waits no longer than this. */
    private static final long SETTLE_MS = 2000;
    /** Where most of a zone is deaf, its machines are kept for so many leases. */
    private static final int ZONE_OUTAGE_LEASES = 4;

    public static MachineReachability initial(MonotonicTime now) {
        return new MachineReachability(now, 0, null, null);
    }

    /** Something that it can only know from us, or an answer to a question. */
    public MachineReachability proven(MonotonicTime now) {
        return initial(now);
    }

    /** A message of ours was lost, or its answer. */
    public MachineReachability missed(int times, MonotonicTime now) {
        int sum = missed + times;
        return new MachineReachability(
                lastProvenAt,
                sum,
                unreachableSince != null ? unreachableSince : sum >= MISSED_LIMIT ? now : null,
                lastHeartbeatAt);
    }

    /** A new report of it has come. */
    public MachineReachability withHeartbeat(MonotonicTime now) {
        return missed == 0 ? this : new MachineReachability(lastProvenAt, missed, unreachableSince, now);
    }

    public boolean isUnreachable() {
        return unreachableSince != null;
    }

    /** It speaks and does not hear; what neither speaks nor hears is silent, which is another matter. */
    public boolean isOneWay() {
        return isUnreachable() && lastHeartbeatAt != null && !lastHeartbeatAt.isBefore(unreachableSince);
    }

    /**
     * What its messages prove.
     *
     * @param same the session that its newest message so far was of
     * @param afterOurAnswer its newest message so far was a report that we answered with 200
     * @param next its message follows that one without another in between: it has turned to no other node
     * @param newToken it has seen a token of ours that it had not seen then
     * @param callsLost orders or questions to it that it may have counted, though we have no answer
     * @param answeredWithinLease we answered a report of its last session so lately that its lease can't have ended if it heard
     */
    public record MessageContext(
            boolean sameEpoch,
            boolean followsOurAnswer,
            boolean consecutive,
            boolean carriesNewToken,
            boolean callsLost,
            boolean answeredWithinLease) {}

    /** A new report has come. */
    public MachineReachability afterHeartbeat(MessageContext message, MonotonicTime now) {
        if (message.carriesNewToken || message.sameEpoch && message.followsOurAnswer && message.consecutive) {
            return proven(now);
        }
        MachineReachability then = withHeartbeat(now);
        if (!message.sameEpoch) {
            return message.answeredWithinLease ? then.missed(MISSED_LIMIT, now).withHeartbeat(now) : then;
        }
        // It turned to another node: our answer did not reach it. Calls that were lost have been counted by themselves.
        return message.followsOurAnswer && !message.callsLost
                ? then.missed(1, now).withHeartbeat(now)
                : then;
    }

    /**
     * Whether a machine that doesn't hear is to be returned for that.
     *
     * @param waiting tasks that were given to it and were never seen there: they can't begin elsewhere before
     * @param seen tasks that it has shown
     * @param dark most of its zone, or of all, is silent or does not hear: the network is the likelier cause
     */
    public boolean shouldRelease(int waiting, int seen, boolean dark, long leaseMs, MonotonicTime now) {
        if (!isUnreachable()) {
            return false;
        }
        long unheard = now.since(lastProvenAt);
        if (dark) {
            return unheard > ZONE_OUTAGE_LEASES * leaseMs; // what is there may hear again, and all come back at once
        }
        if (waiting > 0 && seen == 0) {
            return now.since(unreachableSince) > SETTLE_MS;
        }
        return isOneWay() && unheard > leaseMs + SETTLE_MS; // its worker has ended all that it had
    }
}
