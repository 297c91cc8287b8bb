package org.beechhoist.controller.worker;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.context.ServiceRequest;
import org.beechhoist.controller.leadership.ControllerServices;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.ServiceCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects failed machines by missing heartbeats. These prove nothing about the tasks; they only determine when the
 * machine is returned to the cloud. A machine with a late heartbeat is probed: one that answers is kept, one that does
 * not is returned sooner than one that was not probed.
 */
public final class FailureDetector {
    private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);
    /** The maximum number of probes in flight: each takes a socket, and probes of dead machines hang. */
    private static final int MAX_PROBES = 60;

    /** The timeout of a probe. */
    private static final long PROBE_TIMEOUT_MS = 2000;
    /** A heartbeat may arrive after this many intervals plus {@link #MAX_NETWORK_DELAY_MS}. */
    private static final double LATE_INTERVAL_FACTOR = 1.25;
    /** The time that the network may add to a heartbeat's delay. */
    private static final long MAX_NETWORK_DELAY_MS = 1500;
    /** This number of unanswered probes counts as a second missed heartbeat; no more are sent. */
    static final int MAX_UNANSWERED_PROBES = 2;
    /** The minimum number of suspect machines in a suspect zone. */
    private static final int MIN_SUSPECT_ZONE_MACHINES = 5;

    /** The counts of a zone's machines in the current check. */
    private static final class ZoneHealth {
        private int expectedMachines;
        private int suspectMachines;

        /**
         * Returns whether most are silent or unreachable: a network failure is more likely than failures of the
         * machines.
         */
        private boolean isSuspect() {
            return suspectMachines >= MIN_SUSPECT_ZONE_MACHINES && suspectMachines * 2 > expectedMachines;
        }
    }

    private final ControllerContext context;
    private final Settings settings;
    private final Policy policy;
    private final LeaderElection election;
    private final ClusterState clusterState;
    private final ColdStartRecovery coldStart;
    private final MachineLossTracker lossTracker;
    /** Called when a worker answers a probe with no newer message than was known before: the worker has restarted. */
    private final BiConsumer<Machine, Heartbeat> onRestart;

    private final Map<String, ZoneHealth> zones = new HashMap<>();
    private boolean mostMachinesSuspect;
    private int probesInFlight;

    /**
     * Creates the detector.
     *
     * @param onRestart called when a worker answers a probe with no newer message than was known before: the worker has
     *     restarted
     */
    public FailureDetector(
            ControllerServices services,
            Policy policy,
            ClusterState clusterState,
            ColdStartRecovery coldStart,
            MachineLossTracker lossTracker,
            BiConsumer<Machine, Heartbeat> onRestart) {
        this.context = services.context();
        this.settings = services.settings();
        this.election = services.election();
        this.policy = policy;
        this.clusterState = clusterState;
        this.coldStart = coldStart;
        this.lossTracker = lossTracker;
        this.onRestart = onRestart;
    }

    /** Resets the detector for a new term. */
    public void reset() {
        probesInFlight = 0;
    }

    /**
     * Returns the time without heartbeats after which a machine has failed: two missed heartbeats, but at least the
     * operators' setting.
     */
    public long heartbeatTimeoutMs() {
        return Math.max(
                policy.silentMs(),
                Math.round(2 * LATE_INTERVAL_FACTOR * settings.workers().reportS() * 1000) + 3000);
    }

    /** Returns the time after which a heartbeat is late. */
    private long heartbeatLateMs() {
        return Math.round(LATE_INTERVAL_FACTOR * settings.workers().reportS() * 1000) + MAX_NETWORK_DELAY_MS;
    }

    /** Counts the suspect machines of each zone, and probes those whose heartbeat is late. */
    public void checkMachines() {
        zones.clear();
        int expected = 0;
        int suspect = 0;
        List<Machine> probedEarly = new ArrayList<>();
        for (Machine machine : clusterState.machines()) {
            if (!isExpected(machine) || machine.releasing) {
                continue;
            }
            long silentMs = context.now().since(clusterState.lastContactAt(machine));
            if (!machine.confirmedPresent && !machine.listedRunning && machine.placements.isEmpty()) {
                probe(machine); // known only from a heartbeat, which may be a copy: not counted in a zone
                continue;
            }
            expected++;
            suspect += countInZone(machine, silentMs) ? 1 : 0;
            probeIfNeeded(machine, silentMs, probedEarly);
        }
        // Machines with the most urgent work are probed first, because it waits for the result.
        probedEarly.sort(Comparator.comparingInt(lossTracker::highestPriorityOrdinal));
        probedEarly.forEach(this::probe);
        mostMachinesSuspect = suspect > 2 && suspect * 2 > expected;
    }

    /** Counts the machine in its zone; returns whether it is suspect. */
    private boolean countInZone(Machine machine, long silentMs) {
        ZoneHealth zone = zones.computeIfAbsent(String.valueOf(machine.zone), k -> new ZoneHealth());
        zone.expectedMachines++;
        boolean isSuspect = silentMs > heartbeatLateMs() || machine.reachability.isUnreachable();
        zone.suspectMachines += isSuspect ? 1 : 0;
        return isSuspect;
    }

    private void probeIfNeeded(Machine machine, long silentMs, List<Machine> probedEarly) {
        if (machine.reachability.missed() > 0 && !machine.reachability.isUnreachable()) {
            // One lost message may be a network fault; probes now instead of waiting for a second one.
            probe(machine);
        }
        if (silentMs > heartbeatLateMs()) {
            probe(machine);
        } else if (coldStart.needsEarlyProbe(machine)) {
            probedEarly.add(machine);
        } else if (machine.lastHeartbeat != null) {
            machine.unansweredProbes = 0;
        }
    }

    /**
     * Returns whether the machine should report: also one that has not reported in this term, but holds tasks or is
     * listed as running.
     */
    private static boolean isExpected(Machine machine) {
        return machine.up || machine.listedRunning || !machine.placements.isEmpty();
    }

    /** Probes a machine whose worker may have restarted, also if earlier probes were not answered while it was down. */
    public void probeForRestart(Machine machine) {
        machine.unansweredProbes = Math.min(machine.unansweredProbes, MAX_UNANSWERED_PROBES - 1);
        probe(machine);
    }

    /** Requests a heartbeat from the machine, unless too many probes are in flight or unanswered. */
    private void probe(Machine machine) {
        if (machine.probeInFlight
                || probesInFlight >= MAX_PROBES
                || machine.unansweredProbes >= MAX_UNANSWERED_PROBES
                || machine.address == null
                || !coldStart.tryAcquireProbe(machine)) {
            return;
        }
        machine.probeInFlight = true;
        probesInFlight++;
        long epoch = machine.epoch;
        long sequence = machine.sequence;
        long term = clusterState.term();
        context.callBefore(
                election.leaseValidUntil(),
                new ServiceRequest(ServiceCalls.Target.HOST, machine.address, "GET", "/show", null, PROBE_TIMEOUT_MS),
                result -> {
                    if (term != clusterState.term()) {
                        return;
                    }
                    probesInFlight--;
                    coldStart.callFinished();
                    machine.probeInFlight = false;
                    handleProbeAnswer(machine, result, epoch, sequence);
                });
    }

    /**
     * Handles the response to a probe.
     *
     * @param epoch the epoch of the machine's newest message that was known when the probe was sent
     * @param sequence the sequence number of that message
     */
    private void handleProbeAnswer(Machine machine, CallResult result, long epoch, long sequence) {
        Heartbeat heartbeat = null;
        try {
            heartbeat = result.isOk() ? Heartbeat.parse(result.body()) : null;
        } catch (MalformedMessageException e) {
            LOG.debug("malformed heartbeat: machine={} cause=\"{}\"", machine.id, e.getMessage());
        }
        if (heartbeat == null || !heartbeat.machine().equals(machine.id)) { // another machine may have its address
            if (result.kind() != CallResult.Kind.NOT_SENT) {
                machine.unansweredProbes++;
                machine.recordUnansweredCall(context.now(), context.isLagging());
            }
            return;
        }
        machine.unansweredProbes = 0;
        machine.probeAnsweredAt = context.now();
        machine.recordAnswer(context.now());
        if (heartbeat.isNewerThan(machine.epoch, machine.sequence)) {
            machine.recordNewestMessage(heartbeat, context.now());
        } else if (machine.isRestartedBy(heartbeat, epoch, sequence)) {
            onRestart.accept(machine, heartbeat);
        }
    }

    /** Returns whether the machine is to be returned to the cloud because messages do not reach it. */
    public boolean shouldReleaseUnreachable(Machine machine) {
        return machine.reachability.shouldRelease(
                machine.countLaunched(false),
                machine.countLaunched(true),
                isNetworkSuspect(machine),
                settings.workers().leaseMs(),
                context.now());
    }

    /**
     * Returns whether a network failure, overall or in the machine's zone, is more likely than a failure of the
     * machine.
     */
    private boolean isNetworkSuspect(Machine machine) {
        ZoneHealth zone = zones.get(String.valueOf(machine.zone));
        return mostMachinesSuspect || zone != null && zone.isSuspect();
    }

    /** Returns whether the machine is to be returned to the cloud because its heartbeats are missing. */
    public boolean shouldReleaseSilent(Machine machine) {
        long silentMs = context.now().since(clusterState.lastContactAt(machine));
        if (context.now().isBefore(machine.probeGraceUntil)) {
            return false;
        }
        if (machine.reachability.isOneWayPartitioned()) {
            // It tries all nodes in turn, so its heartbeats arrive here less often.
            return silentMs > settings.workers().leaseMs();
        }
        if (isNetworkSuspect(machine)) {
            return silentMs > settings.workers().leaseMs();
        }
        if (silentMs <= Math.min(policy.silentMs(), heartbeatTimeoutMs())
                || context.now().since(machine.probeAnsweredAt) < heartbeatLateMs()) {
            return false;
        }
        return silentMs > heartbeatTimeoutMs() || machine.unansweredProbes >= MAX_UNANSWERED_PROBES;
    }
}
