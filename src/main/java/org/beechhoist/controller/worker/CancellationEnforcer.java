package org.beechhoist.controller.worker;

import java.util.ArrayList;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.ControllerServices;
import org.beechhoist.controller.state.CancellationRegistry;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.LeaderState;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends all tasks of a cancelled job: placements that were never sent are removed, tasks that may run are killed
 * repeatedly until there is evidence that they are gone, and a machine is returned if neither a kill nor the end of its
 * lease is certain to be in time. It requires only the leader's lease, and waits neither for a commit nor for the
 * records to be read.
 */
public final class CancellationEnforcer {
    private static final Logger LOG = LoggerFactory.getLogger(CancellationEnforcer.class);
    /** The interval between kills of the same task. */
    private static final long KILL_RETRY_INTERVAL_MS = 3000;
    /** The timeout of the response to a launch, which usually arrives within some ten milliseconds. */
    private static final long LAUNCH_RESPONSE_TIMEOUT_MS = 100;
    /**
     * The interval between requests for a new fencing token, which is usually committed within this if the state
     * service responds.
     */
    private static final long TOKEN_ROTATION_INTERVAL_MS = 40;
    /** The interval between kills of launches without a response. */
    private static final long UNACKNOWLEDGED_KILL_INTERVAL_MS = 400;
    /** The time after a cancellation during which unacknowledged launches are fenced off. */
    private static final long MAX_FENCING_MS = 3000;
    /** The time to return a machine, allowing for a request limit and one lost response. */
    private static final long MACHINE_RELEASE_MS = 12_000;
    /** The margin by which a lease must end before the deadline; also the time that a worker waits for a response. */
    private static final long DEADLINE_MARGIN_MS = 4000;

    private final ControllerContext context;
    private final Settings settings;
    private final ClusterState clusterState;
    private final CommandDispatcher dispatcher;
    private final TaskRemoval taskRemoval;
    private final MachineLossTracker lossTracker;
    private final MachineReleases releases;
    private final JobHolds holds;
    private final CancellationRegistry cancellations;
    private MonotonicTime nextKillAt = MonotonicTime.ZERO;

    /**
     * Creates the enforcer.
     *
     * @param releases returns machines whose tasks can't be ended in time
     * @param holds provides the deadline by which tasks of held jobs must be gone
     */
    public CancellationEnforcer(
            ControllerServices services,
            LeaderState state,
            CommandDispatcher dispatcher,
            TaskRemoval taskRemoval,
            MachineLossTracker lossTracker,
            MachineReleases releases,
            JobHolds holds) {
        this.context = services.context();
        this.settings = services.settings();
        this.clusterState = state.clusterState();
        this.cancellations = state.cancellations();
        this.dispatcher = dispatcher;
        this.taskRemoval = taskRemoval;
        this.lossTracker = lossTracker;
        this.releases = releases;
        this.holds = holds;
    }

    /** Ends the job, whose cancellation is committed, whether its record has been read again or not. */
    public void enforceCancellation(JobId jobId) {
        Job job = clusterState.job(jobId);
        if (job == null) {
            return;
        }
        if (!job.isCancelled()) {
            job.outOfBandCancelledAtMs = cancellations.cancelledAtWallMs(jobId);
            LOG.info(
                    "job cancelled: job={} livePlacements={} cause=\"known before the record is read\"",
                    jobId,
                    job.record.live.size());
        }
        lossTracker.stopTrackingJob(jobId);
        for (Placement placement : new ArrayList<>(job.record.live.values())) {
            if (placement.committed && !placement.launchSent) {
                taskRemoval.remove(job, placement);
            }
        }
        killAll(job);
        clusterState.requestReplan();
        LaunchFence fence = new LaunchFence(
                jobId,
                clusterState.term(),
                dispatcher.fencingToken(),
                context.now().plusMs(MAX_FENCING_MS));
        context.schedule(LAUNCH_RESPONSE_TIMEOUT_MS, () -> fenceLaunches(fence));
    }

    /**
     * The fencing of a cancelled job's launches without a response.
     *
     * @param term the term in which it began; it ends with it
     * @param token the token that launches of the job were sent with, or a later one
     * @param until the time at which fencing is abandoned
     */
    private record LaunchFence(JobId job, long term, FencingToken token, MonotonicTime until) {}

    /**
     * Fences off unacknowledged launches: they may be executed seconds later, after the user received the response to
     * the cancellation. A new token makes the worker refuse them; a kill that does not wait for the launch's response
     * brings that token to the worker.
     */
    private void fenceLaunches(LaunchFence fence) {
        Job job = clusterState.job(fence.job);
        if (fence.term != clusterState.term()
                || job == null
                || !dispatcher.hasUnacknowledgedLaunch(job)
                || !context.now().isBefore(fence.until)) {
            return;
        }
        if (dispatcher.fencingToken().compareTo(fence.token) > 0) {
            LOG.info(
                    "launches fenced off: job={} token={} cause=\"job cancelled while a launch has no answer\"",
                    fence.job,
                    dispatcher.fencingToken().text());
            dispatcher.killUnacknowledgedLaunches(job);
            context.schedule(UNACKNOWLEDGED_KILL_INTERVAL_MS, () -> fenceLaunches(fence));
        } else {
            dispatcher.requestUrgentTokenRotation();
            context.schedule(TOKEN_ROTATION_INTERVAL_MS, () -> fenceLaunches(fence));
        }
    }

    /** Kills all tasks of the job that were launched. */
    private void killAll(Job job) {
        for (Placement placement : job.record.live.values()) {
            if (placement.launchSent) {
                dispatcher.kill(clusterState.machine(placement.machine), placement);
            }
        }
    }

    /**
     * Enforces all cancellations and holds; called periodically while this node holds the lease, whether or not all
     * records are read.
     */
    public void enforceAll() {
        boolean killsDue = !context.now().isBefore(nextKillAt);
        if (killsDue) {
            nextKillAt = context.now().plusMs(KILL_RETRY_INTERVAL_MS);
        }
        for (Job job : clusterState.jobs()) {
            if (job.isCancelled()) {
                if (killsDue) {
                    killAll(job);
                }
                releaseUnreachable(
                        job,
                        job.cancelledAtMs() + settings.workers().cancelMs() - (long) settings.clockErrorMs(),
                        "cancelled");
            } else if (job.isHeld()) {
                releaseUnreachable(job, holds.terminationDeadlineWallMs(job), "held");
            }
        }
    }

    /**
     * Returns to the cloud the machines on which the job's tasks are not certain to end before the deadline, once the
     * remaining time is no longer than a release takes.
     */
    private void releaseUnreachable(Job job, long deadlineWallMs, String jobState) {
        long leftMs = deadlineWallMs - context.wallMs();
        if (leftMs >= MACHINE_RELEASE_MS) {
            return;
        }
        for (Placement placement : job.record.live.values()) {
            Machine machine = clusterState.machine(placement.machine);
            boolean leaseEndsInTime =
                    clusterState.leaseExpiry(machine).since(context.now()) < leftMs - DEADLINE_MARGIN_MS
                            && context.now().since(clusterState.lastContactAt(machine)) > DEADLINE_MARGIN_MS;
            if (!leaseEndsInTime && !machine.releasing) {
                LOG.info(
                        "machine released: machine={} task={} attempt={} cause=\"task of a {} job can't be reached\"",
                        machine.id,
                        placement.task,
                        placement.attempt,
                        jobState);
                releases.releaseMachine(machine, "a " + jobState + " task can't be reached");
            }
            machine.stopDeadlineMs = Math.min(machine.stopDeadlineMs, deadlineWallMs);
        }
    }
}
