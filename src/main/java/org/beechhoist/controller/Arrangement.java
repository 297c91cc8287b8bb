package org.beechhoist.controller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.beechhoist.plan.RandomSearch;
import org.beechhoist.wire.JobId;

/**
 * What the search moves: the order of jobs that no objective speaks for, and the widths of elastic ones. A width that
 * is not {@code fixed} is weighed by the plan itself.
 *
 * @param widest the elastic jobs and how wide each may be
 */
record Arrangement(List<JobId> order, List<JobId> elastic, Map<JobId, Integer> widest, Map<JobId, Integer> fixed) {
    static final Arrangement NONE = new Arrangement(List.of(), List.of(), Map.of(), Map.of());

    /** Whether there is anything to move. */
    boolean movable() {
        return order.size() >= 2 || !elastic.isEmpty();
    }

    Arrangement unfixed() {
        return new Arrangement(order, elastic, widest, Map.of());
    }

    /** A random job to a random place, or a random elastic job to a random width. */
    Arrangement moved(SplittableRandom random) {
        int places = order.size() < 2 ? 0 : order.size();
        int index = random.nextInt(places + elastic.size());
        if (index < places) {
            return new Arrangement(RandomSearch.withRandomPosition(order, index, random), elastic, widest, fixed);
        }
        JobId job = elastic.get(index - places);
        Map<JobId, Integer> widths = new HashMap<>(fixed);
        widths.put(job, random.nextInt(widest.get(job) + 1));
        return new Arrangement(order, elastic, widest, widths);
    }
}
