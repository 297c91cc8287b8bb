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

/** Room on machines that take work now, given away one place after the other within one look; nothing is kept by it. */
final class FreeCapacity {
    private static final class Free {
        private final Machine machine;
        private final MachineType type;
        private Admission.FreeResources room;

        private Free(Machine machine, MachineType type, Admission.FreeResources room) {
            this.machine = machine;
            this.type = type;
            this.room = room;
        }
    }

    private final List<Free> all = new ArrayList<>();
    /** Rooms only shrink: what had no place for such a task has none for the next. */
    private final Map<String, Integer> tried = new HashMap<>();

    /** @param serves whether a machine counts, beside that it takes work */
    FreeCapacity(
            ClusterState clusterState,
            MachineTypeCatalog machineTypes,
            Admission admission,
            Predicate<Machine> serves) {
        for (Machine machine : clusterState.machines()) {
            MachineType type =
                    admission.isUsable(machine) && serves.test(machine) ? machineTypes.get(machine.type) : null;
            Admission.FreeResources room = type == null ? null : admission.freeResources(machine, type);
            if (room != null && room.cpus() > 0) {
                all.add(new Free(machine, type, room));
            }
        }
    }

    /** A machine with a place for such a task, which is taken from then on; null: there is none. What must lie together or apart has none. */
    Machine allocate(JobSpec spec) {
        if (spec.isGang() || spec.sameZone() || spec.antiAffinity()) {
            return null;
        }
        String shape = spec.cpus() + "/" + spec.gpus() + "/" + spec.memGb() + "/" + spec.machineTypes() + "/"
                + spec.zone() + "/" + spec.spot();
        for (int i = tried.getOrDefault(shape, 0); i < all.size(); i++) {
            Free free = all.get(i);
            Admission.FreeResources left = free.room.plus(spec, -1);
            if (left.isNonNegative() && spec.mayRunOn(free.type, free.machine.zone, free.machine.spot)) {
                free.room = left;
                tried.put(shape, i);
                return free.machine;
            }
        }
        tried.put(shape, all.size());
        return null;
    }
}
