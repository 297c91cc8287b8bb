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
    /** What the peers should know at once is sent no more often than this. */
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

    /** Whether this node is configured with peers. */
    boolean hasPeers() {
        return !services.settings().seeds().isEmpty();
    }

    /** Sends this node's state, with these counts of jobs, if there are peers. */
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

    /** Sends this node's state now, or as soon as the interval since the last urgent message is over. */
    void publishUrgently() {
        if (!urgentPacer.postponeIfNotDue(this::publishUrgently)) {
            urgentPacer.recordRun();
            publish(List.of());
        }
    }
}
