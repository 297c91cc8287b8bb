package org.beechhoist.controller;

import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.PeerDirectory;
import org.beechhoist.controller.state.MachineTypeCatalog;

/** Decides from the state service's answers and the peers' messages whether this node can serve users. */
final class NodeReadiness {
    /**
     * The time without an answer after which the state service counts as not answering. The watch and lease of the
     * election make it answer more often than this.
     */
    private static final long STORE_TIMEOUT_MS = 6000;
    /**
     * A node is isolated if for this long the state service has not answered {@link #MIN_UNANSWERED_CALL_COUNT} calls
     * and no peer has sent a message; peers send one every second.
     */
    private static final long ISOLATION_TIMEOUT_MS = 3000;

    private static final int MIN_UNANSWERED_CALL_COUNT = 2;

    private final ControllerContext context;
    private final StateServiceMonitor stateService;
    private final MachineTypeCatalog machineTypes;
    private final PeerDirectory peers;

    NodeReadiness(
            ControllerContext context,
            StateServiceMonitor stateService,
            MachineTypeCatalog machineTypes,
            PeerDirectory peers) {
        this.context = context;
        this.stateService = stateService;
        this.machineTypes = machineTypes;
        this.peers = peers;
    }

    /** Returns whether the node has loaded what it needs to check submissions. */
    boolean isLoaded() {
        return machineTypes.isLoaded() && stateService.hasEverServed();
    }

    /** Returns the time since the state service last answered this node other than by a server error, in ms. */
    long msSinceServed() {
        return stateService.msSinceServed();
    }

    /**
     * Returns whether the node can check and store submissions. A node that is the only one refused by the state
     * service is not ready, so that users move to nodes that are served. During an outage that affects all nodes a
     * node stays ready: leaving would not help users, and would delay them by growing pauses.
     */
    boolean isReady() {
        boolean refusedAlone =
                stateService.msSinceServed() > STORE_TIMEOUT_MS && peers.isAnotherNodeServing(context.now());
        return isLoaded() && !refusedAlone && !isIsolated();
    }

    /**
     * Returns whether neither the state service nor any peer reaches this node. In an outage of the state service
     * calls are still answered, by 503, and messages of peers arrive; a packet filter between nodes does not block the
     * state service. An isolated node refuses users at once and redirects workers.
     */
    boolean isIsolated() {
        long unansweredMs = stateService.msSinceAnswered();
        boolean unanswered = unansweredMs > STORE_TIMEOUT_MS
                || stateService.consecutiveUnansweredCalls() >= MIN_UNANSWERED_CALL_COUNT
                        && unansweredMs > ISOLATION_TIMEOUT_MS;
        return stateService.hasEverServed()
                && unanswered
                && peers.hasNoMessageWithin(context.now(), ISOLATION_TIMEOUT_MS);
    }
}
