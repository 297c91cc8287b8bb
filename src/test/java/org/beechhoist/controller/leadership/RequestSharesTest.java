package org.beechhoist.controller.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RequestSharesTest {
    /**
     * For random demands: each node has its guaranteed share, the sum stays within the total, and demand that the total
     * covers is met.
     */
    @Test
    void sharesStayWithinTheTotalAndEachNodeGetsItsGuarantee() {
        for (long seed = 0; seed < 3000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int n = 1 + random.nextInt(9);
            int leader = random.nextInt(n + 1);
            double total = 5 + random.nextInt(400);
            List<RequestShares.Demand> demands = new ArrayList<>();
            double sum = 0;
            for (int i = 0; i < n; i++) {
                double demand = random.nextInt(3) == 0 ? 0 : random.nextDouble() * total;
                sum += demand;
                demands.add(new RequestShares.Demand(i == leader, demand));
            }
            double granted = 0;
            double demandGranted = 0;
            for (int i = 0; i < n; i++) {
                List<RequestShares.Demand> mine = new ArrayList<>(List.of(demands.get(i)));
                for (int k = 0; k < n; k++) {
                    if (k != i) {
                        mine.add(demands.get(k));
                    }
                }
                double share = RequestShares.rateOfFirstNode(total, mine);
                assertTrue(share > 0 && share <= total + 1e-6, "seed " + seed + ": " + share + " of " + total);
                if (sum <= total) {
                    assertTrue(
                            share >= demands.get(i).ratePerS() - 1e-6,
                            "seed " + seed + ": demand within the total was not met");
                }
                granted += share;
                demandGranted += Math.min(share, demands.get(i).ratePerS());
            }
            // Nodes that demand more than their share divide the remainder; an undemanded guaranteed share may still be
            // used.
            assertTrue(
                    demandGranted <= total + 1e-6,
                    "seed " + seed + ": " + demandGranted + " of " + total + " demanded and granted");
            assertTrue(granted >= total * 0.5, "seed " + seed);
        }
    }

    @Test
    void nodeWithUnknownDemandKeepsItsGuaranteedShare() {
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
    void leaderIsUnreachableIfHeartbeatsReachOtherNodesInstead() {
        List<Integer> diverted = List.of(200, 300);
        assertTrue(WorkerReachability.isUnreachableFromWorkers(1000, 100, diverted));
        assertTrue(WorkerReachability.isUnreachableFromWorkers(1000, 0, List.of()), "no message from any other node");
        assertFalse(
                WorkerReachability.isUnreachableFromWorkers(1000, 100, List.of(0, 3)),
                "the machines are gone: no other node receives their heartbeats");
        assertFalse(WorkerReachability.isUnreachableFromWorkers(1000, 500, diverted));
        assertFalse(WorkerReachability.isUnreachableFromWorkers(3, 0, diverted), "too few machines to decide");
    }
}
