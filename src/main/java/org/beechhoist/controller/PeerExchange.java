package org.beechhoist.controller;

import java.util.List;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.PeerDirectory;
import org.beechhoist.controller.state.CancellationRegistry;
import org.beechhoist.controller.worker.CancellationAcknowledgements;
import org.beechhoist.peer.CancelledJob;
import org.beechhoist.peer.PeerState;
import org.beechhoist.wire.JobId;

/** Exchanges job counts, cancellations and acknowledgements of cancellations with the other controllers. */
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

    /** Sends this node's state, with the changed job counts if it leads; called once a second. */
    void publishPeriodically() {
        publisher.publish(leader.isActive() ? progress.countsToPublish(leader.clusterState()) : List.of());
    }

    /** Handles the state that another controller has sent. */
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
     * Handles a committed cancellation that is about to be confirmed to a user of this node. The leader must learn of
     * it even if the state service is unavailable.
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
     * Handles a cancellation that some node is about to confirm: a leader ends the job's tasks, and acknowledges the
     * cancellation once no task can start any more.
     */
    private void enforceCancellation(JobId jobId, long committedWallMs, boolean isNew) {
        if (isNew) {
            leader.jobCancelled(jobId);
        }
        if (leader.isActive()) {
            acknowledgements.register(jobId, committedWallMs);
        }
    }

    /** Acknowledges the cancellations of jobs none of whose tasks can start any more. */
    void acknowledgeCancellations() {
        if (!acknowledgements.acknowledgeReady(leader::noTaskCanStart)) {
            return;
        }
        if (publisher.hasPeers()) {
            publisher.publishUrgently();
        } else {
            acknowledgements.drainForPeers(); // no peer waits for them
        }
    }
}
