package org.beechhoist.controller;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.ControllerServices;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.TransactionCommitter;
import org.beechhoist.controller.worker.CommandDispatcher;
import org.beechhoist.controller.worker.HeartbeatHandler;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.MachineId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles a machine that restarted under the same name, with a worker that has no state.
 *
 * <p>The answer to a call has shown that its worker reports less than before, so the tasks of the previous incarnation
 * are gone. Commands for that incarnation may still be in flight and would be executed by the new one. The worker is
 * sent the current token at once, with which it refuses the launches of attempts that have a successor, and then a newer
 * one, with which it refuses all that were sent before. A task that it does not report counts as gone only once it has
 * seen the newer one.
 */
final class WorkerRestartHandler {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerRestartHandler.class);

    private final ControllerContext context;
    private final LeaderElection election;
    private final ClusterState clusterState;
    private final TransactionCommitter committer;
    private final CommandDispatcher dispatcher;
    private final HeartbeatHandler heartbeatHandler;
    /** The restarted workers that are to be sent the next token. */
    private final Set<MachineId> awaitingToken = new LinkedHashSet<>();

    WorkerRestartHandler(
            ControllerServices services,
            ClusterState clusterState,
            TransactionCommitter committer,
            CommandDispatcher dispatcher,
            HeartbeatHandler heartbeatHandler) {
        this.context = services.context();
        this.election = services.election();
        this.clusterState = clusterState;
        this.committer = committer;
        this.dispatcher = dispatcher;
        this.heartbeatHandler = heartbeatHandler;
    }

    /**
     * Resets the machine's record to the new worker's first heartbeat, sends it the current fencing token, and requests a newer
     * one.
     */
    void handleRestart(Machine machine, Heartbeat heartbeat) {
        LOG.info(
                "worker restarted: machine={} epoch={} sequence={}",
                machine.id,
                Long.toUnsignedString(heartbeat.epoch()),
                Long.toUnsignedString(heartbeat.sequence()));
        machine.recordNewestMessage(heartbeat, context.now());
        machine.epochFirstSeenAt = context.now();
        machine.lastHeartbeat = null;
        machine.images.clear();
        machine.unacknowledgedToken = election.fencingToken();
        machine.previousIncarnationToken = election.fencingToken();
        committer.requestUrgentTokenRotation();
        awaitingToken.add(machine.id);
        for (Placement placement : machine.placements.values()) {
            if (placement.launchSent) {
                placement.launchEpoch = heartbeat.epoch();
                placement.launchSequence = heartbeat.sequence();
            }
        }
        dispatcher.sendToken(machine, heartbeatHandler.killsOfUnplaced(machine, heartbeat));
        clusterState.requestReplan();
    }

    /** Sends the token to the workers that have restarted since the last one; a lost message is made up for by their heartbeats. */
    void sendRotatedToken() {
        for (MachineId id : awaitingToken) {
            Machine machine = clusterState.findMachine(id);
            if (machine != null) {
                dispatcher.sendToken(machine, List.of());
            }
        }
        awaitingToken.clear();
    }

    /** Forgets the restarts of the term before. */
    void reset() {
        awaitingToken.clear();
    }
}
