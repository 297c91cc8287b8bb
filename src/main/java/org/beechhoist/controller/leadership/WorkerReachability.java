package org.beechhoist.controller.leadership;

import java.util.ArrayDeque;
import java.util.Collection;
import org.beechhoist.wire.MonotonicTime;

/**
 * Determines whether workers and this node reach one another. A leader that the state service responds to but no worker
 * reaches would keep its lease, consider all machines silent and return every one of them to the cloud, which has
 * happened. It gives up leadership instead, so that a node that workers can reach leads.
 */
public final class WorkerReachability {
    /**
     * A leader is unreachable if fewer than this share of its machines sent a heartbeat within the heartbeat window.
     */
    private static final double UNREACHABLE_SHARE = 0.3;

    private static final int MIN_MACHINE_COUNT = 5;
    /**
     * A leader cannot reach workers if this share of its machines send messages and receive none: more than one zone
     * with a one-way network failure.
     */
    private static final double NOT_RECEIVING_SHARE = 0.6;
    /**
     * Other nodes must have received heartbeats from this share of the missing machines, because some machines may send
     * none to any node.
     */
    private static final double DIVERTED_SHARE = 0.2;

    private static final int MAX_HEARTBEATS = 20_000;

    private final long windowMs;
    private final ArrayDeque<MonotonicTime> heartbeats = new ArrayDeque<>();

    /**
     * Creates an empty record of heartbeats.
     *
     * @param reportMs the heartbeat interval of a worker
     */
    public WorkerReachability(long reportMs) {
        this.windowMs = heartbeatWindowMs(reportMs);
    }

    /**
     * Returns the time within which a heartbeat of every worker that reaches a node arrives: it may be sent a quarter
     * of the interval late, and the remainder covers the network.
     */
    public static long heartbeatWindowMs(long reportMs) {
        return reportMs * 3 / 2 + 2000;
    }

    /** Records that a heartbeat has reached this node. */
    public void recordHeartbeat(MonotonicTime now) {
        heartbeats.addLast(now);
        if (heartbeats.size() > MAX_HEARTBEATS) {
            heartbeats.removeFirst();
        }
    }

    /** Returns the number of heartbeats that recently reached this node, answered or redirected. */
    public int recentHeartbeats(MonotonicTime now) {
        while (!heartbeats.isEmpty() && now.since(heartbeats.peekFirst()) > windowMs) {
            heartbeats.removeFirst();
        }
        return heartbeats.size();
    }

    /**
     * Returns whether a leader's messages reach so few of its machines that another node should lead.
     *
     * @param up machines that have sent it heartbeats before and are not leaving
     * @param notReceiving those of them that send messages and receive none
     */
    public static boolean cannotReachWorkers(int up, int notReceiving) {
        return up >= MIN_MACHINE_COUNT && notReceiving >= NOT_RECEIVING_SHARE * up;
    }

    /**
     * Returns whether so few heartbeats reach a leader, and so many reach others, that another node should lead.
     *
     * @param up machines that have sent it heartbeats before and are not leaving
     * @param reporting those of them that sent a recent heartbeat
     * @param elsewhere the heartbeats that reached each other node with a recent message; empty if there is no such
     *     node
     */
    public static boolean isUnreachableFromWorkers(int up, int reporting, Collection<Integer> elsewhere) {
        int missing = up - reporting;
        if (up < MIN_MACHINE_COUNT || reporting >= UNREACHABLE_SHARE * up) {
            return false;
        }
        int diverted = elsewhere.stream().mapToInt(Integer::intValue).sum();
        return elsewhere.isEmpty() || diverted >= DIVERTED_SHARE * missing;
    }
}
