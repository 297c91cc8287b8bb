package org.beechhoist.controller;

import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.PeerDirectory;
import org.beechhoist.controller.state.MachineTypeCatalog;

/** Whether this node can serve users: from the state service's answers and the peers' messages. */
final class NodeReadiness {
    /** The election's watch and lease make the state service answer more often than this. */
    private static final long STORE_TIMEOUT_MS = 6000;
    /** Nothing heard of the state service in {@link #MIN_UNANSWERED_CALL_COUNT} calls, nor of the peers, who send once a second. */
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

    /** Whether the node has loaded what it needs to judge submissions. */
    boolean isLoaded() {
        return machineTypes.isLoaded() && stateService.hasEverServed();
    }

    /** For how long the state service has not served this node. */
    long msSinceServed() {
        return stateService.msSinceServed();
    }

    /**
     * Whether the node can judge and store submissions. A node that alone is refused by the state service is not ready, so that
     * users go to those that are served; in an outage that all nodes share, leaving would help nobody and cost a growing pause.
     */
    boolean isReady() {
        boolean refusedAlone =
                stateService.msSinceServed() > STORE_TIMEOUT_MS && peers.isAnotherNodeServing(context.now());
        return isLoaded() && !refusedAlone && !isIsolated();
    }

    /**
     * Whether neither the state service nor any peer reaches this node any more. An outage is answered, by 503, and peers are heard
     * in it; a filter between nodes leaves the state service. Users are answered so at once, workers are sent on.
     */
    boolean isIsolated() {
        long quietMs = stateService.msSinceAnswered();
        boolean silent = quietMs > STORE_TIMEOUT_MS
                || stateService.consecutiveUnansweredCalls() >= MIN_UNANSWERED_CALL_COUNT
                        && quietMs > ISOLATION_TIMEOUT_MS;
        return stateService.hasEverServed() && silent && peers.hasNoMessageWithin(context.now(), ISOLATION_TIMEOUT_MS);
    }
}
