package org.beechhoist.triage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.beechhoist.wire.JobId;
import org.junit.jupiter.api.Test;

/** Seeded draws against what trying every set of jobs finds. */
class TriageTest {
    private static final long NOW = 1_000_000;

    private static Demand demand(int i, String jobClass, double cpuMs, long dueInMs, boolean keep) {
        return new Demand(
                new JobId("job-" + i),
                Set.of("class:" + jobClass),
                0,
                "blue",
                cpuMs,
                0,
                1000,
                NOW + dueInMs,
                false,
                keep);
    }

    private static Capacity capacity(double cpus) {
        return new Capacity(NOW, cpus, 0, 0, 0, Map.of(), Map.of());
    }

    /** With one class as many are kept as any choice of jobs could have in time, give or take the one by which lines are coarse. */
    @Test
    void asManyAreKeptAsCanBeInTime() {
        SplittableRandom random = new SplittableRandom(7);
        int left = 0;
        for (int round = 0; round < 300; round++) {
            List<Demand> all = new ArrayList<>();
            int n = random.nextInt(1, 11);
            for (int i = 0; i < n; i++) {
                all.add(demand(i, "one", 1000 * random.nextInt(1, 40), random.nextInt(2000, 12_000), false));
            }
            Set<JobId> behind = ShedJobSelector.select(all, capacity(10));
            List<Demand> kept =
                    all.stream().filter(d -> !behind.contains(d.job())).toList();
            assertTrue(inTime(kept, 10), "round " + round + ": not all that are kept can be in time");
            int best = 0;
            for (int set = 0; set < 1 << n; set++) {
                int s = set;
                List<Demand> some =
                        all.stream().filter(d -> (s >> all.indexOf(d) & 1) == 1).toList();
                best = some.size() > best && inTime(some, 10) ? some.size() : best;
            }
            assertEquals(best, kept.size(), "round " + round);
            left += behind.size();
        }
        assertTrue(left > 100, left + " were left behind in all");
    }

    private static boolean inTime(List<Demand> some, double cpus) {
        double sum = 0;
        List<Demand> byDue = new ArrayList<>(some);
        byDue.sort((a, b) -> Long.compare(a.deadlineMs(), b.deadlineMs()));
        for (Demand d : byDue) {
            sum += d.cpuMs();
            if (NOW + Math.max(1250, sum / (0.9 * cpus) + 625) > d.deadlineMs() + 1e-6) {
                return false;
            }
        }
        return true;
    }

    /** The largest go first, but not all of them: each class keeps its half where the machines suffice for that. */
    @Test
    void noClassIsTheOneAlwaysLeftBehind() {
        SplittableRandom random = new SplittableRandom(3);
        for (int round = 0; round < 100; round++) {
            List<Demand> all = new ArrayList<>();
            double sum = 0;
            for (int i = 0; i < 60; i++) {
                double cpuMs = i % 3 == 0 ? 32_000 : i % 3 == 1 ? 8000 : 4000;
                sum += cpuMs;
                all.add(demand(i, "class" + i % 3, cpuMs, 20_000 + random.nextInt(4000), false));
            }
            Set<JobId> behind = ShedJobSelector.select(all, capacity(sum * 0.7 / 20_000));
            Map<String, Integer> kept = new HashMap<>();
            all.stream()
                    .filter(d -> !behind.contains(d.job()))
                    .forEach(d -> kept.merge(d.groups().toString(), 1, Integer::sum));
            assertTrue(!behind.isEmpty(), "there is more than the machines can do");
            assertEquals(3, kept.size(), kept.toString());
            assertTrue(kept.values().stream().allMatch(k -> k >= 10), "round " + round + ": " + kept + " of 20 each");
        }
    }

    /** What has begun, may have more machines, or is not late is not left behind; nor is anybody without overload. */
    @Test
    void whoIsKept() {
        List<Demand> all = new ArrayList<>(List.of(
                demand(0, "one", 90_000, 5000, true),
                demand(1, "one", 90_000, 5000, false),
                demand(2, "one", 1000, 5000, false)));
        assertEquals(Set.of(new JobId("job-1"), new JobId("job-2")), ShedJobSelector.select(all, capacity(10)));
        assertEquals(Set.of(), ShedJobSelector.select(all, capacity(1000)));
        assertEquals(
                Set.of(), ShedJobSelector.select(all, capacity(0)), "no machine is no reason to leave anybody behind");
    }

    /** A team's own limit leaves its jobs behind, and nobody else's. */
    @Test
    void aTeamsLimitIsItsOwn() {
        List<Demand> all = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            all.add(new Demand(
                    new JobId("job-" + i),
                    Set.of("team:" + i % 2),
                    0,
                    i % 2 == 0 ? "red" : "blue",
                    10_000,
                    0,
                    1000,
                    NOW + 6000,
                    false,
                    false));
        }
        Set<JobId> behind = ShedJobSelector.select(
                all, new Capacity(NOW, 1000, 0, 0, 0, Map.of("red", new Capacity.TeamQuota(5, 0)), Map.of()));
        Set<JobId> reds = new HashSet<>();
        all.stream().filter(d -> d.team().equals("red")).forEach(d -> reds.add(d.job()));
        assertTrue(!behind.isEmpty() && reds.containsAll(behind), behind.toString());
    }

    /** GPUs run short though CPUs are plenty: of what needs them, and nothing else, the largest is left behind. */
    @Test
    void gpusAreALineOfTheirOwn() {
        List<Demand> all = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            all.add(new Demand(
                    new JobId("job-" + i),
                    Set.of("class:" + i % 2),
                    0,
                    "blue",
                    4000,
                    i % 2 == 0 ? 8000 + i : 0,
                    1000,
                    NOW + 6000,
                    false,
                    false));
        }
        Set<JobId> behind = ShedJobSelector.select(all, new Capacity(NOW, 1000, 0, 4, 0, Map.of(), Map.of()));
        assertTrue(behind.size() >= 2 && behind.size() <= 4, behind.toString());
        assertTrue(behind.stream().allMatch(j -> Integer.parseInt(j.text().substring(4)) % 2 == 0), behind.toString());
        assertTrue(behind.contains(new JobId("job-10")), "the largest by GPUs: " + behind);
    }
}
