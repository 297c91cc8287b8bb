package org.beechhoist.floor;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.beechhoist.wire.JobId;

/**
 * Which waiting jobs go first so that their class or team keeps its half. Only under overload, and only as many as it takes:
 * where a group is below the floor while another of its kind is far above, the first of its jobs that can still be over in
 * time are lifted.
 */
public final class Floor {
    /** Below this a group is behind: the half that must be kept, and some for what is under way. */
    public static final double BEHIND = 0.6;
    /** Only at the cost of groups that are above this. */
    public static final double FAR_ABOVE = 0.7;
    /** Fewer jobs say nothing of a group. */
    static final int LEAST_ASKED = 4;

    static final int LEAST_LARGEST = 2;
    /** Of one group at a time: the rest of the room stays with whoever has it by urgency. */
    private static final int MOST_LIFTED = 8;
    /** The same of a class's largest, each of which takes as much room as many others. */
    private static final int MOST_LARGEST = 4;

    /**
     * An open job whose time is not up.
     *
     * @param lifted already: it stays so, or what it began would be stopped again for those it went before
     * @param endsIfFirstMs when it would be over if it came first now
     * @param limitMs by when it counts as served
     */
    public record Waiting(JobId job, Set<String> groups, boolean lifted, long endsIfFirstMs, long limitMs) {}

    private Floor() {}

    /** Groups are named {@code kind:name}; only groups of one kind are held against one another, and a class's largest against classes. */
    public static Set<JobId> lifted(Map<String, Share> shares, List<Waiting> waiting) {
        Set<JobId> out = new HashSet<>();
        List<Waiting> inTime = new ArrayList<>();
        for (Waiting claim : waiting) {
            if (claim.lifted) {
                out.add(claim.job);
            } else if (claim.endsIfFirstMs <= claim.limitMs) {
                inTime.add(claim);
            }
        }
        inTime.sort(Comparator.comparingLong(Waiting::limitMs).thenComparing(Waiting::job));
        shares.forEach((group, share) -> {
            if (share.asked() < (Largest.ofSize(group) ? LEAST_LARGEST : LEAST_ASKED)
                    || share.value() >= BEHIND
                    || !anotherFarAbove(group, shares)) {
                return;
            }
            long under = waiting.stream()
                    .filter(w -> w.lifted && w.groups.contains(group))
                    .count();
            long left = Math.min(Largest.ofSize(group) ? MOST_LARGEST : MOST_LIFTED, needed(share)) - under;
            for (Waiting claim : inTime) {
                if (left > 0 && claim.groups.contains(group)) {
                    out.add(claim.job);
                    left--;
                }
            }
        });
        return out;
    }

    private static boolean anotherFarAbove(String group, Map<String, Share> shares) {
        String kind = Largest.ofSize(group) ? "class:" : group.substring(0, group.indexOf(':') + 1);
        return shares.entrySet().stream()
                .anyMatch(entry -> entry.getKey().startsWith(kind)
                        && !entry.getKey().equals(group)
                        && entry.getValue().asked() >= LEAST_ASKED
                        && entry.getValue().value() >= FAR_ABOVE);
    }

    /** So many more jobs in time would bring the group back to the floor. */
    static int needed(Share share) {
        return Math.max(1, (int) Math.ceil((BEHIND * share.asked() - share.served()) / (1 - BEHIND)));
    }
}
