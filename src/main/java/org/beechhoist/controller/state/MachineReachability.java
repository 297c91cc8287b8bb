package org.beechhoist.controller.state;

import org.beechhoist.wire.MonotonicTime;

/**
 * The state of message delivery to a machine. Messages from it do not prove delivery: its heartbeats may arrive while answers and
 * commands do not reach it. A machine counts as reachable until two messages to it are lost with no proof of delivery in between.
 *
 * @param lastProvenAt the time at which it last proved to have received a message, or at which it became known
 * @param missed the number of messages to it lost since then
 * @param unreachableSince the time at which too many were lost, or null if it counts as reachable
 * @param lastHeartbeatAt the arrival time of its last heartbeat since a lost message, or null if there is none
 */
public record MachineReachability(
        MonotonicTime lastProvenAt, int missed, MonotonicTime unreachableSince, MonotonicTime lastHeartbeatAt) {
    /** This many consecutive lost messages make a machine unreachable; a single one may be lost, or late because this node lagged. */
    public static final int MISSED_MESSAGE_LIMIT = 2;
    /** Tasks that were launched on an unreachable machine and never reported wait no longer than this. */
    private static final long RELEASE_DELAY_MS = 2000;
    /** If most of a zone is unreachable, its machines are kept for this many leases. */
    private static final int ZONE_OUTAGE_LEASE_COUNT = 4;

    /** Returns the state of a machine that is reachable as far as known. */
    public static MachineReachability initial(MonotonicTime now) {
        return new MachineReachability(now, 0, null, null);
    }

    /** Returns the state after a proof of delivery: the machine sent data that only this node can have sent it, or answered a probe. */
    public MachineReachability afterProof(MonotonicTime now) {
        return initial(now);
    }

    /** Returns the state after the loss of {@code count} messages to the machine or of their answers. */
    public MachineReachability afterMissedMessages(int count, MonotonicTime now) {
        int total = missed + count;
        MonotonicTime since = unreachableSince == null && total >= MISSED_MESSAGE_LIMIT ? now : unreachableSince;
        return new MachineReachability(lastProvenAt, total, since, lastHeartbeatAt);
    }

    /** Returns the state after a new heartbeat that is no proof of delivery. */
    public MachineReachability withHeartbeat(MonotonicTime now) {
        return missed == 0 ? this : new MachineReachability(lastProvenAt, missed, unreachableSince, now);
    }

    /** Returns whether messages to the machine are assumed to be lost. */
    public boolean isUnreachable() {
        return unreachableSince != null;
    }

    /** Returns whether the machine is unreachable but sends heartbeats; missing heartbeats are handled separately. */
    public boolean isOneWayPartitioned() {
        return isUnreachable() && lastHeartbeatAt != null && !lastHeartbeatAt.isBefore(unreachableSince);
    }

    /**
     * Properties of a new heartbeat and of the messages before it.
     *
     * @param sameEpoch whether it has the same epoch as the previous newest message
     * @param previousAnswered whether the previous newest message was a heartbeat that this node answered with 200
     * @param consecutive whether there was no other message in between, so that the worker has contacted no other node
     * @param carriesNewToken whether the heartbeat is the first to carry a newer token of this node
     * @param callsUnanswered whether the worker may have counted commands or probes that had no answer
     * @param answeredWithinLease whether this node answered a heartbeat of the last epoch so recently that the lease can't have
     *     expired if the answer arrived
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
        MachineReachability next = withHeartbeat(now);
        if (!message.sameEpoch) {
            return message.answeredWithinLease
                    ? next.afterMissedMessages(MISSED_MESSAGE_LIMIT, now).withHeartbeat(now)
                    : next;
        }
        // The worker has contacted another node, so this node's answer did not reach it. Lost calls are counted
        // separately.
        return message.previousAnswered && !message.callsUnanswered
                ? next.afterMissedMessages(1, now).withHeartbeat(now)
                : next;
    }

    /**
     * Returns whether the machine is to be returned to the cloud because it is unreachable.
     *
     * @param unreported the number of tasks launched on it but never reported; they can't start elsewhere before it is returned
     * @param reported the number of tasks that its heartbeats have shown
     * @param networkSuspect whether most machines of its zone or of the cluster send no heartbeats or are unreachable, so that a
     *     network fault is more likely
     * @param leaseMs the duration of a worker's lease
     */
    public boolean shouldRelease(
            int unreported, int reported, boolean networkSuspect, long leaseMs, MonotonicTime now) {
        if (!isUnreachable()) {
            return false;
        }
        long unprovenMs = now.since(lastProvenAt);
        if (networkSuspect) {
            // The machines of the zone may become reachable again all at once.
            return unprovenMs > ZONE_OUTAGE_LEASE_COUNT * leaseMs;
        }
        if (unreported > 0 && reported == 0) {
            return now.since(unreachableSince) > RELEASE_DELAY_MS;
        }
        return isOneWayPartitioned() && unprovenMs > leaseMs + RELEASE_DELAY_MS; // the worker has ended all its tasks
    }
}
