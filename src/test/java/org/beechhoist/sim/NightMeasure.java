package org.beechhoist.sim;

import java.util.List;
import java.util.function.Consumer;
import org.beechhoist.standin.StateService;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * What polls, waiting tiny jobs and large arrays cost the cores of all nodes, for docs/measurements.md: {@code -Ptrial
 * -Dtest=NightMeasure}. Processor time is this machine's; the counts repeat.
 */
@Tag("trial")
class NightMeasure {
    private static final long FROM_MS = 60_000;
    private static final long TO_MS = 80_000;

    private static void measure(String what, int number, Consumer<World> begin) {
        Extent x = Extent.strict();
        World w = new World(77, new WorldScale(5, 20, 6000, 2000, StateService.KEPT_CHANGES).with(x));
        w.every(
                1000,
                () -> w.submit(
                        "slow", false, 4, 1, 20, n -> n.put("owner", "blue").put("loaner", true)));
        w.runUntil(FROM_MS);
        begin.accept(w);
        long core = w.counted.coreNanos;
        long requests = w.counted.storeRequests;
        long puts = w.counted.puts;
        long refused = w.counted.refused;
        int started = w.started;
        w.runUntil(TO_MS);
        double s = (TO_MS - FROM_MS) / 1000.0;
        System.out.printf(
                "measure: %s=%d core_ms_per_s=%.1f requests_per_s=%.0f changes_per_s=%.1f refused=%d starts_per_s=%.0f%n",
                what,
                number,
                (w.counted.coreNanos - core) / 1e6 / s,
                (w.counted.storeRequests - requests) / s,
                (w.counted.puts - puts) / s,
                w.counted.refused - refused,
                (w.started - started) / s);
    }

    @Test
    void measure() {
        for (int polls : new int[] {5, 50, 200, 500}) {
            measure(
                    "polls_per_s",
                    polls,
                    w -> w.every(1000 / polls, () -> {
                        List<UserJob> jobs = w.allJobs();
                        if (w.now < TO_MS) {
                            w.request(
                                    "GET",
                                    "/v1/jobs/"
                                            + jobs.get(jobs.size() - 1 - w.random.nextInt(Math.min(40, jobs.size())))
                                                    .spec
                                                    .id(),
                                    null,
                                    a -> {});
                        }
                    }));
        }
        for (int jobs : new int[] {10, 100, 1000, 4000}) {
            measure("tiny_jobs", jobs, w -> {
                for (int i = 0; i < jobs; i++) {
                    w.later(
                            i * 10_000L / jobs,
                            () -> w.submit("tiny", false, 1, 0.25, 4, n -> n.put("owner", "blue")
                                    .put("urgency", "low")
                                    .put("loaner", true)));
                }
            });
        }
        for (int tasks : new int[] {100, 1000, 10_000, 100_000}) {
            measure(
                    "array_tasks",
                    tasks,
                    w -> w.submit("tiny", false, tasks, 0.25, 4, n -> n.put("owner", "blue")
                            .put("urgency", "low")
                            .put("loaner", true)));
        }
    }
}
