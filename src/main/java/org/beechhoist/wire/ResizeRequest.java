package org.beechhoist.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What a user asks with {@code POST /v1/jobs/{id}/width}. Resizes of one job are numbered by their user, larger is
 * newer: a retry has its request's number, and an old one that arrives late changes nothing. Without a number ({@code
 * null}) it is the newest when it arrives.
 */
public record ResizeRequest(Width width, Long number) {
    /** Leaves room for the numbers of the resizes that follow. */
    private static final long MAX_NUMBER = 1_000_000_000_000L;

    /** Reads {@code {"width":4}} or {@code {"least":2,"most":16,"untilS":3600.0}}, either with {@code "number":17}. */
    public static ResizeRequest parse(JsonNode node) throws MalformedMessageException {
        Long number = Codec.isAbsent(node, "number") ? null : Codec.wholeNumber(node, "number", 1, MAX_NUMBER);
        if (Codec.isAbsent(node, "width")) {
            return new ResizeRequest(Width.parse(node, "width"), number);
        }
        Width width = Width.parse(
                Codec.map().<ObjectNode>set("least", node.get("width")).set("most", node.get("width")), "width");
        return new ResizeRequest(width, number);
    }

    /** The body of {@code POST /v1/jobs/{id}/width}. */
    public ObjectNode toNode() {
        return width.toNode().put("number", number);
    }
}
