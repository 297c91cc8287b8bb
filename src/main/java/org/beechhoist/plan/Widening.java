package org.beechhoist.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.wire.MachineId;

/**
 * What a width is worth in one plan: the money of keeping machines that would else go, less what the work done there
 * would cost at the lowest price, plus what being late costs.
 */
final class Widening {
    /** Widths tried for one job in one plan. */
    private static final int MAX_TRIED = 5;
    /** Costs closer than this share of the work are alike: the last round of tasks seldom fills a machine. */
    private static final double ALIKE = 0.1;

    private static final double MS_PER_HOUR = 3_600_000;

    /** A width's cost. */
    record Outcome(int width, double cost, double work, long finishMs) {}

    private Widening() {}

    static List<Integer> candidates(Plan.Wish wish) {
        if (wish.fixed() != null) {
            return List.of(Math.max(wish.from(), Math.min(wish.most(), wish.fixed())));
        }
        List<Integer> out = new ArrayList<>();
        out.add(wish.from());
        for (int width = wish.most();
                width > wish.from() && out.size() < MAX_TRIED;
                width = wish.from() + (width - wish.from()) / 2) {
            out.add(width);
        }
        return out;
    }

    static Outcome outcome(
            Plan.Entry entry,
            Plan.Wish wish,
            int width,
            List<Plan.Reservation> made,
            Map<MachineId, PlanHost> hosts,
            Map<MachineId, Long> busyUntil,
            long nowMs) {
        Map<MachineId, Long> ours = new HashMap<>();
        double cpuMs = 0;
        long end = nowMs;
        for (Plan.Reservation reservation : made) {
            ours.merge(reservation.host(), reservation.endMs(), Math::max);
            cpuMs +=
                    (reservation.endMs() - reservation.beginMs()) * entry.spec().cpus();
            end = Math.max(end, reservation.endMs());
        }
        double keeping = 0;
        for (Map.Entry<MachineId, Long> mine : ours.entrySet()) {
            PlanHost machine = hosts.get(mine.getKey());
            long longer = Math.max(0, mine.getValue() - Math.max(nowMs, busyUntil.getOrDefault(machine.id, nowMs)));
            keeping += machine.type.priceOf(machine.spot) * longer / MS_PER_HOUR;
        }
        double work = cpuMs * wish.lowestCostPerCpu() / MS_PER_HOUR;
        int left = entry.waiting() - made.size();
        long finish =
                left <= 0 ? end : width == 0 ? Long.MAX_VALUE : end + (left + width - 1) / width * entry.lengthMs();
        double late =
                wish.untilMs() == Long.MAX_VALUE ? 0 : Math.max(0, Math.min(finish - wish.untilMs(), MS_PER_HOUR));
        double perMs = wish.worth() * wish.most() * entry.spec().cpus() * wish.lowestCostPerCpu() / MS_PER_HOUR;
        return new Outcome(width, keeping - work + late * perMs, work, finish);
    }

    /** The cheapest; where several are alike, the one that is done first. */
    static Outcome best(List<Outcome> all) {
        Outcome best = all.get(0);
        for (Outcome result : all) {
            double tie = ALIKE * Math.max(result.work(), best.work());
            boolean alike = Math.abs(result.cost() - best.cost()) <= tie;
            if (alike ? result.finishMs() < best.finishMs() : result.cost() < best.cost()) {
                best = result;
            }
        }
        return best;
    }
}
