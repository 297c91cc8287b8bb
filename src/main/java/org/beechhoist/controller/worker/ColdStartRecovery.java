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
 * The recovery at the beginning of a term: its progress, which machines that have not reported yet are counted on, and
 * how fast machines may be probed and commanded. What each heartbeat proves is decided as at any other time. See
 * docs/design/start.md.
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
    /** What was counted last, for the operators' view. */
    private RecoveryProgress.Snapshot facts = new RecoveryProgress.Snapshot(false, false, 0, 0, 0, 0);

    /** Creates it at the beginning of a term. */
    public ColdStartRecovery(ControllerContext context, Settings settings, ClusterState clusterState) {
        this.context = context;
        this.settings = settings;
        this.clusterState = clusterState;
        this.heartbeatIntervalMs = Math.round(1000 * settings.workers().reportS());
        begin();
    }

    /** Starts anew: a new term begins. */
    public void begin() {
        progress = new RecoveryProgress(
                context.now(), heartbeatIntervalMs, settings.workers().leaseMs());
        pacer = new RecoveryPacer(settings.maxSockets());
        machinesListed = false;
        facts = new RecoveryProgress.Snapshot(false, false, 0, 0, 0, 0);
    }

    /** Records that the cloud has listed all its machines. */
    public void recordMachinesListed() {
        machinesListed = true;
    }

    /** Whether the recovery is over. */
    boolean isComplete() {
        return progress.phase() == RecoveryProgress.Phase.COMPLETE;
    }

    /** Whether tasks may be preempted: not before most of the machines with free capacity could have reported it. */
    public boolean mayPreempt() {
        return progress.phase().compareTo(RecoveryProgress.Phase.AWAITING_HEARTBEATS) > 0;
    }

    /** Updates the progress once all records are read; the end of each phase is logged. */
    public void advance() {
        if (isComplete()) {
            return;
        }
        facts = countFacts();
        RecoveryProgress.Phase before = progress.phase();
        while (progress.advance(context.now(), facts)) {
            LOG.info(
                    "recovery phase ended: phase={} sinceTermBeganS={} machinesHeard={} machinesExpected={}"
                            + " unconfirmedPlacements={} commandsWaiting={}",
                    before.label(),
                    context.now().since(progress.beganAt()) / 1000.0,
                    facts.heard(),
                    facts.expected(),
                    facts.unconfirmedPlacements(),
                    facts.waitingCommands());
            before = progress.phase();
            clusterState.requestReplan();
        }
    }

    private RecoveryProgress.Snapshot countFacts() {
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
     * Whether the plan should not count on the machine: it should have reported but has not, or it does not answer
     * probes.
     */
    public boolean isPresumedAbsent(Machine machine) {
        return machine.lastHeartbeat == null && presence(machine) == MachinePresence.Assessment.PRESUMED_ABSENT;
    }

    /** Whether the machine is to be probed though its heartbeat is not late yet. */
    boolean needsEarlyProbe(Machine machine) {
        return machine.lastHeartbeat == null
                && progress.isAwaitingFirstHeartbeats(context.now())
                && presence(machine) != MachinePresence.Assessment.PRESUMED_PRESENT;
    }

    // ---- what may be sent ----

    /** Whether a probe may be sent to the machine now; the call then counts until {@link #callFinished}. */
    boolean tryAcquireProbe(Machine machine) {
        return isComplete() || pacer.tryAcquire(RecoveryPacer.CallKind.PROBE, machine.zone, context.now());
    }

    /**
     * Whether the commands that wait for the machine may be sent straight to it now; otherwise they go with the answer
     * to its next heartbeat. The call then counts until {@link #callFinished}.
     */
    boolean tryAcquireCommand(Machine machine) {
        return isComplete() || pacer.tryAcquire(callKind(machine), machine.zone, context.now());
    }

    /** A probe or command has been answered, or given up. */
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

    /** The operators' view of the recovery: see docs/operations/start.md. */
    public ObjectNode view() {
        ObjectNode node = Codec.map()
                .put("phase", progress.phase().label())
                .put("agoS", context.now().since(progress.beganAt()) / 1000.0)
                .put("heard", facts.heard())
                .put("expected", facts.expected())
                .put("inDoubt", facts.unconfirmedPlacements())
                .put("ordersWaiting", facts.waitingCommands())
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
