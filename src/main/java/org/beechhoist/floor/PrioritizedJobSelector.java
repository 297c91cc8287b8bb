package org.beechhoist.floor;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.beechhoist.wire.JobId;

/**
 * Selects the waiting jobs that are prioritized so that at least half of the jobs of their class or team are served.
 * That happens only under overload, and for no more jobs than needed: if a group is below the minimum while another
 * of its kind is far above, the jobs of the group that are due first and can still finish in time are prioritized.
 */
public final class PrioritizedJobSelector {
    /** The minimum service share: the guaranteed half, plus a reserve for jobs in progress. */
    public static final double MINIMUM_SHARE = 0.6;
    /** Share that another group must have, because jobs are prioritized at the cost of others. */
    public static final double WELL_SERVED_SHARE = 0.7;
    /** Minimum number of due jobs of a group for its share to be considered. */
    static final int MIN_ASKED_COUNT = 4;

    /** The same for a size group. */
    static final int MIN_ASKED_COUNT_SIZE_GROUP = 2;
    /** Maximum number of prioritized jobs of one group at a time; the remaining machines are assigned by priority. */
    private static final int MAX_PRIORITIZED_COUNT = 8;
    /** The same for a size group, of which each job uses as much of the machines as many other jobs. */
    private static final int MAX_PRIORITIZED_COUNT_SIZE_GROUP = 4;

    /**
     * An open job whose time limit has not passed.
     *
     * @param prioritized whether it is already prioritized; it stays so, because its started tasks would otherwise
     *     be preempted by the jobs that it was placed before
     * @param endIfPrioritizedMs when it would finish if it were prioritized now
     * @param servedByMs the time by which it must finish to count as served
     */
    public record OpenJob(
            JobId job, Set<String> groups, boolean prioritized, long endIfPrioritizedMs, long servedByMs) {}

    private PrioritizedJobSelector() {}

    /**
     * Returns the prioritized jobs, including those that already are.
     *
     * @param shares the service share of each group; groups are named {@code kind:name}, and a group is compared
     *     with groups of its own kind only, or with classes if it is a size group
     */
    public static Set<JobId> select(Map<String, ServiceShare> shares, List<OpenJob> waiting) {
        Set<JobId> out = new HashSet<>();
        List<OpenJob> inTime = new ArrayList<>();
        for (OpenJob openJob : waiting) {
            if (openJob.prioritized) {
                out.add(openJob.job);
            } else if (openJob.endIfPrioritizedMs <= openJob.servedByMs) {
                inTime.add(openJob);
            }
        }
        inTime.sort(Comparator.comparingLong(OpenJob::servedByMs).thenComparing(OpenJob::job));
        shares.forEach((group, share) -> {
            if (share.asked() < (LargestJobGroups.isSizeGroup(group) ? MIN_ASKED_COUNT_SIZE_GROUP : MIN_ASKED_COUNT)
                    || share.fraction() >= MINIMUM_SHARE
                    || !isOtherGroupWellServed(group, shares)) {
                return;
            }
            long already = waiting.stream()
                    .filter(job -> job.prioritized && job.groups.contains(group))
                    .count();
            long left = Math.min(
                            LargestJobGroups.isSizeGroup(group)
                                    ? MAX_PRIORITIZED_COUNT_SIZE_GROUP
                                    : MAX_PRIORITIZED_COUNT,
                            neededJobs(share))
                    - already;
            for (OpenJob openJob : inTime) {
                if (left > 0 && openJob.groups.contains(group)) {
                    out.add(openJob.job);
                    left--;
                }
            }
        });
        return out;
    }

    private static boolean isOtherGroupWellServed(String group, Map<String, ServiceShare> shares) {
        String kind = LargestJobGroups.isSizeGroup(group) ? "class:" : group.substring(0, group.indexOf(':') + 1);
        return shares.entrySet().stream()
                .anyMatch(entry -> entry.getKey().startsWith(kind)
                        && !entry.getKey().equals(group)
                        && entry.getValue().asked() >= MIN_ASKED_COUNT
                        && entry.getValue().fraction() >= WELL_SERVED_SHARE);
    }

    /** Returns how many more served jobs bring the group back to the minimum, at least one. */
    static int neededJobs(ServiceShare share) {
        return Math.max(1, (int) Math.ceil((MINIMUM_SHARE * share.asked() - share.served()) / (1 - MINIMUM_SHARE)));
    }
}
