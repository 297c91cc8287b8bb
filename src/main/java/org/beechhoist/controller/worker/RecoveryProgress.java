package org.beechhoist.controller.worker;

import org.beechhoist.wire.MonotonicTime;

/**
 * How far a start has come. The phases tell what is being waited for; no machine waits for another: one that is squared
 * works while others are unheard. Each phase ends by its condition or at its deadline.
 */
public final class RecoveryProgress {
    /** What a start waits for. */
    public enum Phase {
        /** Records, change log and fleet snapshot are being read. Nothing may be commanded. */
        READING("reading"),
        /** Machines are finding this node. Nothing is preempted, for machines with room may be about to report. */
        LISTENING("listening"),
        /** Heartbeats are reconciled with what is stored; some placements are still unconfirmed. */
        RECONCILING("squaring"),
        /** Work that waited for evidence is placed again. */
        RESUMING("opening"),
        /** The recovery is over. */
        COMPLETE("over");

        private final String label;

        Phase(String label) {
            this.label = label;
        }

        /** The phase's name in the operators' view. */
        public String label() {
            return label;
        }
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
    public record Facts(
            boolean stateRead, boolean listed, int expected, int heard, int unconfirmed, int waitingCommands) {}

    /** So many of those expected have spoken: the rest are hardly room to wait for. */
    private static final double HEARD_SHARE = 0.9;
    /** Listening holds stops back; urgent work must not wait longer for room that never speaks. */
    private static final long MAX_LISTENING_MS = 4000;

    private static final long MAX_RESUMING_MS = 10_000;

    private final long allReportedMs;
    private final long listeningMs;
    private final long leaseMs;
    private Phase phase = Phase.READING;
    private final MonotonicTime beganAt;
    private MonotonicTime phaseBeganAt;
    private MonotonicTime stateReadAt;

    /**
     * @param reportMs how often a worker reports
     * @param leaseMs after which an unheard machine's tasks are certainly gone
     */
    public RecoveryProgress(MonotonicTime now, long reportMs, long leaseMs) {
        this.beganAt = now;
        this.phaseBeganAt = now;
        this.allReportedMs = allReportedMs(reportMs);
        this.listeningMs = Math.min(MAX_LISTENING_MS, 1000 + 2 * reportMs);
        this.leaseMs = leaseMs;
    }

    /** By when every living machine should have found a new leader: a report may be a quarter late and be turned away once. */
    public static long allReportedMs(long reportMs) {
        return reportMs * 5 / 4 + 2000;
    }

    public Phase phase() {
        return phase;
    }

    public MonotonicTime beganAt() {
        return beganAt;
    }

    /** When all records were known, or null. */
    public MonotonicTime stateReadAt() {
        return stateReadAt;
    }

    /** Takes the next step, if it is time; whether there was one. At most one a call, so that each is seen. */
    public boolean advance(MonotonicTime now, Facts facts) {
        Phase next = nextPhase(now, facts);
        if (next == phase) {
            return false;
        }
        if (phase == Phase.READING) {
            stateReadAt = now;
        }
        phase = next;
        phaseBeganAt = now;
        return true;
    }

    private Phase nextPhase(MonotonicTime now, Facts facts) {
        long here = now.since(phaseBeganAt);
        return switch (phase) {
            case READING ->
                facts.stateRead
                        ? Phase.LISTENING
                        : Phase.READING; // nothing is certain before; no deadline may end this
            case LISTENING ->
                (facts.listed && facts.heard >= HEARD_SHARE * facts.expected) || here >= listeningMs
                        ? Phase.RECONCILING
                        : phase;
            case RECONCILING -> facts.unconfirmed == 0 || now.since(beganAt) >= leaseMs ? Phase.RESUMING : phase;
            case RESUMING -> facts.waitingCommands == 0 || here >= MAX_RESUMING_MS ? Phase.COMPLETE : phase;
            case COMPLETE -> Phase.COMPLETE;
        };
    }

    /** By when the start is over at the latest, if the records are read by now. */
    public long maxRemainingMs(MonotonicTime now) {
        return switch (phase) {
            case READING, LISTENING, RECONCILING -> Math.max(0, leaseMs - now.since(beganAt)) + MAX_RESUMING_MS;
            case RESUMING -> Math.max(0, MAX_RESUMING_MS - now.since(phaseBeganAt));
            case COMPLETE -> 0;
        };
    }

    /** Whether living machines may still be on their way to this node for the first time. */
    public boolean isGathering(MonotonicTime now) {
        return phase != Phase.COMPLETE && now.since(beganAt) <= allReportedMs;
    }
}
