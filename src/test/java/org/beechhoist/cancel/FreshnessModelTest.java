package org.beechhoist.cancel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.beechhoist.wire.MonotonicTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Enumerates the times of sending, processing, answering, cancelling and reporting on a grid, with clocks that drift
 * in both directions, and applies the production decision: a task whose cancellation the leader does not know ends
 * within the allowed time. Planted faults show that the model detects wrong decisions.
 */
class FreshnessModelTest {
    private static final double DRIFT = 0.0005;
    /** Time that a worker's timers and the termination of its tasks may take after its lease. */
    private static final long ENDING_MS = 1000;

    private static final long STEP_MS = 250;

    /**
     * Returns the time until which leases are renewed, by the leader's clock. One request has been answered, and a
     * later one is still open.
     */
    private interface Decision {
        MonotonicTime renewUntil(
                CancellationFreshness f, MonotonicTime sent, MonotonicTime received, MonotonicTime open);
    }

    private static MonotonicTime clock(double drift, double trueMs) {
        return new MonotonicTime((long) (1_000_000 + trueMs * (1 + drift)));
    }

    /**
     * Returns the longest time in ms for which a task stays on a machine after the commit of its cancellation, which
     * the leader does not know.
     */
    private static double longest(CancellationFreshness f, Decision d) {
        double longest = 0;
        double[] drifts = {-DRIFT, 0, DRIFT};
        for (double leader : drifts) {
            for (double worker : drifts) {
                for (long decided = 0;
                        decided <= f.watchHoldMs();
                        decided += STEP_MS) { // time from sending the request until the state service reads its data
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
                            for (long reportWay : new long[] {0, 4000}) { // the lease starts when the report is sent
                                double lapse = at - reportWay + f.leaseMs() / (1 + worker) + ENDING_MS;
                                longest = Math.max(
                                        longest,
                                        lapse - decided); // cancelled just after the state service read its data
                            }
                        }
                    }
                }
            }
        }
        return longest;
    }

    /** Returns the true time of the last renewal allowed before {@code until}; -1 if there is none. */
    private static double lastBefore(double drift, long answered, MonotonicTime until) {
        double end = (until.ms() - 1_000_000) / (1 + drift);
        return answered < end ? answered : answered - STEP_MS < end ? end - 1 : -1;
    }

    @ParameterizedTest
    @CsvSource({"62, 32", "51, 26", "45, 20", "20, 5", "45, 32", "3600, 1800"})
    void cancelledTasksEndWithinTheAllowedTime(int cancelS, int leaseS) {
        CancellationFreshness f = new CancellationFreshness(1000L * cancelS, 1000L * leaseS);
        assertTrue(f.allowsLeadership());
        double longest = longest(f, (x, sent, received, open) -> x.renewUntil(sent));
        assertTrue(longest <= f.cancelMs(), longest + " ms of " + f.cancelMs());
        assertTrue(
                longest > f.cancelMs() * 0.99 - 500,
                "no more time is lost than drift and margin require: " + longest + " ms of " + f.cancelMs());
    }

    @ParameterizedTest
    @CsvSource({"62, 32", "51, 26", "3600, 1800"})
    void plantedFaultsAreDetected(int cancelS, int leaseS) {
        CancellationFreshness f = new CancellationFreshness(1000L * cancelS, 1000L * leaseS);
        assertTrue(
                longest(f, (x, sent, received, open) -> x.renewUntil(received)) > f.cancelMs(),
                "age counted from the receipt of the answer");
        assertTrue(
                longest(f, (x, sent, received, open) -> x.renewUntil(open)) > f.cancelMs(),
                "an open request counted as answered");
        assertTrue(
                longest(f, (x, sent, received, open) -> sent.plusMs(x.cancelMs() - x.leaseMs() - ENDING_MS))
                        > f.cancelMs(),
                "drift ignored");
        assertTrue(longest(f, (x, sent, received, open) -> sent.plusMs(x.cancelMs())) > f.cancelMs(), "lease ignored");
    }

    @Test
    void withoutAnAnswerNoLeaseIsRenewed() {
        assertEquals(MonotonicTime.ZERO, new CancellationFreshness(62_000, 32_000).renewUntil(null));
    }

    @Test
    void tooShortCancelTimeIsRejectedAndTheMinimumIsReported() {
        CancellationFreshness f = new CancellationFreshness(34_000, 32_000);
        assertTrue(!f.allowsLeadership() && new CancellationFreshness(f.minCancelMs(), 32_000).allowsLeadership());
        assertTrue(!new CancellationFreshness(f.minCancelMs() - 100, 32_000).allowsLeadership());
    }
}
