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
 * Finds a job whose tasks fit on no machine although enough GPUs are free in fragments, and the cheapest moves that free capacity
 * for one of them. For a job with several tasks in one zone, capacity is freed for one task after another, in a zone that has
 * enough for all of them.
 */
final class MigrationSearch {
    /** A job whose planned start is closer than this needs no migration. */
    private static final long IMMINENT_START_MS = 10_000;
    /** The age below which a job is not considered: it is planned first. */
    private static final long MIN_JOB_AGE_MS = 2000;

    private static final long MAX_GAIN_MS = 240_000;
    /** The highest accepted cost of the moves in GPU seconds, for each GPU second that the large task gains. */
    private static final double MAX_COST_PER_GAIN = 0.5;

    /** The time until a stopped task is confirmed gone. */
    private static final double STOP_CONFIRMATION_S = 3;
    /** The run time below which a task without checkpoints may be moved. */
    private static final double MAX_UNSAVED_RUN_S = 15;

    private static final int MAX_MOVES_PER_TEAM = 3;
    private static final int MS_PER_S = 1000;
    private static final double EPSILON = 1e-6;
    private static final String NO_ZONE = "";

    /**
     * The migrations in progress.
     *
     * @param tasks the tasks that are migrating
     * @param machines the machines that tasks are migrating from
     * @param recentlyMoved the tasks that were moved too recently to be moved again
     * @param pendingCount returns the number of a job's tasks that capacity is being freed for
     * @param zoneFor returns the zone in which capacity is being freed for a job, or null
     */
    record ActiveMigrations(
            Set<TaskId> tasks,
            Set<MachineId> machines,
            Set<TaskId> recentlyMoved,
            ToIntFunction<Job> pendingCount,
            Function<Job, String> zoneFor) {}

    /** A worthwhile migration: the job that capacity is freed for, and the moves that free it. */
    record Proposal(Job large, DefragmentationSearch.Result moves) {}

    private final ControllerContext context;
    private final MachineTypeCatalog machineTypes;
    private final ClusterState clusterState;
    private final Admission admission;
    /** Tests whether the team's disruption budget allows moving a task. */
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

    /** Returns a migration for the first job whose gain outweighs the cost of the moves, or null. */
    Proposal findMigration(Plan plan, ActiveMigrations active, GpuSizeDistribution sizes) {
        Map<String, double[]> used = clusterState.teamResourceUsage();
        for (Job large : clusterState.jobs()) {
            if (!needsMigration(large, plan, used, active)) {
                continue;
            }
            DefragmentationSearch.Result found = DefragmentationSearch.findCheapest(
                    requestedResources(large.spec()), candidateMachines(large, active), this::mayRunOn, sizes);
            long waits = plan.plannedStart(large.id()) == null
                    ? MAX_GAIN_MS
                    : Math.min(
                            MAX_GAIN_MS,
                            plan.plannedStart(large.id()) - context.now().ms());
            if (found != null
                    && found.costGpuS() <= MAX_COST_PER_GAIN * large.spec().gpus() * waits / MS_PER_S) {
                return new Proposal(large, found);
            }
        }
        return null;
    }

