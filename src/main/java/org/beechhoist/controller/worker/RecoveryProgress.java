package org.beechhoist.controller.worker;

import org.beechhoist.wire.MonotonicTime;

/**
 * The progress of a cold-start recovery. A phase says what is being waited for; no machine waits for another: one that
 * is reconciled works while others have not reported yet. Each phase ends by its condition or at its deadline.
 */
public final class RecoveryProgress {
    /** What the recovery waits for. */
    public enum Phase {
        /** Records, change log and fleet snapshot are being read. Nothing may be commanded. */
        READING("reading"),
        /**
         * Machines are finding this node. Nothing is preempted, for machines with free capacity may be about to report.
         */
        AWAITING_HEARTBEATS("listening"),
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
     * @param stateRead whether all open records are read
     * @param machinesListed whether the cloud has listed its machines
     * @param expected the machines that must be there by the records and the cloud's list
     * @param heard how many of those expected have reported
     * @param unconfirmedPlacements placements of earlier terms that no heartbeat has confirmed or refuted
     * @param waitingCommands commands that the pacer holds back
     */
    public record Snapshot(
            boolean stateRead,
            boolean machinesListed,
            int expected,
            int heard,
            int unconfirmedPlacements,
            int waitingCommands) {}

    /** The share of the expected machines that is waited for: the rest has hardly any capacity worth waiting for. */
    private static final double HEARD_SHARE = 0.9;
    /**
     * The longest listening: it holds preemptions back, and urgent work must not wait longer for machines that never
     * report.
     */
    private static final long MAX_LISTENING_MS = 4000;
    /** The longest resuming, in which the pacer still holds commands back. */
    private static final long MAX_RESUMING_MS = 10_000;

    private final long firstHeartbeatDeadlineMs;
    private final long listeningMs;
    private final long leaseMs;
    private Phase phase = Phase.READING;
    private final MonotonicTime beganAt;
    private MonotonicTime phaseBeganAt;
    private MonotonicTime stateReadAt;

    /**
     * Creates the progress of a recovery that begins now.
     *
     * @param heartbeatIntervalMs how often a worker sends a heartbeat
     * @param leaseMs after which the tasks of a machine that is not heard are certainly gone
     */
    public RecoveryProgress(MonotonicTime now, long heartbeatIntervalMs, long leaseMs) {
        this.beganAt = now;
        this.phaseBeganAt = now;
        this.firstHeartbeatDeadlineMs = firstHeartbeatDeadlineMs(heartbeatIntervalMs);
        this.listeningMs = Math.min(MAX_LISTENING_MS, 1000 + 2 * heartbeatIntervalMs);
        this.leaseMs = leaseMs;
    }

    /**
     * By when every living machine should have found a new leader: a heartbeat may be a quarter late and be refused
     * once.
     */
    public static long firstHeartbeatDeadlineMs(long heartbeatIntervalMs) {
        return heartbeatIntervalMs * 5 / 4 + 2000;
    }

    /** The current phase. */
    public Phase phase() {
        return phase;
    }

    /** When the recovery began. */
    public MonotonicTime beganAt() {
        return beganAt;
    }

    /** When all records were read; null: not yet. */
    public MonotonicTime stateReadAt() {
        return stateReadAt;
    }

    /**
     * Enters the next phase if the current one is over; returns whether it was. At most one phase a call, so that each
     * is seen.
     */
    public boolean advance(MonotonicTime now, Snapshot facts) {
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

    private Phase nextPhase(MonotonicTime now, Snapshot facts) {
        long inPhaseMs = now.since(phaseBeganAt);
        return switch (phase) {
            // Nothing is certain before all records are read: no deadline may end this phase.
            case READING -> facts.stateRead ? Phase.AWAITING_HEARTBEATS : phase;
            case AWAITING_HEARTBEATS -> hasHeardEnough(facts) || inPhaseMs >= listeningMs ? Phase.RECONCILING : phase;
            case RECONCILING ->
                facts.unconfirmedPlacements == 0 || now.since(beganAt) >= leaseMs ? Phase.RESUMING : phase;
            case RESUMING -> facts.waitingCommands == 0 || inPhaseMs >= MAX_RESUMING_MS ? Phase.COMPLETE : phase;
            case COMPLETE -> Phase.COMPLETE;
        };
    }

    private static boolean hasHeardEnough(Snapshot facts) {
        return facts.machinesListed && facts.heard >= HEARD_SHARE * facts.expected;
    }

    /** In how many ms the recovery is over at the latest, if the records are read by now. */
    public long maxRemainingMs(MonotonicTime now) {
        return switch (phase) {
            case READING, AWAITING_HEARTBEATS, RECONCILING ->
                Math.max(0, leaseMs - now.since(beganAt)) + MAX_RESUMING_MS;
            case RESUMING -> Math.max(0, MAX_RESUMING_MS - now.since(phaseBeganAt));
            case COMPLETE -> 0;
        };
    }

    /** Whether living machines may still be on their way to this node for the first time. */
    public boolean isAwaitingFirstHeartbeats(MonotonicTime now) {
        return phase != Phase.COMPLETE && now.since(beganAt) <= firstHeartbeatDeadlineMs;
    }
}
