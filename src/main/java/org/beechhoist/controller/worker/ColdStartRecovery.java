package org.beechhoist.controller.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The recovery at the beginning of a term: its progress, the presumed presence of machines that have not reported yet,
 * and the rate limit of probes and commands. Heartbeats are evaluated as at any other time. See docs/design/start.md.
 */
public final class ColdStartRecovery {
    private static final Logger LOG = LoggerFactory.getLogger(ColdStartRecovery.class);

    private final ControllerContext context;
    private final Settings settings;
    private final ClusterState clusterState;
    private final long heartbeatIntervalMs;
    private RecoveryProgress progress;
    private RecoveryPacer pacer;
    private boolean machinesListed;
    /** The last snapshot, for the operators' view. */
    private RecoveryProgress.Snapshot snapshot = new RecoveryProgress.Snapshot(false, false, 0, 0, 0, 0);

    /** Creates the recovery at the beginning of a term. */
    public ColdStartRecovery(ControllerContext context, Settings settings, ClusterState clusterState) {
        this.context = context;
        this.settings = settings;
        this.clusterState = clusterState;
        this.heartbeatIntervalMs = Math.round(1000 * settings.workers().reportS());
        restart();
    }

    /** Restarts the recovery for a new term. */
    public void restart() {
        progress = new RecoveryProgress(
                context.now(), heartbeatIntervalMs, settings.workers().leaseMs());
        pacer = new RecoveryPacer(settings.maxSockets());
        machinesListed = false;
        snapshot = new RecoveryProgress.Snapshot(false, false, 0, 0, 0, 0);
    }

    /** Records that the cloud has listed all its machines. */
    public void recordMachinesListed() {
        machinesListed = true;
    }

    /** Returns whether the recovery is over. */
    boolean isComplete() {
        return progress.phase() == RecoveryProgress.Phase.COMPLETE;
    }

    /**
     * Returns whether tasks may be preempted: not before most of the machines with free capacity could have reported
     * it.
     */
    public boolean mayPreempt() {
        return progress.phase().compareTo(RecoveryProgress.Phase.AWAITING_HEARTBEATS) > 0;
    }

    /** Updates the progress once all records are read; the end of each phase is logged. */
    public void advance() {
        if (isComplete()) {
            return;
        }
        snapshot = takeSnapshot();
        RecoveryProgress.Phase before = progress.phase();
        while (progress.advance(context.now(), snapshot)) {
            LOG.info(
                    "recovery phase ended: phase={} sinceTermBeganS={} machinesHeard={} machinesExpected={}"
                            + " unconfirmedPlacements={} commandsWaiting={}",
                    before.label(),
                    context.now().since(progress.beganAt()) / 1000.0,
                    snapshot.heard(),
                    snapshot.expected(),
                    snapshot.unconfirmedPlacements(),
                    snapshot.waitingCommands());
            before = progress.phase();
            clusterState.requestReplan();
        }
    }

    private RecoveryProgress.Snapshot takeSnapshot() {
        int expected = 0;
        int heard = 0;
        int unconfirmed = 0;
        int waitingCommands = 0;
        for (Machine machine : clusterState.machines()) {
            boolean hasReported = machine.lastHeartbeat != null;
            if (hasReported
                    || (machine.listedRunning || !machine.placements.isEmpty())
                            && presence(machine) != MachinePresence.Assessment.PRESUMED_ABSENT) {
                expected++;
                heard += hasReported ? 1 : 0;
            }
            unconfirmed += hasReported ? machine.unconfirmedPlacements : machine.placements.size();
            waitingCommands += machine.outbox.size();
        }
        return new RecoveryProgress.Snapshot(true, machinesListed, expected, heard, unconfirmed, waitingCommands);
    }

    // ---- machines that have not reported yet ----

    private MachinePresence.Assessment presence(Machine machine) {
        return MachinePresence.assess(
                new MachinePresence.UnreportedMachine(
                        !machine.placements.isEmpty(),
                        machine.listedRunning,
                        machine.unansweredProbes,
                        machine.probeAnsweredAt != MonotonicTime.ZERO),
                context.now().since(progress.beganAt()),
                RecoveryProgress.firstHeartbeatDeadlineMs(heartbeatIntervalMs));
    }

    /**
     * Returns whether the plan must not use the machine, because its first heartbeat is overdue or it does not answer
     * probes.
     */
    public boolean isPresumedAbsent(Machine machine) {
        return machine.lastHeartbeat == null && presence(machine) == MachinePresence.Assessment.PRESUMED_ABSENT;
    }

    /** Returns whether the machine is to be probed though its heartbeat is not late yet. */
    boolean needsEarlyProbe(Machine machine) {
        return machine.lastHeartbeat == null
                && progress.isAwaitingFirstHeartbeats(context.now())
                && presence(machine) != MachinePresence.Assessment.PRESUMED_PRESENT;
    }

    // ---- rate limits ----

    /** Returns whether a probe may be sent to the machine now; the call then counts until {@link #callFinished}. */
    boolean tryAcquireProbe(Machine machine) {
        return isComplete() || pacer.tryAcquire(RecoveryPacer.CallKind.PROBE, machine.zone, context.now());
    }

    /**
     * Returns whether the commands that wait for the machine may be sent directly to it now; otherwise they go with the
     * response to its next heartbeat. The call then counts until {@link #callFinished}.
     */
    boolean tryAcquireCommand(Machine machine) {
        return isComplete() || pacer.tryAcquire(callKind(machine), machine.zone, context.now());
    }

    /** Records that a probe or command was answered or timed out. */
    void callFinished() {
        pacer.callFinished();
    }

    private RecoveryPacer.CallKind callKind(Machine machine) {
        for (Placement placement : machine.placements.values()) {
            Job job = clusterState.job(placement.task.job());
            if (job != null && (job.isCancelled() || MachineLossTracker.isUrgent(job))) {
                return RecoveryPacer.CallKind.URGENT;
            }
        }
        return RecoveryPacer.CallKind.ORDINARY;
    }

    /** Returns the operators' view of the recovery, see docs/operations/start.md. */
    public ObjectNode view() {
        ObjectNode node = Codec.map()
                .put("phase", progress.phase().label())
                .put("agoS", context.now().since(progress.beganAt()) / 1000.0)
                .put("heard", snapshot.heard())
                .put("expected", snapshot.expected())
                .put("inDoubt", snapshot.unconfirmedPlacements())
                .put("ordersWaiting", snapshot.waitingCommands())
                .put("ordersHeldBack", pacer.deferred())
                .put("ordersSent", pacer.sent())
                .put("ordersPerSecond", pacer.perSecond())
                .put("overInS", progress.maxRemainingMs(context.now()) / 1000.0);
        if (progress.stateReadAt() != null) {
            node.put("readAfterS", progress.stateReadAt().since(progress.beganAt()) / 1000.0);
        }
        return node;
    }
}
