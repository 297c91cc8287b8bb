package org.beechhoist.elastic;

/**
 * When a machine may be widened onto again. Each time a wide task had to leave it the wait doubles, so that a machine
 * that goes idle and busy every few seconds is soon left to those that make it busy; after a long quiet the count begins
 * anew.
 */
public record GrowthBackoff(int times, long blockedUntilMs) {
    /** Nothing had to leave the machine so far. */
    public static final GrowthBackoff NONE = new GrowthBackoff(0, 0);

    private static final int MOST_DOUBLINGS = 6;
    /** Quiet of so many of the last waits makes it forget. */
    private static final int QUIET = 4;

    /**
     * A wide job's task had to leave the machine: the next wait is twice as long.
     *
     * @param settleMs the first wait
     */
    public GrowthBackoff afterNarrowing(long nowMs, long settleMs) {
        long last = settleMs << Math.max(0, Math.min(MOST_DOUBLINGS, times - 1));
        int n = times > 0 && nowMs - blockedUntilMs > QUIET * last ? 0 : times;
        return new GrowthBackoff(n + 1, nowMs + (settleMs << Math.min(MOST_DOUBLINGS, n)));
    }

    /** Whether the machine may be widened onto now. */
    public boolean allowsGrowth(long nowMs) {
        return nowMs >= blockedUntilMs;
    }
}
