package org.beechhoist.controller.leadership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.beechhoist.peer.PeerState;
import org.beechhoist.wire.MonotonicTime;

/**
 * What the other controllers last reported about themselves. These are hints: they make a redirect quicker and distinguish an
 * outage that all nodes share from one that affects this node alone. They give no right to command workers.
 */
public final class PeerDirectory {
    private static final long FRESH_MS = 5000;
    private static final long STORE_ANSWER_MS = 2500;

    private record LastMessage(PeerState state, MonotonicTime at) {}

    private final Set<String> seeds;
    private final Map<String, LastMessage> lastMessages = new HashMap<>();

    /** Creates a directory of the other controllers' names {@code seeds}, of which nothing has been heard yet. */
    public PeerDirectory(Set<String> seeds) {
        this.seeds = seeds;
    }

    /** Records a message of another controller; one of an unknown name is ignored. */
    public void recordMessage(PeerState state, MonotonicTime now) {
        if (seeds.contains(state.node())) {
            lastMessages.put(state.node(), new LastMessage(state, now));
        }
    }

    private boolean isFresh(LastMessage message, MonotonicTime now) {
        return now.since(message.at) < FRESH_MS;
    }

    /** Whether every other node has sent a message since this one started: all run a version that sends these messages. */
    public boolean hasMessageFromEachPeer() {
        return lastMessages.size() == seeds.size();
    }

    /**
     * What each of the others demands of one of the state service's limits; unknown where nothing was heard of it lately.
     *
     * @param demand which one: that for changes, or that for all requests
     */
    public List<RequestShares.Demand> peerDemands(MonotonicTime now, ToDoubleFunction<PeerState> demand) {
        List<RequestShares.Demand> out = new ArrayList<>();
        for (String node : seeds) {
            LastMessage message = lastMessages.get(node);
            boolean fresh = message != null && isFresh(message, now);
            out.add(new RequestShares.Demand(
                    fresh && message.state.leading(), fresh ? demand.applyAsDouble(message.state) : -1));
        }
        return out;
    }

    /** How many heartbeats have lately reached each of the other nodes that have been heard of lately. */
    public List<Integer> peerHeartbeatCounts(MonotonicTime now) {
        List<Integer> out = new ArrayList<>();
        for (LastMessage message : lastMessages.values()) {
            if (isFresh(message, now)) {
                out.add(message.state.heartbeatsReceived());
            }
        }
        return out;
    }

    /** The node that reports to lead, or null; of several the one with the newest fencing token. */
    public String reportedLeader(MonotonicTime now) {
        PeerState best = null;
        for (LastMessage message : lastMessages.values()) {
            if (isFresh(message, now)
                    && message.state.leading()
                    && (best == null || message.state.fencingToken().compareTo(best.fencingToken()) > 0)) {
                best = message.state;
            }
        }
        return best == null ? null : best.node();
    }

    /** Whether there are other nodes and none has been heard of for {@code forMs} milliseconds. */
    public boolean hasNoMessageWithin(MonotonicTime now, long forMs) {
        return !seeds.isEmpty() && lastMessages.values().stream().allMatch(m -> now.since(m.at) > forMs);
    }

    /** Whether the state service answers some other node that is ready to serve users. */
    public boolean isAnotherNodeServing(MonotonicTime now) {
        for (LastMessage message : lastMessages.values()) {
            if (isFresh(message, now)
                    && message.state.ready()
                    && message.state.msSinceStoreAnswer() < STORE_ANSWER_MS) {
                return true;
            }
        }
        return false;
    }
}
