package org.beechhoist.controller.leadership;

import java.util.ArrayDeque;
import java.util.Collection;
import org.beechhoist.wire.MonotonicTime;

/**
 * Whether workers reach this node. A leader that the state service answers but no worker reaches would keep its lease, find
 * all machines silent and return every one of them, as has happened. It gives the leadership up instead, to a node that
 * workers can reach.
 */
public final class WorkerReachability {
    /** A leader is unreachable if fewer than this share of its machines were heard of in the time in which all should be. */
    private static final double UNREACHABLE_SHARE = 0.3;

    private static final int MIN_MACHINES = 5;
    /** A leader is unheard if this share of its machines send messages and receive none: more than one zone cut off one way. */
    private static final double UNHEARD_SHARE = 0.6;
    /** Other nodes must have got heartbeats of this share of the missing machines, for some may be silent for all nodes. */
    private static final double DIVERTED_SHARE = 0.2;

    private static final int MAX_REMEMBERED = 20_000;

    private final long windowMs;
    private final ArrayDeque<MonotonicTime> heartbeats = new ArrayDeque<>();

    /**
     * Creates the record of heartbeats, which is empty yet.
     *
     * @param reportMs how often a worker sends a heartbeat
     */
    public WorkerReachability(long reportMs) {
        this.windowMs = heartbeatWindowMs(reportMs);
    }

    /**
     * The time in which a heartbeat of every worker that reaches a node has arrived: it may be sent a quarter of the interval
     * late, and the remainder is for the way.
     */
    public static long heartbeatWindowMs(long reportMs) {
        return reportMs * 3 / 2 + 2000;
    }

    /** Records that a heartbeat has reached this node. */
    public void recordHeartbeat(MonotonicTime now) {
        heartbeats.addLast(now);
        if (heartbeats.size() > MAX_REMEMBERED) {
            heartbeats.removeFirst();
        }
    }

    /** The number of heartbeats that have lately reached this node, answered or redirected. */
    public int recentHeartbeats(MonotonicTime now) {
        while (!heartbeats.isEmpty() && now.since(heartbeats.peekFirst()) > windowMs) {
            heartbeats.removeFirst();
        }
        return heartbeats.size();
    }

    /**
     * Whether a leader's messages reach so few of its machines that another node should lead.
     *
     * @param up machines that have sent it heartbeats before and are not leaving
     * @param unhearing those of them that send messages and receive none
     */
    public static boolean cannotReachWorkers(int up, int unhearing) {
        return up >= MIN_MACHINES && unhearing >= UNHEARD_SHARE * up;
    }

    /**
     * Whether so few heartbeats reach a leader, and so many reach others, that another node should lead.
     *
     * @param up machines that have sent it heartbeats before and are not leaving
     * @param heard those of them that were heard of lately
     * @param elsewhere the heartbeats that reached each other node that is heard of; empty: none is heard of
     */
    public static boolean isUnreachableFromWorkers(int up, int heard, Collection<Integer> elsewhere) {
        int missing = up - heard;
        if (up < MIN_MACHINES || heard >= UNREACHABLE_SHARE * up) {
            return false;
        }
        int diverted = elsewhere.stream().mapToInt(Integer::intValue).sum();
        return elsewhere.isEmpty() || diverted >= DIVERTED_SHARE * missing;
    }
}
