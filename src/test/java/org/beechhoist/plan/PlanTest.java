package org.beechhoist.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.MalformedMessageException;
import org.junit.jupiter.api.Test;

class PlanTest {
    private static final long NOW = 1_000_000;
    private static final MachineType SMALL =
            new MachineType("small", 4, 0, 16, 20, 1, 0.2, 0.05, 10, List.of("a", "b"));
    private static final MachineType BIG = new MachineType("big", 16, 0, 64, 20, 1, 0.8, 0.2, 10, List.of("a", "b"));

    private static JobSpec spec(int n, String shape, int tasks, double cpus, double gb, boolean same, boolean apart) {
        try {
            return JobSpec.parse(Codec.map()
                    .put("ref", "job-" + n)
                    .put("jobclass", "c")
                    .put("owner", n % 2 == 0 ? "red" : "blue")
                    .put("shape", shape)
                    .put("urgency", "normal")
                    .put("pieces", tasks)
                    .put("cores", cpus)
                    .put("accelerators", 0)
                    .put("memGb", cpus)
                    .put("bundle", "img-" + n % 3)
                    .put("pullGb", gb)
                    .put("samePlace", same)
                    .put("apart", apart)
                    .put("loaner", n % 5 > 0)
                    .put("guessS", 10)
                    .put("snapshotEveryS", 0)
                    .put("snapshotCostS", 0));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Plan.Entry entry(JobSpec s, long length) {
        return new Plan.Entry(s.id(), s, s.tasks(), length, Map.of(), 0, 0);
    }

    private record RandomPlan(Plan plan, List<PlanMachine> machines, List<Plan.Entry> entries) {}

    private static RandomPlan random(long seed) {
        SplittableRandom r = new SplittableRandom(seed);
        List<PlanMachine> machines = new ArrayList<>();
        for (int i = 0; i < 2 + r.nextInt(6); i++) {
            boolean up = r.nextInt(4) > 0;
            machines.add(new PlanMachine(
                    new MachineId("m-" + i),
                    r.nextBoolean() ? SMALL : BIG,
                    r.nextBoolean() ? "a" : "b",
                    r.nextBoolean(),
                    up,
                    up ? NOW : NOW + r.nextInt(30_000)));
            if (r.nextBoolean()) {
                machines.get(i).occupy(NOW + r.nextInt(60_000), 2, 0, 2);
            }
        }
        Plan plan = new Plan(NOW, machines);
        plan.setTeamQuota("red", 10, 0);
        plan.setTeamQuota("blue", Double.POSITIVE_INFINITY, 0);
        List<Plan.Entry> entries = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            JobSpec s = spec(
                    i,
                    r.nextInt(4) == 0 ? "gang" : "array",
                    1 + r.nextInt(5),
                    1 + r.nextInt(4),
                    r.nextInt(3),
                    r.nextInt(5) == 0,
                    r.nextInt(5) == 0);
            entries.add(entry(s, 1000 + r.nextInt(50_000)));
            plan.place(entries.get(i));
        }
        return new RandomPlan(plan, machines, entries);
    }

    @Test
    void plansNeverExceedCapacityOrBreakPlacementRules() {
        int planned = 0;
        for (long seed = 0; seed < 300; seed++) {
            RandomPlan m = random(seed);
            planned += m.plan.reservations().size();
            for (Plan.Reservation at : m.plan.reservations()) {
                long t = at.startMs();
                double red = 0;
                Map<MachineId, Double> used = new java.util.HashMap<>();
                for (Plan.Reservation r : m.plan.reservations()) {
                    if (r.startMs() <= t && t < r.endMs()) {
                        used.merge(r.machine(), r.spec().cpus(), Double::sum);
                        red += r.spec().team().equals("red") ? r.spec().cpus() : 0;
                    }
                    PlanMachine h = m.machines.stream()
                            .filter(x -> x.id.equals(r.machine()))
                            .findFirst()
                            .orElseThrow();
                    assertTrue(r.spec().spot() || !h.spot, "seed " + seed);
                    assertTrue(r.startMs() >= h.readyMs, "seed " + seed);
                }
                assertTrue(red <= 10 + 1e-6, "seed " + seed + ": red has " + red);
                for (PlanMachine h : m.machines) {
                    assertTrue(used.getOrDefault(h.id, 0.0) <= h.type.cpus() + 1e-6, "seed " + seed + " on " + h.id);
                }
            }
            for (Plan.Entry e : m.entries) {
                List<Plan.Reservation> own = m.plan.reservations().stream()
                        .filter(r -> r.job().equals(e.job()))
                        .toList();
                long zones = own.stream().map(Plan.Reservation::zone).distinct().count();
                assertTrue(!e.spec().sameZone() || zones <= 1, "seed " + seed);
                for (String z : List.of("a", "b")) {
                    long in = own.stream().filter(r -> r.zone().equals(z)).count();
                    assertTrue(!e.spec().antiAffinity() || in <= (e.spec().tasks() + 1) / 2, "seed " + seed);
                }
                if (e.spec().isGang()) {
                    assertTrue(
                            own.stream()
                                            .map(Plan.Reservation::startMs)
                                            .distinct()
                                            .count()
                                    <= 1,
                            "seed " + seed);
                    assertTrue(own.isEmpty() || own.size() == e.spec().tasks(), "seed " + seed);
                }
            }
        }
        assertTrue(planned > 3000, "only " + planned + " reservations planned");
    }

    /** Compares the earliest fit with a search over every millisecond on a small machine. */
    @Test
    void earliestFitMatchesExhaustiveSearch() {
        for (long seed = 0; seed < 500; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            AvailabilityProfile p = new AvailabilityProfile(0, 4, 0, 100);
            double[] free = new double[200];
            java.util.Arrays.fill(free, 4);
            for (int i = 0; i < 8; i++) {
                int from = r.nextInt(100);
                int to = from + 1 + r.nextInt(30);
                double c = 1 + r.nextInt(2);
                boolean fits = true;
                for (int t = from; t < to; t++) {
                    fits &= free[t] >= c;
                }
                if (fits) {
                    p.reserve(from, to, c, 0, 0);
                    for (int t = from; t < to; t++) {
                        free[t] -= c;
                    }
                }
            }
            int at = r.nextInt(100);
            int length = 1 + r.nextInt(30);
            double c = 1 + r.nextInt(4);
            int expected = at;
            for (int run = 0, t = at; run < length; t++) {
                boolean fits = t >= 200 || free[t] >= c;
                run = fits ? run + 1 : 0;
                expected = fits ? expected : t + 1;
            }
            assertEquals(expected, p.earliest(at, length, c, 0, 0), "seed " + seed);
        }
    }

    @Test
    void placingAnEntryKeepsEarlierReservations() {
        for (long seed = 0; seed < 100; seed++) {
            RandomPlan m = random(seed);
            List<Plan.Reservation> before = new ArrayList<>(m.plan.reservations());
            m.plan.place(entry(spec(99, "array", 8, 2, 1, false, false), 20_000));
            assertEquals(before, m.plan.reservations().subList(0, before.size()), "seed " + seed);
        }
    }

    /** If running tasks end earlier than planned, rebuilding the plan in start order delays no entry's first start. */
    @Test
    void earlierEndsDelayNoFirstStart() {
        for (long seed = 0; seed < 100; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            long busy = NOW + 20_000 + r.nextInt(20_000);
            List<Plan.Entry> entries = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                entries.add(entry(spec(2 * i + 1, "array", 1, 2, 0, false, false), 5000 + r.nextInt(20_000)));
            }
            Map<JobId, Long> first = starts(entries, busy);
            entries.sort(java.util.Comparator.comparing((Plan.Entry e) -> first.get(e.job())));
            Map<JobId, Long> again = starts(entries, busy);
            Map<JobId, Long> sooner = starts(entries, busy - 10_000);
            again.forEach((job, at) -> assertTrue(sooner.get(job) <= at, job::toString));
        }
    }

