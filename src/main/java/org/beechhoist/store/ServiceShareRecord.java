package org.beechhoist.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.beechhoist.floor.LargestJobGroups;
import org.beechhoist.floor.ServiceShare;
import org.beechhoist.floor.ServiceShareWindow;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/** What was asked and served lately, as the state service keeps it for the next leader: {@code served}. */
public final class ServiceShareRecord {
    public static final String KEY = "served";
    private static final int VERSION = 1;
    private static final int ROW = 3;

    private ServiceShareRecord() {}

    /** @param wallMs jobs whose time was up before are in it */
    public static ObjectNode toNode(
            ServiceShareWindow serviceShareWindow, LargestJobGroups largestJobGroups, long wallMs, int mostBytes) {
        ObjectNode node = Codec.map().put("v", VERSION).put("at", wallMs);
        int bytes = 40;
        ObjectNode sizes = node.putObject("sizes");
        for (Map.Entry<String, long[]> entry : largestJobGroups.minSizes().entrySet()) {
            bytes += entry.getKey().length() + 40;
            if (bytes > mostBytes / 4) {
                break;
            }
            ArrayNode row = sizes.putArray(entry.getKey());
            for (long from : entry.getValue()) {
                row.add(from);
            }
        }
        ObjectNode groups = node.putObject("groups");
        for (Map.Entry<String, Map<Long, ServiceShare>> entry :
                serviceShareWindow.stepsByGroup(wallMs).entrySet()) {
            bytes += entry.getKey().length() + 8 + 24 * entry.getValue().size();
            if (bytes > mostBytes) {
                break; // what is left out is counted anew
            }
            ArrayNode rows = groups.putArray(entry.getKey());
            entry.getValue().forEach((step, s) -> rows.add(step).add(s.asked()).add(s.served()));
        }
        return node;
    }

    /** Adds what it says to the ledger; returns when it was written. */
    public static long read(JsonNode node, ServiceShareWindow into, LargestJobGroups largestJobGroups)
            throws MalformedMessageException {
        if (node == null
                || node.path("v").asInt() != VERSION
                || !node.path("groups").isObject()) {
            throw new MalformedMessageException("v: " + VERSION + " expected");
        }
        for (Map.Entry<String, JsonNode> entry : node.get("groups").properties()) {
            JsonNode rows = entry.getValue();
            for (int i = 0; rows.isArray() && i + ROW <= rows.size(); i += ROW) {
                int asked = rows.get(i + 1).asInt();
                int served = rows.get(i + 2).asInt();
                if (asked < 0 || served < 0 || served > asked) {
                    throw new MalformedMessageException("groups: " + served + " served of " + asked);
                }
                into.addCounts(entry.getKey(), rows.get(i).asLong(), new ServiceShare(asked, served));
            }
        }
        for (Map.Entry<String, JsonNode> entry : node.path("sizes").properties()) {
            long[] from = new long[entry.getValue().size()];
            for (int i = 0; i < from.length; i++) {
                from[i] = Math.max(0, entry.getValue().get(i).asLong());
            }
            largestJobGroups.restoreMinSizes(entry.getKey(), from);
        }
        return node.path("at").asLong();
    }
}