    private boolean needsMigration(Job job, Plan plan, Map<String, double[]> used, ActiveMigrations active) {
        JobSpec spec = job.spec();
        boolean independent = spec.gpus() > 1 && !spec.isGang() && !spec.antiAffinity();
        if (!independent
                || job.isCancelled()
                || job.keySetHold != null
                || job.isSuspect()
                || job.shed
                || job.record.waitingCount() <= active.pendingCount.applyAsInt(job)
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

    /** Returns the zone that capacity must be freed in; null: any zone; {@link #NO_ZONE}: no zone has enough for all the job's tasks. */
    private String requiredZone(Job large, ActiveMigrations active) {
        JobSpec spec = large.spec();
        if (!spec.sameZone()) {
            return null;
        }
        Map<String, Integer> live = admission.liveByZone(large);
        if (!live.isEmpty()) {
            return live.size() == 1
                    ? live.keySet().iterator().next()
                    : NO_ZONE; // also "", the unknown zone: such a machine may be in any zone
        }
        String currentZone = active.zoneFor.apply(large);
        if (currentZone != null) {
            return currentZone;
        }
        // Capacity that moves could free counts as free: takes the zone with the most of it, if that is enough for all
        // tasks.
        Map<String, Integer> fittingTasks = new HashMap<>();
        for (Machine machine : clusterState.machines()) {
            MachineType type = machine.isTypeKnown() ? machineTypes.get(machine.type) : null;
            if (type != null && spec.mayRunOn(type, machine.zone, machine.spot) && admission.isUsable(machine)) {
                double gpus = type.gpus();
                for (Placement placement : machine.placements.values()) {
                    Job job = clusterState.job(placement.task.job());
                    gpus -= job == null
                            ? type.gpus()
                            : isMovable(job, placement, large, Map.of(), active)
                                    ? 0
                                    : job.spec().gpus();
                }
                fittingTasks.merge(
                        machine.zone, (int) Math.max(0, Math.floor(gpus / spec.gpus() + EPSILON)), Integer::sum);
            }
        }
        return fittingTasks.entrySet().stream()
                .filter(e -> e.getValue() >= large.record.waitingCount())
                .max(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .orElse(NO_ZONE);
    }

    private List<DefragmentationSearch.MachineSnapshot> candidateMachines(Job large, ActiveMigrations active) {
        Map<String, Integer> movesByTeam = new HashMap<>();
        active.tasks.forEach(t -> movesByTeam.merge(
                clusterState.job(t.job()) == null
                        ? ""
                        : clusterState.job(t.job()).spec().team(),
                1,
                Integer::sum));
        String requiredZone = requiredZone(large, active);
        List<DefragmentationSearch.MachineSnapshot> out = new ArrayList<>();
        for (Machine machine : clusterState.machines()) {
            MachineType type = machine.isTypeKnown() ? machineTypes.get(machine.type) : null;
            Admission.FreeResources free = type == null
                            || type.gpus() == 0
                            || !admission.isUsable(machine)
                            || active.machines.contains(machine.id)
                    ? null
                    : admission.freeResources(machine, type);
            if (free == null) {
                continue;
            }
            List<DefragmentationSearch.MovableTask> movable = new ArrayList<>();
            boolean mayTake = large.spec().mayRunOn(type, machine.zone, machine.spot)
                    && (requiredZone == null || requiredZone.equals(machine.zone));
            for (Placement placement : mayTake ? machine.placements.values() : List.<Placement>of()) {
                Job job = clusterState.job(placement.task.job());
                if (job != null
                        && job != large
                        && !active.tasks.contains(placement.task)
                        && isMovable(job, placement, large, movesByTeam, active)) {
                    movable.add(new DefragmentationSearch.MovableTask(
                            placement.task, requestedResources(job.spec()), moveCostGpuS(job, placement)));
                }
            }
            out.add(new DefragmentationSearch.MachineSnapshot(
                    machine.id,
                    new DefragmentationSearch.Resources(free.cpus(), free.gpus(), free.memGb()),
                    mayTake,
                    movable));
        }
        return out;
    }

    /**
     * Returns whether a task may be moved for the large job. Tasks of equal or lower priority may; tasks of higher priority, of gangs
     * or with zone rules, and tasks that would lose much work for want of checkpoints may not.
     */
    private boolean isMovable(
            Job job, Placement placement, Job large, Map<String, Integer> movesByTeam, ActiveMigrations active) {
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
                || active.recentlyMoved.contains(placement.task)
                || movesByTeam.getOrDefault(spec.team(), 0) >= MAX_MOVES_PER_TEAM
                || !withinBudget.test(job, placement)) {
            return false;
        }
        if (spec.isService()) {
            // At most one replica is away at a time, and a single replica is never moved.
            return spec.tasks() > 1 && allReplicasRunning(job);
        }
        return spec.checkpointEveryS() > 0
                || context.now().since(placement.runningSince) < MS_PER_S * MAX_UNSAVED_RUN_S;
    }

    /** Returns whether every task of the job is running and none is being stopped. */
    static boolean allReplicasRunning(Job job) {
        return job.record.live.size() == job.spec().tasks()
                && job.record.live.values().stream().allMatch(o -> o.runningSince != null && !o.stopRequested);
    }

    /** Returns the cost of moving a task, in GPU seconds. */
    private double moveCostGpuS(Job job, Placement placement) {
        JobSpec spec = job.spec();
        double ran = context.now().since(placement.runningSince) / 1000.0;
        double lost = spec.isService() || spec.checkpointEveryS() > 0 ? 0 : ran;
        MachineType t = machineTypes.get(clusterState.machine(placement.machine).type);
        return spec.gpus() * (spec.checkpointCostS() + STOP_CONFIRMATION_S + spec.imageGb() / t.fetchGbPerS() + lost);
    }
}
