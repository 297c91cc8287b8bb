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
 * The start of a leadership: how far it has come, which machines that have not spoken are counted on, and how fast they
 * may be asked and commanded. What each report means is decided as at any other time. See docs/design/start.md.
 */
public final class ColdStartRecovery {
    private static final Logger LOG = LoggerFactory.getLogger(ColdStartRecovery.class);

    private final ControllerContext context;
    private final Settings settings;
    private final ClusterState clusterState;
    private final long reportMs;
    private RecoveryProgress progress;
    private RecoveryPacer pacer;
    private boolean markListed;
    /** What was counted last, for whoever asks. */
    private RecoveryProgress.Facts facts = new RecoveryProgress.Facts(false, false, 0, 0, 0, 0);

    public ColdStartRecovery(ControllerContext context, Settings settings, ClusterState clusterState) {
        this.context = context;
        this.settings = settings;
        this.clusterState = clusterState;
        this.reportMs = Math.round(1000 * settings.workers().reportS());
        begin();
    }

    /** A new leadership begins. */
    public void begin() {
        progress =
                new RecoveryProgress(context.now(), reportMs, settings.workers().leaseMs());
        pacer = new RecoveryPacer(settings.maxSockets());
        markListed = false;
        facts = new RecoveryProgress.Facts(false, false, 0, 0, 0, 0);
    }

    /** The cloud has told of all its machines. */
    public void markListed() {
        markListed = true;
    }

    boolean isComplete() {
        return progress.phase() == RecoveryProgress.Phase.COMPLETE;
    }

    /** Whether work may be stopped for another's sake: not before most of the machines that have room could say so. */
    public boolean mayStop() {
        return progress.phase().compareTo(RecoveryProgress.Phase.LISTENING) > 0;
    }

    /** Looks how far it has come, all records being known; every phase leaves a line. */
    public void advance() {
        if (isComplete()) {
            return;
        }
        facts = count();
        RecoveryProgress.Phase before = progress.phase();
        while (progress.advance(context.now(), facts)) {
            LOG.info(
                    "start: {} is over after {} s, {} of {} machines heard, {} placements in doubt, {} orders waiting",
                    before.label(),
                    context.now().since(progress.beganAt()) / 1000.0,
                    facts.heard(),
                    facts.expected(),
                    facts.unconfirmed(),
                    facts.waitingCommands());
            before = progress.phase();
            clusterState.requestReplan();
        }
    }

    private RecoveryProgress.Facts count() {
        int expected = 0;
        int heard = 0;
        int doubt = 0;
        int waiting = 0;
        for (Machine machine : clusterState.machines()) {
            boolean spoke = machine.lastHeartbeat != null;
            if (spoke
                    || (machine.listedRunning || !machine.placements.isEmpty())
                            && presence(machine) != MachinePresence.Assessment.DOUBTED) {
                expected++;
                heard += spoke ? 1 : 0;
            }
            doubt += spoke ? machine.unconfirmedPlacements : machine.placements.size();
            waiting += machine.outbox.size();
        }
        return new RecoveryProgress.Facts(true, markListed, expected, heard, doubt, waiting);
    }

    // ---- machines that have not spoken ----

    private MachinePresence.Assessment presence(Machine machine) {
        return MachinePresence.assess(
                new MachinePresence.SilentMachine(
                        !machine.placements.isEmpty(),
                        machine.listedRunning,
                        machine.unansweredProbes,
                        machine.probeAnsweredAt != MonotonicTime.ZERO),
                context.now().since(progress.beganAt()),
                RecoveryProgress.allReportedMs(reportMs));
    }

    /** Whether the plan should not count on the machine: it has not spoken, and should have, or does not answer. */
    public boolean isDoubted(Machine machine) {
        return machine.lastHeartbeat == null && presence(machine) == MachinePresence.Assessment.DOUBTED;
    }

    /** Whether the machine is to be asked though its report is not late yet. */
    boolean probesEarly(Machine machine) {
        return machine.lastHeartbeat == null
                && progress.isGathering(context.now())
                && presence(machine) != MachinePresence.Assessment.ASSUMED_PRESENT;
    }

    // ---- what may be sent ----

    /** Whether a question may be sent to the machine now. */
    boolean mayProbe(Machine machine) {
        return isComplete() || pacer.tryAcquire(RecoveryPacer.CallKind.PROBE, machine.zone, context.now());
    }

    /** Whether the orders that wait for the machine may be sent straight to it now; they go with the answer to its report otherwise. */
    boolean mayCommand(Machine machine) {
        return isComplete() || pacer.tryAcquire(callKind(machine), machine.zone, context.now());
    }

    /** A question or command has been answered, or given up. */
    void callFinished() {
        pacer.callFinished();
    }

    private RecoveryPacer.CallKind callKind(Machine machine) {
        for (Placement placement : machine.placements.values()) {
            Job job = clusterState.job(placement.task.job());
            if (job != null && (job.isCancelled() || LossRecovery.isUrgent(job))) {
                return RecoveryPacer.CallKind.URGENT;
            }
        }
        return RecoveryPacer.CallKind.ORDINARY;
    }

    /** For operators: see docs/operations/start.md. */
    public ObjectNode view() {
        ObjectNode node = Codec.map()
                .put("phase", progress.phase().label())
                .put("agoS", context.now().since(progress.beganAt()) / 1000.0)
                .put("heard", facts.heard())
                .put("expected", facts.expected())
                .put("inDoubt", facts.unconfirmed())
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
