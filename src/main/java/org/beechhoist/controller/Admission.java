package org.beechhoist.controller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.controller.worker.FaultTracker;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineType;

/**
 * Decides whether a task may start on a machine now, by placement rules, team limits and free resources. Every task that may be
 * running counts as running.
 */
final class Admission {
    /** Rounding tolerance of comparisons between a sum of CPUs, GPUs or memory and a limit. */
    private static final double TOLERANCE = 1e-6;
    /** Elastic jobs may widen onto a machine whose last heartbeat is younger than 1.5 report intervals; in ms per second. */
    private static final int MAX_WIDEN_HEARTBEAT_AGE_MS_PER_REPORT_S = 1500;
    /** A machine is usable if its last heartbeat is younger than three report intervals, in ms per second. */
    private static final int MAX_USABLE_HEARTBEAT_AGE_MS_PER_REPORT_S = 3000;

    private final ControllerContext context;
    private final Settings settings;
    private final MachineTypeCatalog machineTypes;
    private final ClusterState clusterState;
    private final FaultTracker faultTracker;
    /** Null until set by {@link #setMigrationController}. */
    private MigrationController migrationController;

    Admission(
            ControllerContext context,
            Settings settings,
            MachineTypeCatalog machineTypes,
            ClusterState clusterState,
            FaultTracker faultTracker) {
        this.context = context;
        this.settings = settings;
        this.machineTypes = machineTypes;
        this.clusterState = clusterState;
        this.faultTracker = faultTracker;
    }

    /** Sets the source of the resources reserved for migrating tasks and for the jobs that benefit from a migration. */
    void setMigrationController(MigrationController controller) {
        migrationController = controller;
    }

    /**
     * Returns whether elastic jobs may widen onto the machine: it is usable, not faulty and has sent a heartbeat recently, and
     * widening is not damped because capacity on it was reclaimed recently.
     */
    boolean mayWiden(Machine machine) {
        return isUsable(machine)
                && machine.growthBackoff.allowsGrowth(context.now().ms())
                && !faultTracker.isMachineFaulty(machine)
                && context.now().since(clusterState.lastContactAt(machine))
                        < settings.workers().reportS() * MAX_WIDEN_HEARTBEAT_AGE_MS_PER_REPORT_S;
    }

    /**
     * Returns whether the machine may take tasks: it is up, confirmed, reachable and not leaving, has a recent heartbeat and no
     * unknown tasks, and is not avoided.
     */
    boolean isUsable(Machine machine) {
        return machine.up
                && machine.confirmedPresent
                && !machine.reachability.isUnreachable()
                && !machine.isLeaving()
                && machine.unknownTasks == 0
                && machineTypes.get(machine.type) != null
                && context.now().since(clusterState.lastContactAt(machine))
                        < settings.workers().reportS() * MAX_USABLE_HEARTBEAT_AGE_MS_PER_REPORT_S
                && machine.avoidUntil.isBefore(context.now())
                && machine.lastContactAt != null;
    }

    /** Free resources of a machine; negative where a task does not fit. */
    record FreeResources(double cpus, double gpus, double memGb) {
        /** Returns the resources after adding those of {@code times} tasks; negative to subtract them. */
        FreeResources plus(JobSpec spec, int times) {
            return new FreeResources(
                    cpus + times * spec.cpus(), gpus + times * spec.gpus(), memGb + times * spec.memGb());
        }

        /** Returns whether no resource is negative. */
        boolean isNonNegative() {
            return cpus >= -TOLERANCE && gpus >= -TOLERANCE && memGb >= -TOLERANCE;
        }
    }

    /** Returns the machine's free resources less its reservations, or null if the job of a task on it is unknown. */
    FreeResources freeResources(Machine machine, MachineType type) {
        FreeResources free = new FreeResources(type.cpus(), type.gpus(), type.memGb());
        for (Placement placement : machine.placements.values()) {
            Job other = clusterState.job(placement.task.job());
            if (other == null) {
                return null;
            }
            free = free.plus(other.spec(), -1);
        }
        for (JobSpec reserved :
                migrationController == null ? List.<JobSpec>of() : migrationController.reservedOn(machine.id)) {
            free = free.plus(reserved, -1);
        }
        return free;
    }

    /**
     * Returns the free resources, reservations not deducted, that remain once one more task of this kind is placed on the machine,
     * or null if the job of a task on it is unknown.
     */
    FreeResources freeResourcesAfterPlacing(Machine machine, MachineType type, JobSpec spec) {
        FreeResources free = new FreeResources(type.cpus(), type.gpus(), type.memGb()).plus(spec, -1);
        for (Placement placement : machine.placements.values()) {
            Job other = clusterState.job(placement.task.job());
            if (other == null) {
                return null;
            }
            free = free.plus(other.spec(), -1);
        }
        return free;
    }

    /** Returns whether the job's next task would exceed the limit of its team; true if the team is unknown. */
    boolean exceedsTeamLimit(Job job, Map<String, double[]> used) {
        JobSpec spec = job.spec();
        Settings.Team team = settings.teams().get(spec.team());
        double[] usage = used.getOrDefault(spec.team(), new double[2]);
        return team == null
                || usage[0] + spec.cpus() > team.cpusMax() + TOLERANCE
                || usage[1] + spec.gpus() > team.gpusMax() + TOLERANCE;
    }

    /** Returns the number of live tasks by zone, with "" for an unknown zone; empty for jobs without zone rules. */
    Map<String, Integer> liveByZone(Job job) {
        Map<String, Integer> counts = new HashMap<>();
        if (job.spec().sameZone() || job.spec().antiAffinity()) {
            for (Placement placement : job.record.live.values()) {
                Machine machine = clusterState.machine(placement.machine);
                // A machine whose zone is not known yet may be in any zone.
                counts.merge(machine.zone == null ? "" : machine.zone, 1, Integer::sum);
            }
        }
        return counts;
    }

    /** Returns whether the job's next task may start on the machine now, checked against all tasks that may be running. */
    boolean admits(Job job, Machine machine, Map<String, double[]> used) {
        JobSpec spec = job.spec();
        MachineType type =
                machine == null || job.keySetHold != null || !isUsable(machine) ? null : machineTypes.get(machine.type);
        if (type == null || !spec.mayRunOn(type, machine.zone, machine.spot)) {
            return false;
        }
        FreeResources free = freeResourcesAfterPlacing(machine, type, spec);
        if (free == null
                || !free.isNonNegative()
                || exceedsTeamLimit(job, used)
                || migrationController != null && migrationController.isReservedForAnotherJob(machine.id, job.id())) {
            return false;
        }
        if (spec.sameZone() || spec.antiAffinity()) {
            Map<String, Integer> zones = liveByZone(job);
            if (spec.sameZone() && !zones.isEmpty() && !zones.keySet().equals(Set.of(machine.zone))) {
                return false;
            }
            int unknown = zones.getOrDefault("", 0);
            return !spec.antiAffinity() || zones.getOrDefault(machine.zone, 0) + unknown < (spec.tasks() + 1) / 2;
        }
        return true;
    }
}
