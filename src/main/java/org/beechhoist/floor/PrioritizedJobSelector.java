package org.beechhoist.floor;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.beechhoist.wire.JobId;

/**
 * Selects the waiting jobs that are prioritized so that their class or team is served at least its half. That happens only under
 * overload, and only for as many jobs as it takes: if a group is below the minimum while another of its kind is far above, the jobs of
 * it that are due first and can still be over in time are prioritized.
 */
public final class PrioritizedJobSelector {
    /** The minimum service share: the half that must be kept, and some for what is under way. */
    public static final double MINIMUM_SHARE = 0.6;
    /** Another group must have at least this share, since jobs are prioritized at the cost of others. */
    public static final double WELL_SERVED_SHARE = 0.7;
    /** A group of which fewer jobs were asked is not judged. */
    static final int MIN_ASKED_COUNT = 4;

    /** The same for a group of size. */
    static final int MIN_ASKED_COUNT_SIZE_GROUP = 2;
    /** The most prioritized jobs of one group at a time; the other machines go by priority. */
    private static final int MAX_PRIORITIZED = 8;
    /** The same for a group of size, each job of which takes as much of the machines as many others. */
    private static final int MAX_PRIORITIZED_OF_SIZE = 4;

    /**
     * An open job whose time is not up.
     *
     * @param prioritized whether it is prioritized already; it stays so, or what it began would be stopped again for those that it
     *     went before
     * @param endIfPrioritizedMs when it would be over if it went first now
     * @param servedByMs by when it must be over to count as served
     */
    public record OpenJob(
            JobId job, Set<String> groups, boolean prioritized, long endIfPrioritizedMs, long servedByMs) {}

    private PrioritizedJobSelector() {}

    /**
     * Returns the prioritized jobs, those that are so already included.
     *
     * @param shares what was asked and served of each group; groups are named {@code kind:name}, and only groups of one kind are
     *     compared with one another, and groups of size with classes
     */
    public static Set<JobId> select(Map<String, ServiceShare> shares, List<OpenJob> waiting) {
        Set<JobId> out = new HashSet<>();
        List<OpenJob> inTime = new ArrayList<>();
        for (OpenJob claim : waiting) {
            if (claim.prioritized) {
                out.add(claim.job);
            } else if (claim.endIfPrioritizedMs <= claim.servedByMs) {
                inTime.add(claim);
            }
        }
        inTime.sort(Comparator.comparingLong(OpenJob::servedByMs).thenComparing(OpenJob::job));
        shares.forEach((group, share) -> {
            if (share.asked() < (LargestJobGroups.isSizeGroup(group) ? MIN_ASKED_COUNT_SIZE_GROUP : MIN_ASKED_COUNT)
                    || share.fraction() >= MINIMUM_SHARE
                    || !anotherFarAbove(group, shares)) {
                return;
            }
            long already = waiting.stream()
                    .filter(job -> job.prioritized && job.groups.contains(group))
                    .count();
            long left = Math.min(
                            LargestJobGroups.isSizeGroup(group) ? MAX_PRIORITIZED_OF_SIZE : MAX_PRIORITIZED,
                            neededJobs(share))
                    - already;
            for (OpenJob claim : inTime) {
                if (left > 0 && claim.groups.contains(group)) {
                    out.add(claim.job);
                    left--;
                }
            }
        });
        return out;
    }

    private static boolean anotherFarAbove(String group, Map<String, ServiceShare> shares) {
        String kind = LargestJobGroups.isSizeGroup(group) ? "class:" : group.substring(0, group.indexOf(':') + 1);
        return shares.entrySet().stream()
                .anyMatch(entry -> entry.getKey().startsWith(kind)
                        && !entry.getKey().equals(group)
                        && entry.getValue().asked() >= MIN_ASKED_COUNT
                        && entry.getValue().fraction() >= WELL_SERVED_SHARE);
    }

    /** Returns how many more jobs in time would bring the group back to the minimum, at least one. */
    static int neededJobs(ServiceShare share) {
        return Math.max(1, (int) Math.ceil((MINIMUM_SHARE * share.asked() - share.served()) / (1 - MINIMUM_SHARE)));
    }
}
