package org.beechhoist.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.Width;

/**
 * A job's width in its record: what its user allows, the number of the newest resize (0: none), and the width that the
 * leader has decided within it. A target lower than the job's live tasks is a shrink that is not over: whoever leads
 * ends the surplus.
 */
public record WidthRecord(Width allowed, long number, int target) {
    /** Brings the target within what the user allows. */
    public WidthRecord {
        target = Math.max(allowed.min(), Math.min(allowed.max(), target));
    }

    /** The same with another target, brought within what the user allows. */
    public WidthRecord withTarget(int width) {
        return new WidthRecord(allowed, number, width);
    }

    /** Paused by its user: nothing of it may start. */
    public boolean isPaused() {
        return allowed.max() == 0;
    }

    /** The width as it is stored. */
    public ObjectNode toNode() {
        return allowed.toNode().put("number", number).put("target", target);
    }

    /** Reads a stored width. */
    public static WidthRecord parse(JsonNode node) throws MalformedMessageException {
        return new WidthRecord(Width.parse(node, "width"), Codec.wholeNumber(node, "number", 0, Long.MAX_VALUE), (int)
                Codec.wholeNumber(node, "target", 0, Integer.MAX_VALUE));
    }
}
