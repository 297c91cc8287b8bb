package org.beechhoist.elastic;

import org.beechhoist.wire.Width;

/**
 * The part of a width that is planned like any other work, with machines rented for it: what the user wants at least,
 * or what it takes to be done in time. The rest is planned after all others and only onto what is there.
 */
public final class GuaranteedWidth {
    private GuaranteedWidth() {}

    /**
     * Returns how many tasks at once are guaranteed.
     *
     * @param allowed the width that the user allows
     * @param unfinished the job's tasks that are not done
     * @param lengthMs how long one of them takes
     * @param untilMs when the job should be done; {@link TaskTermination#NEVER}: no hurry
     */
    public static int width(Width allowed, int unfinished, long lengthMs, long untilMs, long nowMs) {
        int wanted = allowed.min();
        if (untilMs != TaskTermination.NEVER && untilMs - nowMs >= lengthMs && unfinished > 0) {
            // Whole rounds of tasks that still fit; a moment that can't be met any more is not chased with machines.
            long rounds = (untilMs - nowMs) / Math.max(1, lengthMs);
            wanted = (int) Math.max(wanted, (unfinished + rounds - 1) / rounds);
        }
        return Math.min(wanted, allowed.max());
    }
}
