package org.beechhoist.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.beechhoist.wire.Codec;

/**
 * The value of the key {@code lead}: who leads.
 *
 * @param node the leader's name, or null where the value names none
 * @param wonAtWallMs when it won, by its wall clock
 * @param shortTerms how many short terms in a row it has had
 */
public record LeaderRecord(String node, long wonAtWallMs, int shortTerms) {
    /** The record as it is stored. */
    public ObjectNode toNode() {
        return Codec.map().put("node", node).put("at", wonAtWallMs).put("short", shortTerms);
    }

    /** Reads a stored record; what is missing counts as nobody, long ago and no short term. */
    public static LeaderRecord parse(JsonNode value) {
        return new LeaderRecord(
                value.path("node").asText(null),
                value.path("at").longValue(),
                value.path("short").intValue());
    }
}
