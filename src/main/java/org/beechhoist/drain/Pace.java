package org.beechhoist.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.beechhoist.wire.MalformedMessageException;

/**
 * How fast machines are emptied. A plain drain takes all at once; a replacement goes in steps.
 *
 * @param canary machines of the first step; it must hold before the next
 * @param atOnce machines in hand at once
 * @param perZone of them in one zone
 * @param spare machines that are up beside the old ones before one of those is begun
 * @param holdS how long the first step, and after a pause what stopped it, must be well
 * @param waitS how long a machine's tasks may come to their own end before they are stopped by what loses least
 */
public record Pace(int canary, int atOnce, int perZone, int spare, long holdS, long waitS) {
    public static final int MOST_AT_ONCE = 100;
    private static final long LONGEST_S = 86_400;
    private static final long USUAL_WAIT_S = 600;
    private static final long USUAL_HOLD_S = 60;
    private static final int USUAL_AT_ONCE = 20;

    /** @param steps whether it goes in steps */
    public static Pace parse(JsonNode node, boolean steps) throws MalformedMessageException {
        int atOnce = !steps ? Integer.MAX_VALUE : count(node, "atOnce", USUAL_AT_ONCE, 1, MOST_AT_ONCE);
        int perZone = !steps ? Integer.MAX_VALUE : count(node, "perZone", atOnce, 1, MOST_AT_ONCE);
        int canary = !steps ? 0 : count(node, "canary", 1, 0, MOST_AT_ONCE);
        int spare = !steps ? 0 : count(node, "spare", Math.min(atOnce, MOST_AT_ONCE), 0, MOST_AT_ONCE);
        long hold = !steps ? 0 : count(node, "holdS", USUAL_HOLD_S, 0, LONGEST_S);
        return new Pace(canary, atOnce, perZone, spare, hold, count(node, "waitS", USUAL_WAIT_S, 0, LONGEST_S));
    }

    private static int count(JsonNode node, String field, long fallback, long least, long most)
            throws MalformedMessageException {
        return (int) Fields.count(node, field, fallback, least, most);
    }

    void into(ObjectNode node, boolean steps) {
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
