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
 * How far open jobs are, by the leader's word. Records are written seldom, so that the counts that users see come from
 * here: for display, never for a final state. A node that has not heard the leader lately shows what the record says.
 */
final class JobProgress {
    /** Counts told in one message: those that changed, then others in turn, for nodes that have just started. */
    private static final int MOST_TOLD = 300;

    private static final int MOST_OTHERS = 60;
    private static final int REMEMBERED = 10_000;
    private static final long FRESH_MS = 12_000;

    private final Map<JobId, JobCount> heard = BoundedCollections.leastRecentlyUsedMap(REMEMBERED);
    private FencingToken fencingToken = FencingToken.NONE;
    private MonotonicTime heardAt = MonotonicTime.ZERO;
    /** What this node, leading, told last. */
    private final Map<JobId, JobCount> told = new LinkedHashMap<>();

    void updateFromLeader(PeerState state, MonotonicTime now) {
        if (state.leading() && state.fencingToken().compareTo(fencingToken) >= 0) {
            fencingToken = state.fencingToken();
            heardAt = now;
            state.jobCounts().forEach(c -> heard.put(c.job(), c));
        }
    }

    /** The counts of an open job, or null where they are not known. */
    JobCount latestCount(JobId jobId, MonotonicTime now) {
        return heardAt != MonotonicTime.ZERO && now.since(heardAt) < FRESH_MS ? heard.get(jobId) : null;
    }

    /** What a leader tells the others now. */
    List<JobCount> countsToPublish(ClusterState clusterState) {
        List<JobCount> out = new ArrayList<>();
        for (Job job : clusterState.jobs()) {
            JobCount now = count(job);
            if (out.size() < MOST_TOLD && !now.equals(told.get(job.id()))) {
                told.remove(job.id());
                told.put(job.id(), now); // last again: the others are told in turn
                out.add(now);
            }
        }
        Iterator<JobCount> all = told.values().iterator();
        List<JobCount> again = new ArrayList<>();
        while (all.hasNext() && again.size() < MOST_OTHERS) {
            JobCount jobCount = all.next();
            if (clusterState.job(jobCount.job()) == null) {
                all.remove();
            } else if (!out.contains(jobCount)) {
                again.add(jobCount);
            }
        }
        again.forEach(jobCount -> {
            told.remove(jobCount.job());
            told.put(jobCount.job(), jobCount);
        });
        out.addAll(again);
        return out;
    }

    static JobCount count(Job job) {
        return new JobCount(job.id(), job.record.done.size(), (int)
                job.record.live.values().stream().filter(p -> p.committed).count());
    }

    /** Leadership has ended. */
    void clearPublished() {
        told.clear();
    }
}
