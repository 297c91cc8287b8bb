package org.beechhoist.controller.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.ControllerServices;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.CancellationRegistry;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.LeaderState;
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
    static final int MAX_COMMANDS = 200;
    private static final long DIRECT_TIMEOUT_MS = 3000;
    /** Commands to one worker that may be without an answer when a kill is sent all the same. */
    private static final int MAX_UNACKNOWLEDGED = 4;

    /** What answers to commands tell. */
    public interface Listener {
        /** The worker's report after the commands. */
        void heartbeatReceived(Machine machine, Heartbeat report);

        /** A launch sent with this token may be executed minutes late. */
        void launchUnacknowledged(FencingToken fencingToken);

        /** What was sent so far must not be executed any more. */
        void fencingRequested();
    }

    private final ControllerContext context;
    private final Settings settings;
    private final LeaderElection election;
    private final ClusterState clusterState;
    private final StateLoader loader;
    private final ColdStartRecovery coldStart;
    private final CancellationRegistry cancellations;
    private final Listener listener;

    public CommandDispatcher(
            ControllerServices services, LeaderState state, ColdStartRecovery coldStart, Listener listener) {
        this.context = services.context();
        this.settings = services.settings();
        this.election = services.election();
        this.clusterState = state.clusterState();
        this.loader = state.loader();
        this.cancellations = state.cancellations();
        this.coldStart = coldStart;
        this.listener = listener;
    }

    private boolean isReachable(Machine machine) {
        return machine.up
                && machine.address != null
                && machine.lastHeardAt != null
                && !machine.releasing
                && !machine.reachability.isUnreachable()
                && context.now().since(machine.lastHeardAt) < settings.workers().reportS() * 2500;
    }

    /** Also a worker that can't report, and answers when it is asked. */
    private boolean acceptsKills(Machine machine) {
        return isReachable(machine)
                || machine.address != null
                        && !machine.releasing
                        && !machine.reachability.isUnreachable()
                        && machine.probeAnsweredAt != MonotonicTime.ZERO
                        && machine.unansweredProbes == 0
                        && context.now().since(machine.probeAnsweredAt)
                                < settings.workers().reportS() * 2500;
    }

    /** Kills the task where it may be, unless that is waiting to be sent already. */
    void kill(Machine machine, Placement placement) {
        if (machine.outbox.stream()
                .noneMatch(o -> o.verb() == WorkerCommand.Verb.KILL && o.task().equals(placement.task))) {
            machine.outbox.add(WorkerCommand.kill(placement.task, placement.attempt, 0));
            dispatch(machine);
        }
    }

    /** Whether a task of the job was launched by a command that has no answer yet. */
    boolean hasUnacknowledgedLaunch(Job job) {
        return job.record.live.values().stream().anyMatch(this::hasUnacknowledgedLaunch);
    }

    private boolean hasUnacknowledgedLaunch(Placement placement) {
        return placement.launchSent
                && !placement.reported
                && clusterState.machine(placement.machine).commandsInFlight > 0;
    }

    FencingToken fencingToken() {
        return election.fencingToken();
    }

    /** Asks for a new token at once: a worker that has seen it refuses what was sent before. */
    void requestFencing() {
        listener.fencingRequested();
    }

    /** Kills what was launched without an answer so far; unlike other commands these do not wait for that answer. */
    void killUnacknowledged(Job job) {
        for (Placement placement : new ArrayList<>(job.record.live.values())) {
            Machine machine = clusterState.machine(placement.machine);
            if (hasUnacknowledgedLaunch(placement)
                    && machine.commandsInFlight <= MAX_UNACKNOWLEDGED
                    && acceptsKills(machine)
                    && election.holdsLease()
                    && coldStart.mayCommand(machine)) {
                send(machine, List.of(WorkerCommand.kill(placement.task, placement.attempt, 0)), List.of());
            }
        }
    }

    /** Sends waiting orders straight to the worker; one call at a time, so that each report is easy to judge. */
    public void dispatch(Machine machine) {
        if (machine.outbox.isEmpty() || machine.commandsInFlight > 0 || !election.holdsLease()) {
            return;
        }
        if (!isReachable(machine)) {
            boolean kills = acceptsKills(machine);
            machine.outbox.removeIf(o -> !kills
                    || o.verb() != WorkerCommand.Verb.KILL); // launches not sent go with the next reply to its report
        }
        // While the book is not certain, or a cancellation may not be known, nothing is begun; what is to be ended is
        // ended.
        boolean all = loader.isActive() && cancellations.mayRenewLeases();
        List<WorkerCommand> orders = new ArrayList<>(machine.outbox.stream()
                .filter(o -> all || o.verb() == WorkerCommand.Verb.KILL)
                .limit(MAX_COMMANDS)
                .toList());
        if (orders.isEmpty() || !coldStart.mayCommand(machine)) {
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
                    || placement.launchSent
                    || machine.isLeaving()
                    || cancellations.isCancelled(command.task().job())) {
                return true;
            }
            launches.add(placement);
            placement.launchSent = true;
            placement.launchEpoch = machine.epoch;
            placement.launchSequence = machine.sequence;
            return false;
        });
        if (orders.isEmpty()) {
            coldStart.callFinished();
            return;
        }
        send(machine, orders, launches);
    }

    private void send(Machine machine, List<WorkerCommand> orders, List<Placement> launches) {
        FencingToken fencingToken = election.fencingToken();
        long epoch = machine.epoch;
        ObjectNode body = Codec.map().put("baton", fencingToken.value()).put("shift", epoch);
        body.set("orders", WorkerCommand.toNode(orders));
        machine.commandsInFlight++;
        long term = clusterState.term();
        context.callBefore(
                election.leaseValidUntil(),
                ServiceCalls.Target.HOST,
                machine.address,
                "POST",
                "/orders",
                body,
                DIRECT_TIMEOUT_MS,
                result -> {
                    if (term != clusterState.term()) {
                        return;
                    }
                    coldStart.callFinished();
                    if (clusterState.findMachine(machine.id) == machine) {
                        machine.commandsInFlight--;
                        handleAnswer(machine, result, launches, fencingToken);
                    }
                });
    }

    /** Its address belongs to another machine now, which has been given its launches: they are ended there, and count as on their way here. */
    private void handleForeignAnswer(Machine machine, Heartbeat report, List<Placement> launches) {
        LOG.warn("{}: {} answers at its address", machine.id, report.machine());
        machine.address = null;
        Machine there = clusterState.findMachine(report.machine());
        for (Placement p : there == null ? List.<Placement>of() : launches) {
            there.outbox.add(WorkerCommand.kill(p.task, p.attempt, 0));
        }
    }

    private void handleAnswer(Machine machine, CallResult result, List<Placement> launches, FencingToken fencingToken) {
        Heartbeat report = null;
        if (result.kind() == CallResult.Kind.ANSWERED && result.body() != null) {
            try {
                report = Heartbeat.parse(result.body());
            } catch (MalformedMessageException e) {
                LOG.debug("{}: strange report: {}", machine.id, e.getMessage());
            }
        }
        boolean other = report != null && !report.machine().equals(machine.id);
        if (other) {
            handleForeignAnswer(machine, report, launches);
            report = null;
        }
        if (report != null) {
            machine.recordAnswer(context.now());
        } else if (result.kind() != CallResult.Kind.NOT_SENT) {
            machine.recordMissedCall(context.now(), context.isLagging());
        }
        boolean refused = result.kind() == CallResult.Kind.NOT_SENT
                || (report != null && result.hasStatus(409))
                || result.hasStatus(400);
        if (refused) {
            launches.forEach(p -> p.launchSent = false);
        } else if (!(result.hasStatus(200) && report != null) && !launches.isEmpty()) {
            // The launch may be executed minutes late, until the worker has seen a higher token.
            LOG.info("{}: launch without an answer, baton {}", machine.id, fencingToken.value());
            machine.unacknowledgedToken = fencingToken;
            listener.launchUnacknowledged(fencingToken);
        }
        if (report != null
                && report.machine().equals(machine.id)
                && report.isNewerThan(machine.epoch, machine.sequence)) {
            boolean sameShift = report.epoch() == machine.epoch;
            machine.recordNewest(report, context.now());
            if (result.hasStatus(200)) {
                for (Placement placement : launches) {
                    placement.launchEpoch = report.epoch();
                    placement.launchSequence = report.sequence();
                }
            }
            if (sameShift && loader.isComplete()) {
                listener.heartbeatReceived(machine, report);
            }
        }
        dispatch(machine);
    }
}
