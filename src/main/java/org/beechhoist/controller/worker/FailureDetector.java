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
 * Whether a machine that is not heard is to be given up. Silence proves nothing about its tasks, it only decides when the
 * cloud is asked to end it. A report that is late is asked for: a machine that answers is left alone, one that does not
 * is given up sooner than one that nobody asked.
 */
public final class FailureDetector {
    private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);
    /** Questions on their way at once: each takes a socket, and those to dead machines hang. */
    private static final int MAX_PROBES = 60;

    private static final long PROBE_TIMEOUT_MS = 2000;
    /** A report may be late by a quarter, and some for the way. */
    private static final double LATE_FACTOR = 1.25;

    private static final long NETWORK_MS = 1500;
    /** Unanswered questions that count as much as a second missed report. */
    static final int PROBE_LIMIT = 2;

    private static final int MIN_ZONE_MACHINES = 5;

    /** What is known of a zone's machines in this turn. */
    private static final class ZoneHealth {
        private int up;
        private int suspect;

        /** Most are silent, or don't hear: more likely the network than the machines. */
        private boolean suspect() {
            return suspect >= MIN_ZONE_MACHINES && suspect * 2 > up;
        }
    }

    private final ControllerContext context;
    private final Settings settings;
    private final Policy policy;
    private final LeaderElection election;
    private final ClusterState clusterState;
    private final ColdStartRecovery coldStart;
    private final LossRecovery lossRecovery;
    /** A worker is asked and says less than it has said before. */
    private final BiConsumer<Machine, Heartbeat> onRestart;

    private final Map<String, ZoneHealth> zones = new HashMap<>();
    private boolean mostMachinesSuspect;
    private int probesInFlight;

    public FailureDetector(
            ControllerServices services,
            Policy policy,
            ClusterState clusterState,
            ColdStartRecovery coldStart,
            LossRecovery lossRecovery,
            BiConsumer<Machine, Heartbeat> onRestart) {
        this.context = services.context();
        this.settings = services.settings();
        this.election = services.election();
        this.policy = policy;
        this.clusterState = clusterState;
        this.coldStart = coldStart;
        this.lossRecovery = lossRecovery;
        this.onRestart = onRestart;
    }

    /** A new leadership begins. */
    public void reset() {
        probesInFlight = 0;
    }

    /** Machines that miss two reports; never less than the operator's setting. */
    public long silenceLimitMs() {
        return Math.max(
                policy.silentMs(),
                Math.round(2 * LATE_FACTOR * settings.workers().reportS() * 1000) + 3000);
    }

    private long heartbeatLateMs() {
        return Math.round(LATE_FACTOR * settings.workers().reportS() * 1000) + NETWORK_MS;
    }

    /** Counts the silent ones, and asks those whose report is late. */
    public void check() {
        zones.clear();
        int up = 0;
        int silent = 0;
        List<Machine> early = new ArrayList<>();
        for (Machine machine : clusterState.machines()) {
            if (!isExpected(machine) || machine.releasing) {
                continue;
            }
            long quiet = context.now().since(clusterState.lastHeardOf(machine));
            if (!machine.confirmedPresent && !machine.listedRunning && machine.placements.isEmpty()) {
                probe(machine); // nothing but a report tells of it, which may be a copy: it counts for no zone
                continue;
            }
            ZoneHealth zone = zones.computeIfAbsent(String.valueOf(machine.zone), k -> new ZoneHealth());
            up++;
            zone.up++;
            boolean dark = quiet > heartbeatLateMs() || machine.reachability.isUnreachable();
            zone.suspect += dark ? 1 : 0;
            silent += dark ? 1 : 0;
            if (machine.reachability.missed() > 0 && !machine.reachability.isUnreachable()) {
                probe(machine); // one lost message may be the way's fault; a second is not waited for
            }
            if (quiet > heartbeatLateMs()) {
                probe(machine);
            } else if (coldStart.probesEarly(machine)) {
                early.add(machine);
            } else if (machine.lastHeartbeat != null) {
                machine.unansweredProbes = 0;
            }
        }
        early.sort(Comparator.comparingInt(
                lossRecovery::highestPriority)); // machines whose urgent work would wait for the answer
        early.forEach(this::probe);
        mostMachinesSuspect = silent > 2 && silent * 2 > up;
    }

    /** Machines that should report: also those that never did to this leadership, but hold tasks or are listed as running. */
    private static boolean isExpected(Machine machine) {
        return machine.up || machine.listedRunning || !machine.placements.isEmpty();
    }

    private void probe(Machine machine) {
        if (machine.probeInFlight
                || probesInFlight >= MAX_PROBES
                || machine.unansweredProbes >= PROBE_LIMIT
                || machine.address == null
                || !coldStart.mayProbe(machine)) {
            return;
        }
        machine.probeInFlight = true;
        probesInFlight++;
        long epoch = machine.epoch;
        long counter = machine.sequence;
        long term = clusterState.term();
        context.callBefore(
                election.leaseValidUntil(),
                ServiceCalls.Target.HOST,
                machine.address,
                "GET",
                "/show",
                null,
                PROBE_TIMEOUT_MS,
                result -> {
                    if (term != clusterState.term()) {
                        return;
                    }
                    probesInFlight--;
                    coldStart.callFinished();
                    machine.probeInFlight = false;
                    handleProbeAnswer(machine, result, epoch, counter);
                });
    }

    /** @param epoch the newest message known when the question was sent, and {@code counter} */
    private void handleProbeAnswer(Machine machine, CallResult result, long epoch, long counter) {
        Heartbeat heartbeat = null;
        try {
            heartbeat = result.isOk() ? Heartbeat.parse(result.body()) : null;
        } catch (MalformedMessageException e) {
            LOG.debug("{}: strange report: {}", machine.id, e.getMessage());
        }
        if (heartbeat == null || !heartbeat.machine().equals(machine.id)) { // another machine may have its address
            if (result.kind() != CallResult.Kind.NOT_SENT) {
                machine.unansweredProbes++;
                machine.recordMissedCall(context.now(), context.isLagging());
            }
            return;
        }
        machine.unansweredProbes = 0;
        machine.probeAnsweredAt = context.now();
        machine.recordAnswer(context.now());
        if (heartbeat.isNewerThan(machine.epoch, machine.sequence)) {
            machine.recordNewest(heartbeat, context.now());
        } else if (!heartbeat.isNewerThan(epoch, counter)) {
            onRestart.accept(machine, heartbeat);
        }
    }

    /** Whether a machine that does not hear is to be returned for that. */
    public boolean isUnreachable(Machine machine) {
        ZoneHealth zone = zones.get(String.valueOf(machine.zone));
        return machine.reachability.shouldRelease(
                machine.countLaunched(false),
                machine.countLaunched(true),
                mostMachinesSuspect || zone != null && zone.suspect(),
                settings.workers().leaseMs(),
                context.now());
    }

    /** Whether the machine is to be returned for its silence. */
    public boolean isGone(Machine machine) {
        long quiet = context.now().since(clusterState.lastHeardOf(machine));
        ZoneHealth zone = zones.get(String.valueOf(machine.zone));
        if (context.now().isBefore(machine.probeGraceUntil)) {
            return false;
        }
        if (machine.reachability.isOneWay()) {
            return quiet > settings.workers().leaseMs(); // it goes round all nodes, and is heard here the less for that
        }
        if (mostMachinesSuspect || (zone != null && zone.suspect())) {
            return quiet > settings.workers().leaseMs();
        }
        if (quiet <= Math.min(policy.silentMs(), silenceLimitMs())
                || context.now().since(machine.probeAnsweredAt) < heartbeatLateMs()) {
            return false;
        }
        return quiet > silenceLimitMs() || machine.unansweredProbes >= PROBE_LIMIT;
    }
}
