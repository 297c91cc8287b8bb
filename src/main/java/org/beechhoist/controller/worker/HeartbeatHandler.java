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
import org.beechhoist.controller.state.MachineReachability;
import org.beechhoist.controller.state.StateLoader;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.CommandMessage;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles workers' heartbeats: determines the validity of each, updates its machine, has its task statuses reconciled
 * with the records ({@link TaskStatusReconciler}), and responds with the resulting commands.
 */
public final class HeartbeatHandler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);
    /**
     * The time in which a machine with missed heartbeats must answer a probe after a possibly old heartbeat of it has
     * arrived.
     */
    private static final long PROBE_GRACE_MS = 3000;

    private final ControllerContext context;
    private final Settings settings;
    private final LeaderElection election;
    private final ClusterState clusterState;
    private final StateLoader loader;
    private final TaskRemoval taskRemoval;
    private final MachineReleases releases;
    private final LaunchWithdrawal withdrawal;
    private final CancellationRegistry cancellations;
    private final CommandDispatcher dispatcher;
    private final TaskStatusReconciler statusReconciler;

    /**
     * Creates the handler.
     *
     * @param releases knows which machines have been returned
     * @param withdrawal decides which placements are withdrawn before they are launched
     */
    public HeartbeatHandler(
            ControllerServices services,
            LeaderState state,
            CommandDispatcher dispatcher,
            TaskRemoval taskRemoval,
            FaultTracker faultTracker,
            MachineReleases releases,
            LaunchWithdrawal withdrawal) {
        this.context = services.context();
        this.settings = services.settings();
        this.election = services.election();
        this.clusterState = state.clusterState();
        this.loader = state.loader();
        this.cancellations = state.cancellations();
        this.dispatcher = dispatcher;
        this.taskRemoval = taskRemoval;
        this.releases = releases;
        this.withdrawal = withdrawal;
        this.statusReconciler = new TaskStatusReconciler(context, state, dispatcher, taskRemoval, faultTracker);
    }

    /** Reconciles the last heartbeat of each machine with the records, which have been read again. */
    public void reconcileAll() {
        for (Machine machine : clusterState.machines()) {
            if (machine.lastHeartbeat != null) {
                reconcile(machine, machine.lastHeartbeat, true);
            }
        }
    }

    /**
     * Reconciles the task statuses in the answer to commands with the records. Returns the kills among the resulting commands
     * that must not wait for the worker's next heartbeat: those of attempts that no record places on the machine.
     */
    public List<WorkerCommand> reconcileAnswer(Machine machine, Heartbeat heartbeat) {
        return reconcile(machine, heartbeat, false).stream()
                .filter(c -> c.verb() == WorkerCommand.Verb.KILL && !isPlaced(machine, c))
                .toList();
    }

    private static boolean isPlaced(Machine machine, WorkerCommand command) {
        Placement placement = machine.placements.get(command.task());
        return placement != null && placement.attempt == command.attempt();
    }

    /**
     * Reconciles the task statuses of a heartbeat with the records; returns the resulting commands.
     *
     * @param unsolicited whether the worker sent the heartbeat by itself; false: it is the response to a command
     */
    private List<WorkerCommand> reconcile(Machine machine, Heartbeat heartbeat, boolean unsolicited) {
        return statusReconciler.reconcile(machine, heartbeat, unsolicited);
    }

    /** Returns kills of the reported attempts that no record places on the machine; none while the records are not read. */
    public List<WorkerCommand> killsOfUnplaced(Machine machine, Heartbeat heartbeat) {
        return loader.isLoaded() ? statusReconciler.killsOfUnplaced(machine, heartbeat) : List.of();
    }

    /** Handles a worker's heartbeat and responds to it. */
    public void handle(long request, Heartbeat heartbeat) {
        if (releases.isReleased(heartbeat.machine())) {
            context.respond(request, 503, null); // a late heartbeat: the machine has been returned
            return;
        }
        Machine machine = clusterState.machine(heartbeat.machine());
        HeartbeatValidity validity = assessValidity(machine, heartbeat);
        if (validity.mayBeOfRestartedWorker(heartbeat)) {
            releases.probeForRestart(machine);
        }
        if (!validity.mayRenewLease()) {
            context.respond(request, 503, null);
            return;
        }
        boolean wasReachable = !machine.reachability.isUnreachable();
        if (validity.shouldReconcile()) {
            recordHeartbeat(machine, heartbeat, validity);
        }
        boolean mayRenewLeases = cancellations.mayRenewLeases();
        List<WorkerCommand> commands = commandsFor(machine, heartbeat, validity, mayRenewLeases);
        if (loader.isLoaded() && wasReachable && machine.reachability.isUnreachable()) {
            recordUnreachable(machine);
        }
        if (mayRenewLeases) {
            machine.newestMessageAnswered = validity.shouldReconcile();
            answer(request, machine, commands);
        } else {
            refuse(request, machine, commands);
        }
    }

    private List<WorkerCommand> commandsFor(
            Machine machine, Heartbeat heartbeat, HeartbeatValidity validity, boolean mayRenewLeases) {
        if (!loader.isLoaded()) {
            // These are valid regardless of the records, which are not read yet.
            return validity.shouldReconcile() ? killsOfCancelled(heartbeat) : List.of();
        }
        if (!validity.shouldReconcile()) {
            // An attempt that no record places on the machine may be killed there, however old the heartbeat is.
            return mayRenewLeases ? killsOfUnplaced(machine, heartbeat) : List.of();
        }
        List<WorkerCommand> commands = new ArrayList<>(reconcile(machine, heartbeat, true));
        if (mayRenewLeases) {
            addLaunches(machine, heartbeat, commands);
        }
        return commands;
    }

    private HeartbeatValidity assessValidity(Machine machine, Heartbeat heartbeat) {
        boolean fresh = machine.lastHeartbeat == null
                ? heartbeat.isNotOlderThan(machine.epoch, machine.sequence)
                : heartbeat.isNewerThan(machine.epoch, machine.sequence);
        return HeartbeatValidity.of(
                heartbeat,
                fresh,
                machine.previousIncarnationToken,
                election.firstFencingToken(),
                context.now().since(machine.newestMessageAt));
    }

    private void recordUnreachable(Machine machine) {
        LOG.info(
                "machine unreachable: machine={} tasksBeingLaunched={} cause=\"its heartbeats arrive, answers to it don't\"",
                machine.id,
                machine.countLaunched(false));
        clusterState.requestReplan();
    }

    /** Responds with the commands and renews the worker's lease. */
    private void answer(long request, Machine machine, List<WorkerCommand> commands) {
        machine.lastAnsweredAt = context.now();
        ObjectNode body = new CommandMessage(election.fencingToken(), commands).toResponse();
        MonotonicTime until = cancellations.leasesRenewableUntil();
        context.respond(
                request, 200, body, until.isBefore(election.leaseValidUntil()) ? until : election.leaseValidUntil());
    }

    /** Refuses to renew the worker's lease; the kills among the commands are still sent. */
    private void refuse(long request, Machine machine, List<WorkerCommand> commands) {
        LOG.debug("lease not renewed: machine={} cause=\"knowledge of cancellations is too old\"", machine.id);
        sendKills(machine, commands);
        context.respond(request, 503, null);
    }

    /** Returns kills of tasks whose jobs are known to be cancelled, for use while the records are not read. */
    private List<WorkerCommand> killsOfCancelled(Heartbeat heartbeat) {
        List<WorkerCommand> kills = new ArrayList<>();
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            if (status.state() != Heartbeat.TaskState.EXITED
                    && cancellations.isCancelled(status.task().job())) {
                kills.add(WorkerCommand.kill(status.task(), status.attempt(), 0));
            }
        }
        return kills;
    }

    /** Sends the kills directly to the worker, which ignores commands in a response with a status other than 200. */
    private void sendKills(Machine machine, List<WorkerCommand> commands) {
        List<WorkerCommand> kills = commands.stream()
                .filter(c -> c.verb() == WorkerCommand.Verb.KILL && !machine.outbox.contains(c))
                .toList();
        machine.outbox.addAll(kills);
        if (!kills.isEmpty()) {
            dispatcher.dispatch(machine);
        }
    }

    // ---- machine state ----

    /** Records the newest known heartbeat; its validity indicates whether it may be a copy. */
    private void recordHeartbeat(Machine machine, Heartbeat heartbeat, HeartbeatValidity validity) {
        if (!machine.up) {
            markUp(machine, heartbeat);
        }
        machine.address = heartbeat.address();
        machine.type = heartbeat.type();
        machine.zone = heartbeat.zone();
        machine.spot = heartbeat.spot();
        boolean newEpoch = machine.lastHeartbeat == null
                ? heartbeat.epoch() != machine.imagesEpoch
                : Long.compareUnsigned(heartbeat.epoch(), machine.epoch) > 0;
        if (newEpoch) {
            machine.images.clear();
        }
        if (machine.lastHeartbeat != null) {
            updateReachability(machine, heartbeat, validity);
        } else if (validity.isCurrent()) {
            machine.reachability = machine.reachability.afterProof(context.now());
        }
        machine.recordNewestMessage(heartbeat, context.now());
        machine.lastHeartbeat = heartbeat;
        machine.confirmedPresent |= validity.isCurrent();
        if (validity.isCurrent() || machine.unansweredProbes == 0) {
            machine.lastContactAt = context.now();
        } else {
            // A copy does not clear missed heartbeats, but this may be the machine's first heartbeat, so it is probed
            // once more.
            machine.unansweredProbes = 0;
            machine.probeGraceUntil = context.now().plusMs(PROBE_GRACE_MS);
        }
        recordPreemptionNotice(machine, heartbeat, validity);
    }

    private void markUp(Machine machine, Heartbeat heartbeat) {
        machine.up = true;
        clusterState.requestReplan();
        machine.idleSince = context.now();
        LOG.info(
                "machine up: machine={} type={} zone={} spot={}",
                machine.id,
                heartbeat.type(),
                heartbeat.zone(),
                heartbeat.spot());
    }

    /** Derives from the heartbeat whether the worker has received what was sent to it before. */
    private void updateReachability(Machine machine, Heartbeat heartbeat, HeartbeatValidity validity) {
        boolean answeredRecently = machine.lastAnsweredAt != null
                && context.now().since(machine.lastAnsweredAt)
                        < settings.workers().leaseMs();
        boolean newToken =
                validity.isCurrent() && heartbeat.fencingToken().compareTo(machine.lastHeartbeat.fencingToken()) > 0;
        machine.reachability = machine.reachability.afterHeartbeat(
                new MachineReachability.MessageContext(
                        heartbeat.epoch() == machine.epoch,
                        machine.newestMessageAnswered,
                        heartbeat.sequence() == machine.sequence + 1,
                        newToken,
                        machine.callsUnanswered || machine.commandsInFlight > 0 || context.isLagging(),
                        answeredRecently),
                context.now());
    }

    /** A preemption notice is never withdrawn: an old heartbeat proves it too, but not the remaining time. */
    private void recordPreemptionNotice(Machine machine, Heartbeat heartbeat, HeartbeatValidity validity) {
        if (heartbeat.preemptionNoticeS() != null && (validity.isCurrent() || machine.preemptionAt == null)) {
            if (machine.preemptionAt == null) {
                LOG.info("preemption notice: machine={} leftS={}", machine.id, heartbeat.preemptionNoticeS());
                clusterState.requestReplan();
            }
            machine.preemptionAt = context.now().plusMs(Math.round(1000 * heartbeat.preemptionNoticeS()));
        } else if (validity.isCurrent()) {
            machine.preemptionAt = null;
        }
    }

    // ---- launches ----

    /**
     * Adds the launches of committed placements to the commands. An unreachable or leaving machine gets none:
     * placements that were never sent to it are removed, so that their tasks wait again.
     */
    private void addLaunches(Machine machine, Heartbeat heartbeat, List<WorkerCommand> commands) {
        for (Placement placement : new ArrayList<>(machine.placements.values())) {
            Job job = clusterState.job(placement.task.job());
            if (job == null) {
                continue; // its record can't be read: the placement is left unchanged
            }
            if (shouldRemove(machine, job, placement)) {
                taskRemoval.remove(job, placement);
            } else if (shouldLaunch(machine, heartbeat, job, placement)
                    && commands.size() < CommandDispatcher.MAX_COMMANDS_PER_MESSAGE) {
                commands.add(WorkerCommand.launch(placement.task, placement.attempt));
                placement.launchSent = true;
                placement.launchEpoch = heartbeat.epoch();
                placement.launchSequence = heartbeat.sequence();
            }
        }
    }

    private boolean shouldRemove(Machine machine, Job job, Placement placement) {
        if (!placement.committed) {
            return false;
        }
        return withdrawal.shouldWithdraw(job, placement, machine)
                || (machine.isLeaving() || machine.reachability.isUnreachable() || job.isHeld())
                        && !placement.launchSent;
    }

    private static boolean shouldLaunch(Machine machine, Heartbeat heartbeat, Job job, Placement placement) {
        return placement.committed
                && (!placement.launchSent || isLaunchUnconfirmed(machine, heartbeat, placement))
                && !machine.releasing
                && !machine.reachability.isUnreachable()
                && job.keySetHold == null
                && !job.isCancelled();
    }

    /**
     * Returns whether the placement's launch is sent again: the heartbeat does not name the task, and the worker has
     * not seen a higher token than an unacknowledged launch, which may or may not be executed.
     */
    private static boolean isLaunchUnconfirmed(Machine machine, Heartbeat heartbeat, Placement placement) {
        return placement.launchSent
                && machine.unacknowledgedToken.compareTo(heartbeat.fencingToken()) >= 0
                && findStatus(heartbeat, placement) == null
                && machine.commandsInFlight == 0;
    }

    private static Heartbeat.TaskStatus findStatus(Heartbeat heartbeat, Placement placement) {
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            if (status.task().equals(placement.task) && status.attempt() == placement.attempt) {
                return status;
            }
        }
        return null;
    }
}
