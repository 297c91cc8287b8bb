package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.leadership.PeerDirectory;
import org.beechhoist.controller.leadership.RequestShares;
import org.beechhoist.peer.PeerState;

/** Divides the state service's request limits among the nodes, and sets this node's token buckets to its share. */
final class RequestLimitDivider {
    /** How much of a node's demand of a second ago is taken to persist. */
    private static final double DEMAND_DECAY = 0.7;
    /** Submissions come in bursts: what a node may write at once after a quiet period. */
    private static final double MIN_WRITE_BURST = 8;

    private static final double MIN_REQUEST_BURST = 1;
    /** How much of the limits is divided. */
    private static final double DIVIDED_FRACTION = 0.9;
    /** With less of a full bucket a leader's own users may take no more of it than those of any other node. */
    private static final double MIN_SPARE_WRITE_FRACTION = 0.75;

    private final StateServiceAccess access;
    private final PeerDirectory peers;
    private double writeDemand;
    private double requestDemand;
    private boolean hasLeaderShare;

    RequestLimitDivider(StateServiceAccess access, PeerDirectory peers) {
        this.access = access;
        this.peers = peers;
    }

    /** Sets the rates of this node's token buckets to its share. */
    void divide(boolean asLeader) {
        hasLeaderShare = asLeader;
        Settings.State limits = access.settings().stateLimits();
        access.writeTokens().setRate(shareOf(limits.writeRps(), writeDemand, PeerState::writeDemand), MIN_WRITE_BURST);
        access.requestTokens()
                .setRate(shareOf(limits.rps(), requestDemand, PeerState::requestDemand), MIN_REQUEST_BURST);
    }

    private double shareOf(double limit, double ownDemand, ToDoubleFunction<PeerState> peerDemand) {
        List<RequestShares.Demand> demands =
                new ArrayList<>(List.of(new RequestShares.Demand(hasLeaderShare, ownDemand)));
        demands.addAll(peers.peerDemands(access.context().now(), peerDemand));
        return RequestShares.rateOfFirstNode(DIVIDED_FRACTION * limit, demands);
    }

    /** Once a second: takes up what was asked for since, and what waits to be written. */
    void updateDemand(int pendingWrites) {
        writeDemand = Math.max(DEMAND_DECAY * writeDemand, access.writeTokens().drainDemand() + pendingWrites);
        requestDemand =
                Math.max(DEMAND_DECAY * requestDemand, access.requestTokens().drainDemand());
    }

    /** Whether the tokens for writes do not suffice for everybody. */
    boolean isShortOfWrites() {
        return access.writeTokens().available(access.context().now())
                < MIN_SPARE_WRITE_FRACTION * access.writeTokens().capacity();
    }

    /** Whether the last division gave this node a leader's share. */
    boolean hasLeaderShare() {
        return hasLeaderShare;
    }

    /** What this node wants to write a second. */
    double writeDemand() {
        return writeDemand;
    }

    /** What this node wants to request a second. */
    double requestDemand() {
        return requestDemand;
    }
}
