package org.beechhoist.packing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.TaskId;

/**
 * Finds the cheapest moves of tasks after which one large task fits on one machine. For each machine all sets of its
 * movable tasks are compared; each task of a set must fit on another machine, but not on one that already has space
 * for the large task. Machines that lack the fewest GPUs are tried first.
 */
public final class DefragmentationSearch {
    /** Maximum number of movable tasks per machine, the cheapest ones, of which all sets are compared. */
    private static final int MAX_TASKS = 10;
    /** Maximum number of machines that are tried: those that lack the fewest GPUs. */
    private static final int MAX_MACHINES = 24;

    private static final double EPSILON = 1e-6;

    /** The free resources of a machine, or the resources that a task uses. */
    public record Resources(double cpus, double gpus, double memGb) {
        Resources minus(Resources other) {
            return new Resources(cpus - other.cpus, gpus - other.gpus, memGb - other.memGb);
        }

        Resources plus(Resources other) {
            return new Resources(cpus + other.cpus, gpus + other.gpus, memGb + other.memGb);
        }

        boolean canHold(Resources need) {
            return cpus + EPSILON >= need.cpus && gpus + EPSILON >= need.gpus && memGb + EPSILON >= need.memGb;
        }
    }

    /** Decides whether a task may run on a machine, regardless of free resources. */
    public interface PlacementRule {
        /** Returns whether the task may run on the machine. */
        boolean allows(TaskId task, MachineId machine);
    }

    /**
     * A task that may be moved.
     *
     * @param costGpuS cost of moving it, in GPU seconds: the time during which it does no work (saving a
     *     checkpoint, confirming that it has stopped, fetching its image) and the work that it loses
     */
    public record MovableTask(TaskId task, Resources resources, double costGpuS) {}

    /**
     * A machine and the tasks on it that may be moved.
     *
     * @param allowsLargeTask whether the large task may run there, regardless of free resources
     */
    public record MachineSnapshot(MachineId id, Resources free, boolean allowsLargeTask, List<MovableTask> movable) {}

    /** The move of one task to a machine. */
    public record Move(TaskId task, MachineId to) {}

    /**
     * The moves after which the large task fits on a machine.
     *
     * @param costGpuS cost of all moves, in GPU seconds
     */
    public record Result(MachineId machine, List<Move> moves, double costGpuS) {}

    private final Resources need;
    private final List<MachineSnapshot> machines;
    private final PlacementRule rule;
    private final GpuSizeDistribution sizes;

    private DefragmentationSearch(
            Resources need, List<MachineSnapshot> machines, PlacementRule rule, GpuSizeDistribution sizes) {
        this.need = need;
        this.machines = machines;
        this.rule = rule;
        this.sizes = sizes;
    }

    /** Returns the cheapest moves, or null if no moves suffice or the large task already fits on a machine. */
    public static Result findCheapest(
            Resources need, List<MachineSnapshot> machines, PlacementRule rule, GpuSizeDistribution sizes) {
        return new DefragmentationSearch(need, machines, rule, sizes).findCheapest();
    }

    private Result findCheapest() {
        List<MachineSnapshot> lacking = new ArrayList<>();
        for (MachineSnapshot machine : machines) {
            if (machine.allowsLargeTask && machine.free.canHold(need)) {
                return null;
            }
            if (machine.allowsLargeTask && !machine.movable.isEmpty()) {
                lacking.add(machine);
            }
        }
        lacking.sort(Comparator.comparingDouble((MachineSnapshot machine) -> need.gpus - machine.free.gpus)
                .thenComparing(MachineSnapshot::id));
        Result best = null;
        for (MachineSnapshot machine : lacking.subList(0, Math.min(MAX_MACHINES, lacking.size()))) {
            Result found = cheapestFor(machine, best == null ? Double.MAX_VALUE : best.costGpuS);
            best = found == null ? best : found;
        }
        return best;
    }

    /** Returns the cheapest moves off the machine that cost less than {@code below}, or null. */
    private Result cheapestFor(MachineSnapshot machine, double below) {
        List<MovableTask> tasks = machine.movable.stream()
                .sorted(Comparator.comparingDouble(MovableTask::costGpuS)
                        .thenComparing(movable -> movable.task.toString()))
                .limit(MAX_TASKS)
                .toList();
        Result best = null;
        for (int set = 1; set < 1 << tasks.size(); set++) {
            Resources free = machine.free;
            double cost = 0;
            for (int i = 0; i < tasks.size(); i++) {
                if (contains(set, i)) {
                    free = free.plus(tasks.get(i).resources);
                    cost += tasks.get(i).costGpuS;
                }
            }
            if (cost >= (best == null ? below : best.costGpuS) || !free.canHold(need)) {
                continue;
            }
            List<Move> moves = findTargets(machine, tasks, set);
            if (moves != null) {
                best = new Result(machine.id, moves, cost);
            }
        }
        return best;
    }

    /** Returns whether a set, a bit mask with one bit per task, contains the task at this index. */
    private static boolean contains(int set, int index) {
        return (set >> index & 1) == 1;
    }

    /** Returns a target machine for each task of the set, the largest first, or null if one task fits nowhere. */
    private List<Move> findTargets(MachineSnapshot from, List<MovableTask> tasks, int set) {
        List<MovableTask> moving = new ArrayList<>();
        for (int i = 0; i < tasks.size(); i++) {
            if (contains(set, i)) {
                moving.add(tasks.get(i));
            }
        }
        moving.sort(Comparator.comparingDouble((MovableTask movable) -> -movable.resources.gpus));
        Map<MachineId, Resources> left = new HashMap<>();
        List<Move> moves = new ArrayList<>();
        for (MovableTask movable : moving) {
            MachineSnapshot target = findTarget(from, movable, left);
            if (target == null) {
                return null;
            }
            left.put(target.id, left.getOrDefault(target.id, target.free).minus(movable.resources));
            moves.add(new Move(movable.task, target.id));
        }
        return moves;
    }

    /**
     * Returns the machine on which the task fragments the fewest GPUs, and of equal ones the one with the fewest
     * free GPUs; null if there is none.
     *
     * @param left the free resources of the machines to which other tasks of the set are moved
     */
    private MachineSnapshot findTarget(MachineSnapshot from, MovableTask movable, Map<MachineId, Resources> left) {
        MachineSnapshot best = null;
        double least = 0;
        for (MachineSnapshot machine : machines) {
            Resources free = left.getOrDefault(machine.id, machine.free);
            if (machine == from
                    || !free.canHold(movable.resources)
                    || !rule.allows(movable.task, machine.id)
                    || machine.allowsLargeTask && free.canHold(need)) {
                continue;
            }
            double fragmented = sizes.fragmentationChange(free.gpus, movable.resources.gpus);
            if (best == null
                    || fragmented < least - EPSILON
                    || fragmented < least + EPSILON
                            && free.gpus < left.getOrDefault(best.id, best.free).gpus - EPSILON) {
                best = machine;
                least = fragmented;
            }
        }
        return best;
    }
}
