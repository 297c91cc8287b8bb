package org.beechhoist.packing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.TaskId;

/**
 * The cheapest moves that make room for one large task on one machine: exact over the sets of that machine's movable tasks, each
 * of which must find a place on another machine that is not itself whole for the large one; machines are tried by what they lack.
 */
public final class Moves {
    /** Tasks of a machine that are weighed in all their sets: the cheapest. */
    private static final int MOST_WEIGHED = 10;
    /** Machines that are looked at, those that lack least first. */
    private static final int MOST_MACHINES = 24;

    private static final double EPSILON = 1e-6;

    /** Room on a machine, or what a task takes of it. */
    public record Room(double cpus, double gpus, double memGb) {
        Room less(Room room) {
            return new Room(cpus - room.cpus, gpus - room.gpus, memGb - room.memGb);
        }

        Room plus(Room room) {
            return new Room(cpus + room.cpus, gpus + room.gpus, memGb + room.memGb);
        }

        boolean fits(Room room) {
            return cpus + EPSILON >= room.cpus && gpus + EPSILON >= room.gpus && memGb + EPSILON >= room.memGb;
        }
    }

    /** Whether a task may run on a machine, its room left aside. */
    public interface Allowed {
        boolean on(TaskId task, MachineId host);
    }

    /**
     * A task that may be moved.
     *
     * @param cost of moving it, in GPU seconds: out of service while it saves, is proved gone and fetches its image, and what it loses
     */
    public record Movable(TaskId task, Room takes, double cost) {}

    /** @param mayTake whether the large task may run there at all */
    public record Machine(MachineId host, Room free, boolean mayTake, List<Movable> movable) {}

    /** One task's way. */
    public record Move(TaskId task, MachineId to) {}

    /** @param cost in GPU seconds */
    public record Found(MachineId host, List<Move> moves, double cost) {}

    private Moves() {}

    /** The cheapest, or null: nothing makes room, or there is room already. */
    public static Found cheapest(Room need, List<Machine> machines, Allowed allowed, Sizes sizes) {
        List<Machine> lacking = new ArrayList<>();
        for (Machine machine : machines) {
            if (machine.mayTake && machine.free.fits(need)) {
                return null;
            }
            if (machine.mayTake && !machine.movable.isEmpty()) {
                lacking.add(machine);
            }
        }
        lacking.sort(Comparator.comparingDouble((Machine m) -> need.gpus - m.free.gpus)
                .thenComparing(Machine::host));
        Found best = null;
        for (Machine machine : lacking.subList(0, Math.min(MOST_MACHINES, lacking.size()))) {
            Found f = on(machine, need, machines, allowed, sizes, best == null ? Double.MAX_VALUE : best.cost);
            best = f == null ? best : f;
        }
        return best;
    }

    private static Found on(
            Machine machine, Room need, List<Machine> machines, Allowed allowed, Sizes sizes, double below) {
        List<Movable> tasks = machine.movable.stream()
                .sorted(Comparator.comparingDouble(Movable::cost).thenComparing(t -> t.task.toString()))
                .limit(MOST_WEIGHED)
                .toList();
        Found best = null;
        for (int set = 1; set < 1 << tasks.size(); set++) {
            Room free = machine.free;
            double cost = 0;
            for (int i = 0; i < tasks.size(); i++) {
                if ((set >> i & 1) == 1) {
                    free = free.plus(tasks.get(i).takes);
                    cost += tasks.get(i).cost;
                }
            }
            if (cost >= (best == null ? below : best.cost) || !free.fits(need)) {
                continue;
            }
            List<Move> moves = placed(machine, tasks, set, need, machines, allowed, sizes);
            if (moves != null) {
                best = new Found(machine.host, moves, cost);
            }
        }
        return best;
    }

    /** A place for each, the largest first, where it breaks least; null where one has none. */
    private static List<Move> placed(
            Machine from,
            List<Movable> tasks,
            int set,
            Room need,
            List<Machine> machines,
            Allowed allowed,
            Sizes sizes) {
        List<Movable> out = new ArrayList<>();
        for (int i = 0; i < tasks.size(); i++) {
            if ((set >> i & 1) == 1) {
                out.add(tasks.get(i));
            }
        }
        out.sort(Comparator.comparingDouble((Movable t) -> -t.takes.gpus));
        Map<MachineId, Room> left = new HashMap<>();
        List<Move> moves = new ArrayList<>();
        for (Movable movable : out) {
            Machine best = null;
            double least = 0;
            for (Machine machine : machines) {
                Room free = left.getOrDefault(machine.host, machine.free);
                if (machine == from
                        || !free.fits(movable.takes)
                        || !allowed.on(movable.task, machine.host)
                        || machine.mayTake && free.fits(need)) {
                    continue;
                }
                double broken = sizes.broken(free.gpus, movable.takes.gpus);
                if (best == null
                        || broken < least - EPSILON
                        || broken < least + EPSILON
                                && free.gpus < left.getOrDefault(best.host, best.free).gpus - EPSILON) {
                    best = machine;
                    least = broken;
                }
            }
            if (best == null) {
                return null;
            }
            left.put(best.host, left.getOrDefault(best.host, best.free).less(movable.takes));
            moves.add(new Move(movable.task, best.host));
        }
        return moves;
    }
}
