package org.beechhoist.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.ControllerServices;
import org.beechhoist.controller.leadership.PeerDirectory;
import org.beechhoist.controller.leadership.WorkerReachability;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.MalformedMessageException;

/** Handles the requests that only the leader answers: heartbeats and operator views. Other nodes redirect them. */
final class LeaderRequests {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_LEADER = 421;

    private final ControllerServices services;
    private final ControllerContext context;
    private final Leader leader;
    private final PeerDirectory peers;
    private final WorkerReachability workerReachability;

    LeaderRequests(
            ControllerServices services, Leader leader, PeerDirectory peers, WorkerReachability workerReachability) {
        this.services = services;
        this.context = services.context();
        this.leader = leader;
        this.peers = peers;
        this.workerReachability = workerReachability;
    }

    /**
     * Answers an operator view. The view of the cold start is available to a lease holder even before all open jobs
     * are loaded.
     */
    void answerView(long id, String path) {
        boolean available =
                path.equals(RequestRouter.COLD_START_VIEW) ? services.election().holdsLease() : leader.isActive();
        if (!available) {
            redirect(id);
            return;
        }
        context.respond(id, OK, viewOf(path));
    }

    private ObjectNode viewOf(String path) {
        long nowMs = context.now().ms();
        return switch (path) {
            case RequestRouter.PLAN_VIEW -> OperatorViews.plan(leader, nowMs);
            case RequestRouter.MACHINES_VIEW -> OperatorViews.machines(leader, nowMs);
            case RequestRouter.LOSS_RECOVERY_VIEW -> leader.lossTracker().view();
            case RequestRouter.COLD_START_VIEW -> leader.coldStartRecovery().view();
            case RequestRouter.SERVICE_SHARE_VIEW ->
                leader.serviceShare().map(MinimumServiceShare::view).orElseGet(Codec::map);
            default -> OperatorViews.teams(leader, services.settings());
        };
    }

    /** Handles a worker's heartbeat. It counts as a heartbeat that reached this node, whether the node leads or not. */
    void handleHeartbeat(long id, byte[] body) {
        Heartbeat heartbeat;
        try {
            heartbeat = Heartbeat.parse(Codec.decodeMap(body));
        } catch (MalformedMessageException e) {
            context.respond(id, BAD_REQUEST, Codec.map().put("error", e.getMessage()));
            return;
        }
        workerReachability.recordHeartbeat(context.now());
        if (services.election().holdsLease()) {
            leader.handleHeartbeat(id, heartbeat);
            return;
        }
        redirect(id);
    }

    /** Answers that this node does not lead, with the address of the leader if it is known. */
    private void redirect(long id) {
        ObjectNode answer = Codec.map();
        String address = peers.reportedLeader(context.now());
        if (address == null) {
            address = services.election().otherLeader();
        }
        if (address != null) {
            answer.put("foreman", address);
        }
        context.respond(id, NOT_LEADER, answer);
    }
}
