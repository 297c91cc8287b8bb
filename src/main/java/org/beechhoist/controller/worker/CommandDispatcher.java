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
import org.beechhoist.wire.CommandMessage;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.ServiceCalls;
import org.beechhoist.wire.TaskAttempt;
import org.beechhoist.wire.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends commands directly to workers, instead of in the response to a heartbeat, and keeps track of launches without an
 * acknowledgement, which may be executed late.
 */
public final class CommandDispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(CommandDispatcher.class);
    /** The maximum number of commands in one message to a worker. */
    static final int MAX_COMMANDS_PER_MESSAGE = 200;

    /**
     * The number of heartbeat intervals after its last heartbeat or probe response in which a machine may be sent
     * commands.
     */
    private static final double REACHABLE_INTERVAL_COUNT = 2.5;
    /** The timeout of the response to commands. */
    private static final long COMMAND_TIMEOUT_MS = 3000;
    /** The maximum number of unanswered calls to one worker at which a kill is still sent. */
    private static final int MAX_UNACKNOWLEDGED_CALLS = 4;

    /** Receives the results of commands. */
    public interface Listener {
        /**
         * Called when a worker has answered commands with a heartbeat that it made after receiving them. Returns kills of the
         * attempts that it shows and that no record places on the machine.
         */
        List<WorkerCommand> heartbeatReceived(Machine machine, Heartbeat heartbeat);

        /** Called when a worker has answered commands with no newer message than was known before: it has restarted. */
        void workerRestarted(Machine machine, Heartbeat heartbeat);

        /** Called when a launch sent with this token has no response: it may be executed minutes late. */
        void launchUnacknowledged(FencingToken fencingToken);

        /** Called when a new fencing token is needed so that workers refuse all commands sent so far. */
        void tokenRotationRequested();

        /** Called when such a token is needed at once. */
        void urgentTokenRotationRequested();
    }

    /**
     * Commands on their way to a worker.
     *
     * @param launches the placements of the launches among the commands
     * @param epoch the epoch of the worker's newest message that was known when they were sent
     * @param sequence the sequence number of that message
     */
    private record SentCommands(
            List<WorkerCommand> commands, List<Placement> launches, FencingToken token, long epoch, long sequence) {}

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
     * @param coldStart limits the rate of calls at the beginning of a term
     * @param listener receives the results of commands
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

    /** Returns whether the machine sent a recent heartbeat and messages reach it. */
    private boolean isReachable(Machine machine) {
        return machine.up
                && machine.address != null
                && machine.lastContactAt != null
                && !machine.releasing
                && !machine.reachability.isUnreachable()
                && context.now().since(machine.lastContactAt) < reachableMs();
    }

    /**
     * Returns whether kills may be sent to the machine: also to a worker whose heartbeats don't arrive, but that
     * answers probes.
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
        return settings.workers().reportS() * (1000 * REACHABLE_INTERVAL_COUNT);
    }

    /** Kills a task on the machine where it may run, unless a kill of it is already queued. */
    void kill(Machine machine, Placement placement) {
        if (machine.outbox.stream()
                .noneMatch(c -> c.verb() == WorkerCommand.Verb.KILL && c.task().equals(placement.task))) {
            machine.outbox.add(WorkerCommand.kill(placement.task, placement.attempt, 0));
            dispatch(machine);
        }
    }

    /** Returns whether a task of the job was launched by a command that has no response yet. */
    boolean hasUnacknowledgedLaunch(Job job) {
        return job.record.live.values().stream().anyMatch(this::hasUnacknowledgedLaunch);
    }

    private boolean hasUnacknowledgedLaunch(Placement placement) {
        return placement.launchSent
                && !placement.reported
                && clusterState.machine(placement.machine).commandsInFlight > 0;
    }

    /** Returns the fencing token of commands that are sent now. */
    FencingToken fencingToken() {
        return election.fencingToken();
    }

    /** Requests a new fencing token: a worker that has seen it refuses commands sent before. */
    void requestTokenRotation() {
        listener.tokenRotationRequested();
    }

    /** Requests a new fencing token at once. */
    void requestUrgentTokenRotation() {
        listener.urgentTokenRotationRequested();
    }

    /**
     * Kills the job's tasks whose launch has no response yet; unlike other commands these kills do not wait for that
     * response.
     */
    void killUnacknowledgedLaunches(Job job) {
        for (Placement placement : new ArrayList<>(job.record.live.values())) {
            Machine machine = clusterState.machine(placement.machine);
            if (hasUnacknowledgedLaunch(placement)
                    && machine.commandsInFlight <= MAX_UNACKNOWLEDGED_CALLS
                    && acceptsKills(machine)
                    && election.holdsLease()
                    && coldStart.tryAcquireCommand(machine)) {
                send(machine, List.of(WorkerCommand.kill(placement.task, placement.attempt, 0)), List.of());
            }
        }
    }

    /** Sends the current token to a restarted worker, so that it refuses copies of older commands, and kills with it. */
    public void sendToken(Machine machine, List<WorkerCommand> kills) {
        if (machine.address != null
                && !machine.releasing
                && election.holdsLease()
                && coldStart.tryAcquireCommand(machine)) {
            send(machine, kills, List.of());
        }
    }

    /**
     * Sends the queued commands of the machine, one call at a time, so that each response can be matched to its
     * commands.
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
            return; // they stay queued, or go with the response to the next heartbeat
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

    /**
     * Drops the commands that can't be sent to an unreachable machine; launches go with the response to its next
     * heartbeat.
     */
    private void dropUndeliverable(Machine machine) {
        boolean acceptsKills = acceptsKills(machine);
        machine.outbox.removeIf(c -> !acceptsKills || c.verb() != WorkerCommand.Verb.KILL);
    }

    /**
     * Returns the queued commands that may be sent now. While the records are not confirmed, or a cancellation may not
     * be known, only kills are sent.
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
        SentCommands sent =
                new SentCommands(commands, launches, election.fencingToken(), machine.epoch, machine.sequence);
        launches.forEach(placement -> placement.directLaunchToken = sent.token);
        LOG.info(
                "commands sent: machine={} token={} epoch={} commands={} launches={}",
                machine.id,
                sent.token.text(),
                Long.toUnsignedString(sent.epoch),
                commands.size(),
                attempts(launches));
        ObjectNode body = new CommandMessage(sent.token, commands).toRequest(sent.epoch);
        machine.commandsInFlight++;
        long term = clusterState.term();
        context.callBefore(
                election.leaseValidUntil(),
                new ServiceRequest(
                        ServiceCalls.Target.HOST, machine.address, "POST", "/orders", body, COMMAND_TIMEOUT_MS),
                result -> {
                    if (term != clusterState.term()) {
                        return;
                    }
                    coldStart.callFinished();
                    if (clusterState.findMachine(machine.id) == machine) {
                        machine.commandsInFlight--;
                        handleAnswer(machine, result, sent);
                    }
                });
    }

    private static List<TaskAttempt> attempts(List<Placement> launches) {
        return launches.stream().map(p -> new TaskAttempt(p.task, p.attempt)).toList();
    }

    /**
     * Handles a response of another machine, which now has the address and received the launches. They are killed
     * there, and count as sent to the intended machine.
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

    private void handleAnswer(Machine machine, CallResult result, SentCommands sent) {
        Heartbeat heartbeat = parseHeartbeat(machine, result);
        if (heartbeat != null && !heartbeat.machine().equals(machine.id)) {
            handleForeignAnswer(machine, heartbeat, sent.launches);
            heartbeat = null;
        }
        if (heartbeat != null) {
            machine.recordAnswer(context.now());
        } else if (result.kind() != CallResult.Kind.NOT_SENT) {
            machine.recordUnansweredCall(context.now(), context.isLagging());
        }
        settleLaunches(machine, result, heartbeat != null, sent);
        if (heartbeat != null && heartbeat.isNewerThan(machine.epoch, machine.sequence)) {
            recordHeartbeat(machine, heartbeat, result.hasStatus(200) ? sent.launches : List.of(), sent.commands);
        } else if (heartbeat != null && machine.isRestartedBy(heartbeat, sent.epoch, sent.sequence)) {
            listener.workerRestarted(machine, heartbeat);
        }
        dispatch(machine);
    }

    /** Returns the heartbeat in the response; null if there is no response or it holds none. */
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

    /** Records whether the launches were refused or may be executed late. */
    private void settleLaunches(Machine machine, CallResult result, boolean answered, SentCommands sent) {
        boolean refused = result.kind() == CallResult.Kind.NOT_SENT
                || (answered && result.hasStatus(409))
                || result.hasStatus(400);
        if (refused) {
            sent.launches.forEach(placement -> placement.launchSent = false);
        } else if (!(result.hasStatus(200) && answered) && !sent.launches.isEmpty()) {
            // The launch may be executed minutes late, until the worker has seen a higher token.
            LOG.info("launch unacknowledged: machine={} token={}", machine.id, sent.token.text());
            machine.unacknowledgedToken = sent.token;
            listener.launchUnacknowledged(sent.token);
        }
    }

    /**
     * Records a heartbeat newer than all that is known of the worker, which it made after it received the commands.
     *
     * @param launches the placements of those launches that it has executed
     */
    private void recordHeartbeat(
            Machine machine, Heartbeat heartbeat, List<Placement> launches, List<WorkerCommand> received) {
        boolean sameEpoch = heartbeat.epoch() == machine.epoch;
        machine.recordNewestMessage(heartbeat, context.now());
        for (Placement placement : launches) {
            placement.launchEpoch = heartbeat.epoch();
            placement.launchSequence = heartbeat.sequence();
        }
        if (sameEpoch && loader.isLoaded()) {
            List<WorkerCommand> kills = new ArrayList<>(listener.heartbeatReceived(machine, heartbeat));
            kills.removeAll(received);
            kills.removeAll(machine.outbox);
            machine.outbox.addAll(kills);
        }
    }
}
