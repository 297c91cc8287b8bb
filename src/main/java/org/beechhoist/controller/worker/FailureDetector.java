package org.beechhoist.controller.worker;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.ServiceCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether a machine that is not heard is to be given up. Silence proves nothing about its tasks, it only decides when the
 * cloud is asked to end it. A report that is late is asked for: a machine that answers is left alone, one that does not
 * is given up sooner than one that nobody asked.
 */
public final class FailureDetector {
    private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);
    /** Questions on their way at once: each takes a socket, and those to dead machines hang. */
    private static final int MOST_ASKED = 60;

    private static final long ANSWER_MS = 2000;
    /** A report may be late by a quarter, and some for the way. */
    private static final double LATE = 1.25;

    private static final long WAY_MS = 1500;
    /** Unanswered questions that count as much as a second missed report. */
    static final int ENOUGH = 2;

    private static final int LEAST_IN_ZONE = 5;

    /** What is known of a zone's machines in this turn. */
    private static final class ZoneHealth {
        private int up;
        private int dark;

        /** Most are silent, or don't hear: more likely the network than the machines. */
        private boolean dark() {
            return dark >= LEAST_IN_ZONE && dark * 2 > up;
        }
    }

    private final ControllerContext turn;
    private final Settings settings;
    private final Policy policy;
    private final LeaderElection election;
    private final ClusterState book;
    private final ColdStartRecovery starting;
    private final LossRecovery recovery;
    /** A worker is asked and says less than it has said before. */
    private final BiConsumer<Machine, Heartbeat> beganAnew;

    private final Map<String, ZoneHealth> zones = new HashMap<>();
    private boolean blind;
    private int asked;

    public FailureDetector(
            ControllerContext turn,
            Settings settings,
            Policy policy,
            LeaderElection election,
            ClusterState book,
            ColdStartRecovery starting,
            LossRecovery recovery,
            BiConsumer<Machine, Heartbeat> beganAnew) {
        this.beganAnew = beganAnew;
        this.turn = turn;
        this.settings = settings;
        this.policy = policy;
        this.election = election;
        this.book = book;
        this.starting = starting;
        this.recovery = recovery;
    }

    /** A new leadership begins. */
    public void reset() {
        asked = 0;
    }

    /** Machines that miss two reports; never less than the operator's setting. */
    public long missedMs() {
        return Math.max(
                policy.silentMs(), Math.round(2 * LATE * settings.workers().reportS() * 1000) + 3000);
    }

    private long lateMs() {
        return Math.round(LATE * settings.workers().reportS() * 1000) + WAY_MS;
    }

    /** Counts the silent ones, and asks those whose report is late. */
    public void look() {
        zones.clear();
        int up = 0;
        int silent = 0;
        List<Machine> early = new ArrayList<>();
        for (Machine machine : book.hosts()) {
            if (!expected(machine) || machine.returning) {
                continue;
            }
            long quiet = turn.now().since(book.heard(machine));
            if (!machine.there && !machine.listedUp && machine.placements.isEmpty()) {
                ask(machine); // nothing but a report tells of it, which may be a copy: it counts for no zone
                continue;
            }
            ZoneHealth zone = zones.computeIfAbsent(String.valueOf(machine.zone), k -> new ZoneHealth());
            up++;
            zone.up++;
            boolean dark = quiet > lateMs() || machine.ears.deaf();
            zone.dark += dark ? 1 : 0;
            silent += dark ? 1 : 0;
            if (machine.ears.missed() > 0 && !machine.ears.deaf()) {
                ask(machine); // one lost message may be the way's fault; a second is not waited for
            }
            if (quiet > lateMs()) {
                ask(machine);
            } else if (starting.asksEarly(machine)) {
                early.add(machine);
            } else if (machine.lastCheckin != null) {
                machine.unanswered = 0;
            }
        }
        early.sort(Comparator.comparingInt(
                recovery::firstUrgency)); // machines whose urgent work would wait for the answer
        early.forEach(this::ask);
        blind = silent > 2 && silent * 2 > up;
    }

    /** Machines that should report: also those that never did to this leadership, but hold tasks or are listed as running. */
    private static boolean expected(Machine machine) {
        return machine.up || machine.listedUp || !machine.placements.isEmpty();
    }

    private void ask(Machine machine) {
        if (machine.asked
                || asked >= MOST_ASKED
                || machine.unanswered >= ENOUGH
                || machine.address == null
                || !starting.mayAsk(machine)) {
            return;
        }
        machine.asked = true;
        asked++;
        long shift = machine.shift;
        long counter = machine.counter;
        long reign = book.reign();
        turn.command(
                election.validUntil(),
                ServiceCalls.Target.HOST,
                machine.address,
                "GET",
                "/show",
                null,
                ANSWER_MS,
                result -> {
                    if (reign != book.reign()) {
                        return;
                    }
                    asked--;
                    starting.answered();
                    machine.asked = false;
                    answered(machine, result, shift, counter);
                });
    }

    /** @param shift the newest message known when the question was sent, and {@code counter} */
    private void answered(Machine machine, CallResult result, long shift, long counter) {
        Heartbeat heartbeat = null;
        try {
            heartbeat = result.ok() ? Heartbeat.parse(result.body()) : null;
        } catch (MalformedMessageException e) {
            LOG.debug("{}: strange report: {}", machine.id, e.getMessage());
        }
        if (heartbeat == null || !heartbeat.host().equals(machine.id)) { // another machine may have its address
            if (result.kind() != CallResult.Kind.NOT_SENT) {
                machine.unanswered++;
                machine.missed(turn.now(), turn.late());
            }
            return;
        }
        machine.unanswered = 0;
        machine.answersAt = turn.now();
        machine.answers(turn.now());
        if (heartbeat.newerThan(machine.shift, machine.counter)) {
            machine.newest(heartbeat, turn.now());
        } else if (!heartbeat.newerThan(shift, counter)) {
            beganAnew.accept(machine, heartbeat);
        }
    }

    /** Whether a machine that does not hear is to be returned for that. */
    public boolean deaf(Machine machine) {
        ZoneHealth zone = zones.get(String.valueOf(machine.zone));
        return machine.ears.givenUp(
                machine.placedAndSeen(false),
                machine.placedAndSeen(true),
                blind || zone != null && zone.dark(),
                settings.workers().leaseMs(),
                turn.now());
    }

    /** Whether the machine is to be returned for its silence. */
    public boolean gone(Machine machine) {
        long quiet = turn.now().since(book.heard(machine));
        ZoneHealth zone = zones.get(String.valueOf(machine.zone));
        if (turn.now().before(machine.mayAnswerUntil)) {
            return false;
        }
        if (machine.ears.speaksOn()) {
            return quiet > settings.workers().leaseMs(); // it goes round all nodes, and is heard here the less for that
        }
        if (blind || (zone != null && zone.dark())) {
            return quiet > settings.workers().leaseMs();
        }
        if (quiet <= Math.min(policy.silentMs(), missedMs()) || turn.now().since(machine.answersAt) < lateMs()) {
            return false;
        }
        return quiet > missedMs() || machine.unanswered >= ENOUGH;
    }
}
