package org.beechhoist.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.beechhoist.config.Policy;
import org.beechhoist.standin.StateService;
import org.beechhoist.wire.Priority;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * A night of 600 machines and five nodes with drawn troubles of six kinds, two or more at once: {@code mvn -q -Ptrial
 * -Dtest=NightTrial -Dtrial.seed=N test}. Limits are enforced; what is counted is seen from outside.
 */
@Tag("trial")
class NightTrial {
    private static final int RPS = 150;
    private static final long ARRIVALS_MS = 180_000;
    private static final long USUAL_MS = 300_000;

    /** The kinds of trouble of docs/operations/nights.md. */
    enum Trouble {
        SILENT_NODES(NightTrial::silence),
        POLL_STORM(w -> storm(w, 8 + w.random.nextInt(23), 40_000)),
        BAD_BOOTS(w -> w.bootTrouble(w.random.nextBoolean() ? 0.03 : 4, w.random.nextInt(4) * 0.1, 60_000)),
        GUESTS(NightTrial::guests),
        BROKEN_JOBS(w -> times(
                4,
                () -> w.submit("broken", false, w.random.nextInt(5, 60), 2, 30, n -> n.put("owner", "blue")
                        .put("loaner", true)))),
        LOSSES(w -> {
            w.loseMachines(60);
            w.crash(w.random.nextInt(w.nodeCount()), 200);
        });

        private final java.util.function.Consumer<World> begin;

        Trouble(java.util.function.Consumer<World> begin) {
            this.begin = begin;
        }
    }

    private static void times(int n, Runnable r) {
        for (int i = 0; i < n; i++) {
            r.run();
        }
    }

    /** The leader or any other node, for a minute or so. */
    private static void silence(World w) {
        int node = w.random.nextBoolean() ? w.leader() : w.random.nextInt(w.nodeCount());
        long ms = 40_000 + w.random.nextInt(40_000);
        switch (w.random.nextInt(5)) {
            case 0 -> w.freeze(node, ms);
            case 1 -> w.crash(node, ms);
            case 2 -> w.cutWorkers(node, ms);
            case 3 -> w.cutState(node, ms);
            default -> w.refuse(node, ms);
        }
    }

    private static final long[] POLLS = new long[1];

    private static void storm(World w, int factor, long ms) {
        long until = w.now + ms;
        w.every(1000 / (3L * factor), () -> {
            if (w.now < until) {
                List<UserJob> jobs = w.allJobs();
                POLLS[0]++;
                w.pollOnce(jobs.get(jobs.size() - 1 - w.random.nextInt(Math.min(150, jobs.size()))), a -> {});
            }
        });
    }

    /** One array of thousands of tiny tasks, or hundreds of single ones within half a minute. */
    private static void guests(World w) {
        if (w.random.nextBoolean()) {
            w.submit("tiny", false, 3000, 0.25, 4, n -> n.put("owner", "guest")
                    .put("urgency", "low")
                    .put("loaner", true));
        } else {
            for (int i = 0; i < 150; i++) {
                w.later(
                        i * 200L,
                        () -> w.submit("single", false, 1, 0.25, 5, n -> n.put("owner", "guest")
                                .put("urgency", "low")
                                .put("loaner", true)));
            }
        }
    }

    @Test
    void theNightIsServed() {
        long seed = Long.getLong("trial.seed", 1);
        POLLS[0] = 0;
        Extent x = Extent.strict();
        x.zones = 4;
        x.leaseS = 26;
        x.guest = true;
        World w = new World(seed, new WorldScale(5, 90, 6000, 1000, StateService.KEPT_CHANGES, Policy.DEFAULT).with(x));
        w.faultyMachines = 2;
        for (int i = 0; i < 60; i++) {
            w.later(i * 40L, () -> FallTrial.arrive(w));
        }
        w.every(1100, () -> {
            if (w.now < ARRIVALS_MS) {
                FallTrial.arrive(w);
            }
        });
        w.every(9000, () -> {
            if (w.now < ARRIVALS_MS) {
                w.cancelSome();
                w.askForUnknown();
            }
        });
        List<String> drawn = new ArrayList<>();
        for (long at : new long[] {50_000, 110_000}) {
            List<Trouble> left = new ArrayList<>(List.of(Trouble.values()));
            for (int i = 0; i < 3; i++) {
                Trouble t = left.remove(w.random.nextInt(left.size()));
                drawn.add(t.name().toLowerCase(java.util.Locale.ROOT));
                w.later(at + w.random.nextInt(5000), () -> t.begin.accept(w));
            }
        }
        long[] unled = new long[2];
        int[] most = new int[1];
        w.every(5000, () -> most[0] = Math.max(most[0], w.machinesUp()));
        w.every(500, () -> {
            unled[0] = w.view("/v1/start") != null ? 0 : unled[0] + 500;
            unled[1] = w.now > 5000 ? Math.max(unled[1], unled[0]) : 0;
        });
        w.runUntil(ARRIVALS_MS + 30_000);
        w.allJobs().stream()
                .filter(j -> j.spec.jobClass().equals("broken") && j.told == null)
                .forEach(j -> w.cancel(j.spec.id().text()));
        for (long end = w.now + 300_000; w.now < end && !w.unfinished().isEmpty(); ) {
            w.runUntil(w.now + 5000);
        }
        long wait = 0;
        long finished = 0;
        for (UserJob j : w.allJobs()) {
            finished += j.done.size();
            if (j.spec.priority().compareTo(Priority.URGENT) <= 0
                    && !j.spec.jobClass().equals("broken")
                    && j.accepted
                    && !"cancelled".equals(j.told)) {
                wait = Math.max(wait, (j.startedAt < 0 ? w.now : j.startedAt) - j.submittedAt);
            }
        }
        Map<String, Served.Share> served =
                Served.of(w, USUAL_MS, j -> !j.spec.jobClass().equals("broken"));
        long unanswered = w.allJobs().stream().filter(j -> !j.accepted).count();
        System.out.printf(
                "trial: night seed=%d machines_up=%d troubles=%s jobs=%d unanswered=%d unfinished=%d rules_broken=0 older_answers=0"
                        + " longest_unled_s=%.1f longest_urgent_wait_s=%.1f storm_polls=%d refused=%d busiest_second_requests=%d of %d changes_per_task=%.2f"
                        + " never_used=%d healthy_condemned=%d faulty_condemned=%d least_share=%.2f%n",
                seed,
                most[0],
                String.join("+", drawn),
                w.allJobs().size(),
                unanswered,
                w.unfinished().size(),
                unled[1] / 1000.0,
                wait / 1000.0,
                POLLS[0],
                w.counted.refused,
                w.counted.mostRequests,
                RPS,
                (double) w.counted.puts / Math.max(1, finished),
                w.toll.neverUsed,
                w.toll.healthyCondemned,
                w.toll.faultyCondemned,
                Served.least(served));
        assertTrue(most[0] > 450, most[0] + " machines");
        assertEquals(0, unanswered, "jobs that were never accepted");
        assertEquals(List.of(), w.unfinished());
        assertEquals(0, w.toll.healthyCondemned, "healthy machines returned for failures");
        assertTrue(unled[1] <= 15_000, unled[1] + " ms without a leader");
        assertTrue(Served.least(served) >= 0.5, "less than half of one was served: " + served);
    }
}
