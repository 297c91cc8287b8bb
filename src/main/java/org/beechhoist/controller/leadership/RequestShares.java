package org.beechhoist.controller.leadership;

import java.util.Arrays;
import java.util.List;

/**
 * Divides the state service's limit of changes per second, and likewise that of requests, among the nodes. Each node
 * has a guaranteed share; what it does not demand goes to the nodes that demand more than theirs, in proportion to the
 * shares. All nodes compute this from the demands that they have exchanged, so they agree as far as these are recent; a
 * node without a recent message is assumed to demand its share.
 */
public final class RequestShares {
    /** The leader's guaranteed share of the limit; the other nodes' users have the remainder in equal shares. */
    private static final double LEADER_SHARE = 0.55;
    /**
     * The share of the undemanded rate that a node may use immediately, because a burst begins before the other nodes
     * know of it.
     */
    private static final double LEADER_SLACK_SHARE = 0.75;

    private static final double FOLLOWER_SLACK_SHARE = 0.5;

    /** Rates below this count as zero. */
    private static final double NEGLIGIBLE_RATE = 1e-9;

    /**
     * A node's demand.
     *
     * @param leading whether the node leads
     * @param ratePerS the rate that it could use; below 0: not known
     */
    public record Demand(boolean leading, double ratePerS) {}

    private RequestShares() {}

    /** Returns the rate that is guaranteed to the users of one node while the leader is busy. */
    public static double guaranteedFollowerRate(double total, int nodes) {
        return (1 - LEADER_SHARE) * total / nodes;
    }

    /**
     * Computes the rate that the first of all nodes may use.
     *
     * @param total the rate that all nodes together may use, a second
     * @param demands the demands of all nodes, the requesting node's first
     */
    public static double rateOfFirstNode(double total, List<Demand> demands) {
        double[] part = guaranteedParts(total, demands);
        double[] got = distribute(total, part, demands);
        double slackShare = demands.get(0).leading ? LEADER_SLACK_SHARE : FOLLOWER_SLACK_SHARE;
        double slack = Math.max(0, total - Arrays.stream(got).sum());
        return Math.max(Math.min(part[0], total), got[0] + slackShare * slack);
    }

    /** Returns the guaranteed rate of each node: equal rates if no node leads. */
    private static double[] guaranteedParts(double total, List<Demand> demands) {
        int nodes = demands.size();
        long followers = demands.stream().filter(w -> !w.leading).count();
        double[] part = new double[nodes];
        for (int i = 0; i < nodes; i++) {
            if (followers == nodes) {
                part[i] = total / nodes;
            } else if (demands.get(i).leading) {
                part[i] = (followers == 0 ? total : LEADER_SHARE * total) / (nodes - followers);
            } else {
                part[i] = (1 - LEADER_SHARE) * total / followers;
            }
        }
        return part;
    }

    /**
     * Returns the rate that each node receives of its demand. Each round divides the remaining rate among the
     * unsatisfied nodes in proportion to their guaranteed rates.
     */
    private static double[] distribute(double total, double[] part, List<Demand> demands) {
        int nodes = demands.size();
        double[] open = new double[nodes];
        double[] got = new double[nodes];
        for (int i = 0; i < nodes; i++) {
            double demand = demands.get(i).ratePerS;
            open[i] = demand < 0 ? part[i] : demand;
        }
        double left = total;
        for (int round = 0; round < nodes && left > NEGLIGIBLE_RATE; round++) {
            double weights = 0;
            for (int i = 0; i < nodes; i++) {
                weights += open[i] > NEGLIGIBLE_RATE ? part[i] : 0;
            }
            if (weights <= 0) {
                break;
            }
            double given = 0;
            for (int i = 0; i < nodes; i++) {
                double more = open[i] > NEGLIGIBLE_RATE ? Math.min(open[i], left * part[i] / weights) : 0;
                got[i] += more;
                open[i] -= more;
                given += more;
            }
            left -= given;
        }
        return got;
    }
}
