package org.beechhoist.elastic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.beechhoist.elastic.TaskTermination.CapacityNeed;
import org.beechhoist.elastic.TaskTermination.LiveTask;
import org.beechhoist.elastic.TaskTermination.Method;
import org.beechhoist.wire.Width;
import org.junit.jupiter.api.Test;

class ElasticDecisionsTest {
    private static final long NOW = 1_000_000;

    private static Method method(LiveTask t, long inMs, boolean mayKill) {
        return TaskTermination.choose(t, NOW, new CapacityNeed(NOW + inMs, mayKill))
                .method();
    }

    private static LiveTask task(long ranMs, long leftMs, long everyMs, long saveMs) {
        return new LiveTask(true, true, ranMs, leftMs, 4, everyMs, saveMs);
    }

    @Test
    void methodInTimeWithLeastLostWorkIsChosen() {
        assertEquals(Method.WITHDRAW, method(new LiveTask(false, false, 0, 60_000, 4, 0, 0), 1000, true));
        assertEquals(Method.UNSTARTED, method(new LiveTask(true, false, 0, 60_000, 4, 0, 0), 1000, true));
        assertEquals(Method.AT_END, method(task(50_000, 9000, 0, 0), 10_000, true));
        assertEquals(Method.KILL, method(task(50_000, 11_000, 0, 0), 10_000, true));
        assertEquals(Method.AT_END, method(task(50_000, 11_000, 0, 0), 10_000, false));
        assertEquals(Method.SAVE, method(task(50_000, 11_000, 30_000, 3000), 10_000, true));
        // The next periodic checkpoint is near and saving is slow: stopped just after it.
        assertEquals(Method.AT_SNAPSHOT, method(task(8000, 60_000, 10_000, 9000), 10_000, true));
        assertEquals(Method.KILL, method(task(8000, 60_000, 10_000, 9000), 1000, true));
        // Not even a kill is in time, so no work is lost for it.
        assertEquals(Method.AT_END, method(task(50_000, 11_000, 0, 0), 100, true));
        // A service replica does not finish by itself.
        assertEquals(Method.KILL, method(new LiveTask(true, true, 9000, TaskTermination.NEVER, 4, 0, 0), 100, false));
    }

    @Test
    void noMethodInTimeLosesLessAndKillIsTheLastResort() {
        for (long seed = 0; seed < 3000; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            LiveTask t = task(
                    r.nextInt(100_000),
                    r.nextInt(100_000),
                    r.nextBoolean() ? 1000 + r.nextInt(40_000) : 0,
                    r.nextInt(10_000));
            CapacityNeed need = new CapacityNeed(NOW + r.nextInt(60_000), r.nextBoolean());
            TaskTermination e = TaskTermination.choose(t, NOW, need);
            boolean ends = NOW + t.remainingMs() <= need.byMs();
            boolean saves = t.hasCheckpoints() && NOW + t.checkpointCostMs() + 500 <= need.byMs();
            assertTrue(!ends || e.lostCpuS() == 0, "seed " + seed);
            assertTrue(
                    e.method() != Method.KILL || (need.mayKill() && !ends && !saves && e.freedAtMs() <= need.byMs()),
                    "seed " + seed);
            assertTrue(!saves || e.freedAtMs() <= need.byMs(), "seed " + seed);
        }
    }

    @Test
    void tasksWithLeastLostWorkAreSelectedFirst() {
        List<Long> ran = List.of(9000L, 100L, 50_000L, 3000L);
        var chosen = SurplusTaskSelector.select(
                ran, 2, ms -> TaskTermination.choose(task(ms, 90_000, 0, 0), NOW, new CapacityNeed(NOW + 1000, true)));
        assertEquals(
                List.of(100L, 3000L),
                chosen.stream().map(SurplusTaskSelector.Candidate::task).toList());
    }

    @Test
    void guaranteedWidthIsMinimumOrWhatTheDeadlineNeeds() {
        Width w = new Width(2, 16, 100.0);
        assertEquals(2, GuaranteedWidth.width(w, 100, 10_000, TaskTermination.NEVER, NOW));
        assertEquals(10, GuaranteedWidth.width(w, 100, 10_000, NOW + 100_000, NOW));
        assertEquals(16, GuaranteedWidth.width(w, 100, 10_000, NOW + 30_000, NOW));
        assertEquals(2, GuaranteedWidth.width(w, 100, 10_000, NOW + 5000, NOW), "deadline can no longer be met");
        assertEquals(2, GuaranteedWidth.width(w, 3, 10_000, NOW + 100_000, NOW));
        assertEquals(0, GuaranteedWidth.width(new Width(0, 0, 100.0), 100, 10_000, NOW + 100_000, NOW));
    }

    @Test
    void backoffDoublesOnRepeatedNarrowingAndResetsAfterAQuietPeriod() {
        GrowthBackoff d = GrowthBackoff.NONE;
        long at = NOW;
        long last = 0;
        for (int i = 0; i < 6; i++) {
            d = d.afterNarrowing(at, 10_000);
            long wait = d.blockedUntilMs() - at;
            assertEquals(10_000L << i, wait);
            assertFalse(d.allowsGrowth(d.blockedUntilMs() - 1));
            at = d.blockedUntilMs() + 500;
            last = wait;
        }
        GrowthBackoff quiet = d.afterNarrowing(d.blockedUntilMs() + 5 * last, 10_000);
        assertEquals(1, quiet.times());
    }
}
