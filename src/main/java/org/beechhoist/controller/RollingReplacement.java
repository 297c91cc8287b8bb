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

/** Replacements in steps: new machines beside the old ones first, which old ones are begun, and what it pauses for. */
final class RollingReplacement {
    private static final Logger LOG = LoggerFactory.getLogger(RollingReplacement.class);
    private static final long A_MINUTE_MS = 60_000;
    /** Groups that asked for less say nothing of a half. */
    private static final int LEAST_ASKED = 6;
    /** Machines that boot at once to have a place for what leaves. */
    private static final int MOST_PLACES = 20;

    private final ControllerContext context;
    private final ClusterState clusterState;
    private final Provisioner provisioner;
    private final FaultTracker faultTracker;
    private final JobOrdering ordering;
    private final MachineLossTracker lossRecovery;
    private final Supplier<Map<String, ServiceShare>> served;
    /** New machines that were asked for and not answered yet. */
    private final Map<String, Integer> asked = new HashMap<>();

    private final Set<MachineId> wasUp = BoundedCollections.insertionOrderedSet(1000);

    RollingReplacement(
            ControllerContext context,
            ClusterState clusterState,
            Provisioner provisioner,
            FaultTracker faultTracker,
            JobOrdering ordering,
            MachineLossTracker lossRecovery,
            Supplier<Map<String, ServiceShare>> served) {
        this.context = context;
        this.clusterState = clusterState;
        this.provisioner = provisioner;
        this.faultTracker = faultTracker;
        this.ordering = ordering;
        this.lossRecovery = lossRecovery;
        this.served = served;
    }

    void begin() {
        asked.clear();
        wasUp.clear();
    }

    /** One look at it; whether what is to be written of it has changed. */
    boolean step(Drain drain, Progress progress, List<Machine> matched, boolean works, Planner planner) {
        boolean changed = false;
        List<ReplacementSteps.Waiting> waiting = new ArrayList<>();
        Map<String, Integer> kinds = new HashMap<>();
        Map<String, Integer> inHand = new HashMap<>();
        for (Machine machine : matched) {
            if (progress.begun.containsKey(machine.id)) {
                inHand.merge(String.valueOf(machine.zone), 1, Integer::sum);
            } else if (machine.cordonedBy == null) {
                waiting.add(new ReplacementSteps.Waiting(
                        machine.id, String.valueOf(machine.zone), lost(machine), machine.placements.size()));
                kinds.merge(kind(machine), 1, Integer::sum);
            }
        }
        if (progress.canaryGoneMs == 0 && progress.gone >= drain.limits().canary()) {
            progress.canaryGoneMs = context.wallMs();
            changed = true;
        }
        String stops = ReplacementSteps.stopReason(health(progress, planner.currentPlan()));
        if (stops != null) {
            if (progress.paused == null) {
                LOG.warn("drain {} pauses by itself: {}", drain.name(), stops);
                progress.pauses++;
                changed = true;
            }
            progress.paused = stops;
            progress.pausedMs = context.wallMs();
        } else if (progress.paused != null
                && context.wallMs() - progress.pausedMs >= 1000 * drain.limits().holdS()) {
            LOG.info("drain {} goes on: {} is over", drain.name(), progress.paused);
            progress.paused = null;
            progress.sparesAsked = progress.spares.size();
            progress.sparesFailed = 0;
            changed = true;
        }
        if (!works || progress.paused != null) {
            return changed;
        }
        standBy(
                drain,
                progress,
                Math.min(drain.limits().spare(), waiting.size() + progress.begun.size()) - progress.spares.size(),
                kinds);
        int up = (int) progress.spares.keySet().stream()
                .map(clusterState::findMachine)
                .filter(h -> h != null && h.up && h.confirmedPresent && !h.isLeaving())
                .count();
        List<MachineId> next = ReplacementSteps.nextMachines(
                drain.limits(),
                new ReplacementSteps.Facts(waiting, inHand, progress.gone, progress.canaryGoneMs, up),
                context.wallMs());
        if (!next.isEmpty()) {
            LOG.info(
                    "drain {}: step {}, {} machines are begun, {} in hand, {} gone, {} wait",
                    drain.name(),
                    ++progress.steps,
                    next.size(),
                    progress.begun.size() + next.size(),
                    progress.gone,
                    waiting.size() - next.size());
            next.forEach(h -> progress.begun.put(h, context.wallMs()));
            changed = true;
        }
        return changed;
    }

