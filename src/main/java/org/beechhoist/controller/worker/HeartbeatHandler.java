package org.beechhoist.controller.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.ControllerServices;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.CancellationRegistry;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.LeaderState;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineReachability;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.controller.state.StateLoader;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.TaskId;
import org.beechhoist.wire.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What workers' reports prove, and the commands that answer them. */
public final class HeartbeatHandler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);
    /** What a recovered task's placement and image took. */
    private static final long TYPICAL_FETCH_MS = 3000;
    /** How long a machine whose silence was noticed has to answer, once a report of it has come that may be old. */
    private static final long PROBE_GRACE_MS = 3000;

    private final ControllerContext context;
    private final Settings settings;
    private final LeaderElection election;
    private final ClusterState clusterState;
    private final StateLoader loader;
    private final MachineTypeCatalog machineTypes;
    private final DurationEstimates estimates;
    private final TaskRemoval taskRemoval;
    private final FaultTracker faultTracker;
    private final MachineReleases releases;
    private final LaunchWithdrawal withdrawal;
    private final CancellationRegistry cancellations;
    private final CommandDispatcher dispatcher;

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
        this.machineTypes = state.machineTypes();
        this.estimates = state.estimates();
        this.cancellations = state.cancellations();
        this.dispatcher = dispatcher;
        this.taskRemoval = taskRemoval;
        this.faultTracker = faultTracker;
        this.releases = releases;
        this.withdrawal = withdrawal;
    }

    /** The records were read anew: what the machines last said is held against them. */
    public void stateLoaded() {
        for (Machine machine : clusterState.machines()) {
            if (machine.lastHeartbeat != null) {
                reconcile(machine, machine.lastHeartbeat, true);
            }
        }
    }

    /** Answers a worker's report. */
    public void handle(long request, Heartbeat heartbeat) {
        if (releases.isReleased(heartbeat.machine())) {
            context.answer(request, 503, null); // a late report: the machine has been returned
            return;
        }
        Machine machine = clusterState.machine(heartbeat.machine());
        boolean fresh = machine.lastHeartbeat == null
                ? heartbeat.isNewerThan(machine.epoch, machine.sequence - 1)
                : heartbeat.isNewerThan(machine.epoch, machine.sequence);
        HeartbeatValidity validity = HeartbeatValidity.of(
                heartbeat,
                fresh,
                machine.previousIncarnationToken,
                election.firstFencingToken(),
                context.now().since(machine.newestAt));
        if (!validity.mayRenewLease()) {
            context.answer(
                    request, 503, null); // a worker that began anew speaks like this, too, until it is asked (Silence)
            return;
        }
        boolean hearing = !machine.reachability.isUnreachable();
        if (validity.isReconciled()) {
            recordHeartbeat(machine, heartbeat, validity);
        }
        List<WorkerCommand> orders = new ArrayList<>();
        boolean renews = cancellations.mayRenewLeases();
        if (loader.isComplete() && validity.isReconciled()) {
            orders.addAll(reconcile(machine, heartbeat, true));
            if (renews) {
                addLaunches(machine, heartbeat, orders);
            }
            if (hearing && machine.reachability.isUnreachable()) {
                LOG.info(
                        "{} speaks but does not hear: it gets nothing new, {} tasks are on their way to it",
                        machine.id,
                        machine.countLaunched(false));
                clusterState.requestReplan();
            }
        } else if (validity.isReconciled()) {
            orders.addAll(killsOfCancelled(heartbeat)); // whatever the book says once it is read
        }
        if (!renews) {
            LOG.debug("{} is sent away: what is known of cancellations is too old to renew its lease", machine.id);
            killAtOnce(machine, orders);
            context.answer(request, 503, null);
            return;
        }
        machine.newestAnswered = validity.isReconciled();
        machine.lastAnsweredAt = context.now();
        ObjectNode body = Codec.map().put("baton", election.fencingToken().value());
        body.set("orders", WorkerCommand.toNode(orders));
        MonotonicTime until = cancellations.leasesRenewableUntil();
        context.answer(
                request, 200, body, until.isBefore(election.leaseValidUntil()) ? until : election.leaseValidUntil());
    }

    /** Kills of what is there though its job is known to be cancelled; nothing else is known of the book now. */
    private List<WorkerCommand> killsOfCancelled(Heartbeat heartbeat) {
        List<WorkerCommand> out = new ArrayList<>();
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            if (status.state() != Heartbeat.TaskState.EXITED
                    && cancellations.isCancelled(status.task().job())) {
                out.add(WorkerCommand.kill(status.task(), status.attempt(), 0));
            }
        }
        return out;
    }

    /** The answer is none that a worker acts on: what it is to end goes straight to it. */
    private void killAtOnce(Machine machine, List<WorkerCommand> orders) {
        List<WorkerCommand> kills = orders.stream()
                .filter(o -> o.verb() == WorkerCommand.Verb.KILL && !machine.outbox.contains(o))
                .toList();
        machine.outbox.addAll(kills);
        if (!kills.isEmpty()) {
            dispatcher.dispatch(machine);
        }
    }

    /** Nothing newer is known of the machine; whether it is more than a copy is what its standing says. */
    private void recordHeartbeat(Machine machine, Heartbeat heartbeat, HeartbeatValidity validity) {
        if (!machine.up) {
            machine.up = true;
            clusterState.requestReplan();
            machine.idleSince = context.now();
            LOG.info(
                    "{} is up: {} in {}{}",
                    machine.id,
                    heartbeat.type(),
                    heartbeat.zone(),
                    heartbeat.spot() ? ", spot" : "");
        }
        machine.address = heartbeat.address();
        machine.type = heartbeat.type();
        machine.zone = heartbeat.zone();
        machine.spot = heartbeat.spot();
        if (machine.lastHeartbeat == null
                ? heartbeat.epoch() != machine.imagesEpoch
                : heartbeat.epoch() > machine.epoch) {
            machine.images.clear();
        }
        boolean lately = machine.lastAnsweredAt != null
                && context.now().since(machine.lastAnsweredAt)
                        < settings.workers().leaseMs();
        if (machine.lastHeartbeat != null) {
            boolean newToken = validity.isCurrent()
                    && heartbeat.fencingToken().compareTo(machine.lastHeartbeat.fencingToken()) > 0;
            machine.reachability = machine.reachability.afterHeartbeat(
                    new MachineReachability.MessageContext(
                            heartbeat.epoch() == machine.epoch,
                            machine.newestAnswered,
                            heartbeat.sequence() == machine.sequence + 1,
                            newToken,
                            machine.callsLost || machine.commandsInFlight > 0 || context.isLagging(),
                            lately),
                    context.now());
        } else if (validity.isCurrent()) {
            machine.reachability = machine.reachability.proven(context.now());
        }
        machine.recordNewest(heartbeat, context.now());
        machine.lastHeartbeat = heartbeat;
        machine.confirmedPresent |= validity.isCurrent();
        if (validity.isCurrent() || machine.unansweredProbes == 0) {
            machine.lastHeardAt = context.now();
        } else {
            machine.unansweredProbes =
                    0; // a copy ends no silence that was noticed; but it may be the machine's first, so it is asked
            // once more
            machine.probeGraceUntil = context.now().plusMs(PROBE_GRACE_MS);
        }
        // A notice is never withdrawn: an old report tells of it too, though not how much time is left.
        if (heartbeat.preemptionNoticeS() != null && (validity.isCurrent() || machine.preemptedAt == null)) {
            if (machine.preemptedAt == null) {
                LOG.info("{} is taken back in {} s", machine.id, heartbeat.preemptionNoticeS());
                clusterState.requestReplan();
            }
            machine.preemptedAt = context.now().plusMs(Math.round(1000 * heartbeat.preemptionNoticeS()));
        } else if (validity.isCurrent()) {
            machine.preemptedAt = null;
        }
    }

    /** What is to be launched there goes with the answer; what doesn't hear, or is about to go, gets nothing, and what was never sent there waits again. */
    private void addLaunches(Machine machine, Heartbeat heartbeat, List<WorkerCommand> orders) {
        for (Placement placement : new ArrayList<>(machine.placements.values())) {
            Job job = clusterState.job(placement.task.job());
            if (job == null) {
                continue; // its record can't be read: it is left alone
            }
            if (placement.committed
                    && (withdrawal.withdraws(job, placement, machine)
                            || (machine.isLeaving() || machine.reachability.isUnreachable() || job.isHeld())
                                    && !placement.launchSent)) {
                taskRemoval.remove(job, placement);
                continue;
            }
            boolean again = placement.launchSent
                    && machine.unacknowledgedToken.compareTo(heartbeat.fencingToken()) >= 0
                    && findStatus(heartbeat, placement) == null
                    && machine.commandsInFlight == 0;
            if (placement.committed
                    && (!placement.launchSent || again)
                    && orders.size() < CommandDispatcher.MAX_COMMANDS
                    && !machine.releasing
                    && !machine.reachability.isUnreachable()
                    && job.keySetHold == null
                    && !job.isCancelled()) {
                orders.add(WorkerCommand.launch(placement.task, placement.attempt));
                placement.launchSent = true;
                placement.launchEpoch = heartbeat.epoch();
                placement.launchSequence = heartbeat.sequence();
            }
        }
    }

    private static Heartbeat.TaskStatus findStatus(Heartbeat heartbeat, Placement placement) {
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            if (status.task().equals(placement.task) && status.attempt() == placement.attempt) {
                return status;
            }
        }
        return null;
    }

    /** What is stored of the task that the machine speaks of. */
    private Reconciliation.RecordedState recordedState(Machine machine, Heartbeat.TaskStatus status) {
        Job job = clusterState.job(status.task().job());
        if (job == null) {
            return clusterState.isUnreadable(status.task().job())
                    ? Reconciliation.RecordedState.UNREADABLE
                    : Reconciliation.RecordedState.NO_JOB;
        }
        Placement placement = job.record.live.get(status.task().index());
        if (placement == null) {
            return job.record.done.contains(status.task().index())
                    ? Reconciliation.RecordedState.DONE
                    : Reconciliation.RecordedState.NOTHING;
        }
        if (placement.attempt > status.attempt()) {
            return Reconciliation.RecordedState.PLACED_LATER;
        }
        return placement.attempt < status.attempt() || !placement.machine.equals(machine.id)
                ? Reconciliation.RecordedState.PLACED_INCONSISTENT
                : job.isCancelled() ? Reconciliation.RecordedState.CANCELLED : Reconciliation.RecordedState.PLACED;
    }

    /**
     * Takes what a report says of tasks; returns the orders that follow. In the answer to a command, absence counts for placements of earlier
     * leaderships alone: launches of this one may be in flight in the reply to a check-in that the worker has not read yet.
     */
    public List<WorkerCommand> reconcile(Machine machine, Heartbeat heartbeat, boolean checkin) {
        List<WorkerCommand> orders = new ArrayList<>();
        AbsenceEvidence.PendingCommands inFlight =
                new AbsenceEvidence.PendingCommands(machine.commandsInFlight > 0, machine.unacknowledgedToken);
        // A launch in limbo finds its exited attempt and does nothing; once forgotten, it would start it once more.
        boolean over = inFlight.noneCanArriveAt(heartbeat.fencingToken());
        int strangers = 0;
        Set<TaskId> seen = new HashSet<>();
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            Job job = clusterState.job(status.task().job());
            Reconciliation.RecordedState stored = recordedState(machine, status);
            Reconciliation.Decision decision = Reconciliation.decide(
                    stored,
                    Reconciliation.ReportedState.of(status),
                    AbsenceEvidence.NONE,
                    over && (job == null || job.isSettled()));
            if (stored == Reconciliation.RecordedState.PLACED || stored == Reconciliation.RecordedState.CANCELLED) {
                seen.add(status.task());
                Placement placement = job.record.live.get(status.task().index());
                if (status.state() == Heartbeat.TaskState.EXITED) {
                    handleExited(machine, job, placement, status, decision);
                } else {
                    handlePresent(machine, job, placement, status, decision, orders);
                }
            } else {
                strangers += handleUnknownTask(machine, status, decision, orders) ? 1 : 0;
            }
        }
        machine.unknownTasks = strangers;
        int doubt = removeAbsent(machine, heartbeat, seen, inFlight, checkin);
        machine.unconfirmedPlacements = checkin ? doubt : Math.min(machine.unconfirmedPlacements, doubt);
        return orders.size() > CommandDispatcher.MAX_COMMANDS
                ? orders.subList(0, CommandDispatcher.MAX_COMMANDS)
                : orders;
    }

    /** A task that no record explains, on the machine or ended there; whether it takes room. */
    private static boolean handleUnknownTask(
            Machine machine,
            Heartbeat.TaskStatus status,
            Reconciliation.Decision decision,
            List<WorkerCommand> orders) {
        if (decision == Reconciliation.Decision.KILL) {
            LOG.info("{}: {} try {} is explained by no record, killed", machine.id, status.task(), status.attempt());
            orders.add(WorkerCommand.kill(status.task(), status.attempt(), 0));
        } else if (decision == Reconciliation.Decision.FORGET) {
            orders.add(WorkerCommand.forget(status.task(), status.attempt()));
        }
        return status.state() != Heartbeat.TaskState.EXITED;
    }

    /** Takes off what the report proves gone; how many of earlier leaderships' placements stay in doubt. */
    private int removeAbsent(
            Machine machine,
            Heartbeat heartbeat,
            Set<TaskId> seen,
            AbsenceEvidence.PendingCommands inFlight,
            boolean checkin) {
        int doubt = 0;
        for (Placement placement : new ArrayList<>(machine.placements.values())) {
            Job job = clusterState.job(placement.task.job());
            boolean neverLaunched = placement.recovered && placement.launchEpoch == 0;
            if (job == null || seen.contains(placement.task) || !placement.committed || !checkin && !neverLaunched) {
                continue;
            }
            AbsenceEvidence evidence = AbsenceEvidence.of(
                    new AbsenceEvidence.Launch(
                            placement.launchSent,
                            placement.evidenceFrom,
                            placement.launchEpoch,
                            placement.launchSequence),
                    inFlight,
                    heartbeat);
            Reconciliation.RecordedState stored =
                    job.isCancelled() ? Reconciliation.RecordedState.CANCELLED : Reconciliation.RecordedState.PLACED;
            if (Reconciliation.decide(stored, Reconciliation.ReportedState.ABSENT, evidence, false)
                    == Reconciliation.Decision.REMOVE) {
                LOG.info("{} try {} is not on {} any more", placement.task, placement.attempt, machine.id);
                taskRemoval.remove(job, placement);
            } else {
                doubt += placement.recovered ? 1 : 0;
                if (checkin && neverLaunched && job.isCancelled()) {
                    dispatcher.kill(machine, placement); // its answer proves the task gone, sooner than the next report
                }
            }
        }
        return doubt;
    }

    private void handlePresent(
            Machine machine,
            Job job,
            Placement placement,
            Heartbeat.TaskStatus status,
            Reconciliation.Decision decision,
            List<WorkerCommand> orders) {
        if (!placement.reported) {
            placement.reported = true;
            if (placement.launchSent && !placement.recovered) {
                machine.reachability = machine.reachability.proven(context.now()); // it has carried out a launch
            }
        }
        if (!placement.launchSent) {
            placement.launchSent = true; // an earlier leadership's launch
            placement.launchEpoch = machine.epoch;
            placement.launchSequence = machine.sequence;
        }
        if (status.state() != Heartbeat.TaskState.FETCHING && placement.runningSince == null) {
            // Taken for just begun, a take-over's tasks would all seem to end a whole run later, and machines be
            // rented.
            MonotonicTime begun = placement.placedAt.plusMs(TYPICAL_FETCH_MS);
            placement.runningSince = placement.recovered && begun.isBefore(context.now()) ? begun : context.now();
            job.lastProgress = context.now();
            MachineType type = machineTypes.get(machine.type);
            machine.cacheImage(job.spec().image(), job.spec().imageGb(), type == null ? 0 : type.cacheGb());
            clusterState.requestReplan();
        }
        if (decision == Reconciliation.Decision.KILL || job.isHeld()) {
            orders.add(WorkerCommand.kill(placement.task, placement.attempt, 0));
        } else if (placement.stopRequested && status.state() != Heartbeat.TaskState.SAVING) {
            orders.add(WorkerCommand.kill(
                    placement.task,
                    placement.attempt,
                    job.spec().checkpointCostS())); // the first one may have been lost
        }
    }

    private void handleExited(
            Machine machine,
            Job job,
            Placement placement,
            Heartbeat.TaskStatus status,
            Reconciliation.Decision decision) {
        LOG.info(
                "{} try {} on {} ended: {}",
                placement.task,
                placement.attempt,
                machine.id,
                status.cause() == null ? "" : status.cause());
        job.lastProgress = context.now();
        if (placement.runningSince != null) {
            clusterState.addTeamUsage(
                    job.spec().team(), job.spec().cpus() * context.now().since(placement.runningSince));
        }
        switch (decision) {
            case COMPLETE -> {
                if (!job.spec().isService()) {
                    job.record.done.add(placement.task.index());
                }
                machine.failedJobs.clear();
                if (placement.runningSince != null && !placement.recovered) {
                    estimates.observe(job.spec(), context.now().since(placement.runningSince));
                }
            }
            case RECORD_FAILURE -> faultTracker.recordFailure(machine, job, placement);
            case AVOID_MACHINE -> machine.avoidUntil = context.now().plusMs(3000);
            case RETRY_LATER -> job.notBefore = context.now().plusMs(3000);
            default -> {}
        }
        taskRemoval.remove(job, placement);
    }
}
