package org.beechhoist.controller.leadership;

import java.util.Arrays;
import java.util.List;

/**
 * How the nodes share the state service's changes, and its requests alike. Each is sure of a part; what one does not want goes to those that
 * want more than their part, in proportion to the parts. All nodes work that out from what they told one another, so
 * they agree as far as that is fresh; a node that nothing is heard of is taken to want its part.
 */
public final class RequestShares {
    /** The leader's sure part; the other nodes' users have the rest in equal parts. */
    private static final double LEADER_SHARE = 0.55;
    /** How much of what nobody asked for a node may take at once, for bursts come before anybody has heard of them. */
    private static final double LEADER_SLACK_SHARE = 0.75;

    private static final double FOLLOWER_SLACK_SHARE = 0.5;

    /** What a node wants a second; below 0: not known. */
    public record Demand(boolean leading, double perSecond) {}

    private RequestShares() {}

    /** What users of one node may count on while a leader is busy. */
    public static double followerShare(double total, int nodes) {
        return (1 - LEADER_SHARE) * total / nodes;
    }

    /** @param total changes a second for all nodes together; {@code wants} of all nodes, the asking one first */
    public static double shareOfFirst(double total, List<Demand> wants) {
        int nodes = wants.size();
        double[] part = new double[nodes];
        double[] open = new double[nodes];
        double[] got = new double[nodes];
        long others = wants.stream().filter(w -> !w.leading).count();
        for (int i = 0; i < nodes; i++) {
            Demand want = wants.get(i);
            boolean led = others < nodes;
            part[i] = !led
                    ? total / nodes
                    : want.leading
                            ? (others == 0 ? total : LEADER_SHARE * total) / (nodes - others)
                            : (1 - LEADER_SHARE) * total / others;
            open[i] = want.perSecond < 0 ? part[i] : want.perSecond;
        }
        double left = total;
        // Rounds of filling up: each gives the unsatisfied their parts of what is left.
        for (int round = 0; round < nodes && left > 1e-9; round++) {
            double weights = 0;
            for (int i = 0; i < nodes; i++) {
                weights += open[i] > 1e-9 ? part[i] : 0;
            }
            if (weights <= 0) {
                break;
            }
            double given = 0;
            for (int i = 0; i < nodes; i++) {
                double more = open[i] > 1e-9 ? Math.min(open[i], left * part[i] / weights) : 0;
                got[i] += more;
                open[i] -= more;
                given += more;
            }
            left -= given;
        }
        return Math.max(
                Math.min(part[0], total),
                got[0]
                        + (wants.get(0).leading ? LEADER_SLACK_SHARE : FOLLOWER_SLACK_SHARE)
                                * Math.max(0, total - Arrays.stream(got).sum()));
    }
}
