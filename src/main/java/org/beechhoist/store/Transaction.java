package org.beechhoist.store;

import static org.beechhoist.wire.ProtocolFields.KEY;
import static org.beechhoist.wire.ProtocolFields.LEASE;
import static org.beechhoist.wire.ProtocolFields.VALUE;
import static org.beechhoist.wire.ProtocolFields.VERSION;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.LeaseId;
import org.beechhoist.wire.Revision;

/** A transaction under construction. */
public final class Transaction {
    private final ArrayNode guards = Codec.list();
    private final ArrayNode then = Codec.list();

    /** Adds a condition: the key's version is this one, or the key is absent for {@link Revision#ABSENT}. */
    public Transaction guard(String key, Revision version) {
        Codec.putUnsigned(guards.addObject().put(KEY, key), VERSION, version.value());
        return this;
    }

    /** Adds a write. */
    public Transaction put(String key, JsonNode value) {
        then.addObject().put("put", key).set(VALUE, value);
        return this;
    }

    /** Adds a write of a key that goes when the lease ends. */
    public Transaction put(String key, JsonNode value, LeaseId lease) {
        ObjectNode put = then.addObject().put("put", key);
        put.set(VALUE, value);
        Codec.putUnsigned(put, LEASE, lease.value());
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
