package org.beechhoist.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.beechhoist.wire.HostType;
import org.beechhoist.wire.JobSpec;

/** Room on machines that take work now, given away one place after the other within one look; nothing is kept by it. */
final class FreeRooms {
    private static final class Free {
        private final Host host;
        private final HostType type;
        private Admission.Room room;

        private Free(Host host, HostType type, Admission.Room room) {
            this.host = host;
            this.type = type;
            this.room = room;
        }
    }

    private final List<Free> all = new ArrayList<>();
    /** Rooms only shrink: what had no place for such a task has none for the next. */
    private final Map<String, Integer> tried = new HashMap<>();

    /** @param serves whether a machine counts, beside that it takes work */
    FreeRooms(Book book, Types types, Admission admission, Predicate<Host> serves) {
        for (Host machine : book.hosts()) {
            HostType type = admission.usable(machine) && serves.test(machine) ? types.get(machine.type) : null;
            Admission.Room room = type == null ? null : admission.free(machine, type);
            if (room != null && room.cpus() > 0) {
                all.add(new Free(machine, type, room));
            }
        }
    }

    /** A machine with a place for such a task, which is taken from then on; null: there is none. What must lie together or apart has none. */
    Host take(JobSpec spec) {
        if (spec.gang() || spec.sameZone() || spec.apart()) {
            return null;
        }
        String shape = spec.cpus() + "/" + spec.gpus() + "/" + spec.memGb() + "/" + spec.hostTypes() + "/" + spec.zone()
                + "/" + spec.spot();
        for (int i = tried.getOrDefault(shape, 0); i < all.size(); i++) {
            Free free = all.get(i);
            Admission.Room left = free.room.plus(spec, -1);
            if (left.enough() && spec.mayRunOn(free.type, free.host.zone, free.host.spot)) {
                free.room = left;
                tried.put(shape, i);
                return free.host;
            }
        }
        tried.put(shape, all.size());
        return null;
    }
}
