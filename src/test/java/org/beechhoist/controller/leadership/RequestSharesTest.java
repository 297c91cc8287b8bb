package org.beechhoist.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SharesTest {
    /** Whatever the nodes want: each has its sure part, together they stay near the total, and what is wanted and there is given. */
    @Test
    void sharesAddUpAndNobodyIsLeftWithout() {
        for (long seed = 0; seed < 3000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int n = 1 + random.nextInt(9);
            int leader = random.nextInt(n + 1);
            double total = 5 + random.nextInt(400);
            List<Shares.Want> wants = new ArrayList<>();
            double sum = 0;
            for (int i = 0; i < n; i++) {
                double want = random.nextInt(3) == 0 ? 0 : random.nextDouble() * total;
                sum += want;
                wants.add(new Shares.Want(i == leader, want));
            }
            double given = 0;
            double beyondSlack = 0;
            for (int i = 0; i < n; i++) {
                List<Shares.Want> mine = new ArrayList<>(List.of(wants.get(i)));
                for (int k = 0; k < n; k++) {
                    if (k != i) {
                        mine.add(wants.get(k));
                    }
                }
                double share = Shares.of(total, mine);
                assertTrue(share > 0 && share <= total + 1e-6, "seed " + seed + ": " + share + " of " + total);
                if (sum <= total) {
                    assertTrue(
                            share >= wants.get(i).perSecond() - 1e-6, "seed " + seed + ": wanted and there, not given");
                }
                given += share;
                beyondSlack += Math.min(share, wants.get(i).perSecond());
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
        List<Shares.Want> all =
                List.of(new Shares.Want(false, 100), new Shares.Want(true, -1), new Shares.Want(false, -1));
        assertEquals(
                Shares.of(40, List.of(all.get(0), new Shares.Want(true, 100), new Shares.Want(false, 100))),
                Shares.of(40, all),
                1e-6);
    }

    @Test
    void whoIsDeaf() {
        List<Integer> turned = List.of(200, 300);
        assertTrue(Hearing.deaf(1000, 100, turned));
        assertTrue(Hearing.deaf(1000, 0, List.of()), "nobody is heard of");
        assertFalse(Hearing.deaf(1000, 100, List.of(0, 3)), "the machines are gone: they turn to nobody");
        assertFalse(Hearing.deaf(1000, 500, turned));
        assertFalse(Hearing.deaf(3, 0, turned), "too few to tell");
    }
}
