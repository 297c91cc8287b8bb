package org.beechhoist.peer;

import java.util.List;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.JobId;

/**
 * What a controller tells the others of itself.
 *
 * @param storeAnswersMs since the state service last served it
 * @param reportsHeard from workers, in the time in which each of them sends one, whether answered or turned away
 * @param writesWanted changes a second that it would make if it might
 * @param requestsWanted requests to it a second, likewise
 * @param counts of open jobs, from a leader
 * @param cancelled jobs whose cancellation is committed and was confirmed there, until all of them must be gone
 * @param acknowledged cancelled jobs no task of which can start any more, from a leader; each is told once
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
