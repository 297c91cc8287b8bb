package org.beechhoist.cancel;

import org.beechhoist.wire.MonotonicTime;

/**
 * How fresh a leader's knowledge of cancellations must be for it to renew a worker's lease. Of a cancellation that it does not know
 * it can only say that it was committed after the question was sent whose answer it knows completely; a lease that is renewed until
 * {@link #renewUntil} has run out, by whichever clock, before that cancellation's time is over.
 */
public record CancellationFreshness(long cancelMs, long leaseMs) {
    /** Two steady clocks drift apart by 0.05%: the leader's against true time, and the worker's. */
    private static final double DRIFT = 0.0005;
    /** Rounding of clocks and timers, and what the worker needs to end what it has. */
    private static final long MARGIN_MS = 1000;
    /** With less than this, a leader that asks as often as it should would have to send workers away in between. */
    public static final long MIN_MAX_AGE_MS = 2000;
    /** Questions are repeated so often in the time that an answer counts. */
    private static final int ASKED_TIMES = 4;

    private static final long LONGEST_HOLD_MS = 5000;

    /** Of what age, by the leader's clock, knowledge may be at the most. */
    public long maxAgeMs() {
        return (long) ((cancelMs - MARGIN_MS) * (1 - DRIFT) - leaseMs * (1 + DRIFT));
    }

    /** Whether these times leave a leader enough to work with. */
    public boolean allowsLeadership() {
        return maxAgeMs() >= MIN_MAX_AGE_MS;
    }

    /** The least {@code cancelMs} that leaves enough beside this lease. */
    public long minCancelMs() {
        long least = leaseMs;
        while (!new CancellationFreshness(least, leaseMs).allowsLeadership()) {
            least += 100;
        }
        return least;
    }

    /** How long a question for changes may stay open. */
    public long watchHoldMs() {
        return Math.min(LONGEST_HOLD_MS, maxAgeMs() / ASKED_TIMES);
    }

    /**
     * Until when leases may be renewed.
     *
     * @param asOf when the question was sent whose answer told all cancellations up to then, by the leader's clock; null: none was
     * answered and taken up completely. A question that is still open proves nothing.
     */
    public MonotonicTime renewUntil(MonotonicTime asOf) {
        return asOf == null ? MonotonicTime.ZERO : asOf.plusMs(maxAgeMs());
    }
}
