package org.beechhoist.controller.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.beechhoist.wire.MonotonicTime;
import org.junit.jupiter.api.Test;

class RecoveryPacerTest {
    /** Whatever is asked for, no second sees more than its part, and urgent commands still come through. */
    @Test
    void noSecondSeesMoreThanItsPart() {
        for (long seed = 1; seed <= 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RecoveryPacer p = new RecoveryPacer(1600);
            int[] sentAt = new int[30_000];
            int urgent = 0;
            for (int ms = 1; ms < 30_000; ms++) {
                MonotonicTime now = new MonotonicTime(ms);
                for (int i = random.nextInt(6); i > 0; i--) {
                    RecoveryPacer.CallKind kind = random.nextInt(20) == 0
                            ? RecoveryPacer.CallKind.URGENT
                            : random.nextBoolean() ? RecoveryPacer.CallKind.ORDINARY : RecoveryPacer.CallKind.PROBE;
                    if (p.tryAcquire(kind, "zone-" + random.nextInt(3), now)) {
                        sentAt[ms]++;
                        urgent += kind == RecoveryPacer.CallKind.URGENT ? 1 : 0;
                        p.callFinished();
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
        RecoveryPacer p = new RecoveryPacer(160);
        assertEquals(40, p.perSecond());
        int sent = 0;
        for (int s = 1; s < 100; s++) {
            sent += p.tryAcquire(RecoveryPacer.CallKind.URGENT, "z" + s % 5, new MonotonicTime(1000L * s)) ? 1 : 0;
        }
        assertEquals(20, sent);
        assertFalse(p.tryAcquire(RecoveryPacer.CallKind.ORDINARY, "a", new MonotonicTime(1_000_000)));
        p.callFinished();
        assertFalse(
                p.tryAcquire(RecoveryPacer.CallKind.ORDINARY, "a", new MonotonicTime(1_000_000)),
                "the last third is for urgent ones");
        assertTrue(p.tryAcquire(RecoveryPacer.CallKind.URGENT, "a", new MonotonicTime(1_000_000)));
    }

    @Test
    void everyPhaseEnds() {
        RecoveryProgress p = new RecoveryProgress(new MonotonicTime(1), 6000, 26_000);
        RecoveryProgress.Snapshot nothing = new RecoveryProgress.Snapshot(false, false, 100, 0, 50, 9);
        assertFalse(p.advance(new MonotonicTime(500_000), nothing), "nothing may be commanded before all is read");
        RecoveryProgress.Snapshot stuck = new RecoveryProgress.Snapshot(true, false, 100, 0, 50, 9);
        assertTrue(p.advance(new MonotonicTime(500_001), stuck));
        assertFalse(p.advance(new MonotonicTime(503_000), stuck));
        assertTrue(p.advance(new MonotonicTime(504_001), stuck), "listening holds stops back for 4 s at the most");
        assertTrue(p.advance(new MonotonicTime(504_002), stuck), "the lease is long over");
        assertTrue(p.advance(new MonotonicTime(515_000), stuck));
        assertEquals(RecoveryProgress.Phase.COMPLETE, p.phase());
    }
}
