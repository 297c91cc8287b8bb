package org.beechhoist.controller;

import java.util.ArrayList;
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
 * The leader: begins and ends a term, runs its components periodically and settles each input. What it holds in memory may run
 * ahead of the state service; nothing is commanded or answered before the commit that says so. See docs/design/core.md.
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

    /** @param random for the random moves of the plan's search */
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
    }

    // ---- the term ----

    /** Begins a term: this node has won the election. */
    void startTerm() {
        workers.clusterState.reset();
        node.cancellations().reset();
        workers.coldStart.begin();
        scheduling.planner.startTerm();
        workers.committer.reset();
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

    /** Whether this node may command workers, and knows all open jobs. */
    boolean isActive() {
        return workers.loader.isActive();
    }

    // ---- inputs ----

    /** Handles a worker's heartbeat and answers it. */
    void handleHeartbeat(long request, Heartbeat heartbeat) {
        workers.heartbeatHandler.handle(request, heartbeat);
    }

    /** A job's cancellation is committed, as another node says or this one is about to confirm to its user. */
    void jobCancelled(JobId jobId) {
        if (election.holdsLease()) {
            workers.cancellationEnforcer.enforceCancellation(jobId);
        }
    }

    /**
     * Whether it is certain that no task of a cancelled job starts any more: each one that may have been launched is gone, or was
     * seen running.
     */
    boolean noTaskCanStart(JobId jobId) {
        Job job = workers.clusterState.job(jobId);
        return isActive()
                && (job == null
                        || job.record.live.values().stream().allMatch(p -> !p.launchSent || p.runningSince != null));
    }

    /** A key set has changed. */
    void keySetsChanged() {
        workers.keySetHolds.requestRecheck();
    }

    /** A release has changed. */
    void releaseChanged(Release before, Release now) {
        scheduling.releaseController.handleReleaseChange(before, now);
    }

    // ---- what the APIs and views read ----

    /** The release controller, which knows the forecast of each release. */
    ReleaseController releaseController() {
        return scheduling.releaseController;
    }

    /** The drain controller. */
    DrainController drainController() {
        return features.drainController;
    }

    /** The open jobs and the machines. */
    ClusterState clusterState() {
        return workers.clusterState;
    }

    /** How many jobs wait to be written. */
    int pendingWrites() {
        return workers.committer.pendingWriteCount();
    }

    /** The recovery of machines lost at once. */
    MachineLossTracker lossRecovery() {
        return workers.lossRecovery;
    }

    /** The minimum service share; empty where it is off. */
    Optional<MinimumServiceShare> serviceShare() {
        return features.serviceShare;
    }

    /** The beginning of the term. */
    ColdStartRecovery coldStartRecovery() {
        return workers.coldStart;
    }

    /** The planner, which holds the current plan. */
    Planner planner() {
        return scheduling.planner;
    }

    /** Which machines tasks may be placed on. */
    Admission admission() {
        return scheduling.admission;
    }

    /** The jobs whose width changes while they run. */
    ElasticWidths elasticWidths() {
        return workers.elasticWidths;
    }

    /** The cron controller; empty where cron is off. */
    Optional<CronController> cronController() {
        return features.cronController;
    }

    // ---- time ----

    /** Does what is due every half second. */
    void runPeriodic() {
        if (!election.holdsLease()) {
            return;
        }
        workers.cancellationEnforcer.enforceAll();
        if (!isActive()) {
            workers.provisioner.sendReleasesWithTasks();
            return;
        }
        if (reachabilityCheck.stepDownIfUnreachable()) {
            return;
        }
        workers.coldStart.advance();
        superviseMachines();
        runTaskComponents();
        runLongTermComponents();
    }

    /** Removes the tasks of machines whose leases ran out, and sends the commands that wait. */
    private void superviseMachines() {
        for (Machine machine : new ArrayList<>(workers.clusterState.machines())) {
            if (!machine.placements.isEmpty()
                    && workers.clusterState.leaseExpiry(machine).isBefore(context.now())
                    && machine.placements.values().stream().allMatch(p -> p.committed)) {
                workers.taskRemoval.removeAllTasks(machine, "its lease ran out");
            }
            workers.dispatcher.dispatch(machine);
        }
    }

    private void runTaskComponents() {
        workers.keySetHolds.checkAllJobs();
        scheduling.preemptionNotices.evictUnfinishableTasks();
        workers.elasticWidths.reconcileAllWidths();
        features.loadShedding.ifPresent(LoadShedding::updateShedJobs);
        workers.clusterState.requestReplan();
        workers.provisioner.updateMachines(scheduling.planner.currentPlan());
        stalledJobs.report();
    }

    private void runLongTermComponents() {
        scheduling.releaseController.updateForecasts(scheduling.planner);
        scheduling.migrationController.updateMigrations(scheduling.planner.currentPlan());
        features.drainController.updateDrains(scheduling.planner);
        features.fleetSnapshots.ifPresent(FleetSnapshots::writeNextPart);
        features.serviceShare.ifPresent(MinimumServiceShare::updatePrioritizedJobs);
        features.cronController.ifPresent(CronController::fireDueSchedules);
    }

    /** Plans if a plan is due, commits what the input changed, and continues the plan's search. */
    void completeInput() {
        if (mayPlan() && scheduling.planner.isPlanDue()) {
            plan();
        }
        workers.committer.commitPending();
        if (mayPlan()) {
            scheduling.planner.runSearchStep();
        }
    }

    private void plan() {
        workers.keySetHolds.checkDueJobs();
        scheduling.releaseController.updateOrder();
        Plan plan = scheduling.planner.createPlan();
        scheduling.migrationController.startMovedTasks();
        scheduling.taskPlacer.placeDueTasks(plan);
        // One reading serves both steps: choosing what is narrowed or preempted does not change it.
        Map<String, double[]> usageByTeam = workers.clusterState.teamResourceUsage();
        if (workers.coldStart.mayPreempt()) {
            scheduling.widthReduction.reduceForLateJobs(plan, usageByTeam);
            scheduling.preemption.preemptForLateJobs(plan, usageByTeam);
        }
        scheduling.planner.startPause();
    }

    /** Whether work may be placed: a task that begins while a cancellation may be unknown could not be kept. */
    private boolean mayPlan() {
        return isActive() && node.cancellations().mayRenewLeases();
    }

    /** Whether the planner waits for its next plan or step of the search. */
    boolean hasPendingPlanning() {
        return scheduling.planner.hasPendingWork() && mayPlan();
    }

    /** When the next plan or step of the search is due. */
    MonotonicTime nextPlanningAt() {
        return scheduling.planner.nextWorkAt();
    }
}
