package org.beechhoist.floor;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.beechhoist.wire.JobId;
import org.junit.jupiter.api.Test;

class FloorTest {
    private static PrioritizedJobSelector.OpenJob waiting(int n, String group, long ends, long limit) {
        return new PrioritizedJobSelector.OpenJob(new JobId("job-" + n), Set.of(group, "team:t"), false, ends, limit);
    }

    @Test
    void noJobIsPrioritizedUnlessAGroupIsBelowTheMinimumAndAnotherFarAbove() {
        List<PrioritizedJobSelector.OpenJob> all = List.of(waiting(1, "class:a", 10, 20));
        assertEquals(
                Set.of(),
                PrioritizedJobSelector.select(
                        Map.of("class:a", new ServiceShare(10, 6), "class:b", new ServiceShare(10, 10)), all));
        assertEquals(
                Set.of(),
                PrioritizedJobSelector.select(
                        Map.of("class:a", new ServiceShare(10, 2), "class:b", new ServiceShare(100, 69)), all),
                "no group is far above");
        assertEquals(
                Set.of(),
                PrioritizedJobSelector.select(
                        Map.of("class:a", new ServiceShare(3, 0), "class:b", new ServiceShare(10, 10)), all),
                "too few due jobs");
        assertEquals(
                Set.of(),
                PrioritizedJobSelector.select(
                        Map.of("class:a", new ServiceShare(10, 2), "team:b", new ServiceShare(10, 10)), all),
                "different kinds of groups are not compared");
    }

    @Test
    void onlyAsManyJobsAsNeededThatCanFinishInTimeArePrioritized() {
        List<PrioritizedJobSelector.OpenJob> all = new ArrayList<>();
        for (int i = 1; i <= 20; i++) {
            all.add(waiting(i, "class:a", i <= 2 ? 1000 : 10, 100 + 20 - i));
        }
        all.add(waiting(99, "class:b", 10, 20));
        Map<String, ServiceShare> shares =
                Map.of("class:a", new ServiceShare(10, 5), "class:b", new ServiceShare(10, 10));
        assertEquals(3, PrioritizedJobSelector.neededJobs(new ServiceShare(10, 5)), "8 of 13 are above 0.6");
        assertEquals(
                Set.of(new JobId("job-18"), new JobId("job-19"), new JobId("job-20")),
                PrioritizedJobSelector.select(shares, all),
                "the jobs that are due first");
    }

    @Test
    void prioritizedJobsStaySoAndCountTowardsTheNeededJobs() {
        PrioritizedJobSelector.OpenJob running =
                new PrioritizedJobSelector.OpenJob(new JobId("job-50"), Set.of("class:a"), true, 900, 100);
        List<PrioritizedJobSelector.OpenJob> all = List.of(
                running, waiting(1, "class:a", 10, 30), waiting(2, "class:a", 10, 20), waiting(3, "class:a", 10, 40));
        Map<String, ServiceShare> shares =
                Map.of("class:a", new ServiceShare(10, 5), "class:b", new ServiceShare(10, 10));
        assertEquals(
                Set.of(new JobId("job-50"), new JobId("job-1"), new JobId("job-2")),
                PrioritizedJobSelector.select(shares, all));
        assertEquals(Set.of(new JobId("job-50")), PrioritizedJobSelector.select(Map.of(), all));
    }

    @Test
    void windowDropsOldCountsAndIsBounded() {
        ServiceShareWindow window = new ServiceShareWindow();
        window.recordOutcome("class:a", 1_000_000, true);
        window.recordOutcome("class:a", 1_000_000 + 100_000, false);
        assertEquals(new ServiceShare(2, 1), window.shares(1_110_000).get("class:a"));
        assertEquals(
                new ServiceShare(1, 0),
                window.shares(1_000_000 + ServiceShareWindow.STEP_MS * (ServiceShareWindow.STEP_COUNT + 1))
                        .get("class:a"));
        for (int i = 0; i < 1000; i++) {
            window.recordOutcome("class:" + i, 2_000_000, true);
        }
        assertEquals(256, window.shares(2_000_000).size() + 1, "class:a was one of the groups and has been dropped");
        assertEquals(Map.of(), window.shares(9_000_000));
    }
}
