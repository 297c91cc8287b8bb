package org.beechhoist.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.beechhoist.wire.Codec;

/** A stand-in of the state service, written from the protocol. For tests and trials: it keeps nothing on disk. */
public final class StateService {
    /** What the protocol promises. */
    public static final int KEPT_CHANGES = 10_000;

    private static final int MAX_PAGE_BYTES = 400 * 1024;

    private record Value(JsonNode data, long version, long lease) {}

    private record Change(String key, JsonNode data, long version) {}

    private record Watch(String prefix, long after, long until, Consumer<Reply> then) {}

    private static final class Lease {
        private long ttlMs;
        private long endsMs;
    }

    private final TreeMap<String, Value> values = new TreeMap<>();
    private final List<Change> log = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final int txnOps;
    private final int valueBytes;
    private long revision;
    private long nextLease = 1;
    private final int kept;
    private boolean out;

    /** A service that keeps as many changes as the protocol promises, with these limits on a transaction and a value. */
    public StateService(int txnOps, int valueBytes) {
        this(txnOps, valueBytes, KEPT_CHANGES);
    }

    /** @param kept changes that a watch can still be told of; it is told 410 for older ones */
    public StateService(int txnOps, int valueBytes, int kept) {
        this.txnOps = txnOps;
        this.valueBytes = valueBytes;
        this.kept = kept;
    }

    /**
     * Sets the numbers that the first change and the first lease follow, as unsigned integers; for a service that has not been
     * called yet.
     */
    public void countFrom(long lastRevision, long lastLease) {
        revision = lastRevision;
        nextLease = lastLease + 1;
    }

    /** Begins or ends an outage; at its end every lease has its full time again. */
    public void outage(long nowMs, boolean begins) {
        tick(nowMs);
        out = begins;
        if (!begins) {
            leases.values().forEach(l -> l.endsMs = nowMs + l.ttlMs);
        }
    }

    /** Lets leases end and watches run out. */
    public void tick(long nowMs) {
        if (out) {
            return;
        }
        for (Map.Entry<Long, Lease> entry : new ArrayList<>(leases.entrySet())) {
            if (entry.getValue().endsMs <= nowMs) {
                end(entry.getKey());
            }
        }
        wake(nowMs);
    }

