package org.beechhoist.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import org.beechhoist.config.Policy;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Makers, dates, jobs that come in any order, dates that move, and falls of all controllers: {@code mvn -q -Ptrial
 * -Dtest=ReleaseTrial -Dtrial.seed=N test}. The same night is played with the calendar, and without it by the order of submission.
 */
@Tag("trial")
class ReleaseTrial {
    private static final long NIGHT_MS = 1_100_000;
    private static final int RELEASES = 12;
    private static final long CHECKED_AT_MS = 330_000;

    private record Night(World w, Ships s, List<long[]> quiet, Map<String, double[]> foreseen) {}

    private static Night play(long seed, Policy policy) {
        World w = ReleaseTest.world(seed, 5, 2, policy);
        Ships s = new Ships(w);
        SplittableRandom r = new SplittableRandom(seed); // what is drawn is the same in both nights
        List<long[]> quiet = new ArrayList<>();
        for (int i = 0; i < RELEASES; i++) {
            String name = "release-" + i;
            long due = 150_000 + r.nextLong(800_000);
            w.later(500 + 100L * i, () -> s.put(name, "maker-" + name, due));
        }
        for (int i = 0; i < 45; i++) {
            long at = 8000 + r.nextLong(290_000);
            String release = r.nextInt(6) == 0 ? null : "release-" + r.nextInt(RELEASES);
            int tasks = 20 + r.nextInt(50);
            int seconds = 8 + r.nextInt(14);
            w.later(at, () -> s.submit(release, tasks, seconds));
        }
        for (int i = 0; i < 4; i++) {
            long at = 60_000 + r.nextLong(240_000);
            String name = "release-" + r.nextInt(RELEASES);
            long due = at + 120_000 + r.nextLong(500_000);
            w.later(at, () -> s.move(name, due));
        }
        for (long at : new long[] {120_000 + r.nextLong(60_000), 420_000 + r.nextLong(60_000)}) {
            int kind = r.nextInt(3);
            quiet.add(new long[] {at, at + 45_000
            }); // nobody led, or the leader's first plans knew machines that had spoken alone
            w.later(at, () -> {
                switch (kind) {
                    case 0 -> w.crashAll(i -> 300 + 400L * i);
                    case 1 -> w.crash(w.leader(), 200);
                    default -> w.stateOutage(10_000);
                }
            });
        }
        Map<String, double[]> foreseen = new HashMap<>();
        w.later(
                CHECKED_AT_MS,
                () -> w.at(w.leader(), "GET", "/v1/releases", new byte[0], a -> {
                    for (JsonNode row : a.body().path("releases")) {
                        if (row.has("endsInS")) {
                            foreseen.put(row.path("name").asText(), new double[] {
                                CHECKED_AT_MS / 1000.0 + row.path("endsInS").asDouble(),
                                row.path("jobsOpen").asInt()
                            });
                        }
                    }
                }));
        w.runUntil(NIGHT_MS);
        return new Night(w, s, quiet, foreseen);
    }

    @Test
    void datesAreMet() {
        long seed = Long.getLong("trial.seed", 1);
        Night with = play(seed, ReleaseTest.ON);
        Night without = play(seed, Policy.DEFAULT);
        without.s.due.clear();
        without.s.due.putAll(with.s.due);
        int places = 8 + 8 * 4; // eight small machines and eight big ones, by tasks of 4 CPUs
        int oracle = with.s.metByOracle(places);
        int against = with.s.againstOrder(0, NIGHT_MS, with.quiet);
        int right = 0;
        for (Map.Entry<String, double[]> f : with.foreseen.entrySet()) {
            double last = 0;
            for (UserJob j : with.w.allJobs()) {
                if (f.getKey().equals(with.s.releaseOf.get(j.spec.id().text())) && j.submittedAt < CHECKED_AT_MS) {
                    last = Math.max(last, j.doneAt / 1000.0);
                }
            }
            double error = Math.abs(last - f.getValue()[0]);
            right += error <= 60 || error <= 0.1 * (last - CHECKED_AT_MS / 1000.0) ? 1 : 0;
        }
        System.out.printf(
                Locale.ROOT,
                "trial: release seed=%d releases=%d jobs=%d tasks_started=%d against_order=%d lifted_by_floors=%d dates_met=%d by_oracle=%d by_submission=%d"
                        + " foreseen=%d foreseen_right=%d unfinished=%d rules_broken=0%n",
                seed,
                RELEASES,
                with.w.allJobs().size(),
                with.w.started,
                against,
                with.s.lifted.size(),
                with.s.met(),
                oracle,
                without.s.met(),
                with.foreseen.size(),
                right,
                with.w.unfinished().size());
        assertEquals(List.of(), with.w.unfinished());
        assertEquals(0, against, "tasks that began against the nearest date: " + with.s.firstAgainst);
        assertTrue(with.s.met() >= oracle - 2, with.s.met() + " dates met, " + oracle + " could be");
        assertTrue(
                with.s.met() >= without.s.met(),
                with.s.met() + " dates met, " + without.s.met() + " by the order of submission");
    }
}
