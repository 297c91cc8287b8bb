package org.beechhoist.controller.worker;

import java.util.ArrayList;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.CancellationRegistry;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
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
    private static final long KILL_AGAIN_MS = 3000;
    /** A launch is usually answered within some ten milliseconds. */
    private static final long UNANSWERED_MS = 100;
    /** A new token is usually committed within this; where the state service does not answer, it is waited for so long. */
    private static final long TOKEN_MS = 40;

    private static final long KILL_LOST_MS = 400;
    private static final long FENCED_WITHIN_MS = 3000;
    /** What a return takes, with a request limit and an answer that is lost once. */
    private static final long RETURN_MS = 12_000;
    /** How much sooner than a lease's end the time must not be over, and how long a worker waits for an answer. */
    private static final long SPARE_MS = 4000;

    private final ControllerContext turn;
    private final Settings settings;
    private final ClusterState book;
    private final CommandDispatcher orders;
    private final TaskRemoval departures;
    private final LossRecovery recovery;
    private final MachineReleases releases;
    private final JobHolds holds;
    private final CancellationRegistry cancellations;
    private MonotonicTime nextKills = MonotonicTime.ZERO;

    public CancellationEnforcer(
            ControllerContext turn,
            Settings settings,
            ClusterState book,
            CommandDispatcher orders,
            TaskRemoval departures,
            LossRecovery recovery,
            MachineReleases releases,
            JobHolds holds,
            CancellationRegistry cancellations) {
        this.turn = turn;
        this.settings = settings;
        this.book = book;
        this.orders = orders;
        this.departures = departures;
        this.recovery = recovery;
        this.releases = releases;
        this.holds = holds;
        this.cancellations = cancellations;
    }

    /** The job's cancellation is committed, whether its record has been read again or not. */
    public void cancelled(JobId ref) {
        Job job = book.job(ref);
        if (job == null) {
            return;
        }
        if (!job.cancelled()) {
            job.cancelHeardMs = cancellations.at(ref);
            LOG.info(
                    "{} is cancelled, as is heard before its record is read: {} tasks may be running",
                    ref,
                    job.record.live.size());
        }
        recovery.over(ref);
        for (Placement placement : new ArrayList<>(job.record.live.values())) {
            if (placement.committed && !placement.sent) {
                departures.remove(job, placement);
            }
        }
        kill(job);
        book.replan();
        LaunchFence fence =
                new LaunchFence(ref, book.reign(), orders.token(), turn.now().plusMs(FENCED_WITHIN_MS));
        turn.after(UNANSWERED_MS, () -> fenceOff(fence));
    }

    /** @param token the one that launches of the job were sent with, or a later one */
    private record LaunchFence(JobId ref, long term, FencingToken token, MonotonicTime until) {}

    /**
     * A launch that has no answer by now may be executed seconds later, after the user was told. A new token makes the worker refuse it; a
     * kill that does not wait for the launch's answer brings that token to the worker.
     */
    private void fenceOff(LaunchFence fence) {
        Job job = book.job(fence.ref);
        if (fence.term != book.reign()
                || job == null
                || !orders.launchUnanswered(job)
                || !turn.now().before(fence.until)) {
            return;
        }
        if (orders.token().compareTo(fence.token) > 0) {
            LOG.info("{} is cancelled and a launch of it has no answer: its worker is told a newer token", fence.ref);
            orders.killUnanswered(job);
            turn.after(KILL_LOST_MS, () -> fenceOff(fence));
        } else {
            orders.wantToken();
            turn.after(TOKEN_MS, () -> fenceOff(fence));
        }
    }

    private void kill(Job job) {
        for (Placement placement : job.record.live.values()) {
            if (placement.sent) {
                orders.kill(book.host(placement.host), placement);
            }
        }
    }

    /** While this node may command, whether or not it knows all records now. */
    public void tick() {
        boolean again = !turn.now().before(nextKills);
        if (again) {
            nextKills = turn.now().plusMs(KILL_AGAIN_MS);
        }
        for (Job job : book.jobs()) {
            if (job.cancelled()) {
                if (again) {
                    kill(job);
                }
                overdue(
                        job,
                        job.cancelledAtMs() + settings.workers().cancelMs() - (long) settings.clockErrorMs(),
                        "cancelled");
            } else if (job.held()) {
                overdue(job, holds.goneByMs(job), "held");
            }
        }
    }

    /** A task on a machine that can't be reached: the machine is returned while there is time. */
    private void overdue(Job job, long deadlineWallMs, String is) {
        long left = deadlineWallMs - turn.wallMs();
        if (left >= RETURN_MS) {
            return;
        }
        for (Placement placement : job.record.live.values()) {
            Machine machine = book.host(placement.host);
            boolean lapsesInTime = book.lapse(machine).since(turn.now()) < left - SPARE_MS
                    && turn.now().since(book.heard(machine)) > SPARE_MS;
            if (!lapsesInTime && !machine.returning) {
                LOG.info("{} is {} but still on {}: returning the machine", placement.task, is, machine.id);
                releases.giveBack(machine, "a " + is + " task can't be reached");
            }
            machine.goneByMs = Math.min(machine.goneByMs, deadlineWallMs);
        }
    }
}
