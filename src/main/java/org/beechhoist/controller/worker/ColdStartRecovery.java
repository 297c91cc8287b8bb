package org.beechhoist.core;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.beechhoist.config.Settings;
import org.beechhoist.start.Pace;
import org.beechhoist.start.Presence;
import org.beechhoist.start.Progression;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.Tick;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The start of a leadership: how far it has come, which machines that have not spoken are counted on, and how fast they
 * may be asked and commanded. What each report means is decided as at any other time. See docs/design/start.md.
 */
final class Starting {
    private static final Logger LOG = LoggerFactory.getLogger(Starting.class);

    private final Turn turn;
    private final Settings settings;
    private final Book book;
    private final long reportMs;
    private Progression progression;
    private Pace pace;
    private boolean listed;
    /** What was counted last, for whoever asks. */
    private Progression.Facts facts = new Progression.Facts(false, false, 0, 0, 0, 0);

    Starting(Turn turn, Settings settings, Book book) {
        this.turn = turn;
        this.settings = settings;
        this.book = book;
        this.reportMs = Math.round(1000 * settings.workers().reportS());
        begin();
    }

    /** A new leadership begins. */
    void begin() {
        progression = new Progression(turn.now(), reportMs, settings.workers().leaseMs());
        pace = new Pace(settings.maxSockets());
        listed = false;
        facts = new Progression.Facts(false, false, 0, 0, 0, 0);
    }

    /** The cloud has told of all its machines. */
    void listed() {
        listed = true;
    }

    boolean over() {
        return progression.phase() == Progression.Phase.OVER;
    }

    /** Whether work may be stopped for another's sake: not before most of the machines that have room could say so. */
    boolean mayStop() {
        return progression.phase().compareTo(Progression.Phase.LISTENING) > 0;
    }

    /** Looks how far it has come, all records being known; every phase leaves a line. */
    void tick() {
        if (over()) {
            return;
        }
        facts = count();
        Progression.Phase before = progression.phase();
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

    private Progression.Facts count() {
        int expected = 0;
        int heard = 0;
        int doubt = 0;
        int waiting = 0;
        for (Host machine : book.hosts()) {
            boolean spoke = machine.lastCheckin != null;
            if (spoke
                    || (machine.listedUp || !machine.placements.isEmpty())
                            && presence(machine) != Presence.Verdict.DOUBTED) {
                expected++;
                heard += spoke ? 1 : 0;
            }
            doubt += spoke ? machine.inDoubt : machine.placements.size();
            waiting += machine.outbox.size();
        }
        return new Progression.Facts(true, listed, expected, heard, doubt, waiting);
    }

    // ---- machines that have not spoken ----

    private Presence.Verdict presence(Host machine) {
        return Presence.of(
                new Presence.Unheard(
                        !machine.placements.isEmpty(),
                        machine.listedUp,
                        machine.unanswered,
                        machine.answersAt != Tick.ZERO),
                turn.now().since(progression.began()),
                Progression.allReportedMs(reportMs));
    }

    /** Whether the plan should not count on the machine: it has not spoken, and should have, or does not answer. */
    boolean doubted(Host machine) {
        return machine.lastCheckin == null && presence(machine) == Presence.Verdict.DOUBTED;
    }

    /** Whether the machine is to be asked though its report is not late yet. */
    boolean asksEarly(Host machine) {
        return machine.lastCheckin == null
                && progression.gathering(turn.now())
                && presence(machine) != Presence.Verdict.COUNTED_ON;
    }

    // ---- what may be sent ----

    /** Whether a question may be sent to the machine now. */
    boolean mayAsk(Host machine) {
        return over() || pace.take(Pace.Kind.QUESTION, machine.zone, turn.now());
    }

    /** Whether the orders that wait for the machine may be sent straight to it now; they go with the answer to its report otherwise. */
    boolean mayCommand(Host machine) {
        return over() || pace.take(kind(machine), machine.zone, turn.now());
    }

    /** A question or command has been answered, or given up. */
    void answered() {
        pace.over();
    }

    private Pace.Kind kind(Host machine) {
        for (Placement placement : machine.placements.values()) {
            Job job = book.job(placement.task.job());
            if (job != null && (job.cancelled() || Recovery.urgent(job))) {
                return Pace.Kind.URGENT;
            }
        }
        return Pace.Kind.ORDINARY;
    }

    /** For operators: see docs/operations/start.md. */
    ObjectNode view() {
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
