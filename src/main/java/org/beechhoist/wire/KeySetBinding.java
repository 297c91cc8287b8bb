package org.beechhoist.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The key set that a job is bound to for ever: its name, its version and the digest of what that version holds. */
public record KeySetBinding(String keySet, long version, String digest) {
    /** Reads a binding from a job's description. */
    public static KeySetBinding parse(JsonNode node) throws MalformedMessageException {
        return new KeySetBinding(
                Codec.text(node, "set"),
                Codec.wholeNumber(node, "version", 1, Integer.MAX_VALUE),
                Codec.text(node, "digest"));
    }

    /** The binding as it is stored in a job's description. */
    public ObjectNode toNode() {
        return Codec.map().put("set", keySet).put("version", version).put("digest", digest);
    }

    @Override
    public String toString() {
        return keySet + " " + version;
    }
}
