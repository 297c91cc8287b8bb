package org.beechhoist.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.Revision;

/** A transaction under construction. */
public final class Transaction {
    private final ArrayNode guards = Codec.list();
    private final ArrayNode then = Codec.list();

    /** Adds a condition: the key's version is this one, or the key is absent for {@link Revision#ABSENT}. */
    public Transaction guard(String key, Revision version) {
        guards.addObject().put("path", key).put("lastTouch", version.value());
        return this;
    }

    /** Adds a write. */
    public Transaction put(String key, JsonNode value) {
        then.addObject().put("put", key).set("data", value);
        return this;
    }

    /** Adds a write of a key that goes when the lease ends. */
    public Transaction put(String key, JsonNode value, long lease) {
        ((ObjectNode) then.addObject().put("put", key).set("data", value)).put("hold", lease);
        return this;
    }

    /** Adds a removal. */
    public Transaction delete(String key) {
        then.addObject().put("remove", key);
        return this;
    }

    /** How many writes and removals it makes; guards don't count. */
    public int operationCount() {
        return then.size();
    }

    ObjectNode toNode() {
        ObjectNode node = Codec.map();
        node.set("guards", guards);
        node.set("then", then);
        return node;
    }
}
