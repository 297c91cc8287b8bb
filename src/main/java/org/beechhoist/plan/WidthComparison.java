package org.beechhoist.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.wire.MachineId;

/**
 * Compares widths of an elastic job within one plan. The cost of a width is the price of keeping machines that would
 * otherwise be returned, minus the cost of the work done there at the lowest price, plus the cost of being late.
 */
final class WidthComparison {
    /** Maximum number of widths tried for one job in one plan. */
    private static final int MAX_CANDIDATE_COUNT = 5;
    /**
     * Costs that differ by less than this fraction of the value of the work are treated as equal, because the last
     * round of tasks seldom fills a machine.
     */
    private static final double COST_TOLERANCE = 0.1;

    private static final double MS_PER_HOUR = 3_600_000;

    /**
     * The cost of one width.
     *
     * @param netCost the total cost minus the value of the work
     * @param workValue the value of the work that was placed
     */
    record WidthCost(int width, double netCost, double workValue, long finishMs) {}

    private WidthComparison() {}

    /** Returns the widths to compare: the smallest, then the largest and widths obtained by repeatedly halving the range. */
    static List<Integer> candidateWidths(WidthOptions options) {
        if (options.fixedWidth() != null) {
            return List.of(Math.max(options.from(), Math.min(options.most(), options.fixedWidth())));
        }
        List<Integer> widths = new ArrayList<>();
        widths.add(options.from());
        for (int width = options.most();
                width > options.from() && widths.size() < MAX_CANDIDATE_COUNT;
                width = options.from() + (width - options.from()) / 2) {
            widths.add(width);
        }
        return widths;
    }

    /**
     * Returns the cost of a width.
     *
     * @param made the reservations that were made under this width
     * @param busyUntil when each machine would become idle without them
     */
    static WidthCost costOf(
            Plan.Entry entry,
            WidthOptions options,
            int width,
            List<Plan.Reservation> made,
            Map<MachineId, PlanMachine> machines,
            Map<MachineId, Long> busyUntil,
            long nowMs) {
        Map<MachineId, Long> lastEnds = new HashMap<>();
        double cpuMs = 0;
        long end = nowMs;
        for (Plan.Reservation reservation : made) {
            lastEnds.merge(reservation.machine(), reservation.endMs(), Math::max);
            cpuMs +=
                    (reservation.endMs() - reservation.beginMs()) * entry.spec().cpus();
            end = Math.max(end, reservation.endMs());
        }
        double keeping = 0;
        for (Map.Entry<MachineId, Long> lastEnd : lastEnds.entrySet()) {
            PlanMachine machine = machines.get(lastEnd.getKey());
            long longer = Math.max(0, lastEnd.getValue() - Math.max(nowMs, busyUntil.getOrDefault(machine.id, nowMs)));
            keeping += machine.type.priceOf(machine.spot) * longer / MS_PER_HOUR;
        }
        double work = cpuMs * options.lowestCostPerCpu() / MS_PER_HOUR;
        int left = entry.waiting() - made.size();
        long finish = finishMs(end, left, width, entry.lengthMs());
        double late = options.deadlineMs() == Long.MAX_VALUE
                ? 0
                : Math.max(0, Math.min(finish - options.deadlineMs(), MS_PER_HOUR));
        double perMs = options.latenessWeight()
                * options.most()
                * entry.spec().cpus()
                * options.lowestCostPerCpu()
                / MS_PER_HOUR;
        return new WidthCost(width, keeping - work + late * perMs, work, finish);
    }

    /** Returns when a job with {@code left} remaining tasks after {@code end} is done. */
    private static long finishMs(long end, int left, int width, long lengthMs) {
        if (left <= 0) {
            return end;
        }
        return width == 0 ? Long.MAX_VALUE : end + (left + width - 1) / width * lengthMs;
    }

    /** Returns the cheapest width; of several with about the same cost, the one that is done first. */
    static WidthCost cheapest(List<WidthCost> all) {
        WidthCost best = all.get(0);
        for (WidthCost result : all) {
            double tie = COST_TOLERANCE * Math.max(result.workValue(), best.workValue());
            boolean aboutEqual = Math.abs(result.netCost() - best.netCost()) <= tie;
            if (aboutEqual ? result.finishMs() < best.finishMs() : result.netCost() < best.netCost()) {
                best = result;
            }
        }
        return best;
    }
}
