package org.beechhoist.controller;

import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.TransactionCommitter;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.Heartbeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles a machine that restarted under the same name, with a worker that has no state.
 *
 * <p>A probe has shown that its worker reports less than before, so the tasks of the previous incarnation are gone.
 * Commands for that incarnation may still be in flight and would be executed by the new one. A task that the new
 * worker does not report therefore counts as gone only once that worker has seen a newer fencing token.
 */
final class WorkerRestartHandler {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerRestartHandler.class);

    private final ControllerContext context;
    private final LeaderElection election;
    private final ClusterState clusterState;
    private final TransactionCommitter committer;

    WorkerRestartHandler(
            ControllerContext context,
            LeaderElection election,
            ClusterState clusterState,
            TransactionCommitter committer) {
        this.context = context;
        this.election = election;
        this.clusterState = clusterState;
        this.committer = committer;
    }

    /** Resets the machine's record to the new worker's first heartbeat, and requests a newer fencing token. */
    void handleRestart(Machine machine, Heartbeat heartbeat) {
        LOG.info(
                "worker restarted: machine={} epoch={} sequence={}",
                machine.id,
                heartbeat.epoch(),
                heartbeat.sequence());
        machine.recordNewestMessage(heartbeat, context.now());
        machine.epochFirstSeenAt = context.now();
        machine.lastHeartbeat = null;
        machine.images.clear();
        machine.unacknowledgedToken = election.fencingToken();
        machine.previousIncarnationToken = election.fencingToken();
        committer.requestTokenRotation();
        for (Placement placement : machine.placements.values()) {
            if (placement.launchSent) {
                placement.launchEpoch = heartbeat.epoch();
                placement.launchSequence = heartbeat.sequence();
            }
        }
        clusterState.requestReplan();
    }
}
