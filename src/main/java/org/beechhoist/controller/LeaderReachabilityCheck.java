package org.beechhoist.controller;

import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.leadership.PeerDirectory;
import org.beechhoist.controller.leadership.WorkerReachability;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Gives up the leadership when workers can no longer reach this node or no longer receive its messages. */
final class LeaderReachabilityCheck {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderReachabilityCheck.class);
    /** The time after stepping down during which this node does not campaign, so that other nodes can win. */
    private static final long STEP_DOWN_PERIOD_MS = 30_000;
    /** The additional time after a term's first reporting window before the check relies on missing heartbeats. */
    private static final long FIRST_HEARTBEATS_GRACE_MS = 4000;

    private final ControllerContext context;
    private final Settings settings;
    private final ClusterState clusterState;
    private final LeaderElection election;
    private final PeerDirectory peers;

    LeaderReachabilityCheck(
            ControllerContext context,
            Settings settings,
            ClusterState clusterState,
            LeaderElection election,
            PeerDirectory peers) {
        this.context = context;
        this.settings = settings;
        this.clusterState = clusterState;
        this.election = election;
        this.peers = peers;
    }

    /**
     * Gives up the leadership if workers do not reach this node or do not receive its messages; returns whether it
     * did.
     */
    boolean stepDownIfUnreachable() {
        long window = WorkerReachability.heartbeatWindowMs(
                Math.round(1000 * settings.workers().reportS()));
        if (context.now().since(clusterState.termStartedAt()) < window + FIRST_HEARTBEATS_GRACE_MS) {
            return false;
        }
        MachineCounts counts = countMachines(window);
        if (WorkerReachability.cannotReachWorkers(counts.expected(), counts.oneWayPartitioned())) {
            LOG.warn(
                    "leader stepping down: oneWayPartitioned={} machines={} cause=\"machines send heartbeats but do not receive calls\"",
                    counts.oneWayPartitioned(),
                    counts.expected());
            election.stepDown("messages of this node do not reach workers", STEP_DOWN_PERIOD_MS);
            return true;
        }
        if (!WorkerReachability.isUnreachableFromWorkers(
                counts.expected(), counts.reporting(), peers.peerHeartbeatCounts(context.now()))) {
            return false;
        }
        LOG.warn(
                "leader stepping down: reporting={} machines={} cause=\"heartbeats do not reach this node\"",
                counts.reporting(),
                counts.expected());
        election.stepDown("workers cannot reach this node", STEP_DOWN_PERIOD_MS);
        return true;
    }

    private MachineCounts countMachines(long windowMs) {
        int expected = 0;
        int reporting = 0;
        int oneWayPartitioned = 0;
        for (Machine machine : clusterState.machines()) {
            if (!isExpectedToReport(machine)) {
                continue;
            }
            expected++;
            if (machine.lastContactAt != null && context.now().since(machine.lastContactAt) < windowMs) {
                reporting++;
            }
            if (machine.reachability.isOneWayPartitioned()) {
                oneWayPartitioned++;
            }
        }
        return new MachineCounts(expected, reporting, oneWayPartitioned);
    }

    private static boolean isExpectedToReport(Machine machine) {
        return machine.isTypeKnown()
                && machine.confirmedPresent
                && !machine.releasing
                && (machine.up || machine.listedRunning);
    }

    /**
     * The numbers of machines by reachability.
     *
     * @param expected machines that should send heartbeats
     * @param reporting those of them that did so within the reporting window
     * @param oneWayPartitioned those of them that send heartbeats while messages to them are lost
     */
    private record MachineCounts(int expected, int reporting, int oneWayPartitioned) {}
}
