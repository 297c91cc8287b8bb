package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineType;

/** Free capacity of the usable machines, allocated tentatively task by task during one evaluation; reserves nothing in the cluster. */
final class FreeCapacity {
    private static final class MachineCapacity {
        private final Machine machine;
        private final MachineType type;
        private Admission.FreeResources free;

        private MachineCapacity(Machine machine, MachineType type, Admission.FreeResources free) {
            this.machine = machine;
            this.type = type;
            this.free = free;
        }
    }

    private final List<MachineCapacity> machines = new ArrayList<>();
    /** The first machine to try by task shape; free capacity only shrinks, so machines before it cannot fit such a task. */
    private final Map<String, Integer> firstIndexByShape = new HashMap<>();

    /**
     * Reads the free capacity of the usable machines.
     *
     * @param filter selects the usable machines to include
     */
    FreeCapacity(
            ClusterState clusterState,
            MachineTypeCatalog machineTypes,
            Admission admission,
            Predicate<Machine> filter) {
        for (Machine machine : clusterState.machines()) {
            MachineType type =
                    admission.isUsable(machine) && filter.test(machine) ? machineTypes.get(machine.type) : null;
            Admission.FreeResources free = type == null ? null : admission.freeResources(machine, type);
            if (free != null && free.cpus() > 0) {
                machines.add(new MachineCapacity(machine, type, free));
            }
        }
    }

    /**
     * Allocates capacity for a task and returns its machine, or null if no machine fits. Always returns null for gangs and for jobs
     * with zone rules.
     */
    Machine allocate(JobSpec spec) {
        if (spec.isGang() || spec.sameZone() || spec.antiAffinity()) {
            return null;
        }
        String shape = spec.cpus() + "/" + spec.gpus() + "/" + spec.memGb() + "/" + spec.machineTypes() + "/"
                + spec.zone() + "/" + spec.spot();
        for (int i = firstIndexByShape.getOrDefault(shape, 0); i < machines.size(); i++) {
            MachineCapacity candidate = machines.get(i);
            Admission.FreeResources left = candidate.free.plus(spec, -1);
            if (left.isNonNegative() && spec.mayRunOn(candidate.type, candidate.machine.zone, candidate.machine.spot)) {
                candidate.free = left;
                firstIndexByShape.put(shape, i);
                return candidate.machine;
            }
        }
        firstIndexByShape.put(shape, machines.size());
        return null;
    }
}