    private static Map<JobId, Long> starts(List<Plan.Entry> entries, long busyUntil) {
        PlanMachine h = new PlanMachine(new MachineId("m-1"), SMALL, "a", false, true, NOW);
        h.occupy(busyUntil, 4, 0, 4);
        Plan plan = new Plan(NOW, List.of(h));
        entries.forEach(plan::place);
        Map<JobId, Long> out = new java.util.HashMap<>();
        entries.forEach(e -> out.put(e.job(), plan.plannedStart(e.job())));
        return out;
    }

    @Test
    void equalInputsGiveEqualPlans() {
        assertEquals(random(5).plan.reservations(), random(5).plan.reservations());
    }

    @Test
    void hugeArrayIsPlannedUpToTheTaskLimit() {
        PlanMachine h = new PlanMachine(new MachineId("m-1"), BIG, "a", false, true, NOW);
        Plan plan = new Plan(NOW, List.of(h));
        JobSpec s = spec(1, "array", 100_000, 1, 0, false, false);
        plan.place(entry(s, 1000));
        assertTrue(plan.reservations().size() <= Plan.MAX_TASKS_PER_ENTRY);
        assertEquals(100_000 - plan.reservations().size(), plan.unplacedCount(s.id()));
    }

    private static WidthOptions widthOptions(int from, int most, long until) {
        return new WidthOptions(from, most, until, 4, BIG.priceOf(true) / 16, null);
    }

