package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.beechhoist.config.Policy;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.ControllerServices;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.worker.ColdStartRecovery;
import org.beechhoist.controller.worker.MachineLossTracker;
import org.beechhoist.plan.Plan;
import org.beechhoist.release.Release;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MonotonicTime;

/**
 * The leader: starts and ends a term, runs its components periodically and completes each input. Its state in memory
 * can be newer than the state service's; commands and answers are sent only after the commit that they depend on. See
 * docs/architecture.md.
 */
final class Leader {
    private final ControllerContext context;
    private final LeaderElection election;
    private final NodeComponents node;
    private final WorkerComponents workers;
    private final SchedulingComponents scheduling;
    private final LeaderFeatures features;
    private final LeaderReachabilityCheck reachabilityCheck;
    private final StalledJobReporter stalledJobs;
    private final List<Runnable> periodicSteps;

    /**
     * Constructs the leader's components.
     *
     * @param random the random numbers for the moves of the plan search
     */
    Leader(
            ControllerServices services,
            Policy policy,
            SplittableRandom random,
            NodeComponents node,
            FeatureModules modules) {
        LeaderComponents components = new LeaderComponents(services, policy, random, node, modules);
        this.context = services.context();
        this.election = services.election();
        this.node = node;
        this.workers = components.workers;
        this.scheduling = components.scheduling;
        this.features = components.features;
        this.reachabilityCheck = components.reachabilityCheck;
        this.stalledJobs = components.stalledJobs;
        this.periodicSteps = createPeriodicSteps();
    }

    // ---- Term ----

    /** Starts a term: this node has won the election. */
    void startTerm() {
        workers.clusterState.reset();
        node.cancellations().reset();
        workers.coldStart.restart();
        scheduling.planner.startTerm();
        workers.committer.reset();
        workers.workerRestarts.reset();
        workers.provisioner.reset(election.fencingToken());
        scheduling.releaseController.startTerm();
        scheduling.migrationController.startTerm();
        features.drainController.startTerm();
        workers.loader.reload();
        features.fleetSnapshots.ifPresent(FleetSnapshots::startTerm);
        features.serviceShare.ifPresent(MinimumServiceShare::startTerm);
        features.cronController.ifPresent(CronController::startTerm);
    }

    /** Ends the term: this node has lost the leadership. */
    void endTerm() {
        features.cronController.ifPresent(CronController::endTerm);
        workers.loader.stop();
        workers.clusterState.reset();
        scheduling.planner.endTerm();
    }

    /** Returns whether this node may command workers and knows all open jobs. */
    boolean isActive() {
        return workers.loader.isActive();
    }

    // ---- Inputs ----

    /** Handles a worker's heartbeat and answers it. */
    void handleHeartbeat(long request, Heartbeat heartbeat) {
        workers.heartbeatHandler.handle(request, heartbeat);
    }

    /**
     * Enforces a committed cancellation that another node reported or that this node is about to confirm to its user.
     */
    void jobCancelled(JobId jobId) {
        if (election.holdsLease()) {
            workers.cancellationEnforcer.enforceCancellation(jobId);
        }
    }

    /**
     * Returns whether no task of a cancelled job can start any more: each one that may have been launched is gone or
     * has been reported running.
     */
    boolean noTaskCanStart(JobId jobId) {
        Job job = workers.clusterState.job(jobId);
        return isActive()
                && (job == null
                        || job.record.live.values().stream().allMatch(p -> !p.launchSent || p.runningSince != null));
    }

    /** Handles a change of a key set. */
    void keySetsChanged() {
        workers.keySetHolds.requestRecheck();
    }

    /** Handles a change of a release. */
    void releaseChanged(Release before, Release now) {
        scheduling.releaseController.handleReleaseChange(before, now);
    }

    // ---- Accessors ----

    /** Returns the release controller, which has the forecast of each release. */
    ReleaseController releaseController() {
        return scheduling.releaseController;
    }

    /** Returns the drain controller. */
    DrainController drainController() {
        return features.drainController;
    }

    /** Returns the open jobs and the machines. */
    ClusterState clusterState() {
        return workers.clusterState;
    }

    /** Returns the number of jobs with pending writes. */
    int pendingWrites() {
        return workers.committer.pendingWriteCount();
    }

    /** Returns the tracker of machines that were lost at once. */
    MachineLossTracker lossTracker() {
        return workers.lossTracker;
    }

    /** Returns the minimum service share; empty if it is disabled. */
    Optional<MinimumServiceShare> serviceShare() {
        return features.serviceShare;
    }

    /** Returns the recovery at the start of the term. */
    ColdStartRecovery coldStartRecovery() {
        return workers.coldStart;
    }

    /** Returns the planner, which holds the current plan. */
    Planner planner() {
        return scheduling.planner;
    }

