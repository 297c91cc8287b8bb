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
    private static final double DEAF_SHARE = 0.3;

    private static final int LEAST_MACHINES = 5;
    /** So many of its machines speak and prove not to hear it: more than a zone that is cut off one way. */
    private static final double MUTE_SHARE = 0.6;
    /** Machines that are silent for all: other nodes must have been turned to by this share of the missing ones. */
    private static final double TURNED_SHARE = 0.2;

    private static final int MOST_REMEMBERED = 20_000;

    private final long windowMs;
    private final ArrayDeque<MonotonicTime> reports = new ArrayDeque<>();

    /** @param reportMs how often a worker reports */
    public WorkerReachability(long reportMs) {
        this.windowMs = window(reportMs);
    }

    /** The time in which a worker that can reach a node has reported: a quarter late, and some for the way. */
    public static long window(long reportMs) {
        return reportMs * 3 / 2 + 2000;
    }

    public void report(MonotonicTime now) {
        reports.addLast(now);
        if (reports.size() > MOST_REMEMBERED) {
            reports.removeFirst();
        }
    }

    /** Reports that have reached this node lately, answered or turned away. */
    public int lately(MonotonicTime now) {
        while (!reports.isEmpty() && now.since(reports.peekFirst()) > windowMs) {
            reports.removeFirst();
        }
        return reports.size();
    }

    /** Whether what a leader says reaches so few of its machines that another should say it. */
    public static boolean mute(int up, int unhearing) {
        return up >= LEAST_MACHINES && unhearing >= MUTE_SHARE * up;
    }

    /**
     * Whether a leader should make way.
     *
     * @param up machines that have reported to it before and are not on their way out; {@code heard} of them lately
     * @param elsewhere reports that reached each other node that is heard of; empty: none is heard of
     */
    public static boolean deaf(int up, int heard, Collection<Integer> elsewhere) {
        int missing = up - heard;
        if (up < LEAST_MACHINES || heard >= DEAF_SHARE * up) {
            return false;
        }
        int turned = elsewhere.stream().mapToInt(Integer::intValue).sum();
        return elsewhere.isEmpty() || turned >= TURNED_SHARE * missing;
    }
}
