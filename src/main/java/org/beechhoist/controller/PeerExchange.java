package org.beechhoist.controller;

import java.util.List;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.PeerDirectory;
import org.beechhoist.controller.state.CancellationRegistry;
import org.beechhoist.controller.worker.CancellationAcknowledgements;
import org.beechhoist.peer.CancelledJob;
import org.beechhoist.peer.PeerState;
import org.beechhoist.wire.JobId;

/** Exchanges with the other controllers: counts of jobs, cancellations, and acknowledgements of cancellations. */
final class PeerExchange {
    private final ControllerContext context;
    private final PeerStatePublisher publisher;
    private final PeerDirectory peers;
    private final JobProgress progress;
    private final CancellationRegistry cancellations;
    private final CancellationAcknowledgements acknowledgements;
    private final Leader leader;

    PeerExchange(
            ControllerContext context,
            PeerStatePublisher publisher,
            PeerDirectory peers,
            JobProgress progress,
            CancellationRegistry cancellations,
            CancellationAcknowledgements acknowledgements,
            Leader leader) {
        this.context = context;
        this.publisher = publisher;
        this.peers = peers;
        this.progress = progress;
        this.cancellations = cancellations;
        this.acknowledgements = acknowledgements;
        this.leader = leader;
    }

    /** Once a second: sends this node's state, and the counts of jobs that have changed if it leads. */
    void publishPeriodically() {
        publisher.publish(leader.isActive() ? progress.countsToPublish(leader.clusterState()) : List.of());
    }

    /** Takes up what another controller said of itself. */
    void receive(PeerState state) {
        peers.recordMessage(state, context.now());
        progress.updateFromLeader(state, context.now());
        for (CancelledJob cancelled : state.cancelledJobs()) {
            boolean isNew = cancellations.record(cancelled.job(), cancelled.wallMs());
            enforceCancellation(cancelled.job(), cancelled.wallMs(), isNew);
        }
        state.acknowledgedCancellations().forEach(acknowledgements::acknowledgementReceived);
        acknowledgeCancellations();
    }

    /**
     * A cancellation is committed, and a user of this node is about to have it confirmed: whoever leads is to know of it, with or
     * without the state service.
     */
    void cancellationConfirmed(JobId jobId, long committedWallMs) {
        cancellations.recordConfirmed(jobId, committedWallMs);
        boolean isNew = cancellations.record(jobId, committedWallMs);
        enforceCancellation(jobId, committedWallMs, isNew);
        if (isNew) {
            publisher.publishUrgently();
        }
    }

    /**
     * Some node is about to confirm a cancellation: if this one leads, it ends the job's tasks and acknowledges once none can start
     * any more.
     */
    private void enforceCancellation(JobId jobId, long committedWallMs, boolean isNew) {
        if (isNew) {
            leader.jobCancelled(jobId);
        }
        if (leader.isActive()) {
            acknowledgements.register(jobId, committedWallMs);
        }
    }

    /** Acknowledges the cancellations of jobs of which no task can start any more. */
    void acknowledgeCancellations() {
        if (!acknowledgements.acknowledgeReady(leader::noTaskCanStart)) {
            return;
        }
        if (publisher.hasPeers()) {
            publisher.publishUrgently();
        } else {
            acknowledgements.drainForPeers(); // nobody else waits for them
        }
    }
}