    /**
     * An elastic job uses a whole idle machine, but does not keep a machine for a small part of it unless it would be
     * late.
     */
    @Test
    void widthWithLowestCostIsSelected() {
        JobSpec s = spec(1, "array", 200, 1, 0, false, false);
        PlanMachine idle = new PlanMachine(new MachineId("m-1"), BIG, "a", true, true, NOW);
        idle.allowElasticGrowth();
        Plan full = new Plan(NOW, List.of(idle));
        assertEquals(16, full.placeElastic(entry(s, 20_000), List.of(), widthOptions(0, 16, Long.MAX_VALUE)));
        assertEquals(
                16, full.reservations().stream().filter(r -> r.startMs() == NOW).count());
        assertTrue(full.reservations().stream().allMatch(Plan.Reservation::beyondGuarantee));

        PlanMachine other = new PlanMachine(new MachineId("m-2"), BIG, "a", true, true, NOW);
        other.allowElasticGrowth();
        Plan corner = new Plan(NOW, List.of(other));
        assertEquals(0, corner.placeElastic(entry(s, 20_000), List.of(), widthOptions(0, 3, Long.MAX_VALUE)));
        assertTrue(corner.reservations().isEmpty());
        assertEquals(
                3,
                corner.placeElastic(entry(s, 20_000), List.of(), widthOptions(0, 3, NOW + 600_000)),
                "a smaller width would be late");
    }

    @Test
    void widthLimitHoldsOverTimeAndOnlyMachinesThatAllowGrowthAreUsed() {
        for (long seed = 0; seed < 40; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            List<PlanMachine> machines = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                boolean up = r.nextInt(3) > 0;
                machines.add(new PlanMachine(new MachineId("m-" + i), BIG, "a", true, up, up ? NOW : NOW + 9000));
                if (up && r.nextInt(4) > 0) {
                    machines.get(i).allowElasticGrowth();
                }
            }
            Plan p = new Plan(NOW, machines);
            List<Long> live = List.of(NOW + 5000L, NOW + 40_000L);
            int width = p.placeElastic(
                    entry(spec(1, "array", 60, 2, 0, false, false), 12_000),
                    live,
                    widthOptions(2, 2 + r.nextInt(20), NOW + 60_000));
            for (Plan.Reservation at : p.reservations()) {
                long busy = p.reservations().stream()
                                .filter(o -> o.startMs() <= at.startMs() && o.endMs() > at.startMs())
                                .count()
                        + live.stream().filter(end -> end > at.startMs()).count();
                assertTrue(busy <= width, "seed " + seed + ": " + busy + " of " + width);
                assertTrue(
                        machines.stream().anyMatch(h -> h.id.equals(at.machine()) && h.up && h.allowsElasticGrowth),
                        "seed " + seed);
            }
        }
    }

    @Test
    void searchAcceptsOnlyBetterPlansAndIsDeterministic() {
        for (long seed = 0; seed < 30; seed++) {
            List<Plan.Entry> entries = random(seed).entries;
            Map<JobId, Evaluation.JobTiming> facts = new java.util.HashMap<>();
            entries.forEach(e -> facts.put(
                    e.job(), new Evaluation.JobTiming(e.spec().team(), NOW - 5000, NOW + 60_000, e.lengthMs())));
            List<Plan.Entry> first = null;
            for (int run = 0; run < 2; run++) {
                java.util.function.Function<List<Plan.Entry>, Evaluation> value = order -> {
                    Plan p = new Plan(NOW, List.of(new PlanMachine(new MachineId("m-1"), BIG, "a", false, true, NOW)));
                    p.setTeamQuota("red", 10, 0);
                    order.forEach(p::place);
                    return Evaluation.of(p, facts, Map.of());
                };
                RandomSearch<List<Plan.Entry>> s = new RandomSearch<>(
                        entries,
                        (order, r) -> RandomSearch.withRandomPosition(order, r.nextInt(order.size()), r),
                        value,
                        Evaluation.Weights.DEFAULT,
                        40,
                        new SplittableRandom(seed));
                while (!s.finished()) {
                    s.step();
                }
                Evaluation before = value.apply(entries);
                Evaluation after = value.apply(s.best());
                assertTrue(
                        s.acceptedCount() == 0 || !before.isBetterThan(after, Evaluation.Weights.DEFAULT),
                        "seed " + seed);
                assertTrue(after.lateCount() <= before.lateCount(), "seed " + seed);
                if (run == 0) {
                    first = s.best();
                } else {
                    assertEquals(first, s.best(), "seed " + seed);
                }
            }
        }
    }
}
