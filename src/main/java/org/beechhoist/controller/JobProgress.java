package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.controller.context.BoundedCollections;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.peer.JobCount;
import org.beechhoist.peer.PeerState;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MonotonicTime;

/**
 * Task counts of open jobs as published by the leader. Records are written rarely, so the counts shown to users come from here; they
 * are never used for a final state. A node without a recent message from the leader shows the counts of the record.
 */
final class JobProgress {
    /** The maximum number of changed counts in one message; unchanged ones follow in turn, for nodes that have just started. */
    private static final int MAX_CHANGED_COUNT = 300;

    private static final int MAX_REPEATED_COUNT = 60;
    private static final int MAX_STORED_COUNT = 10_000;
    private static final long MAX_COUNT_AGE_MS = 12_000;

    private final Map<JobId, JobCount> receivedCounts = BoundedCollections.leastRecentlyUsedMap(MAX_STORED_COUNT);
    private FencingToken fencingToken = FencingToken.NONE;
    private MonotonicTime receivedAt = MonotonicTime.ZERO;
    /** The counts that this node last published as leader, the least recently published first. */
    private final Map<JobId, JobCount> publishedCounts = new LinkedHashMap<>();

    /** Takes over the counts that a peer publishes as leader, unless a leader with a newer fencing token is known. */
    void updateFromLeader(PeerState state, MonotonicTime now) {
        if (state.leading() && state.fencingToken().compareTo(fencingToken) >= 0) {
            fencingToken = state.fencingToken();
            receivedAt = now;
            state.jobCounts().forEach(c -> receivedCounts.put(c.job(), c));
        }
    }

    /** Returns the counts of an open job, or null if no recent ones are known. */
    JobCount latestCount(JobId jobId, MonotonicTime now) {
        return receivedAt != MonotonicTime.ZERO && now.since(receivedAt) < MAX_COUNT_AGE_MS
                ? receivedCounts.get(jobId)
                : null;
    }

    /** Returns the counts that the leader publishes now. */
    List<JobCount> countsToPublish(ClusterState clusterState) {
        List<JobCount> out = new ArrayList<>();
        for (Job job : clusterState.jobs()) {
            JobCount current = count(job);
            if (out.size() < MAX_CHANGED_COUNT && !current.equals(publishedCounts.get(job.id()))) {
                publishedCounts.remove(job.id());
                publishedCounts.put(job.id(), current); // moved to the end, so that the others are published in turn
                out.add(current);
            }
        }
        Iterator<JobCount> iterator = publishedCounts.values().iterator();
        List<JobCount> repeated = new ArrayList<>();
        while (iterator.hasNext() && repeated.size() < MAX_REPEATED_COUNT) {
            JobCount jobCount = iterator.next();
            if (clusterState.job(jobCount.job()) == null) {
                iterator.remove();
            } else if (!out.contains(jobCount)) {
                repeated.add(jobCount);
            }
        }
        repeated.forEach(jobCount -> {
            publishedCounts.remove(jobCount.job());
            publishedCounts.put(jobCount.job(), jobCount);
        });
        out.addAll(repeated);
        return out;
    }

    /** Returns the counts of done and of committed live tasks. */
    static JobCount count(Job job) {
        return new JobCount(job.id(), job.record.done.size(), (int)
                job.record.live.values().stream().filter(p -> p.committed).count());
    }

    /** Forgets the published counts when the term ends. */
    void clearPublished() {
        publishedCounts.clear();
    }
}
