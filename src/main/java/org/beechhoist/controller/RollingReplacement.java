package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.beechhoist.controller.context.BoundedCollections;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.worker.FaultTracker;
import org.beechhoist.controller.worker.MachineLossTracker;
import org.beechhoist.drain.Drain;
import org.beechhoist.drain.Progress;
import org.beechhoist.drain.ReplacementSteps;
import org.beechhoist.floor.ServiceShare;
import org.beechhoist.plan.Plan;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.MachineId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rolling replacements: rents new machines in reserve, chooses the old machines to drain next, and pauses a replacement when the cluster's
 * health is poor.
 */
final class RollingReplacement {
    private static final Logger LOG = LoggerFactory.getLogger(RollingReplacement.class);
    private static final long LOSS_WINDOW_MS = 60_000;
    /** Classes and teams with fewer requested tasks are ignored: their share says nothing about the guaranteed minimum of one half. */
    private static final int MIN_REQUESTED_TASKS = 6;
    /** Machines that may boot at once as migration targets for tasks of drained machines. */
    private static final int MAX_BOOTING_SPARES = 20;

    private final ControllerContext context;
    private final ClusterState clusterState;
    private final Provisioner provisioner;
    private final FaultTracker faultTracker;
    private final JobOrdering ordering;
    private final MachineLossTracker lossTracker;
    private final Supplier<Map<String, ServiceShare>> serviceShares;
    /** Requested new machines whose rental is not confirmed yet, by drain. */
    private final Map<String, Integer> pendingSpareRequests = new HashMap<>();

    /** Spare machines that have been up at least once. */
    private final Set<MachineId> sparesSeenUp = BoundedCollections.insertionOrderedSet(1000);

    RollingReplacement(
            ControllerContext context,
            ClusterState clusterState,
            Provisioner provisioner,
            FaultTracker faultTracker,
            JobOrdering ordering,
            MachineLossTracker lossTracker,
            Supplier<Map<String, ServiceShare>> serviceShares) {
        this.context = context;
        this.clusterState = clusterState;
        this.provisioner = provisioner;
        this.faultTracker = faultTracker;
        this.ordering = ordering;
        this.lossTracker = lossTracker;
        this.serviceShares = serviceShares;
    }

    void startTerm() {
        pendingSpareRequests.clear();
        sparesSeenUp.clear();
    }

    /** Updates a replacement; returns true if its progress has changed and must be written. */
    boolean updateReplacement(Drain drain, Progress progress, List<Machine> machines, boolean active, Planner planner) {
        boolean changed = false;
        List<ReplacementSteps.PendingMachine> waiting = new ArrayList<>();
        Map<String, Integer> kinds = new HashMap<>();
        Map<String, Integer> drainingByZone = new HashMap<>();
        for (Machine machine : machines) {
            if (progress.draining.containsKey(machine.id)) {
                drainingByZone.merge(String.valueOf(machine.zone), 1, Integer::sum);
            } else if (machine.cordonedBy == null) {
                waiting.add(new ReplacementSteps.PendingMachine(
                        machine.id, String.valueOf(machine.zone), lostCpuS(machine), machine.placements.size()));
                kinds.merge(machineKind(machine), 1, Integer::sum);
            }
        }
        if (progress.canaryGoneMs == 0 && progress.gone >= drain.limits().canary()) {
            progress.canaryGoneMs = context.wallMs();
            changed = true;
        }
        String pauseReason = ReplacementSteps.pauseReason(health(progress, planner.currentPlan()));
        if (pauseReason != null) {
            if (progress.pauseReason == null) {
                LOG.warn("drain paused automatically: drain={} reason={}", drain.name(), pauseReason);
                progress.pauseCount++;
                changed = true;
            }
            progress.pauseReason = pauseReason;
            progress.pausedAtMs = context.wallMs();
        } else if (progress.pauseReason != null
                && context.wallMs() - progress.pausedAtMs
                        >= 1000 * drain.limits().holdS()) {
            LOG.info("drain resumed automatically: drain={} formerReason={}", drain.name(), progress.pauseReason);
            progress.pauseReason = null;
            progress.sparesRequested = progress.spares.size();
            progress.sparesFailed = 0;
            changed = true;
        }
        if (!active || progress.pauseReason != null) {
            return changed;
        }
        requestSpares(
                drain,
                progress,
                Math.min(drain.limits().spare(), waiting.size() + progress.draining.size()) - progress.spares.size(),
                kinds);
        int sparesUp = (int) progress.spares.keySet().stream()
                .map(clusterState::findMachine)
                .filter(m -> m != null && m.up && m.confirmedPresent && !m.isLeaving())
                .count();
        List<MachineId> next = ReplacementSteps.nextMachines(
                drain.limits(),
                new ReplacementSteps.ReplacementState(
                        waiting, drainingByZone, progress.gone, progress.canaryGoneMs, sparesUp),
                context.wallMs());
        if (!next.isEmpty()) {
            LOG.info(
                    "replacement step started: drain={} step={} machines={} draining={} gone={} waiting={}",
                    drain.name(),
                    ++progress.steps,
                    next.size(),
                    progress.draining.size() + next.size(),
                    progress.gone,
                    waiting.size() - next.size());
            next.forEach(m -> progress.draining.put(m, context.wallMs()));
            changed = true;
        }
        return changed;
    }

