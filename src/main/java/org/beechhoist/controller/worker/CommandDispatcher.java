package org.beechhoist.controller.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.context.ServiceRequest;
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

/**
 * Sends commands straight to workers, instead of with the answer to a heartbeat, and keeps track of launches without an
 * acknowledgement, which may be executed late.
 */
public final class CommandDispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(CommandDispatcher.class);
    /** The most commands in one message to a worker. */
    static final int MAX_COMMANDS_PER_MESSAGE = 200;

    /** For so many heartbeat intervals after it was heard, or has answered a probe, a machine may be sent commands. */
    private static final double REACHABLE_INTERVALS = 2.5;
    /** How long an answer to commands is waited for. */
    private static final long DIRECT_TIMEOUT_MS = 3000;
    /** How many calls to one worker may be without an answer when a kill is sent all the same. */
    private static final int MAX_UNACKNOWLEDGED = 4;

    /** Receives what follows from the answers to commands. */
    public interface Listener {
        /** A worker has answered commands with a heartbeat, made after it received them. */
        void heartbeatReceived(Machine machine, Heartbeat heartbeat);

        /** A launch that was sent with this token has no answer: it may be executed minutes late. */
        void launchUnacknowledged(FencingToken fencingToken);

        /** A new fencing token is needed, so that workers refuse all that was sent so far. */
        void tokenRotationRequested();
    }

    private final ControllerContext context;
    private final Settings settings;
    private final LeaderElection election;
    private final ClusterState clusterState;
    private final StateLoader loader;
    private final ColdStartRecovery coldStart;
    private final CancellationRegistry cancellations;
    private final Listener listener;

    /**
     * Creates the dispatcher.
     *
     * @param coldStart limits how fast machines are called when a term begins
     * @param listener receives what follows from the answers
     */
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

    /** Whether the machine has been heard lately, and messages reach it. */
    private boolean isReachable(Machine machine) {
        return machine.up
                && machine.address != null
                && machine.lastContactAt != null
                && !machine.releasing
                && !machine.reachability.isUnreachable()
                && context.now().since(machine.lastContactAt) < reachableMs();
    }

    /**
     * Whether kills may be sent to the machine: also to a worker whose heartbeats don't arrive, but that answers
     * probes.
     */
    private boolean acceptsKills(Machine machine) {
        return isReachable(machine)
                || machine.address != null
                        && !machine.releasing
                        && !machine.reachability.isUnreachable()
                        && machine.probeAnsweredAt != MonotonicTime.ZERO
                        && machine.unansweredProbes == 0
                        && context.now().since(machine.probeAnsweredAt) < reachableMs();
    }

    private double reachableMs() {
        return settings.workers().reportS() * (1000 * REACHABLE_INTERVALS);
    }

    /** Kills a task on the machine where it may be, unless a kill of it waits to be sent already. */
    void kill(Machine machine, Placement placement) {
        if (machine.outbox.stream()
                .noneMatch(c -> c.verb() == WorkerCommand.Verb.KILL && c.task().equals(placement.task))) {
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

    /** The fencing token that commands are sent with now. */
    FencingToken fencingToken() {
        return election.fencingToken();
    }

    /** Asks for a new fencing token at once: a worker that has seen it refuses what was sent before. */
    void requestTokenRotation() {
        listener.tokenRotationRequested();
    }

    /**
     * Kills the job's tasks whose launch has no answer yet; unlike other commands these kills do not wait for that
     * answer.
     */
    void killUnacknowledgedLaunches(Job job) {
        for (Placement placement : new ArrayList<>(job.record.live.values())) {
            Machine machine = clusterState.machine(placement.machine);
            if (hasUnacknowledgedLaunch(placement)
                    && machine.commandsInFlight <= MAX_UNACKNOWLEDGED
                    && acceptsKills(machine)
                    && election.holdsLease()
                    && coldStart.tryAcquireCommand(machine)) {
                send(machine, List.of(WorkerCommand.kill(placement.task, placement.attempt, 0)), List.of());
            }
        }
    }

    /**
     * Sends the commands that wait for the machine; one call at a time, so that it is clear what each answer refers to.
     */
    public void dispatch(Machine machine) {
        if (machine.outbox.isEmpty() || machine.commandsInFlight > 0 || !election.holdsLease()) {
            return;
        }
        if (!isReachable(machine)) {
            dropUndeliverable(machine);
        }
        List<WorkerCommand> commands = sendableCommands(machine);
        if (commands.isEmpty() || !coldStart.tryAcquireCommand(machine)) {
            return; // they wait for a moment, or go with the answer to the next heartbeat
        }
        machine.outbox.removeAll(commands);
        List<Placement> launches = new ArrayList<>();
        commands.removeIf(
                command -> command.verb() == WorkerCommand.Verb.LAUNCH && !prepareLaunch(machine, command, launches));
        if (commands.isEmpty()) {
            coldStart.callFinished();
            return;
        }
        send(machine, commands, launches);
    }

    /** Drops what can't be sent to an unreachable machine; launches go with the answer to its next heartbeat. */
    private void dropUndeliverable(Machine machine) {
        boolean acceptsKills = acceptsKills(machine);
        machine.outbox.removeIf(c -> !acceptsKills || c.verb() != WorkerCommand.Verb.KILL);
    }

    /**
     * The waiting commands that may be sent now. While the records are not certain, or a cancellation may not be known,
     * nothing is launched; what is to be ended is ended.
     */
    private List<WorkerCommand> sendableCommands(Machine machine) {
        boolean mayLaunch = loader.isActive() && cancellations.mayRenewLeases();
        return new ArrayList<>(machine.outbox.stream()
                .filter(c -> mayLaunch || c.verb() == WorkerCommand.Verb.KILL)
                .limit(MAX_COMMANDS_PER_MESSAGE)
                .toList());
    }

    /**
     * Marks the placement of a launch command as sent and adds it to the launches; false if it must not be launched any
     * more.
     */
    private boolean prepareLaunch(Machine machine, WorkerCommand command, List<Placement> launches) {
        Placement placement = machine.placements.get(command.task());
        if (placement == null
                || placement.attempt != command.attempt()
                || !placement.committed
                || placement.launchSent
                || machine.isLeaving()
                || cancellations.isCancelled(command.task().job())) {
            return false;
        }
        launches.add(placement);
        placement.launchSent = true;
        placement.launchEpoch = machine.epoch;
        placement.launchSequence = machine.sequence;
        return true;
    }

    private void send(Machine machine, List<WorkerCommand> commands, List<Placement> launches) {
        FencingToken fencingToken = election.fencingToken();
        long epoch = machine.epoch;
        ObjectNode body = Codec.map().put("baton", fencingToken.value()).put("shift", epoch);
        body.set("orders", WorkerCommand.toNode(commands));
        machine.commandsInFlight++;
        long term = clusterState.term();
        context.callBefore(
                election.leaseValidUntil(),
                new ServiceRequest(
                        ServiceCalls.Target.HOST, machine.address, "POST", "/orders", body, DIRECT_TIMEOUT_MS),
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

    /**
     * Another machine has answered: the address belongs to it now, and it has been given the launches. They are killed
     * there, and count as sent to the machine that they were meant for.
     */
    private void handleForeignAnswer(Machine machine, Heartbeat heartbeat, List<Placement> launches) {
        LOG.warn(
                "answer of another machine: machine={} answeredBy={} cause=\"address reused\"",
                machine.id,
                heartbeat.machine());
        machine.address = null;
        Machine answering = clusterState.findMachine(heartbeat.machine());
        if (answering == null) {
            return;
        }
        for (Placement placement : launches) {
            answering.outbox.add(WorkerCommand.kill(placement.task, placement.attempt, 0));
        }
    }

    private void handleAnswer(Machine machine, CallResult result, List<Placement> launches, FencingToken fencingToken) {
        Heartbeat heartbeat = parseHeartbeat(machine, result);
        if (heartbeat != null && !heartbeat.machine().equals(machine.id)) {
            handleForeignAnswer(machine, heartbeat, launches);
            heartbeat = null;
        }
        if (heartbeat != null) {
            machine.recordAnswer(context.now());
        } else if (result.kind() != CallResult.Kind.NOT_SENT) {
            machine.recordUnansweredCall(context.now(), context.isLagging());
        }
        settleLaunches(machine, result, heartbeat != null, launches, fencingToken);
        if (heartbeat != null && heartbeat.isNewerThan(machine.epoch, machine.sequence)) {
            recordHeartbeat(machine, heartbeat, result.hasStatus(200) ? launches : List.of());
        }
        dispatch(machine);
    }

    /** The heartbeat in the answer; null if there is no answer, or it holds none. */
    private static Heartbeat parseHeartbeat(Machine machine, CallResult result) {
        if (result.kind() != CallResult.Kind.ANSWERED || result.body() == null) {
            return null;
        }
        try {
            return Heartbeat.parse(result.body());
        } catch (MalformedMessageException e) {
            LOG.debug("malformed heartbeat: machine={} cause=\"{}\"", machine.id, e.getMessage());
            return null;
        }
    }

    /** Records whether the launches certainly were not carried out, or may be carried out late. */
    private void settleLaunches(
            Machine machine, CallResult result, boolean answered, List<Placement> launches, FencingToken fencingToken) {
        boolean refused = result.kind() == CallResult.Kind.NOT_SENT
                || (answered && result.hasStatus(409))
                || result.hasStatus(400);
        if (refused) {
            launches.forEach(placement -> placement.launchSent = false);
        } else if (!(result.hasStatus(200) && answered) && !launches.isEmpty()) {
            // The launch may be executed minutes late, until the worker has seen a higher token.
            LOG.info("launch unacknowledged: machine={} token={}", machine.id, fencingToken.value());
            machine.unacknowledgedToken = fencingToken;
            listener.launchUnacknowledged(fencingToken);
        }
    }

    /** Records a heartbeat newer than all that is known of the worker, made after it received the launches. */
    private void recordHeartbeat(Machine machine, Heartbeat heartbeat, List<Placement> launches) {
        boolean sameEpoch = heartbeat.epoch() == machine.epoch;
        machine.recordNewestMessage(heartbeat, context.now());
        for (Placement placement : launches) {
            placement.launchEpoch = heartbeat.epoch();
            placement.launchSequence = heartbeat.sequence();
        }
        if (sameEpoch && loader.isLoaded()) {
            listener.heartbeatReceived(machine, heartbeat);
        }
    }
}
