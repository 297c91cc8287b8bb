package org.beechhoist.elastic;

/**
 * Exponential backoff for the growth of elastic jobs onto one machine. Each time an elastic task has to leave the
 * machine the wait doubles, so that elastic jobs soon avoid a machine that alternates between idle and busy every
 * few seconds. After a long period without such an event the count restarts.
 */
public record GrowthBackoff(int times, long blockedUntilMs) {
    /** The state of a machine that no elastic task has had to leave. */
    public static final GrowthBackoff NONE = new GrowthBackoff(0, 0);

    private static final int MAX_DOUBLINGS_COUNT = 6;
    /** The count restarts once nothing has had to leave the machine for this many times the last wait. */
    private static final int RESET_AFTER_WAITS_COUNT = 4;

    /**
     * Returns the state after an elastic task had to leave the machine; the next wait is twice as long.
     *
     * @param settleMs the first wait, in milliseconds
     */
    public GrowthBackoff afterNarrowing(long nowMs, long settleMs) {
        long last = settleMs << Math.max(0, Math.min(MAX_DOUBLINGS_COUNT, times - 1));
        int count = times > 0 && nowMs - blockedUntilMs > RESET_AFTER_WAITS_COUNT * last ? 0 : times;
        return new GrowthBackoff(count + 1, nowMs + (settleMs << Math.min(MAX_DOUBLINGS_COUNT, count)));
    }

    /** Returns whether elastic jobs may grow onto the machine now. */
    public boolean allowsGrowth(long nowMs) {
        return nowMs >= blockedUntilMs;
    }
}
