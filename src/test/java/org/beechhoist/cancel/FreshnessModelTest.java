package org.beechhoist.cancel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.beechhoist.wire.MonotonicTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Every order of sending, deciding, answering, cancelling and reporting on a grid, with clocks that drift either way, over the real
 * decision: a task whose cancellation the leader does not know is gone in time. Planted: three ways to be wrong about it.
 */
class FreshnessModelTest {
    private static final double DRIFT = 0.0005;
    /** What a worker's timers, and ending what it has, may take beyond its lease. */
    private static final long ENDING_MS = 1000;

    private static final long STEP_MS = 250;

    /** Until when leases are renewed by the leader's clock; a question was answered, and a later one is still open. */
    private interface Decision {
        MonotonicTime renewUntil(
                CancellationFreshness f, MonotonicTime sent, MonotonicTime received, MonotonicTime open);
    }

    private static MonotonicTime clock(double drift, double trueMs) {
        return new MonotonicTime((long) (1_000_000 + trueMs * (1 + drift)));
    }

    /** How long at the most, in ms, a task was on a machine after its cancellation, which the leader does not know, was committed. */
    private static double longest(CancellationFreshness f, Decision d) {
        double longest = 0;
        double[] drifts = {-DRIFT, 0, DRIFT};
        for (double leader : drifts) {
            for (double worker : drifts) {
                for (long decided = 0;
                        decided <= f.watchHoldMs();
                        decided += STEP_MS) { // the state service looks this long after the sending
                    for (long way : new long[] {0, 100, 3000}) {
                        MonotonicTime sent = clock(leader, 0);
                        MonotonicTime received = clock(leader, decided + way);
                        MonotonicTime open = clock(leader, decided + way + 40);
                        MonotonicTime until = d.renewUntil(f, sent, received, open);
                        for (long answered = decided + way; answered < 2 * f.cancelMs(); answered += STEP_MS) {
                            double at = lastBefore(leader, answered, until);
                            if (at < decided + way) {
                                continue;
                            }
                            for (long reportWay :
                                    new long[] {0, 4000}) { // the lease counts from the sending of the report
                                double lapse = at - reportWay + f.leaseMs() / (1 + worker) + ENDING_MS;
                                longest = Math.max(
                                        longest, lapse - decided); // cancelled just after the state service looked
                            }
                        }
                    }
                }
            }
        }
        return longest;
    }

    /** The true time of the last answer that is allowed up to then; -1: none is. */
    private static double lastBefore(double drift, long answered, MonotonicTime until) {
        double end = (until.ms() - 1_000_000) / (1 + drift);
        return answered < end ? answered : answered - STEP_MS < end ? end - 1 : -1;
    }

    @ParameterizedTest
    @CsvSource({"62, 32", "51, 26", "45, 20", "20, 5", "45, 32", "3600, 1800"})
    void nothingGoesOnLongerThanAllowed(int cancelS, int leaseS) {
        CancellationFreshness f = new CancellationFreshness(1000L * cancelS, 1000L * leaseS);
        assertTrue(f.allowsLeadership());
        double longest = longest(f, (x, sent, received, open) -> x.renewUntil(sent));
        assertTrue(longest <= f.cancelMs(), longest + " ms of " + f.cancelMs());
        assertTrue(
                longest > f.cancelMs() * 0.99 - 500,
                "no more is given away than drift and margin ask: " + longest + " ms of " + f.cancelMs());
    }

    @ParameterizedTest
    @CsvSource({"62, 32", "51, 26", "3600, 1800"})
    void plantedDefectsAreFound(int cancelS, int leaseS) {
        CancellationFreshness f = new CancellationFreshness(1000L * cancelS, 1000L * leaseS);
        assertTrue(
                longest(f, (x, sent, received, open) -> x.renewUntil(received)) > f.cancelMs(),
                "age counted from the receipt");
        assertTrue(
                longest(f, (x, sent, received, open) -> x.renewUntil(open)) > f.cancelMs(),
                "a question that is still open believed");
        assertTrue(
                longest(f, (x, sent, received, open) -> sent.plusMs(x.cancelMs() - x.leaseMs() - ENDING_MS))
                        > f.cancelMs(),
                "drift forgotten");
        assertTrue(
                longest(f, (x, sent, received, open) -> sent.plusMs(x.cancelMs())) > f.cancelMs(),
                "the lease forgotten");
    }

    @Test
    void withoutAnAnswerNoLeaseIsRenewed() {
        assertEquals(MonotonicTime.ZERO, new CancellationFreshness(62_000, 32_000).renewUntil(null));
    }

    @Test
    void tooLittleTimeIsNamed() {
        CancellationFreshness f = new CancellationFreshness(34_000, 32_000);
        assertTrue(!f.allowsLeadership() && new CancellationFreshness(f.minCancelMs(), 32_000).allowsLeadership());
        assertTrue(!new CancellationFreshness(f.minCancelMs() - 100, 32_000).allowsLeadership());
    }
}
