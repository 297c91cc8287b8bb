package org.beechhoist.controller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.beechhoist.plan.RandomSearch;
import org.beechhoist.wire.JobId;

/**
 * A candidate of the plan search: the order of jobs without an open objective, and the widths of elastic jobs. The plan itself
 * chooses the widths that are not in {@code fixedWidths}.
 *
 * @param maxWidths the maximum width of each elastic job
 */
record SearchCandidate(
        List<JobId> jobOrder, List<JobId> elastic, Map<JobId, Integer> maxWidths, Map<JobId, Integer> fixedWidths) {
    static final SearchCandidate NONE = new SearchCandidate(List.of(), List.of(), Map.of(), Map.of());

    /** Returns whether the candidate can be changed: it has at least two ordered jobs or an elastic job. */
    boolean hasMoves() {
        return jobOrder.size() >= 2 || !elastic.isEmpty();
    }

    /** Returns the candidate with all widths left to the plan. */
    SearchCandidate withoutFixedWidths() {
        return new SearchCandidate(jobOrder, elastic, maxWidths, Map.of());
    }

    /** Returns a copy in which a random job has a random position, or a random elastic job has a random width. */
    SearchCandidate randomNeighbor(SplittableRandom random) {
        int movableJobs = jobOrder.size() < 2 ? 0 : jobOrder.size();
        int index = random.nextInt(movableJobs + elastic.size());
        if (index < movableJobs) {
            return new SearchCandidate(
                    RandomSearch.withRandomPosition(jobOrder, index, random), elastic, maxWidths, fixedWidths);
        }
        JobId job = elastic.get(index - movableJobs);
        Map<JobId, Integer> widths = new HashMap<>(fixedWidths);
        widths.put(job, random.nextInt(maxWidths.get(job) + 1));
        return new SearchCandidate(jobOrder, elastic, maxWidths, widths);
    }
}
