package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.packing.DefragmentationSearch;
import org.beechhoist.packing.GpuSizeDistribution;
import org.beechhoist.plan.Plan;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.TaskId;

/**
 * Who lacks room though enough is free in pieces, and what moving makes it cheapest. A model over several machines of one zone gets
 * one room after the other, in a zone that has what all of its tasks need.
 */
final class MigrationSearch {
    /** Who begins this soon by the plan needs no room made. */
    private static final long IMMINENT_START_MS = 10_000;
    /** A job that has just come is planned first. */
    private static final long MIN_JOB_AGE_MS = 2000;

    private static final long MAX_GAIN_MS = 240_000;
    /** What moving costs, in GPU seconds, against what the large task gains. */
    private static final double MAX_COST_PER_GAIN = 0.5;

    private static final double STOP_CONFIRMATION_S = 3;
    private static final double MAX_UNSAVED_RUN_S = 15;
    private static final int MAX_MOVES_PER_TEAM = 3;
    private static final double EPSILON = 1e-6;
    private static final String NO_ZONE = "";

    /**
     * What is under way already.
     *
     * @param tasks that are on their way, {@code rooms} machines on which room is made, {@code lately} tasks that were moved and rest now
     */
    record ActiveMigrations(
            Set<TaskId> tasks,
            Set<MachineId> machines,
            Set<TaskId> recentlyMoved,
            ToIntFunction<Job> pendingCount,
            Function<Job, String> zoneFor) {}

    /** Whom to make room for, and how. */
    record Proposal(Job large, DefragmentationSearch.Result moves) {}

    private final ControllerContext context;
    private final MachineTypeCatalog machineTypes;
    private final ClusterState clusterState;
    private final Admission admission;
    /** Whether its team's budget allows that a task is moved. */
    private final BiPredicate<Job, Placement> withinBudget;

    MigrationSearch(
            ControllerContext context,
            MachineTypeCatalog machineTypes,
            ClusterState clusterState,
            Admission admission,
            BiPredicate<Job, Placement> allowed) {
        this.withinBudget = allowed;
        this.context = context;
        this.machineTypes = machineTypes;
        this.clusterState = clusterState;
        this.admission = admission;
    }

    /** The first that moving is worth it for, or null. */
    Proposal findMigration(Plan plan, ActiveMigrations hand, GpuSizeDistribution sizes) {
        Map<String, double[]> used = clusterState.teamResourceUsage();
        for (Job large : clusterState.jobs()) {
            if (!needsMigration(large, plan, used, hand)) {
                continue;
            }
            DefragmentationSearch.Result found = DefragmentationSearch.findCheapest(
                    requestedResources(large.spec()), candidateMachines(large, hand), this::mayRunOn, sizes);
            long waits = plan.plannedStart(large.id()) == null
                    ? MAX_GAIN_MS
                    : Math.min(
                            MAX_GAIN_MS,
                            plan.plannedStart(large.id()) - context.now().ms());
            if (found != null
                    && found.costGpuS() <= MAX_COST_PER_GAIN * large.spec().gpus() * waits / 1000) {
                return new Proposal(large, found);
            }
        }
        return null;
    }

    private boolean needsMigration(Job job, Plan plan, Map<String, double[]> used, ActiveMigrations hand) {
        JobSpec spec = job.spec();
        boolean plain = spec.gpus() > 1 && !spec.isGang() && !spec.antiAffinity();
        if (!plain
                || job.isCancelled()
                || job.keySetHold != null
                || job.isSuspect()
                || job.shed
                || job.record.waitingCount() <= hand.pendingCount.applyAsInt(job)
                || job.notBefore.ms() > context.now().ms()
                || context.now().since(job.submittedAt) < MIN_JOB_AGE_MS
                || admission.exceedsTeamLimit(job, used)) {
            return false;
        }
        Long start = plan.plannedStart(job.id());
        return start == null
                || start > context.now().ms() + IMMINENT_START_MS
                || spec.sameZone() && plan.unplacedCount(job.id()) > 0;
    }

    private static DefragmentationSearch.Resources requestedResources(JobSpec spec) {
        return new DefragmentationSearch.Resources(spec.cpus(), spec.gpus(), spec.memGb());
    }

    private boolean mayRunOn(TaskId task, MachineId id) {
        Machine machine = clusterState.findMachine(id);
        JobSpec s = clusterState.job(task.job()).spec();
        return machine != null && s.mayRunOn(machineTypes.get(machine.type), machine.zone, machine.spot);
    }