    private double lost(Machine machine) {
        double sum = 0;
        for (Placement placement : machine.placements.values()) {
            Job j = clusterState.job(placement.task.job());
            sum += j == null ? 0 : DisruptionAccounting.lostCpuS(j.spec(), placement, context.now());
        }
        return sum;
    }

    private ReplacementSteps.Health health(Progress progress, Plan plan) {
        int faulty = (int) progress.spares.keySet().stream()
                .map(clusterState::findMachine)
                .filter(h -> h != null && faultTracker.isMachineFaulty(h))
                .count();
        int late = 0;
        if (plan != null) {
            for (Plan.Reservation reservation : plan.reservations()) {
                Job j = clusterState.job(reservation.job());
                late += j != null && MachineLossTracker.isUrgent(j) && reservation.beginMs() > ordering.latestStartMs(j)
                        ? 1
                        : 0;
            }
        }
        double least = 1;
        String of = "";
        for (Map.Entry<String, ServiceShare> entry : served.get().entrySet()) {
            if (entry.getValue().asked() >= LEAST_ASKED && entry.getValue().fraction() < least) {
                least = entry.getValue().fraction();
                of = entry.getKey();
            }
        }
        int machines = (int) clusterState.machines().stream().filter(h -> h.up).count();
        return new ReplacementSteps.Health(
                progress.sparesAsked,
                progress.sparesFailed,
                faulty,
                late,
                least,
                of,
                lossRecovery.countRecentlyLostMachines(A_MINUTE_MS),
                machines);
    }

    // ---- machines that stand by ----

    /** One spare takes the place of each machine that is gone; those that never came up are counted. */
    boolean spares(Drain drain, Progress progress) {
        boolean changed = false;
        for (MachineId id : List.copyOf(progress.spares.keySet())) {
            Machine machine = clusterState.findMachine(id);
            if (machine == null || machine.releasing) {
                progress.sparesFailed += wasUp.contains(id) ? 0 : 1;
                progress.spares.remove(id);
                changed = true;
            } else if (machine.up) {
                wasUp.add(id);
                boolean takes = drain.replace() ? progress.released < progress.gone : !machine.placements.isEmpty();
                machine.reservedForDrain = takes ? null : drain.name();
                if (takes) {
                    progress.released += drain.replace() ? 1 : 0;
                    progress.spares.remove(id);
                    changed = true;
                }
            } else {
                machine.reservedForDrain = drain.name();
            }
        }
        return changed;
    }

    /** What leaves has nowhere to go: a machine of the same kind for each of those that it leaves, some at a time. */
    void makePlace(Drain drain, Progress progress, Map<String, Integer> kinds) {
        int lacking = kinds.values().stream().mapToInt(Integer::intValue).sum();
        int booting = (int) progress.spares.keySet().stream()
                .map(clusterState::findMachine)
                .filter(h -> h != null && !h.up)
                .count();
        standBy(drain, progress, Math.min(MOST_PLACES, lacking) - booting, kinds);
    }

    /** What the kind of a machine is called here. */
    static String kind(Machine machine) {
        return machine.type + " " + machine.zone + " " + machine.spot;
    }

    private void standBy(Drain drain, Progress progress, int wanted, Map<String, Integer> kinds) {
        int waits = asked.getOrDefault(drain.name(), 0);
        int missing = wanted - waits;
        if (missing <= 0 || kinds.isEmpty() || waits > 0) {
            return;
        }
        String most = kinds.entrySet().stream()
                .max(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .orElseThrow()
                .getKey();
        String[] kind = most.split(" ");
        String type = drain.with() == null ? kind[0] : drain.with();
        long term = clusterState.term();
        if (provisioner.scaleOutPolicy().tryRentStandby(type, kind[1], Boolean.parseBoolean(kind[2]), missing, had -> {
            if (term == clusterState.term()) {
                asked.merge(drain.name(), -missing, Integer::sum);
                had.forEach(h -> progress.spares.put(h, context.wallMs()));
                progress.sparesAsked += had.size();
            }
        })) {
            asked.merge(drain.name(), missing, Integer::sum);
        }
    }

    /** Nothing stands by for it any more. */
    void over(Drain drain, Progress progress) {
        progress.spares.keySet().stream()
                .map(clusterState::findMachine)
                .filter(h -> h != null && drain.name().equals(h.reservedForDrain))
                .forEach(h -> h.reservedForDrain = null);
        progress.spares.clear();
    }
}
