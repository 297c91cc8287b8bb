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

/** Whether a task may start on a machine now: the rules, the teams' limits and the room, against what may be running. */
final class Admission {
    private final ControllerContext context;
    private final Settings settings;
    private final MachineTypeCatalog machineTypes;
    private final ClusterState clusterState;
    private final FaultTracker faultTracker;
    /** Null until it is there. */
    private MigrationController migrations;

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

    /** Room that is kept for tasks on their way, or for whom it was made. */
    void keeps(MigrationController desk) {
        migrations = desk;
    }

    /** Whether elastic jobs may grow onto the machine: it is well, heard of, and stays; it was not taken back lately. */
    boolean mayWiden(Machine machine) {
        return usable(machine)
                && machine.growthDamping.open(context.now().ms())
                && !faultTracker.isMachineFaulty(machine)
                && context.now().since(clusterState.lastHeardOf(machine))
                        < settings.workers().reportS() * 1500;
    }

    boolean usable(Machine machine) {
        return machine.up
                && machine.confirmedPresent
                && !machine.reachability.isUnreachable()
                && !machine.isLeaving()
                && machine.unknownTasks == 0
                && machineTypes.get(machine.type) != null
                && context.now().since(clusterState.lastHeardOf(machine))
                        < settings.workers().reportS() * 3000
                && machine.avoidUntil.isBefore(context.now())
                && machine.lastHeardAt != null;
    }

    /** What would be free on a machine; less than nothing where a task doesn't fit. */
    record Room(double cpus, double gpus, double memGb) {
        Room plus(JobSpec spec, int times) {
            return new Room(cpus + times * spec.cpus(), gpus + times * spec.gpus(), memGb + times * spec.memGb());
        }

        boolean enough() {
            return cpus >= -1e-6 && gpus >= -1e-6 && memGb >= -1e-6;
        }
    }

    /** What is free on the host, less what is kept there; null where what is on it is not known. */
    Room free(Machine machine, MachineType type) {
        Room room = new Room(type.cpus(), type.gpus(), type.memGb());
        for (Placement placement : machine.placements.values()) {
            Job other = clusterState.job(placement.task.job());
            if (other == null) {
                return null;
            }
            room = room.plus(other.spec(), -1);
        }
        for (JobSpec kept : migrations == null ? List.<JobSpec>of() : migrations.keptOn(machine.id)) {
            room = room.plus(kept, -1);
        }
        return room;
    }

    /** What is free on the host once such a task is there too; null where what is on it is not known. */
    Room roomBeside(Machine machine, MachineType type, JobSpec spec) {
        Room room = new Room(type.cpus(), type.gpus(), type.memGb()).plus(spec, -1);
        for (Placement placement : machine.placements.values()) {
            Job other = clusterState.job(placement.task.job());
            if (other == null) {
                return null;
            }
            room = room.plus(other.spec(), -1);
        }
        return room;
    }

    /** Whether the team's limit, not the machines, keeps the job's next task waiting. */
    boolean overLimit(Job job, Map<String, double[]> used) {
        JobSpec spec = job.spec();
        Settings.Team team = settings.teams().get(spec.team());
        double[] u = used.getOrDefault(spec.team(), new double[2]);
        return team == null || u[0] + spec.cpus() > team.cpusMax() + 1e-6 || u[1] + spec.gpus() > team.gpusMax() + 1e-6;
    }

    Map<String, Integer> liveByZone(Job job) {
        Map<String, Integer> out = new HashMap<>();
        if (job.spec().sameZone() || job.spec().antiAffinity()) {
            for (Placement placement : job.record.live.values()) {
                Machine machine = clusterState.machine(placement.machine);
                // A host that nobody has described yet may be anywhere: no zone is certain until it is.
                out.merge(machine.zone == null ? "" : machine.zone, 1, Integer::sum);
            }
        }
        return out;
    }

    /** The rules of placement once more, against what may be running now, whatever the plan says. */
    boolean admissible(Job job, Machine machine, Map<String, double[]> used) {
        JobSpec spec = job.spec();
        MachineType type =
                machine == null || job.keySetHold != null || !usable(machine) ? null : machineTypes.get(machine.type);
        if (type == null || !spec.mayRunOn(type, machine.zone, machine.spot)) {
            return false;
        }
        Room room = roomBeside(machine, type, spec);
        if (room == null
                || !room.enough()
                || overLimit(job, used)
                || migrations != null && migrations.keptFromOthers(machine.id, job.id())) {
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
