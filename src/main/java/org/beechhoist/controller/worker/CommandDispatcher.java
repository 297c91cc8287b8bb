package org.beechhoist.controller.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.CancellationRegistry;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.StateLoader;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.ServiceCalls;
import org.beechhoist.wire.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends commands straight to workers, and keeps track of those that may be executed late. */
public final class CommandDispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(CommandDispatcher.class);
    static final int MAX_ORDERS = 200;
    private static final long DIRECT_TIMEOUT_MS = 3000;
    /** Commands to one worker that may be without an answer when a kill is sent all the same. */
    private static final int MOST_UNANSWERED = 4;

    /** What answers to commands tell. */
    public interface Listener {
        /** The worker's report after the commands. */
        void reported(Machine machine, Heartbeat report);

        /** A launch sent with this token may be executed minutes late. */
        void unanswered(FencingToken baton);

        /** What was sent so far must not be executed any more. */
        void fence();
    }

    private final ControllerContext turn;
    private final Settings settings;
    private final LeaderElection election;
    private final ClusterState book;
    private final StateLoader loading;
    private final ColdStartRecovery starting;
    private final CancellationRegistry cancellations;
    private final Listener listener;

    public CommandDispatcher(
            ControllerContext turn,
            Settings settings,
            LeaderElection election,
            ClusterState book,
            StateLoader loading,
            ColdStartRecovery starting,
            CancellationRegistry cancellations,
            Listener listener) {
        this.cancellations = cancellations;
        this.starting = starting;
        this.turn = turn;
        this.settings = settings;
        this.election = election;
        this.book = book;
        this.loading = loading;
        this.listener = listener;
    }

    private boolean reachable(Machine machine) {
        return machine.up
                && machine.address != null
                && machine.lastHeard != null
                && !machine.returning
                && !machine.ears.deaf()
                && turn.now().since(machine.lastHeard) < settings.workers().reportS() * 2500;
    }

    /** Also a worker that can't report, and answers when it is asked. */
    private boolean killable(Machine machine) {
        return reachable(machine)
                || machine.address != null
                        && !machine.returning
                        && !machine.ears.deaf()
                        && machine.answersAt != MonotonicTime.ZERO
                        && machine.unanswered == 0
                        && turn.now().since(machine.answersAt)
                                < settings.workers().reportS() * 2500;
    }

    /** Kills the task where it may be, unless that is waiting to be sent already. */
    void kill(Machine machine, Placement placement) {
        if (machine.outbox.stream()
                .noneMatch(o -> o.verb() == WorkerCommand.Verb.KILL && o.task().equals(placement.task))) {
            machine.outbox.add(WorkerCommand.kill(placement.task, placement.attempt, 0));
            direct(machine);
        }
    }

    /** Whether a task of the job was launched by a command that has no answer yet. */
    boolean launchUnanswered(Job job) {
        return job.record.live.values().stream().anyMatch(this::launchUnanswered);
    }

    private boolean launchUnanswered(Placement placement) {
        return placement.sent && !placement.seen && book.host(placement.host).ordersInFlight > 0;
    }

    FencingToken token() {
        return election.baton();
    }

    /** Asks for a new token at once: a worker that has seen it refuses what was sent before. */
    void wantToken() {
        listener.fence();
    }

    /** Kills what was launched without an answer so far; unlike other commands these do not wait for that answer. */
    void killUnanswered(Job job) {
        for (Placement placement : new ArrayList<>(job.record.live.values())) {
            Machine machine = book.host(placement.host);
            if (launchUnanswered(placement)
                    && machine.ordersInFlight <= MOST_UNANSWERED
                    && killable(machine)
                    && election.valid()
                    && starting.mayCommand(machine)) {
                send(machine, List.of(WorkerCommand.kill(placement.task, placement.attempt, 0)), List.of());
            }
        }
    }

    /** Sends waiting orders straight to the worker; one call at a time, so that each report is easy to judge. */
    public void direct(Machine machine) {
        if (machine.outbox.isEmpty() || machine.ordersInFlight > 0 || !election.valid()) {
            return;
        }
        if (!reachable(machine)) {
            boolean kills = killable(machine);
            machine.outbox.removeIf(o -> !kills
                    || o.verb() != WorkerCommand.Verb.KILL); // launches not sent go with the next reply to its report
        }
        // While the book is not certain, or a cancellation may not be known, nothing is begun; what is to be ended is
        // ended.
        boolean all = loading.active() && cancellations.mayRenew();
        List<WorkerCommand> orders = new ArrayList<>(machine.outbox.stream()
                .filter(o -> all || o.verb() == WorkerCommand.Verb.KILL)
                .limit(MAX_ORDERS)
                .toList());
        if (orders.isEmpty() || !starting.mayCommand(machine)) {
            return; // they wait for a moment, or go with that reply
        }
        machine.outbox.removeAll(orders);
        List<Placement> launches = new ArrayList<>();
        orders.removeIf(command -> {
            if (command.verb() != WorkerCommand.Verb.LAUNCH) {
                return false;
            }
            Placement placement = machine.placements.get(command.task());
            if (placement == null
                    || placement.attempt != command.attempt()
                    || !placement.committed
                    || placement.sent
                    || machine.going()
                    || cancellations.knows(command.task().job())) {
                return true;
            }
            launches.add(placement);
            placement.sent = true;
            placement.sentShift = machine.shift;
            placement.sentCounter = machine.counter;
            return false;
        });
        if (orders.isEmpty()) {
            starting.answered();
            return;
        }
        send(machine, orders, launches);
    }

    private void send(Machine machine, List<WorkerCommand> orders, List<Placement> launches) {
        FencingToken baton = election.baton();
        long shift = machine.shift;
        ObjectNode body = Codec.map().put("baton", baton.value()).put("shift", shift);
        body.set("orders", WorkerCommand.toNode(orders));
        machine.ordersInFlight++;
        long term = book.reign();
        turn.command(
                election.validUntil(),
                ServiceCalls.Target.HOST,
                machine.address,
                "POST",
                "/orders",
                body,
                DIRECT_TIMEOUT_MS,
                result -> {
                    if (term != book.reign()) {
                        return;
                    }
                    starting.answered();
                    if (book.known(machine.id) == machine) {
                        machine.ordersInFlight--;
                        ordersDone(machine, result, launches, baton);
                    }
                });
    }

    /** Its address belongs to another machine now, which has been given its launches: they are ended there, and count as on their way here. */
    private void anotherAnswered(Machine machine, Heartbeat report, List<Placement> launches) {
        LOG.warn("{}: {} answers at its address", machine.id, report.host());
        machine.address = null;
        Machine there = book.known(report.host());
        for (Placement p : there == null ? List.<Placement>of() : launches) {
            there.outbox.add(WorkerCommand.kill(p.task, p.attempt, 0));
        }
    }

    private void ordersDone(Machine machine, CallResult result, List<Placement> launches, FencingToken baton) {
        Heartbeat report = null;
        if (result.kind() == CallResult.Kind.ANSWERED && result.body() != null) {
            try {
                report = Heartbeat.parse(result.body());
            } catch (MalformedMessageException e) {
                LOG.debug("{}: strange report: {}", machine.id, e.getMessage());
            }
        }
        boolean other = report != null && !report.host().equals(machine.id);
        if (other) {
            anotherAnswered(machine, report, launches);
            report = null;
        }
        if (report != null) {
            machine.answers(turn.now());
        } else if (result.kind() != CallResult.Kind.NOT_SENT) {
            machine.missed(turn.now(), turn.late());
        }
        boolean refused =
                result.kind() == CallResult.Kind.NOT_SENT || (report != null && result.is(409)) || result.is(400);
        if (refused) {
            launches.forEach(p -> p.sent = false);
        } else if (!(result.is(200) && report != null) && !launches.isEmpty()) {
            // The launch may be executed minutes late, until the worker has seen a higher token.
            LOG.info("{}: launch without an answer, baton {}", machine.id, baton.value());
            machine.limbo = baton;
            listener.unanswered(baton);
        }
        if (report != null && report.host().equals(machine.id) && report.newerThan(machine.shift, machine.counter)) {
            boolean sameShift = report.shift() == machine.shift;
            machine.newest(report, turn.now());
            if (result.is(200)) {
                for (Placement placement : launches) {
                    placement.sentShift = report.shift();
                    placement.sentCounter = report.counter();
                }
            }
            if (sameShift && loading.complete()) {
                listener.reported(machine, report);
            }
        }
        direct(machine);
    }
}
