package org.beechhoist.elastic;

import org.beechhoist.wire.Width;

/**
 * Computes the guaranteed part of an elastic job's width: the minimum set by the user, or what is needed to meet the
 * deadline. This part is planned like any other work, and machines are rented for it. The rest is planned after all
 * other work and only onto machines that are up.
 */
public final class GuaranteedWidth {
    private GuaranteedWidth() {}

    /**
     * Returns the number of concurrent tasks that are guaranteed.
     *
     * @param allowed the range of widths that the user allows
     * @param unfinished the number of the job's tasks that are not done
     * @param lengthMs the duration of one task
     * @param untilMs the job's deadline; {@link TaskTermination#NEVER} if it has none
     */
    public static int width(Width allowed, int unfinished, long lengthMs, long untilMs, long nowMs) {
        int wanted = allowed.min();
        if (untilMs != TaskTermination.NEVER && untilMs - nowMs >= lengthMs && unfinished > 0) {
            // The number of complete rounds of tasks before the deadline. No machines are rented for a deadline that
            // can no longer be met.
            long rounds = (untilMs - nowMs) / Math.max(1, lengthMs);
            wanted = (int) Math.max(wanted, (unfinished + rounds - 1) / rounds);
        }
        return Math.min(wanted, allowed.max());
    }
}
