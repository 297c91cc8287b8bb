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
 * Holds jobs whose key set is revoked, superseded for too long, or not what they are bound to: nothing of them is planned or
 * launched, what runs is stopped and proven gone as for a cancellation, and they stay open. Without a key book, where key sets are
 * off on this node, a bound job is held as well: it was bound by somebody who relied on it.
 */
public final class KeySetHolds implements CommitGuards, JobHolds {
    private static final Logger LOG = LoggerFactory.getLogger(KeySetHolds.class);
    private static final RunDecision OFF =
            new RunDecision(RunDecision.Kind.UNKNOWN, 0, "this node", "key sets are off on the leading node");

    private final ControllerContext context;
    private final Settings settings;
    private final ClusterState clusterState;
    private final CommandDispatcher dispatcher;
    private final TaskRemoval taskRemoval;
    /** Null where key sets are off. */
    private final KeySetRegistry keys;

    private boolean due = true;

    KeySetHolds(
            ControllerContext context,
            Settings settings,
            ClusterState clusterState,
            CommandDispatcher dispatcher,
            TaskRemoval taskRemoval,
            KeySetRegistry keys) {
        this.context = context;
        this.settings = settings;
        this.clusterState = clusterState;
        this.dispatcher = dispatcher;
        this.taskRemoval = taskRemoval;
        this.keys = keys;
    }

    /** A key set has changed: all jobs are looked at before anything else is decided. */
    void requestRecheck() {
        due = true;
        clusterState.requestReplan();
    }

    /** Before each plan: who may not run, by what is known of the sets now. */
    void checkDueJobs() {
        for (Job job : clusterState.jobs()) {
            if (job.spec().keySetBinding() != null
                    && !job.isCancelled()
                    && (due || job.keySetHold == RunDecision.UNKNOWN)) {
                checkJob(job);
            }
        }
        due = false;
    }

    /** Once a turn: a version's time to drain may be over. */
    void checkAllJobs() {
        due = true;
        checkDueJobs();
    }

    private void checkJob(Job job) {
        RunDecision verdict = keys == null ? OFF : keys.runDecision(job.spec().keySetBinding());
        boolean was = job.isHeld();
        job.keySetHold = verdict.mayRun() ? null : verdict;
        if (job.isHeld() && !was) {
            job.heldSinceMs = Math.max(verdict.sinceMs(), 0) == 0 ? context.wallMs() : verdict.sinceMs();
            LOG.warn(
                    "{} is held, {} tasks may be running: key set {}: {}, by {}",
                    job.id(),
                    job.record.live.size(),
                    job.spec().keySetBinding(),
                    verdict.reason(),
                    verdict.decidedBy());
            clusterState.requestReplan();
        } else if (was && !job.isHeld()) {
            LOG.info("{} goes on: key set {}", job.id(), job.spec().keySetBinding());
            job.lastProgressAt = context.now();
            clusterState.requestReplan();
        }
        if (job.isHeld()) {
            pursue(job, !was);
        }
    }

    /** What was not sent waits again; what was is ended. What is on its way to the state service is looked at when that is over. */
    private void pursue(Job job, boolean first) {
        for (Placement placement : new ArrayList<>(job.record.live.values())) {
            if (!placement.launchSent && (placement.committed || !job.inFlight)) {
                taskRemoval.remove(job, placement);
            } else if (placement.launchSent && first) {
                Machine machine = clusterState.machine(placement.machine);
                machine.outbox.add(WorkerCommand.kill(placement.task, placement.attempt, 0));
                dispatcher.dispatch(machine);
            }
        }
    }

    /** By when all of it must be gone, by the time of day. */
    @Override
    public long terminationDeadlineWallMs(Job job) {
        return job.heldSinceMs + settings.workers().cancelMs() - (long) settings.clockErrorMs();
    }

    // ---- with the commits ----

    /**
     * Whether what is placed of the job may be written now. It is decided anew by the very content that the guard then names: what
     * was decided for the plan may rest on an older one, and a guard by the newer would let it pass.
     */
    @Override
    public boolean mayWrite(Job job) {
        return job.uncommittedPlacements == 0
                || job.spec().keySetBinding() == null
                || keys != null
                        && keys.isUpToDate(job.spec().keySetBinding().keySet())
                        && keys.runDecision(job.spec().keySetBinding()).mayRun();
    }

    /** The guard that a job's new placements need; null: none. */
    @Override
    public String guardKey(Job job) {
        return job.uncommittedPlacements == 0 || job.spec().keySetBinding() == null
                ? null
                : KeySetRegistry.SETS_PREFIX + job.spec().keySetBinding().keySet();
    }

    @Override
    public void addGuard(Transaction transaction, Job job) {
        keys.addGuard(transaction, job.spec().keySetBinding().keySet());
    }

    /** Whether a commit failed for sets that have changed alone: the others' news are written again at once, without those. */
    @Override
    public boolean handleGuardConflict(Set<String> failed) {
        if (keys == null
                || failed.isEmpty()
                || !failed.stream().allMatch(k -> k.startsWith(KeySetRegistry.SETS_PREFIX))) {
            return false;
        }
        LOG.info("commit overtaken by a change of {}", failed);
        return keys.refreshConflicting(failed, this::requestRecheck);
    }
}