    private void end(long lease) {
        leases.remove(lease);
        List<String> keys = new ArrayList<>();
        values.forEach((key, value) -> {
            if (value.lease == lease) {
                keys.add(key);
            }
        });
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::delete);
        }
    }

    private void delete(String key) {
        if (values.remove(key) != null) {
            record(new Change(key, null, revision));
        }
    }

    private void record(Change change) {
        log.add(change);
        if (log.size() > kept) {
            log.subList(0, kept / 10).clear();
        }
    }

    private void wake(long nowMs) {
        List<Watch> due = new ArrayList<>();
        for (Watch watch : watches) {
            if (watch.until <= nowMs || changed(watch)) {
                due.add(watch);
            }
        }
        watches.removeAll(due);
        due.forEach(w -> w.then.accept(since(w.prefix, w.after)));
    }

    private static boolean isAfter(long version, long other) {
        return Long.compareUnsigned(version, other) > 0;
    }

    private ObjectNode revisionNode() {
        return Codec.putUnsigned(Codec.map(), "ledgerRev", revision);
    }

    private boolean changed(Watch watch) {
        for (int i = log.size() - 1; i >= 0 && isAfter(log.get(i).version, watch.after); i--) {
            if (log.get(i).key.startsWith(watch.prefix)) {
                return true;
            }
        }
        return false;
    }

    private Reply since(String prefix, long after) {
        ObjectNode out = revisionNode();
        ArrayNode list = out.putArray("log");
        for (Change change : log) {
            if (isAfter(change.version, after) && change.key.startsWith(prefix)) {
                ObjectNode node = list.addObject().put(change.data == null ? "remove" : "put", change.key);
                Codec.putUnsigned(node, "lastTouch", change.version);
                if (change.data != null) {
                    node.set("data", change.data);
                }
            }
        }
        return new Reply(200, out);
    }

    /** Takes a request; the answer comes through {@code then}, for a watch perhaps later. */
    public void handle(long nowMs, String method, String target, JsonNode body, Consumer<Reply> then) {
        tick(nowMs);
        if (out) {
            then.accept(Reply.error(503, "trouble"));
            return;
        }
        int queryStart = target.indexOf('?');
        String path = queryStart < 0 ? target : target.substring(0, queryStart);
        Map<String, String> query = query(queryStart < 0 ? "" : target.substring(queryStart + 1));
        if (path.equals("/changes")) {
            watch(nowMs, query, then);
            return;
        }
        Reply reply;
        if (path.equals("/store")) {
            reply = list(query);
        } else if (path.startsWith("/store/")) {
            reply = get(path.substring("/store/".length()));
        } else if (path.equals("/commit")) {
            reply = commit(body);
        } else if (path.equals("/leases")) {
            Lease lease = new Lease();
            lease.ttlMs = body.path("ttlMs").asLong();
            lease.endsMs = nowMs + lease.ttlMs;
            leases.put(nextLease, lease);
            reply = new Reply(200, Codec.putUnsigned(Codec.map(), "hold", nextLease++));
        } else if (path.startsWith("/leases/")) {
            reply = lease(nowMs, method, path.substring("/leases/".length()));
        } else {
            reply = Reply.error(400, "no such path");
        }
        wake(nowMs);
        then.accept(reply);
    }

    static Map<String, String> query(String text) {
        Map<String, String> out = new HashMap<>();
        for (String part : text.split("&")) {
            int eq = part.indexOf('=');
            if (eq > 0) {
                out.put(part.substring(0, eq), part.substring(eq + 1));
            }
        }
        return out;
    }

    private void watch(long nowMs, Map<String, String> query, Consumer<Reply> then) {
        long after = Long.parseUnsignedLong(query.getOrDefault("after", "0"));
        if (!log.isEmpty() && log.size() >= kept * 9 / 10 && isAfter(log.get(0).version, after + 1)) {
            then.accept(Reply.error(410, "too old"));
            return;
        }
        Watch watch = new Watch(
                query.getOrDefault("prefix", ""),
                after,
                nowMs + Long.parseLong(query.getOrDefault("holdMs", "0")),
                then);
        watches.add(watch);
        wake(nowMs);
    }

    private Reply lease(long nowMs, String method, String rest) {
        boolean extend = rest.endsWith("/extend");
        long id = Long.parseUnsignedLong(extend ? rest.substring(0, rest.length() - "/extend".length()) : rest);
        Lease lease = leases.get(id);
        if (lease == null) {
            return Reply.error(404, "no such lease");
        }
        if (extend) {
            lease.endsMs = nowMs + lease.ttlMs;
        } else if (method.equals("DELETE")) {
            end(id);
        }
        return new Reply(200, Codec.putUnsigned(Codec.map(), "hold", id));
    }

    private Reply get(String key) {
        Value value = values.get(key);
        if (value == null) {
            return new Reply(404, revisionNode());
        }
        return new Reply(200, item(key, value));
    }

    private static ObjectNode item(String key, Value value) {
        ObjectNode node = Codec.putUnsigned(Codec.map().put("path", key), "lastTouch", value.version);
        node.set("data", value.data);
        if (value.lease != 0) {
            Codec.putUnsigned(node, "hold", value.lease);
        }
        return node;
    }

    private Reply list(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.get("after");
        int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
        ObjectNode out = Codec.map();
        ArrayNode items = out.putArray("items");
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Value> entry : values.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (after != null && entry.getKey().compareTo(after) <= 0) {
                continue;
            }
            ObjectNode node = item(entry.getKey(), entry.getValue());
            bytes += Codec.encode(node).length;
            if (items.size() == limit || bytes > MAX_PAGE_BYTES) {
                more = true;
                break;
            }
            items.add(node);
        }
        return new Reply(200, Codec.putUnsigned(out.put("more", more), "ledgerRev", revision));
    }

    private Reply commit(JsonNode body) {
        ArrayNode failed = Codec.list();
        JsonNode then = body.path("then");
        if (then.size() > txnOps || body.path("guards").size() > 4 * txnOps) {
            return Reply.error(400, "too many operations");
        }
        for (JsonNode op : then) {
            if (op.has("put") && Codec.jsonBytes(op.get("data")) > valueBytes) {
                return Reply.error(400, "value too large");
            }
            if (op.hasNonNull("hold") && !leases.containsKey(op.get("hold").asLong())) {
                return Reply.error(400, "no such lease");
            }
        }
        for (JsonNode node : body.path("guards")) {
            Value value = values.get(node.path("path").asText());
            if ((value == null ? 0 : value.version) != node.path("lastTouch").asLong()) {
                failed.add(node.path("path").asText());
            }
        }
        if (!failed.isEmpty()) {
            ObjectNode node = revisionNode();
            node.set("failed", failed);
            return new Reply(409, node);
        }
        if (then.size() > 0) {
            revision++;
        }
        for (JsonNode op : then) {
            if (op.has("put")) {
                String key = op.get("put").asText();
                values.put(
                        key, new Value(op.get("data"), revision, op.path("hold").asLong(0)));
                record(new Change(key, op.get("data"), revision));
            } else {
                delete(op.path("remove").asText());
            }
        }
        return new Reply(200, revisionNode());
    }
}
