package org.beechhoist.controller.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
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

    private final ControllerContext turn;
    private final Settings settings;
    private final ClusterState book;
    private final long reportMs;
    private RecoveryProgress progression;
    private RecoveryPacer pace;
    private boolean listed;
    /** What was counted last, for whoever asks. */
    private RecoveryProgress.Facts facts = new RecoveryProgress.Facts(false, false, 0, 0, 0, 0);

    public ColdStartRecovery(ControllerContext turn, Settings settings, ClusterState book) {
        this.turn = turn;
        this.settings = settings;
        this.book = book;
        this.reportMs = Math.round(1000 * settings.workers().reportS());
        begin();
    }

    /** A new leadership begins. */
    public void begin() {
        progression =
                new RecoveryProgress(turn.now(), reportMs, settings.workers().leaseMs());
        pace = new RecoveryPacer(settings.maxSockets());
        listed = false;
        facts = new RecoveryProgress.Facts(false, false, 0, 0, 0, 0);
    }

    /** The cloud has told of all its machines. */
    public void listed() {
        listed = true;
    }

    boolean over() {
        return progression.phase() == RecoveryProgress.Phase.OVER;
    }

    /** Whether work may be stopped for another's sake: not before most of the machines that have room could say so. */
    public boolean mayStop() {
        return progression.phase().compareTo(RecoveryProgress.Phase.LISTENING) > 0;
    }

    /** Looks how far it has come, all records being known; every phase leaves a line. */
    public void tick() {
        if (over()) {
            return;
        }
        facts = count();
        RecoveryProgress.Phase before = progression.phase();
        while (progression.advance(turn.now(), facts)) {
            LOG.info(
                    "start: {} is over after {} s, {} of {} machines heard, {} placements in doubt, {} orders waiting",
                    before.name().toLowerCase(Locale.ROOT),
                    turn.now().since(progression.began()) / 1000.0,
                    facts.heard(),
                    facts.expected(),
                    facts.inDoubt(),
                    facts.waitingOrders());
            before = progression.phase();
            book.replan();
        }
    }

    private RecoveryProgress.Facts count() {
        int expected = 0;
        int heard = 0;
        int doubt = 0;
        int waiting = 0;
        for (Machine machine : book.hosts()) {
            boolean spoke = machine.lastCheckin != null;
            if (spoke
                    || (machine.listedUp || !machine.placements.isEmpty())
                            && presence(machine) != MachinePresence.Assessment.DOUBTED) {
                expected++;
                heard += spoke ? 1 : 0;
            }
            doubt += spoke ? machine.inDoubt : machine.placements.size();
            waiting += machine.outbox.size();
        }
        return new RecoveryProgress.Facts(true, listed, expected, heard, doubt, waiting);
    }

    // ---- machines that have not spoken ----

    private MachinePresence.Assessment presence(Machine machine) {
        return MachinePresence.of(
                new MachinePresence.SilentMachine(
                        !machine.placements.isEmpty(),
                        machine.listedUp,
                        machine.unanswered,
                        machine.answersAt != MonotonicTime.ZERO),
                turn.now().since(progression.began()),
                RecoveryProgress.allReportedMs(reportMs));
    }

    /** Whether the plan should not count on the machine: it has not spoken, and should have, or does not answer. */
    public boolean doubted(Machine machine) {
        return machine.lastCheckin == null && presence(machine) == MachinePresence.Assessment.DOUBTED;
    }

    /** Whether the machine is to be asked though its report is not late yet. */
    boolean asksEarly(Machine machine) {
        return machine.lastCheckin == null
                && progression.gathering(turn.now())
                && presence(machine) != MachinePresence.Assessment.COUNTED_ON;
    }

    // ---- what may be sent ----

    /** Whether a question may be sent to the machine now. */
    boolean mayAsk(Machine machine) {
        return over() || pace.take(RecoveryPacer.CallKind.QUESTION, machine.zone, turn.now());
    }

    /** Whether the orders that wait for the machine may be sent straight to it now; they go with the answer to its report otherwise. */
    boolean mayCommand(Machine machine) {
        return over() || pace.take(kind(machine), machine.zone, turn.now());
    }

    /** A question or command has been answered, or given up. */
    void answered() {
        pace.over();
    }

    private RecoveryPacer.CallKind kind(Machine machine) {
        for (Placement placement : machine.placements.values()) {
            Job job = book.job(placement.task.job());
            if (job != null && (job.cancelled() || LossRecovery.urgent(job))) {
                return RecoveryPacer.CallKind.URGENT;
            }
        }
        return RecoveryPacer.CallKind.ORDINARY;
    }

    /** For operators: see docs/operations/start.md. */
    public ObjectNode view() {
        ObjectNode node = Codec.map()
                .put("phase", progression.phase().name().toLowerCase(Locale.ROOT))
                .put("agoS", turn.now().since(progression.began()) / 1000.0)
                .put("heard", facts.heard())
                .put("expected", facts.expected())
                .put("inDoubt", facts.inDoubt())
                .put("ordersWaiting", facts.waitingOrders())
                .put("ordersHeldBack", pace.heldBack())
                .put("ordersSent", pace.sent())
                .put("ordersPerSecond", pace.perSecond())
                .put("overInS", progression.longestLeftMs(turn.now()) / 1000.0);
        if (progression.read() != null) {
            node.put("readAfterS", progression.read().since(progression.began()) / 1000.0);
        }
        return node;
    }
}
