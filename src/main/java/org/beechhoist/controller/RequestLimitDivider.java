package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.leadership.PeerDirectory;
import org.beechhoist.controller.leadership.RequestShares;
import org.beechhoist.peer.PeerState;

/**
 * Divides the state service's request limits among the nodes, and sets the rates of this node's token buckets to its
 * share.
 */
final class RequestLimitDivider {
    /** The fraction of a node's demand that is assumed to persist a second later. */
    private static final double DEMAND_DECAY = 0.7;
    /**
     * The minimum number of writes that a node may send at once after an idle period, because submissions arrive in
     * bursts.
     */
    private static final double MIN_WRITE_BURST = 8;

    private static final double MIN_REQUEST_BURST = 1;
    /** The fraction of the limits that is divided among the nodes. */
    private static final double DIVIDED_FRACTION = 0.9;
    /**
     * The fraction of a full write bucket below which a leader's own users may use no more of it than the users of any
     * other node.
     */
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

    /**
     * Updates the demand from the tokens requested since the last call and the pending writes; called once a second.
     */
    void updateDemand(int pendingWrites) {
        writeDemand = Math.max(DEMAND_DECAY * writeDemand, access.writeTokens().drainDemand() + pendingWrites);
        requestDemand =
                Math.max(DEMAND_DECAY * requestDemand, access.requestTokens().drainDemand());
    }

    /** Returns whether the tokens for writes are too few for both the leader and its users. */
    boolean isShortOfWrites() {
        return access.writeTokens().available(access.context().now())
                < MIN_SPARE_WRITE_FRACTION * access.writeTokens().capacity();
    }

    /** Returns whether the last division gave this node a leader's share. */
    boolean hasLeaderShare() {
        return hasLeaderShare;
    }

    /** Returns the writes that this node needs per second. */
    double writeDemand() {
        return writeDemand;
    }

    /** Returns the requests that this node needs per second. */
    double requestDemand() {
        return requestDemand;
    }
}
