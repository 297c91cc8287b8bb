package org.beechhoist.start;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.beechhoist.wire.Tick;
import org.junit.jupiter.api.Test;

class PaceTest {
    /** Whatever is asked for, no second sees more than its part, and urgent commands still come through. */
    @Test
    void noSecondSeesMoreThanItsPart() {
        for (long seed = 1; seed <= 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Pace p = new Pace(1600);
            int[] sentAt = new int[30_000];
            int urgent = 0;
            for (int ms = 1; ms < 30_000; ms++) {
                Tick now = new Tick(ms);
                for (int i = random.nextInt(6); i > 0; i--) {
                    Pace.Kind kind = random.nextInt(20) == 0
                            ? Pace.Kind.URGENT
                            : random.nextBoolean() ? Pace.Kind.ORDINARY : Pace.Kind.QUESTION;
                    if (p.take(kind, "zone-" + random.nextInt(3), now)) {
                        sentAt[ms]++;
                        urgent += kind == Pace.Kind.URGENT ? 1 : 0;
                        p.over();
                    }
                }
            }
            int inSecond = 0;
            int most = 0;
            for (int ms = 0; ms < sentAt.length; ms++) {
                inSecond += sentAt[ms] - (ms >= 1000 ? sentAt[ms - 1000] : 0);
                most = Math.max(most, inSecond);
            }
            assertTrue(most <= p.perSecond() && most > p.perSecond() / 2, most + " of " + p.perSecond());
            assertTrue(urgent > 1500, urgent + " urgent ones of about 3,700");
        }
    }

    @Test
    void soManyAreOnTheirWayAtOnce() {
        Pace p = new Pace(160);
        assertEquals(40, p.perSecond());
        int sent = 0;
        for (int s = 1; s < 100; s++) {
            sent += p.take(Pace.Kind.URGENT, "z" + s % 5, new Tick(1000L * s)) ? 1 : 0;
        }
        assertEquals(20, sent);
        assertFalse(p.take(Pace.Kind.ORDINARY, "a", new Tick(1_000_000)));
        p.over();
        assertFalse(p.take(Pace.Kind.ORDINARY, "a", new Tick(1_000_000)), "the last third is for urgent ones");
        assertTrue(p.take(Pace.Kind.URGENT, "a", new Tick(1_000_000)));
    }

    @Test
    void everyPhaseEnds() {
        Progression p = new Progression(new Tick(1), 6000, 26_000);
        Progression.Facts nothing = new Progression.Facts(false, false, 100, 0, 50, 9);
        assertFalse(p.advance(new Tick(500_000), nothing), "nothing may be commanded before all is read");
        Progression.Facts stuck = new Progression.Facts(true, false, 100, 0, 50, 9);
        assertTrue(p.advance(new Tick(500_001), stuck));
        assertFalse(p.advance(new Tick(503_000), stuck));
        assertTrue(p.advance(new Tick(504_001), stuck), "listening holds stops back for 4 s at the most");
        assertTrue(p.advance(new Tick(504_002), stuck), "the lease is long over");
        assertTrue(p.advance(new Tick(515_000), stuck));
        assertEquals(Progression.Phase.OVER, p.phase());
    }
}