    private double lostCpuS(Machine machine) {
        double sum = 0;
        for (Placement placement : machine.placements.values()) {
            Job job = clusterState.job(placement.task.job());
            sum += job == null ? 0 : DisruptionAccounting.lostCpuS(job.spec(), placement, context.now());
        }
        return sum;
    }

    private ReplacementSteps.Health health(Progress progress, Plan plan) {
        int faultySpares = (int) progress.spares.keySet().stream()
                .map(clusterState::findMachine)
                .filter(m -> m != null && faultTracker.isMachineFaulty(m))
                .count();
        int lateUrgentTasks = 0;
        if (plan != null) {
            for (Plan.Reservation reservation : plan.reservations()) {
                Job job = clusterState.job(reservation.job());
                lateUrgentTasks += job != null
                                && MachineLossTracker.isUrgent(job)
                                && reservation.beginMs() > ordering.latestStartMs(job)
                        ? 1
                        : 0;
            }
        }
        double minShare = 1;
        String minShareGroup = "";
        for (Map.Entry<String, ServiceShare> entry : serviceShares.get().entrySet()) {
            if (entry.getValue().asked() >= MIN_REQUESTED_TASKS
                    && entry.getValue().fraction() < minShare) {
                minShare = entry.getValue().fraction();
                minShareGroup = entry.getKey();
            }
        }
        int machines = (int) clusterState.machines().stream().filter(m -> m.up).count();
        return new ReplacementSteps.Health(
                progress.sparesRequested,
                progress.sparesFailed,
                faultySpares,
                lateUrgentTasks,
                minShare,
                minShareGroup,
                lossTracker.countRecentlyLostMachines(LOSS_WINDOW_MS),
                machines);
    }

    // ---- spare machines ----

    /**
     * Releases spare machines into normal use and counts those that never came up; returns true if the progress has changed. A rolling
     * replacement releases one spare for each machine that is gone, a plain drain releases a spare once it has tasks.
     */
    boolean updateSpares(Drain drain, Progress progress) {
        boolean changed = false;
        for (MachineId id : List.copyOf(progress.spares.keySet())) {
            Machine machine = clusterState.findMachine(id);
            if (machine == null || machine.releasing) {
                progress.sparesFailed += sparesSeenUp.contains(id) ? 0 : 1;
                progress.spares.remove(id);
                changed = true;
            } else if (machine.up) {
                sparesSeenUp.add(id);
                boolean release =
                        drain.replace() ? progress.sparesReleased < progress.gone : !machine.placements.isEmpty();
                machine.reservedForDrain = release ? null : drain.name();
                if (release) {
                    progress.sparesReleased += drain.replace() ? 1 : 0;
                    progress.spares.remove(id);
                    changed = true;
                }
            } else {
                machine.reservedForDrain = drain.name();
            }
        }
        return changed;
    }

    /**
     * Requests machines for tasks that lack free capacity elsewhere: one of the same kind for each machine that they leave, a limited
     * number at a time.
     */
    void requestMachinesForMigration(Drain drain, Progress progress, Map<String, Integer> kinds) {
        int lacking = kinds.values().stream().mapToInt(Integer::intValue).sum();
        int booting = (int) progress.spares.keySet().stream()
                .map(clusterState::findMachine)
                .filter(m -> m != null && !m.up)
                .count();
        requestSpares(drain, progress, Math.min(MAX_BOOTING_SPARES, lacking) - booting, kinds);
    }

    /** Returns the machine's kind as text: type, zone, and whether it is a spot machine. */
    static String machineKind(Machine machine) {
        return machine.type + " " + machine.zone + " " + machine.spot;
    }

    private void requestSpares(Drain drain, Progress progress, int wanted, Map<String, Integer> kinds) {
        int pending = pendingSpareRequests.getOrDefault(drain.name(), 0);
        int missing = wanted - pending;
        if (missing <= 0 || kinds.isEmpty() || pending > 0) {
            return;
        }
        String mostFrequent = kinds.entrySet().stream()
                .max(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .orElseThrow()
                .getKey();
        String[] kind = mostFrequent.split(" ");
        String type = drain.with() == null ? kind[0] : drain.with();
        long term = clusterState.term();
        if (provisioner
                .scaleOutPolicy()
                .tryRentStandby(type, kind[1], Boolean.parseBoolean(kind[2]), missing, rented -> {
                    if (term == clusterState.term()) {
                        pendingSpareRequests.merge(drain.name(), -missing, Integer::sum);
                        rented.forEach(machine -> progress.spares.put(machine, context.wallMs()));
                        progress.sparesRequested += rented.size();
                    }
                })) {
            pendingSpareRequests.merge(drain.name(), missing, Integer::sum);
        }
    }

    /** Releases all spare machines of a completed drain into normal use. */
    void releaseSpares(Drain drain, Progress progress) {
        progress.spares.keySet().stream()
                .map(clusterState::findMachine)
                .filter(m -> m != null && drain.name().equals(m.reservedForDrain))
                .forEach(m -> m.reservedForDrain = null);
        progress.spares.clear();
    }
}