    /** Returns the admission, which decides on which machines tasks may be placed. */
    Admission admission() {
        return scheduling.admission;
    }

    /** Returns the widths of elastic jobs. */
    ElasticWidths elasticWidths() {
        return workers.elasticWidths;
    }

    /** Returns the cron controller; empty if cron is disabled. */
    Optional<CronController> cronController() {
        return features.cronController;
    }

    // ---- Periodic work ----

    /** Runs the periodic components; called every half second. One that fails does not keep the others from running. */
    void runPeriodic() {
        if (!election.holdsLease()) {
            return;
        }
        context.runGuarded(workers.cancellationEnforcer::enforceAll);
        if (!isActive()) {
            context.runGuarded(workers.provisioner::sendReleasesWithTasks);
            return;
        }
        context.runGuarded(reachabilityCheck::stepDownIfUnreachable);
        for (Runnable step : periodicSteps) {
            if (!isActive()) {
                return; // a step, or its failure, has ended the term
            }
            context.runGuarded(step);
        }
    }

    private List<Runnable> createPeriodicSteps() {
        List<Runnable> steps = new ArrayList<>();
        steps.add(workers.coldStart::advance);
        steps.add(this::superviseMachines);
        addTaskSteps(steps);
        addLongTermSteps(steps);
        return List.copyOf(steps);
    }

    /** Removes the tasks of machines whose leases have expired, and sends pending commands. */
    private void superviseMachines() {
        for (Machine machine : new ArrayList<>(workers.clusterState.machines())) {
            if (!machine.placements.isEmpty()
                    && workers.clusterState.leaseExpiry(machine).isBefore(context.now())
                    && machine.placements.values().stream().allMatch(p -> p.committed)) {
                workers.taskRemoval.removeAllTasks(machine, "its lease expired");
            }
            workers.dispatcher.dispatch(machine);
        }
    }

    private void addTaskSteps(List<Runnable> steps) {
        steps.add(workers.keySetHolds::checkAllJobs);
        steps.add(scheduling.preemptionNotices::evictUnfinishableTasks);
        steps.add(workers.elasticWidths::reconcileAllWidths);
        features.loadShedding.ifPresent(shedding -> steps.add(shedding::updateShedJobs));
        steps.add(workers.clusterState::requestReplan);
        steps.add(() -> workers.provisioner.updateMachines(scheduling.planner.currentPlan()));
        steps.add(stalledJobs::report);
    }

    private void addLongTermSteps(List<Runnable> steps) {
        steps.add(() -> scheduling.releaseController.updateForecasts(scheduling.planner));
        steps.add(() -> scheduling.migrationController.updateMigrations(scheduling.planner.currentPlan()));
        steps.add(() -> features.drainController.updateDrains(scheduling.planner));
        features.fleetSnapshots.ifPresent(snapshots -> steps.add(snapshots::writeNextPart));
        features.serviceShare.ifPresent(share -> steps.add(share::updatePrioritizedJobs));
        features.cronController.ifPresent(cron -> steps.add(cron::fireDueSchedules));
    }

    /**
     * Creates a plan if one is due, commits the changes of the input, and continues the plan search. A plan that fails does not
     * keep the changes from being committed.
     */
    void completeInput() {
        if (mayPlan() && scheduling.planner.isPlanDue()) {
            context.runGuarded(this::plan);
        }
        context.runGuarded(workers.committer::commitPending);
        if (mayPlan()) {
            context.runGuarded(scheduling.planner::runSearchStep);
        }
    }

    private void plan() {
        workers.keySetHolds.checkDueJobs();
        scheduling.releaseController.updateOrder();
        Plan plan = scheduling.planner.createPlan();
        scheduling.migrationController.startMovedTasks();
        scheduling.taskPlacer.placeDueTasks(plan);
        // Valid for both steps: selecting tasks for narrowing or preemption does not change the usage.
        Map<String, double[]> usageByTeam = workers.clusterState.teamResourceUsage();
        if (workers.coldStart.mayPreempt()) {
            scheduling.widthReduction.reduceForLateJobs(plan, usageByTeam);
            scheduling.preemption.preemptForLateJobs(plan, usageByTeam);
        }
        scheduling.planner.startPause();
    }

    /**
     * Returns whether tasks may be placed. While a committed cancellation may be unknown to this node it renews no
     * leases, so a task started then could not keep running.
     */
    private boolean mayPlan() {
        return isActive() && node.cancellations().mayRenewLeases();
    }

    /** Returns whether the planner has a plan or a search step to run. */
    boolean hasPendingPlanning() {
        return scheduling.planner.hasPendingWork() && mayPlan();
    }

    /** Returns the time at which the next plan or search step is due. */
    MonotonicTime nextPlanningAt() {
        return scheduling.planner.nextWorkAt();
    }
}
