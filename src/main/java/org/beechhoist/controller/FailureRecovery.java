package org.beechhoist.controller;

import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.wire.MonotonicTime;

/**
 * What a node does after an unexpected exception in a timer, in the callback of a call or in the leader's work. Such an exception may have
 * left the leader's memory half changed, so the leader gives up the lead, and the next one reads its state from the records. A node
 * that does not lead begins anew to read the leader's key, in case the exception ended its watch.
 */
final class FailureRecovery {
    /** A failure that recurs under each leader must not keep the cluster without one: it costs each node one term in this time. */
    private static final long MIN_STEP_DOWN_INTERVAL_MS = 300_000;

    private static final long MIN_RESTART_INTERVAL_MS = 1000;
    /** Time for another node to win the election. */
    private static final long CAMPAIGN_PAUSE_MS = 2000;

    private final ControllerContext context;
    private final LeaderElection election;
    private MonotonicTime nextStepDownAt = MonotonicTime.ZERO;
    private MonotonicTime nextRestartAt = MonotonicTime.ZERO;

    FailureRecovery(ControllerContext context, LeaderElection election) {
        this.context = context;
        this.election = election;
    }

    /** Handles a failure. It is called between two steps of the same input. */
    void handleFailure() {
        if (!context.now().isBefore(nextRestartAt)) {
            nextRestartAt = context.now().plusMs(MIN_RESTART_INTERVAL_MS);
            context.schedule(MIN_RESTART_INTERVAL_MS, this::restartElection);
        }
        if (election.isLeading() && !context.now().isBefore(nextStepDownAt)) {
            nextStepDownAt = context.now().plusMs(MIN_STEP_DOWN_INTERVAL_MS);
            election.stepDown("an unexpected exception", CAMPAIGN_PAUSE_MS);
        }
    }

    private void restartElection() {
        if (!election.isLeading()) {
            election.start();
        }
    }
}
