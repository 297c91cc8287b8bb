package org.beechhoist.controller.leadership;

import java.util.Arrays;
import java.util.List;

/**
 * How the nodes divide the state service's limit of changes a second, and likewise that of requests. Each node is guaranteed a
 * part; what one does not demand goes to those that demand more than their part, in proportion to the parts. All nodes
 * compute this from the demands that they have sent one another, so they agree as far as these are fresh; a node of which
 * nothing is heard is taken to demand its part.
 */
public final class RequestShares {
    /** The leader's guaranteed part; the other nodes' users have the remainder in equal parts. */
    private static final double LEADER_SHARE = 0.55;
    /** How much of what nobody demands a node may use at once, for a burst begins before the other nodes have heard of it. */
    private static final double LEADER_SLACK_SHARE = 0.75;

    private static final double FOLLOWER_SLACK_SHARE = 0.5;

    /** Rates below this count as nothing. */
    private static final double NEGLIGIBLE = 1e-9;

    /**
     * A node's demand.
     *
     * @param leading whether the node leads
     * @param ratePerS the rate that it could use; below 0: not known
     */
    public record Demand(boolean leading, double ratePerS) {}

    private RequestShares() {}

    /** The rate that is guaranteed to the users of one node while the leader is busy. */
    public static double guaranteedFollowerRate(double total, int nodes) {
        return (1 - LEADER_SHARE) * total / nodes;
    }

    /**
     * Computes the rate that the first of all nodes may use.
     *
     * @param total the rate that all nodes together may use, a second
     * @param wants the demands of all nodes, that of the asking node first
     */
    public static double rateOfFirstNode(double total, List<Demand> wants) {
        double[] part = guaranteedParts(total, wants);
        double[] got = distribute(total, part, wants);
        double slackShare = wants.get(0).leading ? LEADER_SLACK_SHARE : FOLLOWER_SLACK_SHARE;
        double slack = Math.max(0, total - Arrays.stream(got).sum());
        return Math.max(Math.min(part[0], total), got[0] + slackShare * slack);
    }

    /** The part that each node is guaranteed: equal parts where nobody leads. */
    private static double[] guaranteedParts(double total, List<Demand> wants) {
        int nodes = wants.size();
        long followers = wants.stream().filter(w -> !w.leading).count();
        double[] part = new double[nodes];
        for (int i = 0; i < nodes; i++) {
            if (followers == nodes) {
                part[i] = total / nodes;
            } else if (wants.get(i).leading) {
                part[i] = (followers == 0 ? total : LEADER_SHARE * total) / (nodes - followers);
            } else {
                part[i] = (1 - LEADER_SHARE) * total / followers;
            }
        }
        return part;
    }

    /** What each node gets of its demand, in rounds: each round divides what is left among the unsatisfied by their parts. */
    private static double[] distribute(double total, double[] part, List<Demand> wants) {
        int nodes = wants.size();
        double[] open = new double[nodes];
        double[] got = new double[nodes];
        for (int i = 0; i < nodes; i++) {
            double demand = wants.get(i).ratePerS;
            open[i] = demand < 0 ? part[i] : demand;
        }
        double left = total;
        for (int round = 0; round < nodes && left > NEGLIGIBLE; round++) {
            double weights = 0;
            for (int i = 0; i < nodes; i++) {
                weights += open[i] > NEGLIGIBLE ? part[i] : 0;
            }
            if (weights <= 0) {
                break;
            }
            double given = 0;
            for (int i = 0; i < nodes; i++) {
                double more = open[i] > NEGLIGIBLE ? Math.min(open[i], left * part[i] / weights) : 0;
                got[i] += more;
                open[i] -= more;
                given += more;
            }
            left -= given;
        }
        return got;
    }
}
