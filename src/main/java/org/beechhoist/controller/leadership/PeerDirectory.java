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
 * What the other controllers last said of themselves. These are hints: they make a redirect quicker and tell an
 * outage that all nodes share from one that this node has alone. No right to command follows from them.
 */
public final class PeerDirectory {
    private static final long FRESH_MS = 5000;
    private static final long STORE_ANSWER_MS = 2500;

    private record LastMessage(PeerState state, MonotonicTime at) {}

    private final Set<String> seeds;
    private final Map<String, LastMessage> lastMessages = new HashMap<>();

    public PeerDirectory(Set<String> seeds) {
        this.seeds = seeds;
    }

    public void lastMessages(PeerState state, MonotonicTime now) {
        if (seeds.contains(state.node())) {
            lastMessages.put(state.node(), new LastMessage(state, now));
        }
    }

    private boolean isFresh(LastMessage message, MonotonicTime now) {
        return now.since(message.at) < FRESH_MS;
    }

    /** Whether every other node has been heard since this one began: they are of a version that speaks as this one does. */
    public boolean hasHeardAll() {
        return lastMessages.size() == seeds.size();
    }

    /** What each of the others wants of the state service's changes, or of all requests; not known where nothing was heard lately. */
    public List<RequestShares.Demand> demands(MonotonicTime now, ToDoubleFunction<PeerState> of) {
        List<RequestShares.Demand> out = new ArrayList<>();
        for (String node : seeds) {
            LastMessage message = lastMessages.get(node);
            boolean fresh = message != null && isFresh(message, now);
            out.add(new RequestShares.Demand(
                    fresh && message.state.leading(), fresh ? of.applyAsDouble(message.state) : -1));
        }
        return out;
    }

    /** How many workers' reports have lately reached each of the others that is heard of. */
    public List<Integer> heartbeatsAtPeers(MonotonicTime now) {
        List<Integer> out = new ArrayList<>();
        for (LastMessage message : lastMessages.values()) {
            if (isFresh(message, now)) {
                out.add(message.state.heartbeatsReceived());
            }
        }
        return out;
    }

    /** Who says that it leads, or null; of two the one with the newer fencing token. */
    public String leader(MonotonicTime now) {
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

    /** Whether there are others, and none has been heard for so long. */
    public boolean allSilentFor(MonotonicTime now, long forMs) {
        return !seeds.isEmpty() && lastMessages.values().stream().allMatch(h -> now.since(h.at) > forMs);
    }

    /** Whether the state service serves some other node that users can turn to. */
    public boolean isServedElsewhere(MonotonicTime now) {
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
