package org.beechhoist.controller;

import java.util.List;
import org.beechhoist.controller.context.Pacer;
import org.beechhoist.controller.leadership.ControllerServices;
import org.beechhoist.controller.leadership.WorkerReachability;
import org.beechhoist.controller.state.CancellationRegistry;
import org.beechhoist.controller.worker.CancellationAcknowledgements;
import org.beechhoist.peer.JobCount;
import org.beechhoist.peer.PeerState;

/** Sends this node's state to the other controllers. */
final class PeerStatePublisher {
    /** The minimum interval between urgent messages. */
    private static final long URGENT_INTERVAL_MS = 20;

    private final ControllerServices services;
    private final NodeReadiness readiness;
    private final WorkerReachability workerReachability;
    private final RequestLimitDivider limits;
    private final CancellationRegistry cancellations;
    private final CancellationAcknowledgements acknowledgements;
    private final Pacer urgentPacer;

    PeerStatePublisher(
            ControllerServices services,
            NodeReadiness readiness,
            WorkerReachability workerReachability,
            RequestLimitDivider limits,
            CancellationRegistry cancellations,
            CancellationAcknowledgements acknowledgements) {
        this.services = services;
        this.readiness = readiness;
        this.workerReachability = workerReachability;
        this.limits = limits;
        this.cancellations = cancellations;
        this.acknowledgements = acknowledgements;
        this.urgentPacer = new Pacer(services.context(), URGENT_INTERVAL_MS);
    }

    /** Returns whether peers are configured for this node. */
    boolean hasPeers() {
        return !services.settings().seeds().isEmpty();
    }

    /** Sends this node's state with the given job counts, if there are peers. */
    void publish(List<JobCount> counts) {
        if (!hasPeers()) {
            return;
        }
        services.context()
                .publishToPeers(new PeerState(
                        services.settings().node(),
                        services.election().holdsLease(),
                        services.election().fencingToken(),
                        readiness.msSinceServed(),
                        readiness.isLoaded(),
                        workerReachability.recentHeartbeats(services.context().now()),
                        limits.writeDemand(),
                        limits.requestDemand(),
                        counts,
                        cancellations.cancellationsForPeers(),
                        acknowledgements.drainForPeers()));
    }

    /** Sends this node's state now, or when the minimum interval since the last urgent message has passed. */
    void publishUrgently() {
        if (!urgentPacer.postponeIfNotDue(this::publishUrgently)) {
            urgentPacer.recordRun();
            publish(List.of());
        }
    }
}
