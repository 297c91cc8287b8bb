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
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles workers' heartbeats: decides what each may change, records what it says of its machine, has the statuses of
 * its tasks reconciled with the records ({@link TaskStatusReconciler}), and answers it with the commands that follow.
 */
public final class HeartbeatHandler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);
    /**
     * How long a machine whose silence was noticed has to answer a probe once a heartbeat of it has come that may be
     * old.
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
     * @param withdrawal decides which placements are taken back before they are launched
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

    /** Reconciles the last heartbeat of each machine with the records, which have been read anew. */
    public void reconcileAll() {
        for (Machine machine : clusterState.machines()) {
            if (machine.lastHeartbeat != null) {
                reconcile(machine, machine.lastHeartbeat, true);
            }
        }
    }

    /**
     * Reconciles the task statuses of a heartbeat with the records; returns the commands that follow.
     *
     * @param unsolicited whether the worker sent the heartbeat by itself; false: it is the answer to a command
     */
    public List<WorkerCommand> reconcile(Machine machine, Heartbeat heartbeat, boolean unsolicited) {
        return statusReconciler.reconcile(machine, heartbeat, unsolicited);
    }

    /** Handles a worker's heartbeat and answers it. */
    public void handle(long request, Heartbeat heartbeat) {
        if (releases.isReleased(heartbeat.machine())) {
            context.respond(request, 503, null); // a late heartbeat: the machine has been returned
            return;
        }
        Machine machine = clusterState.machine(heartbeat.machine());
        HeartbeatValidity validity = assessValidity(machine, heartbeat);
        if (!validity.mayRenewLease()) {
            // Until it is probed (FailureDetector), a worker that began anew looks like this, too.
            context.respond(request, 503, null);
            return;
        }
        boolean wasReachable = !machine.reachability.isUnreachable();
        if (validity.shouldReconcile()) {
            recordHeartbeat(machine, heartbeat, validity);
        }
        boolean mayRenewLeases = cancellations.mayRenewLeases();
        List<WorkerCommand> commands = new ArrayList<>();
        if (loader.isLoaded() && validity.shouldReconcile()) {
            commands.addAll(reconcile(machine, heartbeat, true));
            if (mayRenewLeases) {
                addLaunches(machine, heartbeat, commands);
            }
            if (wasReachable && machine.reachability.isUnreachable()) {
                becameUnreachable(machine);
            }
        } else if (validity.shouldReconcile()) {
            // These hold whatever the records say once they are read.
            commands.addAll(killsOfCancelled(heartbeat));
        }
        if (mayRenewLeases) {
            machine.newestMessageAnswered = validity.shouldReconcile();
            answer(request, machine, commands);
        } else {
            refuse(request, machine, commands);
        }
    }

    private HeartbeatValidity assessValidity(Machine machine, Heartbeat heartbeat) {
        boolean fresh = machine.lastHeartbeat == null
                ? heartbeat.isNewerThan(machine.epoch, machine.sequence - 1)
                : heartbeat.isNewerThan(machine.epoch, machine.sequence);
        return HeartbeatValidity.of(
                heartbeat,
                fresh,
                machine.previousIncarnationToken,
                election.firstFencingToken(),
                context.now().since(machine.newestMessageAt));
    }

    private void becameUnreachable(Machine machine) {
        LOG.info(
                "machine unreachable: machine={} tasksBeingLaunched={} cause=\"its heartbeats arrive, answers to it don't\"",
                machine.id,
                machine.countLaunched(false));
        clusterState.requestReplan();
    }

    /** Answers with the commands and renews the worker's lease. */
    private void answer(long request, Machine machine, List<WorkerCommand> commands) {
        machine.lastAnsweredAt = context.now();
        ObjectNode body = Codec.map().put("baton", election.fencingToken().value());
        body.set("orders", WorkerCommand.toNode(commands));
        MonotonicTime until = cancellations.leasesRenewableUntil();
        context.respond(
                request, 200, body, until.isBefore(election.leaseValidUntil()) ? until : election.leaseValidUntil());
    }

    /** Refuses to renew the worker's lease; the kills among the commands are sent all the same. */
    private void refuse(long request, Machine machine, List<WorkerCommand> commands) {
        LOG.debug("lease not renewed: machine={} cause=\"knowledge of cancellations is too old\"", machine.id);
        sendKills(machine, commands);
        context.respond(request, 503, null);
    }

    /** Kills of tasks whose jobs are known to be cancelled; nothing else is known of the records now. */
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

    /** Sends the kills straight to the worker: it does not act on commands in an answer other than 200. */
    private void sendKills(Machine machine, List<WorkerCommand> commands) {
        List<WorkerCommand> kills = commands.stream()
                .filter(c -> c.verb() == WorkerCommand.Verb.KILL && !machine.outbox.contains(c))
                .toList();
        machine.outbox.addAll(kills);
        if (!kills.isEmpty()) {
            dispatcher.dispatch(machine);
        }
    }

    // ---- what a heartbeat says of its machine ----

    /** Records a heartbeat than which nothing newer is known; its validity says whether it may be a copy. */
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
                : heartbeat.epoch() > machine.epoch;
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
            // A copy ends no silence that was noticed; but it may be the machine's first heartbeat, so it is probed
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

    /** A preemption notice is never withdrawn: an old heartbeat proves it too, though not how much time is left. */
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

    // ---- launches that go with the answer ----

    /**
     * Adds the launches of committed placements to the commands. An unreachable machine, and one that is about to go,
     * gets none: placements that were never sent to it are removed, so that their tasks wait again.
     */
    private void addLaunches(Machine machine, Heartbeat heartbeat, List<WorkerCommand> commands) {
        for (Placement placement : new ArrayList<>(machine.placements.values())) {
            Job job = clusterState.job(placement.task.job());
            if (job == null) {
                continue; // its record can't be read: the placement stays as it is
            }
            if (isTakenBack(machine, job, placement)) {
                taskRemoval.remove(job, placement);
            } else if (isToBeLaunched(machine, heartbeat, job, placement)
                    && commands.size() < CommandDispatcher.MAX_COMMANDS_PER_MESSAGE) {
                commands.add(WorkerCommand.launch(placement.task, placement.attempt));
                placement.launchSent = true;
                placement.launchEpoch = heartbeat.epoch();
                placement.launchSequence = heartbeat.sequence();
            }
        }
    }

    private boolean isTakenBack(Machine machine, Job job, Placement placement) {
        if (!placement.committed) {
            return false;
        }
        return withdrawal.shouldWithdraw(job, placement, machine)
                || (machine.isLeaving() || machine.reachability.isUnreachable() || job.isHeld())
                        && !placement.launchSent;
    }

    private static boolean isToBeLaunched(Machine machine, Heartbeat heartbeat, Job job, Placement placement) {
        return placement.committed
                && (!placement.launchSent || isLaunchUnconfirmed(machine, heartbeat, placement))
                && !machine.releasing
                && !machine.reachability.isUnreachable()
                && job.keySetHold == null
                && !job.isCancelled();
    }

    /**
     * Whether the placement's launch is sent again: the heartbeat does not name the task, and the worker has not seen a
     * higher token than an unacknowledged launch, which may or may not be executed.
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
