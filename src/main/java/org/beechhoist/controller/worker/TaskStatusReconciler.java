package org.beechhoist.controller.worker;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.LeaderState;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.TaskId;
import org.beechhoist.wire.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the task statuses of a heartbeat with the cluster state: looks up the recorded state of each task and
 * applies the decision of {@link Reconciliation}.
 */
final class TaskStatusReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(TaskStatusReconciler.class);
    /** The assumed time for the placement of a recovered task and the fetching of its image. */
    private static final long TYPICAL_FETCH_MS = 3000;
    /** The time during which nothing is placed on a machine that had no capacity for a task. */
    private static final long AVOID_MACHINE_MS = 3000;
    /** The time that a job waits after a worker refused one of its tasks because it found no such job. */
    private static final long RETRY_DELAY_MS = 3000;

    private final ControllerContext context;
    private final ClusterState clusterState;
    private final MachineTypeCatalog machineTypes;
    private final DurationEstimates estimates;
    private final CommandDispatcher dispatcher;
    private final TaskRemoval taskRemoval;
    private final FaultTracker faultTracker;
    private final ExitedAttemptRetention retention;

    TaskStatusReconciler(
            ControllerContext context,
            LeaderState state,
            CommandDispatcher dispatcher,
            TaskRemoval taskRemoval,
            FaultTracker faultTracker) {
        this.context = context;
        this.clusterState = state.clusterState();
        this.machineTypes = state.machineTypes();
        this.estimates = state.estimates();
        this.dispatcher = dispatcher;
        this.taskRemoval = taskRemoval;
        this.faultTracker = faultTracker;
        this.retention = new ExitedAttemptRetention(context, dispatcher);
    }

    /**
     * Applies the task statuses of a heartbeat and returns the resulting commands. In the response to a command,
     * absence counts only for placements of earlier terms: launches of this term may be in flight in the response to a
     * heartbeat, which the worker has not read yet.
     *
     * @param unsolicited whether the worker sent the heartbeat by itself; false: it is the response to a command
     */
    List<WorkerCommand> reconcile(Machine machine, Heartbeat heartbeat, boolean unsolicited) {
        List<WorkerCommand> commands = new ArrayList<>();
        AbsenceEvidence.PendingCommands pending =
                new AbsenceEvidence.PendingCommands(machine.commandsInFlight > 0, machine.unacknowledgedToken);
        machine.exitedAttempts.update(
                heartbeat.tasks(), status -> launchesRefusedFrom(machine, heartbeat.fencingToken(), status));
        retention.limit(machine);
        int unknownTasks = 0;
        Set<TaskId> reported = new HashSet<>();
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            Job job = clusterState.job(status.task().job());
            Reconciliation.RecordedState recorded = recordedState(machine, status);
            Reconciliation.Decision decision = Reconciliation.decide(
                    recorded,
                    Reconciliation.ReportedState.of(status),
                    AbsenceEvidence.NONE,
                    machine.exitedAttempts.mayForget(status.taskAttempt(), heartbeat.fencingToken())
                            && (job == null || job.isPersisted()));
            if (isPlacedHere(recorded)) {
                reported.add(status.task());
                handlePlaced(machine, job, status, decision, commands);
            } else {
                unknownTasks += handleUnknownTask(machine, status, decision, commands) ? 1 : 0;
            }
        }
        machine.unknownTasks = unknownTasks;
        logForgotten(machine, heartbeat, commands);
        int unconfirmed = removeAbsent(machine, heartbeat, reported, pending, unsolicited);
        machine.unconfirmedPlacements =
                unsolicited ? unconfirmed : Math.min(machine.unconfirmedPlacements, unconfirmed);
        return commands.size() > CommandDispatcher.MAX_COMMANDS_PER_MESSAGE
                ? commands.subList(0, CommandDispatcher.MAX_COMMANDS_PER_MESSAGE)
                : commands;
    }

    /** Returns kills of the reported attempts that no record places on the machine; changes nothing. */
    List<WorkerCommand> killsOfUnplaced(Machine machine, Heartbeat heartbeat) {
        List<WorkerCommand> kills = new ArrayList<>();
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            Reconciliation.RecordedState recorded = recordedState(machine, status);
            Reconciliation.Decision decision = Reconciliation.decide(
                    recorded, Reconciliation.ReportedState.of(status), AbsenceEvidence.NONE, false);
            if (!isPlacedHere(recorded) && decision == Reconciliation.Decision.KILL) {
                handleUnknownTask(machine, status, decision, kills);
            }
        }
        return kills;
    }

    /**
     * Returns the oldest token with which the worker refuses every copy of the launch of an attempt.
     *
     * @param seen the newest token that the worker has seen
     */
    private static FencingToken launchesRefusedFrom(Machine machine, FencingToken seen, Heartbeat.TaskStatus status) {
        Placement placement = machine.placements.get(status.task());
        boolean launchKnown = placement != null && placement.attempt == status.attempt() && !placement.recovered;
        return launchKnown ? placement.directLaunchToken.next() : seen.next(); // it has seen the launch's token
    }

    private static boolean isPlacedHere(Reconciliation.RecordedState recorded) {
        return recorded == Reconciliation.RecordedState.PLACED || recorded == Reconciliation.RecordedState.CANCELLED;
    }

    /** Returns the recorded state of the task whose status the machine reports. */
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
                    : Reconciliation.RecordedState.NOT_PLACED;
        }
        int comparison = Long.compareUnsigned(placement.attempt, status.attempt());
        if (comparison > 0) {
            return Reconciliation.RecordedState.PLACED_NEWER_ATTEMPT;
        }
        if (comparison < 0 || !placement.machine.equals(machine.id)) {
            return Reconciliation.RecordedState.PLACED_INCONSISTENT;
        }
        return job.isCancelled() ? Reconciliation.RecordedState.CANCELLED : Reconciliation.RecordedState.PLACED;
    }

    /** Handles a task that no record places on the machine, running or exited; returns whether it uses capacity. */
    private static boolean handleUnknownTask(
            Machine machine,
            Heartbeat.TaskStatus status,
            Reconciliation.Decision decision,
            List<WorkerCommand> commands) {
        if (decision == Reconciliation.Decision.KILL) {
            LOG.info(
                    "unknown task killed: task={} attempt={} machine={} cause=\"no record of the task\"",
                    status.task(),
                    status.attempt(),
                    machine.id);
            commands.add(WorkerCommand.kill(status.task(), status.attempt(), 0));
        } else if (decision == Reconciliation.Decision.FORGET) {
            commands.add(WorkerCommand.forget(status.task(), status.attempt()));
        }
        return status.state() != Heartbeat.TaskState.EXITED;
    }

    private static void logForgotten(Machine machine, Heartbeat heartbeat, List<WorkerCommand> commands) {
        long forgotten = commands.stream()
                .filter(c -> c.verb() == WorkerCommand.Verb.FORGET)
                .count();
        if (forgotten > 0) {
            LOG.info(
                    "exited attempts forgotten: machine={} token={} epoch={} forgotten={} kept={}",
                    machine.id,
                    heartbeat.fencingToken().text(),
                    heartbeat.epoch(),
                    forgotten,
                    machine.exitedAttempts.size() - forgotten);
        }
    }

    // ---- absent tasks ----

    /**
     * Removes the placements whose tasks the heartbeat proves gone.
     *
     * @return the number of placements of earlier terms that stay unconfirmed
     */
    private int removeAbsent(
            Machine machine,
            Heartbeat heartbeat,
            Set<TaskId> reported,
            AbsenceEvidence.PendingCommands pending,
            boolean unsolicited) {
        int unconfirmed = 0;
        for (Placement placement : new ArrayList<>(machine.placements.values())) {
            Job job = clusterState.job(placement.task.job());
            boolean neverLaunched = placement.recovered && placement.launchEpoch == 0;
            if (job == null
                    || reported.contains(placement.task)
                    || !placement.committed
                    || !unsolicited && !neverLaunched) {
                continue;
            }
            if (isProvenGone(job, placement, pending, heartbeat)) {
                LOG.info(
                        "task removed: task={} attempt={} machine={} cause=\"not in heartbeat\"",
                        placement.task,
                        placement.attempt,
                        machine.id);
                taskRemoval.remove(job, placement);
            } else {
                unconfirmed += placement.recovered ? 1 : 0;
                if (unsolicited && neverLaunched && job.isCancelled()) {
                    // The response to the kill proves the task gone earlier than the next heartbeat would.
                    dispatcher.kill(machine, placement);
                }
            }
        }
        return unconfirmed;
    }

    private static boolean isProvenGone(
            Job job, Placement placement, AbsenceEvidence.PendingCommands pending, Heartbeat heartbeat) {
        AbsenceEvidence evidence = AbsenceEvidence.of(
                new AbsenceEvidence.Launch(
                        placement.launchSent, placement.evidenceFrom, placement.launchEpoch, placement.launchSequence),
                pending,
                heartbeat);
        Reconciliation.RecordedState recorded =
                job.isCancelled() ? Reconciliation.RecordedState.CANCELLED : Reconciliation.RecordedState.PLACED;
        return Reconciliation.decide(recorded, Reconciliation.ReportedState.ABSENT, evidence, false)
                == Reconciliation.Decision.REMOVE;
    }

    // ---- placed tasks ----

    private void handlePlaced(
            Machine machine,
            Job job,
            Heartbeat.TaskStatus status,
            Reconciliation.Decision decision,
            List<WorkerCommand> commands) {
        Placement placement = job.record.live.get(status.task().index());
        if (status.state() == Heartbeat.TaskState.EXITED) {
            handleExited(machine, job, placement, status, decision);
            return;
        }
        recordPresent(machine, placement);
        if (status.state() != Heartbeat.TaskState.FETCHING && placement.runningSince == null) {
            recordRunning(machine, job, placement);
        }
        if (decision == Reconciliation.Decision.KILL || job.isHeld()) {
            commands.add(WorkerCommand.kill(placement.task, placement.attempt, 0));
        } else if (placement.stopRequested && status.state() != Heartbeat.TaskState.SAVING) {
            // The first command may have been lost.
            commands.add(WorkerCommand.kill(
                    placement.task, placement.attempt, job.spec().checkpointCostS()));
        }
    }

    private void recordPresent(Machine machine, Placement placement) {
        if (!placement.reported) {
            placement.reported = true;
            if (placement.launchSent && !placement.recovered) {
                // The worker has carried out a launch.
                machine.reachability = machine.reachability.afterProof(context.now());
            }
        }
        if (!placement.launchSent) {
            placement.launchSent = true; // by an earlier term
            placement.launchEpoch = machine.epoch;
            placement.launchSequence = machine.sequence;
        }
    }

    /**
     * Records that the task runs. If a recovered task counted as just started, all tasks would seem to end one full
     * duration later after a failover, and machines would be rented unnecessarily.
     */
    private void recordRunning(Machine machine, Job job, Placement placement) {
        MonotonicTime fetched = placement.placedAt.plusMs(TYPICAL_FETCH_MS);
        placement.runningSince = placement.recovered && fetched.isBefore(context.now()) ? fetched : context.now();
        job.lastProgressAt = context.now();
        MachineType type = machineTypes.get(machine.type);
        machine.cacheImage(job.spec().image(), job.spec().imageGb(), type == null ? 0 : type.cacheGb());
        clusterState.requestReplan();
    }

    private void handleExited(
            Machine machine,
            Job job,
            Placement placement,
            Heartbeat.TaskStatus status,
            Reconciliation.Decision decision) {
        LOG.info(
                "task exited: task={} attempt={} machine={} cause={}",
                placement.task,
                placement.attempt,
                machine.id,
                status.cause() == null ? "" : status.cause());
        job.lastProgressAt = context.now();
        if (placement.runningSince != null) {
            clusterState.addTeamUsage(
                    job.spec().team(), job.spec().cpus() * context.now().since(placement.runningSince));
        }
        switch (decision) {
            case COMPLETE -> recordDone(machine, job, placement);
            case RECORD_FAILURE -> faultTracker.recordFailure(machine, job, placement);
            case AVOID_MACHINE -> machine.avoidUntil = context.now().plusMs(AVOID_MACHINE_MS);
            case RETRY_LATER -> job.notBefore = context.now().plusMs(RETRY_DELAY_MS);
            default -> {}
        }
        taskRemoval.remove(job, placement);
    }

    private void recordDone(Machine machine, Job job, Placement placement) {
        if (!job.spec().isService()) {
            job.record.done.add(placement.task.index());
        }
        machine.failuresByJob.clear();
        if (placement.runningSince != null && !placement.recovered) {
            estimates.recordDuration(job.spec(), context.now().since(placement.runningSince));
        }
    }
}
