package org.beechhoist.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.beechhoist.wire.MalformedMessageException;

/**
 * The number of machines that are drained at once, and the waiting times of each step. A plain drain takes all machines at once; a rolling replacement
 * goes in steps.
 *
 * @param canary number of machines of the first step (canary), after which the replacement waits {@code holdS}; 0: no canary step
 * @param atOnce number of machines that may be drained at once
 * @param perZone number of these machines that may be in one zone
 * @param spare number of new machines that must be up before an old one is drained
 * @param holdS seconds without a failure after the first step, and after an automatic pause, before the replacement continues
 * @param waitS seconds for which tasks of a machine may run on before they are evicted, those that lose least first
 */
public record DrainLimits(int canary, int atOnce, int perZone, int spare, long holdS, long waitS) {
    /** Largest number of machines that can be drained at once in a rolling replacement. */
    public static final int MAX_AT_ONCE = 100;

    private static final long MAX_WAIT_S = 86_400;
    private static final long DEFAULT_WAIT_S = 600;
    private static final long DEFAULT_HOLD_S = 60;
    private static final int DEFAULT_AT_ONCE = 20;

    /**
     * Reads the limits from a request or a stored drain.
     *
     * @param node the drain
     * @param steps whether the drain goes in steps (rolling replacement); otherwise only {@code waitS} is read
     */
    public static DrainLimits parse(JsonNode node, boolean steps) throws MalformedMessageException {
        int atOnce = !steps ? Integer.MAX_VALUE : parseCount(node, "atOnce", DEFAULT_AT_ONCE, 1, MAX_AT_ONCE);
        int perZone = !steps ? Integer.MAX_VALUE : parseCount(node, "perZone", atOnce, 1, MAX_AT_ONCE);
        int canary = !steps ? 0 : parseCount(node, "canary", 1, 0, MAX_AT_ONCE);
        int spare = !steps ? 0 : parseCount(node, "spare", Math.min(atOnce, MAX_AT_ONCE), 0, MAX_AT_ONCE);
        long hold = !steps ? 0 : parseCount(node, "holdS", DEFAULT_HOLD_S, 0, MAX_WAIT_S);
        return new DrainLimits(
                canary, atOnce, perZone, spare, hold, parseCount(node, "waitS", DEFAULT_WAIT_S, 0, MAX_WAIT_S));
    }

    private static int parseCount(JsonNode node, String field, long defaultValue, long min, long max)
            throws MalformedMessageException {
        return (int) Fields.wholeNumber(node, field, defaultValue, min, max);
    }

    void writeTo(ObjectNode node, boolean steps) {
        node.put("waitS", waitS);
        if (steps) {
            node.put("canary", canary)
                    .put("atOnce", atOnce)
                    .put("perZone", perZone)
                    .put("spare", spare)
                    .put("holdS", holdS);
        }
    }
}
