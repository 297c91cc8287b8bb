package org.beechhoist.controller.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RequestSharesTest {
    /** Whatever the nodes want: each has its sure part, together they stay near the total, and what is wanted and there is given. */
    @Test
    void sharesAddUpAndNobodyIsLeftWithout() {
        for (long seed = 0; seed < 3000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int n = 1 + random.nextInt(9);
            int leader = random.nextInt(n + 1);
            double total = 5 + random.nextInt(400);
            List<RequestShares.Demand> wants = new ArrayList<>();
            double sum = 0;
            for (int i = 0; i < n; i++) {
                double want = random.nextInt(3) == 0 ? 0 : random.nextDouble() * total;
                sum += want;
                wants.add(new RequestShares.Demand(i == leader, want));
            }
            double given = 0;
            double beyondSlack = 0;
            for (int i = 0; i < n; i++) {
                List<RequestShares.Demand> mine = new ArrayList<>(List.of(wants.get(i)));
                for (int k = 0; k < n; k++) {
                    if (k != i) {
                        mine.add(wants.get(k));
                    }
                }
                double share = RequestShares.rateOfFirstNode(total, mine);
                assertTrue(share > 0 && share <= total + 1e-6, "seed " + seed + ": " + share + " of " + total);
                if (sum <= total) {
                    assertTrue(
                            share >= wants.get(i).ratePerS() - 1e-6, "seed " + seed + ": wanted and there, not given");
                }
                given += share;
                beyondSlack += Math.min(share, wants.get(i).ratePerS());
            }
            // Those that want more than their part share what is left; a sure part that is not wanted may be used all
            // the same.
            assertTrue(
                    beyondSlack <= total + 1e-6,
                    "seed " + seed + ": " + beyondSlack + " of " + total + " wanted and given");
            assertTrue(given >= total * 0.5, "seed " + seed);
        }
    }

    @Test
    void aNodeThatNothingIsHeardOfKeepsItsPart() {
        List<RequestShares.Demand> all = List.of(
                new RequestShares.Demand(false, 100),
                new RequestShares.Demand(true, -1),
                new RequestShares.Demand(false, -1));
        assertEquals(
                RequestShares.rateOfFirstNode(
                        40,
                        List.of(all.get(0), new RequestShares.Demand(true, 100), new RequestShares.Demand(false, 100))),
                RequestShares.rateOfFirstNode(40, all),
                1e-6);
    }

    @Test
    void whoIsDeaf() {
        List<Integer> turned = List.of(200, 300);
        assertTrue(WorkerReachability.isUnreachableFromWorkers(1000, 100, turned));
        assertTrue(WorkerReachability.isUnreachableFromWorkers(1000, 0, List.of()), "nobody is heard of");
        assertFalse(
                WorkerReachability.isUnreachableFromWorkers(1000, 100, List.of(0, 3)),
                "the machines are gone: they turn to nobody");
        assertFalse(WorkerReachability.isUnreachableFromWorkers(1000, 500, turned));
        assertFalse(WorkerReachability.isUnreachableFromWorkers(3, 0, turned), "too few to tell");
    }
}
