package org.beechhoist.controller.state;

import org.beechhoist.wire.MonotonicTime;

/**
 * Whether messages reach a machine. Messages from it do not prove that: its heartbeats may arrive while answers and commands do
 * not reach it. It counts as reachable until messages to it were lost twice with no proof of reachability in between.
 *
 * @param lastProvenAt when it last proved to have received a message, or when it was first heard of
 * @param missed how many messages to it have been lost since
 * @param unreachableSince when these became too many; null: it counts as reachable
 * @param lastHeartbeatAt when its last heartbeat since a lost message arrived; null: none has
 */
public record MachineReachability(
        MonotonicTime lastProvenAt, int missed, MonotonicTime unreachableSince, MonotonicTime lastHeartbeatAt) {
    /** This many lost messages in a row make it unreachable: a single one may be lost, or late because this node was. */
    public static final int MISSED_MESSAGE_LIMIT = 2;
    /** Tasks that were launched on it and never seen there wait no longer than this. */
    private static final long SETTLE_MS = 2000;
    /** Where most of a zone is unreachable, its machines are kept for this many leases. */
    private static final int ZONE_OUTAGE_LEASES = 4;

    /** Returns the state of a machine that is reachable as far as is known. */
    public static MachineReachability initial(MonotonicTime now) {
        return new MachineReachability(now, 0, null, null);
    }

    /** Returns the state after a proof: the machine has shown what it can only know from this node, or answered a probe. */
    public MachineReachability afterProof(MonotonicTime now) {
        return initial(now);
    }

    /** Returns the state after {@code times} messages to it, or their answers, were lost. */
    public MachineReachability afterMissedMessages(int times, MonotonicTime now) {
        int sum = missed + times;
        MonotonicTime since = unreachableSince == null && sum >= MISSED_MESSAGE_LIMIT ? now : unreachableSince;
        return new MachineReachability(lastProvenAt, sum, since, lastHeartbeatAt);
    }

    /** Returns the state after a new heartbeat that proves nothing. */
    public MachineReachability withHeartbeat(MonotonicTime now) {
        return missed == 0 ? this : new MachineReachability(lastProvenAt, missed, unreachableSince, now);
    }

    /** Whether messages to it are taken to be lost. */
    public boolean isUnreachable() {
        return unreachableSince != null;
    }

    /** Whether it is unreachable and sends heartbeats; a machine that sends none is silent, which is handled separately. */
    public boolean isOneWayPartitioned() {
        return isUnreachable() && lastHeartbeatAt != null && !lastHeartbeatAt.isBefore(unreachableSince);
    }

    /**
     * What is known of a new heartbeat and of the messages before it.
     *
     * @param sameEpoch whether it is of the same epoch as the newest message before
     * @param previousAnswered whether the newest message before was a heartbeat that this node answered with 200
     * @param consecutive whether no other message came between the two: the worker has turned to no other node
     * @param carriesNewToken whether the worker has seen a token of this node that it had not seen before
     * @param callsUnanswered whether commands or probes that had no answer may have been counted by the worker
     * @param answeredWithinLease whether this node answered a heartbeat of the last epoch so lately that the lease can't have
     *     ended if the answer arrived
     */
    public record MessageContext(
            boolean sameEpoch,
            boolean previousAnswered,
            boolean consecutive,
            boolean carriesNewToken,
            boolean callsUnanswered,
            boolean answeredWithinLease) {}

    /** Returns the state after a new heartbeat. */
    public MachineReachability afterHeartbeat(MessageContext message, MonotonicTime now) {
        if (message.carriesNewToken || message.sameEpoch && message.previousAnswered && message.consecutive) {
            return afterProof(now);
        }
        MachineReachability then = withHeartbeat(now);
        if (!message.sameEpoch) {
            return message.answeredWithinLease
                    ? then.afterMissedMessages(MISSED_MESSAGE_LIMIT, now).withHeartbeat(now)
                    : then;
        }
        // The worker has turned to another node, so our answer did not reach it. Lost calls have been counted
        // separately.
        return message.previousAnswered && !message.callsUnanswered
                ? then.afterMissedMessages(1, now).withHeartbeat(now)
                : then;
    }

    /**
     * Whether the machine is to be returned to the cloud for being unreachable.
     *
     * @param waiting how many tasks were launched on it and never seen there: they can't begin elsewhere before it is returned
     * @param seen how many tasks its heartbeats have shown
     * @param dark whether most machines of its zone, or of all, are silent or unreachable: the network is the likelier cause
     * @param leaseMs how long a worker's lease lasts
     */
    public boolean shouldRelease(int waiting, int seen, boolean dark, long leaseMs, MonotonicTime now) {
        if (!isUnreachable()) {
            return false;
        }
        long unheard = now.since(lastProvenAt);
        if (dark) {
            return unheard > ZONE_OUTAGE_LEASES * leaseMs; // its machines may become reachable again, all at once
        }
        if (waiting > 0 && seen == 0) {
            return now.since(unreachableSince) > SETTLE_MS;
        }
        return isOneWayPartitioned() && unheard > leaseMs + SETTLE_MS; // its worker has ended all its tasks
    }
}
