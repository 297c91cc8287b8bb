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

/** Compares the selection for seeded random jobs with the best of all sets of jobs. */
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

    /** With one class, as many jobs are kept as the largest set of jobs that can finish in time. */
    @Test
    void asManyJobsAreKeptAsCanFinishInTime() {
        SplittableRandom random = new SplittableRandom(7);
        int shedCount = 0;
        for (int round = 0; round < 300; round++) {
            List<Demand> all = new ArrayList<>();
            int n = random.nextInt(1, 11);
            for (int i = 0; i < n; i++) {
                all.add(demand(i, "one", 1000 * random.nextInt(1, 40), random.nextInt(2000, 12_000), false));
            }
            Set<JobId> shed = ShedJobSelector.select(all, capacity(10));
            List<Demand> kept =
                    all.stream().filter(d -> !shed.contains(d.job())).toList();
            assertTrue(inTime(kept, 10), "round " + round + ": not all kept jobs can finish in time");
            int best = 0;
            for (int set = 0; set < 1 << n; set++) {
                int s = set;
                List<Demand> some =
                        all.stream().filter(d -> (s >> all.indexOf(d) & 1) == 1).toList();
                best = some.size() > best && inTime(some, 10) ? some.size() : best;
            }
            assertEquals(best, kept.size(), "round " + round);
            shedCount += shed.size();
        }
        assertTrue(shedCount > 100, shedCount + " jobs were shed in total");
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

    /**
     * The largest jobs are shed first, but not all of them: each class keeps half of its jobs if the machines suffice
     * for that.
     */
    @Test
    void everyClassKeepsHalfOfItsJobsIfTheMachinesSuffice() {
        SplittableRandom random = new SplittableRandom(3);
        for (int round = 0; round < 100; round++) {
            List<Demand> all = new ArrayList<>();
            double sum = 0;
            for (int i = 0; i < 60; i++) {
                double cpuMs = i % 3 == 0 ? 32_000 : i % 3 == 1 ? 8000 : 4000;
                sum += cpuMs;
                all.add(demand(i, "class" + i % 3, cpuMs, 20_000 + random.nextInt(4000), false));
            }
            Set<JobId> shed = ShedJobSelector.select(all, capacity(sum * 0.7 / 20_000));
            Map<String, Integer> kept = new HashMap<>();
            all.stream()
                    .filter(d -> !shed.contains(d.job()))
                    .forEach(d -> kept.merge(d.groups().toString(), 1, Integer::sum));
            assertTrue(!shed.isEmpty(), "the demand exceeds the capacity");
            assertEquals(3, kept.size(), kept.toString());
            assertTrue(kept.values().stream().allMatch(k -> k >= 10), "round " + round + ": " + kept + " of 20 each");
        }
    }

    /** A job that has started, may get more machines, or is not late is not shed, and no job is shed without overload. */
    @Test
    void jobsThatMustBeKeptAreNotShedAndNoneIsShedWithoutOverload() {
        List<Demand> all = new ArrayList<>(List.of(
                demand(0, "one", 90_000, 5000, true),
                demand(1, "one", 90_000, 5000, false),
                demand(2, "one", 1000, 5000, false)));
        assertEquals(Set.of(new JobId("job-1"), new JobId("job-2")), ShedJobSelector.select(all, capacity(10)));
        assertEquals(Set.of(), ShedJobSelector.select(all, capacity(1000)));
        assertEquals(Set.of(), ShedJobSelector.select(all, capacity(0)), "without machines no job is shed");
    }

    /** A team's quota sheds jobs of that team only. */
    @Test
    void teamQuotaShedsOnlyJobsOfThatTeam() {
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
        Set<JobId> shed = ShedJobSelector.select(
                all, new Capacity(NOW, 1000, 0, 0, 0, Map.of("red", new Capacity.TeamQuota(5, 0)), Map.of()));
        Set<JobId> reds = new HashSet<>();
        all.stream().filter(d -> d.team().equals("red")).forEach(d -> reds.add(d.job()));
        assertTrue(!shed.isEmpty() && reds.containsAll(shed), shed.toString());
    }

    /** If GPUs are short but CPUs are not, the largest jobs that need GPUs are shed, and no other jobs. */
    @Test
    void gpuShortageShedsOnlyJobsThatNeedGpus() {
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
        Set<JobId> shed = ShedJobSelector.select(all, new Capacity(NOW, 1000, 0, 4, 0, Map.of(), Map.of()));
        assertTrue(shed.size() >= 2 && shed.size() <= 4, shed.toString());
        assertTrue(shed.stream().allMatch(j -> Integer.parseInt(j.text().substring(4)) % 2 == 0), shed.toString());
        assertTrue(shed.contains(new JobId("job-10")), "the largest by GPUs: " + shed);
    }
}
