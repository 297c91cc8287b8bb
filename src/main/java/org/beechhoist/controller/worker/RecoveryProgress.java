package org.beechhoist.controller.worker;

import org.beechhoist.wire.MonotonicTime;

/**
 * How far a start has come. The phases tell what is being waited for; no machine waits for another: one that is squared
 * works while others are unheard. Each phase ends by its condition or at its deadline.
 */
public final class RecoveryProgress {
    /** What a start waits for. */
    public enum Phase {
        /** Records, log and snapshot are being read. Nothing may be commanded. */
        READING,
        /** Machines are finding this node. Nothing is stopped for another's sake, for room may be about to speak. */
        LISTENING,
        /** What is stored is held against what machines say; some placements are still in doubt. */
        SQUARING,
        /** Work that waited for proofs is placed again. */
        OPENING,
        OVER
    }

    /**
     * What is known at one moment.
     *
     * @param read whether all open records are known
     * @param expected machines that must be there, by the records and the cloud's list, and {@code heard} those of them that have
     *     spoken
     * @param listed whether the cloud has told of its machines
     * @param inDoubt placements of earlier leaderships that no report has spoken of
     * @param waitingOrders commands that the pace holds back
     */
    public record Facts(boolean read, boolean listed, int expected, int heard, int inDoubt, int waitingOrders) {}

    /** So many of those expected have spoken: the rest are hardly room to wait for. */
    private static final double MOST = 0.9;
    /** Listening holds stops back; urgent work must not wait longer for room that never speaks. */
    private static final long LONGEST_LISTENING_MS = 4000;

    private static final long LONGEST_OPENING_MS = 10_000;

    private final long allReportedMs;
    private final long listeningMs;
    private final long leaseMs;
    private Phase phase = Phase.READING;
    private final MonotonicTime began;
    private MonotonicTime phaseBegan;
    private MonotonicTime read;

    /**
     * @param reportMs how often a worker reports
     * @param leaseMs after which an unheard machine's tasks are certainly gone
     */
    public RecoveryProgress(MonotonicTime now, long reportMs, long leaseMs) {
        this.began = now;
        this.phaseBegan = now;
        this.allReportedMs = allReportedMs(reportMs);
        this.listeningMs = Math.min(LONGEST_LISTENING_MS, 1000 + 2 * reportMs);
        this.leaseMs = leaseMs;
    }

    /** By when every living machine should have found a new leader: a report may be a quarter late and be turned away once. */
    public static long allReportedMs(long reportMs) {
        return reportMs * 5 / 4 + 2000;
    }

    public Phase phase() {
        return phase;
    }

    public MonotonicTime began() {
        return began;
    }

    /** When all records were known, or null. */
    public MonotonicTime read() {
        return read;
    }

    /** Takes the next step, if it is time; whether there was one. At most one a call, so that each is seen. */
    public boolean advance(MonotonicTime now, Facts facts) {
        Phase next = next(now, facts);
        if (next == phase) {
            return false;
        }
        if (phase == Phase.READING) {
            read = now;
        }
        phase = next;
        phaseBegan = now;
        return true;
    }

    private Phase next(MonotonicTime now, Facts facts) {
        long here = now.since(phaseBegan);
        return switch (phase) {
            case READING ->
                facts.read ? Phase.LISTENING : Phase.READING; // nothing is certain before; no deadline may end this
            case LISTENING ->
                (facts.listed && facts.heard >= MOST * facts.expected) || here >= listeningMs ? Phase.SQUARING : phase;
            case SQUARING -> facts.inDoubt == 0 || now.since(began) >= leaseMs ? Phase.OPENING : phase;
            case OPENING -> facts.waitingOrders == 0 || here >= LONGEST_OPENING_MS ? Phase.OVER : phase;
            case OVER -> Phase.OVER;
        };
    }

    /** By when the start is over at the latest, if the records are read by now. */
    public long longestLeftMs(MonotonicTime now) {
        return switch (phase) {
            case READING, LISTENING, SQUARING -> Math.max(0, leaseMs - now.since(began)) + LONGEST_OPENING_MS;
            case OPENING -> Math.max(0, LONGEST_OPENING_MS - now.since(phaseBegan));
            case OVER -> 0;
        };
    }

    /** Whether living machines may still be on their way to this node for the first time. */
    public boolean gathering(MonotonicTime now) {
        return phase != Phase.OVER && now.since(began) <= allReportedMs;
    }
}
