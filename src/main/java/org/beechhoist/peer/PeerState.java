package org.beechhoist.peer;

import java.util.List;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.JobId;

/**
 * The state that a controller sends to its peers.
 *
 * @param msSinceStoreAnswer the time in ms since the state service last served this node
 * @param heartbeatsReceived the number of worker heartbeats within one heartbeat interval, whether served or refused
 * @param writeDemand the state service writes per second that this node would make without its write limit
 * @param requestDemand the state service requests per second that this node would make without its request limit
 * @param jobCounts the task counts of open jobs, sent by a leader
 * @param cancelledJobs the jobs whose cancellation is committed and was confirmed by this node, sent until all their tasks
 *     must have ended
 * @param acknowledgedCancellations the cancelled jobs of which no task can start any more, sent by a leader once per job
 */
public record PeerState(
        String node,
        boolean leading,
        FencingToken fencingToken,
        long msSinceStoreAnswer,
        boolean ready,
        int heartbeatsReceived,
        double writeDemand,
        double requestDemand,
        List<JobCount> jobCounts,
        List<CancelledJob> cancelledJobs,
        List<JobId> acknowledgedCancellations) {}
