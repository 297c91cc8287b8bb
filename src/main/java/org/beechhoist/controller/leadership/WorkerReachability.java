package org.beechhoist.controller.leadership;

import java.util.ArrayDeque;
import java.util.Collection;
import org.beechhoist.wire.MonotonicTime;

/**
 * How many workers reach this node. A leader that the state service serves and that no worker reaches would keep its
 * lease, find all machines silent and return every one of them: it once did. It gives the lead up instead, to a node
 * that workers can reach.
 */
public final class WorkerReachability {
    /** Fewer of its machines than this share in the time in which all should have reported: something is in between. */
    private static final double UNREACHABLE_SHARE = 0.3;

    private static final int MIN_MACHINES = 5;
    /** So many of its machines speak and prove not to hear it: more than a zone that is cut off one way. */
    private static final double UNHEARD_SHARE = 0.6;
    /** Machines that are silent for all: other nodes must have been turned to by this share of the missing ones. */
    private static final double DIVERTED_SHARE = 0.2;

    private static final int MAX_REMEMBERED = 20_000;

    private final long windowMs;
    private final ArrayDeque<MonotonicTime> heartbeats = new ArrayDeque<>();

    /** @param reportMs how often a worker reports */
    public WorkerReachability(long reportMs) {
        this.windowMs = reportingWindowMs(reportMs);
    }

    /** The time in which a worker that can reach a node has reported: a quarter late, and some for the way. */
    public static long reportingWindowMs(long reportMs) {
        return reportMs * 3 / 2 + 2000;
    }

    public void recordHeartbeat(MonotonicTime now) {
        heartbeats.addLast(now);
        if (heartbeats.size() > MAX_REMEMBERED) {
            heartbeats.removeFirst();
        }
    }

    /** Reports that have reached this node lately, answered or turned away. */
    public int recentHeartbeats(MonotonicTime now) {
        while (!heartbeats.isEmpty() && now.since(heartbeats.peekFirst()) > windowMs) {
            heartbeats.removeFirst();
        }
        return heartbeats.size();
    }

    /** Whether what a leader says reaches so few of its machines that another should say it. */
    public static boolean isUnheard(int up, int unhearing) {
        return up >= MIN_MACHINES && unhearing >= UNHEARD_SHARE * up;
    }

    /**
     * Whether a leader should make way.
     *
     * @param up machines that have reported to it before and are not on their way out; {@code heard} of them lately
     * @param elsewhere reports that reached each other node that is heard of; empty: none is heard of
     */
    public static boolean isUnreachable(int up, int heard, Collection<Integer> elsewhere) {
        int missing = up - heard;
        if (up < MIN_MACHINES || heard >= UNREACHABLE_SHARE * up) {
            return false;
        }
        int turned = elsewhere.stream().mapToInt(Integer::intValue).sum();
        return elsewhere.isEmpty() || turned >= DIVERTED_SHARE * missing;
    }
}
