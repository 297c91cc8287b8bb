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
 * Sees to it that nothing of a cancelled job goes on: what was never sent is taken back, what may run is killed again and again until
 * there is evidence, and a machine on which neither a kill nor the end of its lease is sure to come in time is returned. It waits
 * for no commit and for no reading of the book, only for the right to command.
 */
public final class CancellationEnforcer {
    private static final Logger LOG = LoggerFactory.getLogger(CancellationEnforcer.class);
    private static final long KILL_RETRY_MS = 3000;
    /** A launch is usually answered within some ten milliseconds. */
    private static final long LAUNCH_ANSWER_MS = 100;
    /** A new token is usually committed within this; where the state service does not answer, it is waited for so long. */
    private static final long TOKEN_MS = 40;

    private static final long KILL_TIMEOUT_MS = 400;
    private static final long FENCE_WITHIN_MS = 3000;
    /** What a return takes, with a request limit and an answer that is lost once. */
    private static final long RELEASE_MS = 12_000;
    /** How much sooner than a lease's end the time must not be over, and how long a worker waits for an answer. */
    private static final long SPARE_MS = 4000;

    private final ControllerContext context;
    private final Settings settings;
    private final ClusterState clusterState;
    private final CommandDispatcher dispatcher;
    private final TaskRemoval taskRemoval;
    private final LossRecovery lossRecovery;
    private final MachineReleases releases;
    private final JobHolds holds;
    private final CancellationRegistry cancellations;
    private MonotonicTime nextKills = MonotonicTime.ZERO;

    public CancellationEnforcer(
            ControllerServices services,
            LeaderState state,
            CommandDispatcher dispatcher,
            TaskRemoval taskRemoval,
            LossRecovery lossRecovery,
            MachineReleases releases,
            JobHolds holds) {
        this.context = services.context();
        this.settings = services.settings();
        this.clusterState = state.clusterState();
        this.cancellations = state.cancellations();
        this.dispatcher = dispatcher;
        this.taskRemoval = taskRemoval;
        this.lossRecovery = lossRecovery;
        this.releases = releases;
        this.holds = holds;
    }

    /** The job's cancellation is committed, whether its record has been read again or not. */
    public void jobCancelled(JobId jobId) {
        Job job = clusterState.job(jobId);
        if (job == null) {
            return;
        }
        if (!job.isCancelled()) {
            job.cancelHeardAtMs = cancellations.cancelledAtWallMs(jobId);
            LOG.info(
                    "{} is cancelled, as is heard before its record is read: {} tasks may be running",
                    jobId,
                    job.record.live.size());
        }
        lossRecovery.forgetJob(jobId);
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
                context.now().plusMs(FENCE_WITHIN_MS));
        context.schedule(LAUNCH_ANSWER_MS, () -> fenceLaunches(fence));
    }

    /** @param token the one that launches of the job were sent with, or a later one */
    private record LaunchFence(JobId job, long term, FencingToken token, MonotonicTime until) {}

    /**
     * A launch that has no answer by now may be executed seconds later, after the user was told. A new token makes the worker refuse it; a
     * kill that does not wait for the launch's answer brings that token to the worker.
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
            LOG.info("{} is cancelled and a launch of it has no answer: its worker is told a newer token", fence.job);
            dispatcher.killUnacknowledged(job);
            context.schedule(KILL_TIMEOUT_MS, () -> fenceLaunches(fence));
        } else {
            dispatcher.requestFencing();
            context.schedule(TOKEN_MS, () -> fenceLaunches(fence));
        }
    }

    private void killAll(Job job) {
        for (Placement placement : job.record.live.values()) {
            if (placement.launchSent) {
                dispatcher.kill(clusterState.machine(placement.machine), placement);
            }
        }
    }

    /** While this node may command, whether or not it knows all records now. */
    public void enforce() {
        boolean again = !context.now().isBefore(nextKills);
        if (again) {
            nextKills = context.now().plusMs(KILL_RETRY_MS);
        }
        for (Job job : clusterState.jobs()) {
            if (job.isCancelled()) {
                if (again) {
                    killAll(job);
                }
                releaseUnreachable(
                        job,
                        job.cancelledAtMs() + settings.workers().cancelMs() - (long) settings.clockErrorMs(),
                        "cancelled");
            } else if (job.isHeld()) {
                releaseUnreachable(job, holds.mustBeGoneByMs(job), "held");
            }
        }
    }

    /** A task on a machine that can't be reached: the machine is returned while there is time. */
    private void releaseUnreachable(Job job, long deadlineWallMs, String is) {
        long left = deadlineWallMs - context.wallMs();
        if (left >= RELEASE_MS) {
            return;
        }
        for (Placement placement : job.record.live.values()) {
            Machine machine = clusterState.machine(placement.machine);
            boolean lapsesInTime = clusterState.leaseExpiry(machine).since(context.now()) < left - SPARE_MS
                    && context.now().since(clusterState.lastHeardOf(machine)) > SPARE_MS;
            if (!lapsesInTime && !machine.releasing) {
                LOG.info("{} is {} but still on {}: returning the machine", placement.task, is, machine.id);
                releases.releaseMachine(machine, "a " + is + " task can't be reached");
            }
            machine.mustBeGoneByMs = Math.min(machine.mustBeGoneByMs, deadlineWallMs);
        }
    }
}
