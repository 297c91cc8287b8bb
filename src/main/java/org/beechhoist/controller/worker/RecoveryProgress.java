package org.beechhoist.controller.worker;

import org.beechhoist.wire.MonotonicTime;

/**
 * The progress of a cold-start recovery. Each phase waits for a condition and ends when it holds or at a deadline.
 * Machines do not wait for one another: a reconciled machine works while others have not reported yet.
 */
public final class RecoveryProgress {
    /** A phase of the recovery. */
    public enum Phase {
        /** Records, change log and fleet snapshot are being read. No commands may be sent. */
        READING("reading"),
        /**
         * Machines are finding this node. Nothing is preempted, because machines with free capacity may be about to
         * report.
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

        /** Returns the phase's name in the operators' view. */
        public String label() {
            return label;
        }
    }

    /**
     * The state of the recovery at one moment.
     *
     * @param stateRead whether all open records are read
     * @param machinesListed whether the cloud has listed its machines
     * @param expected the number of machines that should be present by the records and the cloud's list
     * @param heard the number of expected machines that have reported
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

    /** The share of the expected machines that must report: the rest has too little capacity to wait for. */
    private static final double MIN_REPORTED_SHARE = 0.9;
    /**
     * The maximum duration of AWAITING_HEARTBEATS: it blocks preemptions, and urgent work must not wait longer for
     * machines that never report.
     */
    private static final long MAX_AWAITING_HEARTBEATS_MS = 4000;
    /** The maximum duration of RESUMING, in which the pacer still defers commands. */
    private static final long MAX_RESUMING_MS = 10_000;

    private final long firstHeartbeatDeadlineMs;
    private final long awaitingHeartbeatsMs;
    private final long leaseMs;
    private Phase phase = Phase.READING;
    private final MonotonicTime beganAt;
    private MonotonicTime phaseBeganAt;
    private MonotonicTime stateReadAt;

    /**
     * Creates the progress of a recovery that begins now.
     *
     * @param heartbeatIntervalMs the heartbeat interval of a worker
     * @param leaseMs the time after which the tasks of a machine without heartbeats are certainly gone
     */
    public RecoveryProgress(MonotonicTime now, long heartbeatIntervalMs, long leaseMs) {
        this.beganAt = now;
        this.phaseBeganAt = now;
        this.firstHeartbeatDeadlineMs = firstHeartbeatDeadlineMs(heartbeatIntervalMs);
        this.awaitingHeartbeatsMs = Math.min(MAX_AWAITING_HEARTBEATS_MS, 1000 + 2 * heartbeatIntervalMs);
        this.leaseMs = leaseMs;
    }

    /**
     * Returns the time by which every running machine should have found a new leader: a heartbeat may be a quarter late
     * and be refused once.
     */
    public static long firstHeartbeatDeadlineMs(long heartbeatIntervalMs) {
        return heartbeatIntervalMs * 5 / 4 + 2000;
    }

    /** Returns the current phase. */
    public Phase phase() {
        return phase;
    }

    /** Returns the time at which the recovery began. */
    public MonotonicTime beganAt() {
        return beganAt;
    }

    /** Returns the time at which all records were read; null if they are not. */
    public MonotonicTime stateReadAt() {
        return stateReadAt;
    }

    /**
     * Enters the next phase if the current one is over and returns whether it was. It advances at most one phase per
     * call, so that the caller sees each.
     */
    public boolean advance(MonotonicTime now, Snapshot snapshot) {
        Phase next = nextPhase(now, snapshot);
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

    private Phase nextPhase(MonotonicTime now, Snapshot snapshot) {
        long inPhaseMs = now.since(phaseBeganAt);
        return switch (phase) {
            // This phase has no deadline, because no decision is safe before all records are read.
            case READING -> snapshot.stateRead ? Phase.AWAITING_HEARTBEATS : phase;
            case AWAITING_HEARTBEATS ->
                haveEnoughMachinesReported(snapshot) || inPhaseMs >= awaitingHeartbeatsMs ? Phase.RECONCILING : phase;
            case RECONCILING ->
                snapshot.unconfirmedPlacements == 0 || now.since(beganAt) >= leaseMs ? Phase.RESUMING : phase;
            case RESUMING -> snapshot.waitingCommands == 0 || inPhaseMs >= MAX_RESUMING_MS ? Phase.COMPLETE : phase;
            case COMPLETE -> Phase.COMPLETE;
        };
    }

    private static boolean haveEnoughMachinesReported(Snapshot snapshot) {
        return snapshot.machinesListed && snapshot.heard >= MIN_REPORTED_SHARE * snapshot.expected;
    }

    /** Returns the maximum time in ms until the recovery is over, if the records are read by now. */
    public long maxRemainingMs(MonotonicTime now) {
        return switch (phase) {
            case READING, AWAITING_HEARTBEATS, RECONCILING ->
                Math.max(0, leaseMs - now.since(beganAt)) + MAX_RESUMING_MS;
            case RESUMING -> Math.max(0, MAX_RESUMING_MS - now.since(phaseBeganAt));
            case COMPLETE -> 0;
        };
    }

    /** Returns whether running machines may still send their first heartbeat to this node. */
    public boolean isAwaitingFirstHeartbeats(MonotonicTime now) {
        return phase != Phase.COMPLETE && now.since(beganAt) <= firstHeartbeatDeadlineMs;
    }
}