    /** The only zone that room may be made in; null: any; {@link #NO_ZONE}: none has what all of the job's tasks need. */
    private String requiredZone(Job large, ActiveMigrations hand) {
        JobSpec spec = large.spec();
        if (!spec.sameZone()) {
            return null;
        }
        Map<String, Integer> live = admission.liveByZone(large);
        if (!live.isEmpty()) {
            return live.size() == 1
                    ? live.keySet().iterator().next()
                    : NO_ZONE; // "" too: a machine that nobody has described may be anywhere
        }
        String begun = hand.zoneFor.apply(large);
        if (begun != null) {
            return begun;
        }
        // What can be made free counts whole: the zone with the most of it, if that is enough for all.
        Map<String, Integer> fit = new HashMap<>();
        for (Machine machine : clusterState.machines()) {
            MachineType type = machine.isTypeKnown() ? machineTypes.get(machine.type) : null;
            if (type != null && spec.mayRunOn(type, machine.zone, machine.spot) && admission.isUsable(machine)) {
                double gpus = type.gpus();
                for (Placement placement : machine.placements.values()) {
                    Job job = clusterState.job(placement.task.job());
                    gpus -= job == null
                            ? type.gpus()
                            : isMovable(job, placement, large, Map.of(), hand)
                                    ? 0
                                    : job.spec().gpus();
                }
                fit.merge(machine.zone, (int) Math.max(0, Math.floor(gpus / spec.gpus() + EPSILON)), Integer::sum);
            }
        }
        return fit.entrySet().stream()
                .filter(e -> e.getValue() >= large.record.waitingCount())
                .max(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .orElse(NO_ZONE);
    }

    private List<DefragmentationSearch.MachineSnapshot> candidateMachines(Job large, ActiveMigrations hand) {
        Map<String, Integer> ofTeam = new HashMap<>();
        hand.tasks.forEach(t -> ofTeam.merge(
                clusterState.job(t.job()) == null
                        ? ""
                        : clusterState.job(t.job()).spec().team(),
                1,
                Integer::sum));
        String only = requiredZone(large, hand);
        List<DefragmentationSearch.MachineSnapshot> out = new ArrayList<>();
        for (Machine machine : clusterState.machines()) {
            MachineType type = machine.isTypeKnown() ? machineTypes.get(machine.type) : null;
            Admission.FreeResources free = type == null
                            || type.gpus() == 0
                            || !admission.isUsable(machine)
                            || hand.machines.contains(machine.id)
                    ? null
                    : admission.freeResources(machine, type);
            if (free == null) {
                continue;
            }
            List<DefragmentationSearch.MovableTask> movable = new ArrayList<>();
            boolean may = large.spec().mayRunOn(type, machine.zone, machine.spot)
                    && (only == null || only.equals(machine.zone));
            for (Placement placement : may ? machine.placements.values() : List.<Placement>of()) {
                Job job = clusterState.job(placement.task.job());
                if (job != null
                        && job != large
                        && !hand.tasks.contains(placement.task)
                        && isMovable(job, placement, large, ofTeam, hand)) {
                    movable.add(new DefragmentationSearch.MovableTask(
                            placement.task, requestedResources(job.spec()), moveCostGpuS(job, placement)));
                }
            }
            out.add(new DefragmentationSearch.MachineSnapshot(
                    machine.id,
                    new DefragmentationSearch.Resources(free.cpus(), free.gpus(), free.memGb()),
                    may,
                    movable));
        }
        return out;
    }

    /** Equal urgency may be moved, more urgent work is left alone; and what needs others, a place, or has done much that it can't save. */
    private boolean isMovable(
            Job job, Placement placement, Job large, Map<String, Integer> ofTeam, ActiveMigrations hand) {
        JobSpec spec = job.spec();
        if (!placement.launchSent
                || placement.stopRequested
                || placement.runningSince == null
                || spec.isGang()
                || spec.sameZone()
                || spec.antiAffinity()
                || job.isCancelled()
                || spec.gpus() >= large.spec().gpus()
                || spec.priority().compareTo(large.spec().priority()) < 0
                || hand.recentlyMoved.contains(placement.task)
                || ofTeam.getOrDefault(spec.team(), 0) >= MAX_MOVES_PER_TEAM
                || !withinBudget.test(job, placement)) {
            return false;
        }
        if (spec.isService()) {
            // One replica away at a time, and never the only one.
            return spec.tasks() > 1 && allReplicasRunning(job);
        }
        return spec.checkpointEveryS() > 0 || context.now().since(placement.runningSince) < 1000 * MAX_UNSAVED_RUN_S;
    }

    static boolean allReplicasRunning(Job job) {
        return job.record.live.size() == job.spec().tasks()
                && job.record.live.values().stream().allMatch(o -> o.runningSince != null && !o.stopRequested);
    }

    private double moveCostGpuS(Job job, Placement placement) {
        JobSpec spec = job.spec();
        double ran = context.now().since(placement.runningSince) / 1000.0;
        double lost = spec.isService() || spec.checkpointEveryS() > 0 ? 0 : ran;
        MachineType t = machineTypes.get(clusterState.machine(placement.machine).type);
        return spec.gpus() * (spec.checkpointCostS() + STOP_CONFIRMATION_S + spec.imageGb() / t.fetchGbPerS() + lost);
    }
}
