package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.Set;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.CommitGuards;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.worker.CommandDispatcher;
import org.beechhoist.controller.worker.JobHolds;
import org.beechhoist.controller.worker.TaskRemoval;
import org.beechhoist.keyset.RunDecision;
import org.beechhoist.store.Placement;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds jobs whose key set version is revoked, superseded beyond its drain deadline, or different from their binding. No task of a
 * held job is planned or launched; running tasks are stopped and confirmed gone as for a cancellation; the job stays open. If key
 * sets are disabled on this node, no further task of a bound job is started, because its submitter relied on the binding.
 */
public final class KeySetHolds implements CommitGuards, JobHolds {
    private static final Logger LOG = LoggerFactory.getLogger(KeySetHolds.class);
    private static final RunDecision DISABLED =
            new RunDecision(RunDecision.Kind.UNKNOWN, 0, "this node", "key sets are off on the leading node");

    private final ControllerContext context;
    private final Settings settings;
    private final ClusterState clusterState;
    private final CommandDispatcher dispatcher;
    private final TaskRemoval taskRemoval;
    /** Null if key sets are disabled. */
    private final KeySetRegistry registry;

    private boolean recheckNeeded = true;

    KeySetHolds(
            ControllerContext context,
            Settings settings,
            ClusterState clusterState,
            CommandDispatcher dispatcher,
            TaskRemoval taskRemoval,
            KeySetRegistry registry) {
        this.context = context;
        this.settings = settings;
        this.clusterState = clusterState;
        this.dispatcher = dispatcher;
        this.taskRemoval = taskRemoval;
        this.registry = registry;
    }

    /** Handles a change of a key set: requests a check of all jobs before the next plan. */
    void requestRecheck() {
        recheckNeeded = true;
        clusterState.requestReplan();
    }

    /** Checks before each plan the jobs whose decision may have changed, using the current snapshot. */
    void checkDueJobs() {
        for (Job job : clusterState.jobs()) {
            if (job.spec().keySetBinding() != null
                    && !job.isCancelled()
                    && (recheckNeeded || job.keySetHold == RunDecision.UNKNOWN)) {
                checkJob(job);
            }
        }
        recheckNeeded = false;
    }

    /** Checks all jobs; runs periodically because a version's drain deadline may have passed. */
    void checkAllJobs() {
        recheckNeeded = true;
        checkDueJobs();
    }

    private void checkJob(Job job) {
        RunDecision decision =
                registry == null ? DISABLED : registry.runDecision(job.spec().keySetBinding());
        boolean wasHeld = job.isHeld();
        job.keySetHold = decision.mayRun() ? null : decision;
        if (job.isHeld() && !wasHeld) {
            job.heldSinceMs = Math.max(decision.sinceMs(), 0) == 0 ? context.wallMs() : decision.sinceMs();
            LOG.warn(
                    "job held: job={} possiblyRunningTasks={} keySet={} reason={} decidedBy={}",
                    job.id(),
                    job.record.live.size(),
                    job.spec().keySetBinding(),
                    decision.reason(),
                    decision.decidedBy());
            clusterState.requestReplan();
        } else if (wasHeld && !job.isHeld()) {
            LOG.info("job hold lifted: job={} keySet={}", job.id(), job.spec().keySetBinding());
            job.lastProgressAt = context.now();
            clusterState.requestReplan();
        }
        if (job.isHeld()) {
            stopTasks(job, !wasHeld);
        }
    }

    /** Returns unlaunched tasks to the queue and kills launched ones. Placements in a running commit are handled after the commit. */
    private void stopTasks(Job job, boolean newlyHeld) {
        for (Placement placement : new ArrayList<>(job.record.live.values())) {
            if (!placement.launchSent && (placement.committed || !job.inFlight)) {
                taskRemoval.remove(job, placement);
            } else if (placement.launchSent && newlyHeld) {
                Machine machine = clusterState.machine(placement.machine);
                machine.outbox.add(WorkerCommand.kill(placement.task, placement.attempt, 0));
                dispatcher.dispatch(machine);
            }
        }
    }

    @Override
    public long terminationDeadlineWallMs(Job job) {
        return job.heldSinceMs + settings.workers().cancelMs() - (long) settings.clockErrorMs();
    }

    // ---- commit guards ----

    /**
     * Returns whether the job's new placements may be written now. The decision is made again on the content whose revision the guard
     * names. The decision made for the plan may be based on older content, and a guard with the newer revision would accept it.
     */
    @Override
    public boolean mayWrite(Job job) {
        return job.uncommittedPlacements == 0
                || job.spec().keySetBinding() == null
                || registry != null
                        && registry.isUpToDate(job.spec().keySetBinding().keySet())
                        && registry.runDecision(job.spec().keySetBinding()).mayRun();
    }

    /** Returns the key that guards the job's new placements, or null if none does. */
    @Override
    public String guardKey(Job job) {
        return job.uncommittedPlacements == 0 || job.spec().keySetBinding() == null
                ? null
                : KeySetRegistry.SETS_PREFIX + job.spec().keySetBinding().keySet();
    }

    @Override
    public void addGuard(Transaction transaction, Job job) {
        registry.addGuard(transaction, job.spec().keySetBinding().keySet());
    }

    /** Returns whether a commit failed only because key sets changed; the other changes are then written again at once without those. */
    @Override
    public boolean handleGuardConflict(Set<String> failed) {
        if (registry == null
                || failed.isEmpty()
                || !failed.stream().allMatch(k -> k.startsWith(KeySetRegistry.SETS_PREFIX))) {
            return false;
        }
        LOG.info("commit conflicts with changed key sets: keys={}", failed);
        return registry.refreshConflicting(failed, this::requestRecheck);
    }
}
