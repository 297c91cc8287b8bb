package org.beechhoist.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.beechhoist.wire.Calls;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.Outcome;
import org.beechhoist.wire.Revision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The state service's calls. It counts nothing against budgets: callers do, for they know what may wait. */
public final class StoreClient {
    private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);
    private static final long TIMEOUT_MS = 2000;

    /** A key's value. */
    public record Item(String key, JsonNode value, Revision version, long lease) {}

    /** What a read found: {@code item} is null for 404. Where {@code known} is false nothing was learnt. */
    public record Read(boolean known, Item item) {
        public static final Read UNKNOWN = new Read(false, null);
    }

    /** One page of a listing, or null items where it failed. */
    public record Page(List<Item> items, boolean more, Revision revision) {
        public boolean ok() {
            return items != null;
        }
    }

    /** Changes since a revision. {@code status} 410: too old. A removed key has a null value. */
    public record Changes(int status, List<Item> log, Revision revision) {}

    /** How a transaction ended. */
    public record Commit(Result result, Revision revision, Set<String> failed) {
        /** {@code REFUSED}: certainly not executed. {@code UNCERTAIN}: perhaps, perhaps later. */
        public enum Result {
            DONE,
            CONFLICT,
            REFUSED,
            NO_LEASE,
            UNCERTAIN
        }
    }

    private final Calls calls;
    private boolean strangeLogged;

    public StoreClient(Calls calls) {
        this.calls = calls;
    }

    private void strange(String what, Outcome result) {
        if (!strangeLogged) {
            strangeLogged = true;
            LOG.warn(
                    "state service: strange answer to {}: status {}; further ones are not logged",
                    what,
                    result.status());
        }
    }

    private static Item item(JsonNode node) throws org.beechhoist.wire.Malformed {
        return new Item(
                Codec.text(node, "path"),
                node.get("data"),
                new Revision(Codec.count(node, "lastTouch", 0, Long.MAX_VALUE)),
                Codec.absent(node, "hold") ? 0 : Codec.count(node, "hold", 0, Long.MAX_VALUE));
    }

    private static Revision revision(JsonNode node) throws org.beechhoist.wire.Malformed {
        return new Revision(Codec.count(node, "ledgerRev", 0, Long.MAX_VALUE));
    }

    public void get(String key, Consumer<Read> then) {
        calls.call(Calls.Target.STATE, null, "GET", "/store/" + key, null, TIMEOUT_MS, result -> {
            Read read = Read.UNKNOWN;
            try {
                if (result.ok()) {
                    read = new Read(true, item(result.body()));
                } else if (result.is(404)
                        && result.body() != null
                        && result.body().has("ledgerRev")) {
                    // A 404 without the service's own body could come from something else on the way.
                    read = new Read(true, null);
                }
            } catch (org.beechhoist.wire.Malformed e) {
                strange("a read", result);
            }
            then.accept(read);
        });
    }

    public void list(String prefix, String after, int limit, Consumer<Page> then) {
        String path = "/store?prefix=" + prefix + (after == null ? "" : "&after=" + after) + "&limit=" + limit;
        calls.call(Calls.Target.STATE, null, "GET", path, null, 5000, result -> {
            Page page = new Page(null, false, Revision.ABSENT);
            try {
                if (result.ok() && result.body().path("items").isArray()) {
                    List<Item> items = new ArrayList<>();
                    for (JsonNode n : result.body().get("items")) {
                        items.add(item(n));
                    }
                    page = new Page(items, Codec.bool(result.body(), "more"), revision(result.body()));
                }
            } catch (org.beechhoist.wire.Malformed e) {
                strange("a listing", result);
            }
            then.accept(page);
        });
    }

    public void commit(Txn txn, Consumer<Commit> then) {
        calls.call(Calls.Target.STATE, null, "POST", "/commit", txn.toNode(), TIMEOUT_MS, o -> then.accept(read(o)));
    }

    private Commit read(Outcome answer) {
        Commit.Result result = Commit.Result.UNCERTAIN;
        Revision revision = Revision.ABSENT;
        Set<String> failed = new HashSet<>();
        try {
            if (answer.kind() == Outcome.Kind.NOT_SENT || answer.is(503) || answer.is(429)) {
                result = Commit.Result.REFUSED;
            } else if (answer.ok()) {
                revision = revision(answer.body());
                result = Commit.Result.DONE;
            } else if (answer.is(409) && answer.body() != null) {
                failed.addAll(Codec.texts(answer.body().get("failed"), "failed"));
                result = Commit.Result.CONFLICT;
            } else if (answer.is(400)) {
                boolean lease = answer.body() != null
                        && "no such lease".equals(answer.body().path("error").asText());
                if (!lease) {
                    LOG.error("state service refuses a transaction of ours as malformed: {}", answer.body());
                }
                result = lease ? Commit.Result.NO_LEASE : Commit.Result.REFUSED;
            }
        } catch (org.beechhoist.wire.Malformed e) {
            strange("a transaction", answer);
            result = Commit.Result.UNCERTAIN;
        }
        return new Commit(result, revision, failed);
    }

    /** Hands over the new lease's id, or 0. */
    public void grant(long ttlMs, Consumer<Long> then) {
        calls.call(
                Calls.Target.STATE,
                null,
                "POST",
                "/leases",
                Codec.map().put("ttlMs", ttlMs),
                TIMEOUT_MS,
                result -> then.accept(
                        result.ok() && result.body().path("hold").canConvertToLong()
                                ? result.body().get("hold").longValue()
                                : 0L));
    }

    public void extend(long lease, Consumer<Outcome> then) {
        calls.call(Calls.Target.STATE, null, "POST", "/leases/" + lease + "/extend", Codec.map(), 1000, then);
    }

    public void revoke(long lease) {
        calls.call(Calls.Target.STATE, null, "DELETE", "/leases/" + lease, null, TIMEOUT_MS, o -> {});
    }

    public void changes(String prefix, Revision after, long holdMs, Consumer<Changes> then) {
        String path = "/changes?prefix=" + prefix + "&after=" + after.value() + "&holdMs=" + holdMs;
        calls.call(Calls.Target.STATE, null, "GET", path, null, holdMs + 3000, result -> {
            Changes out = new Changes(result.kind() == Outcome.Kind.ANSWERED ? result.status() : 0, null, after);
            try {
                if (result.ok() && result.body().path("log").isArray()) {
                    List<Item> log = new ArrayList<>();
                    for (JsonNode node : result.body().get("log")) {
                        boolean put = node.hasNonNull("put");
                        log.add(new Item(
                                Codec.text(node, put ? "put" : "remove"),
                                put ? node.get("data") : null,
                                new Revision(Codec.count(node, "lastTouch", 0, Long.MAX_VALUE)),
                                0));
                    }
                    out = new Changes(200, log, revision(result.body()));
                } else if (result.is(200)) {
                    out = new Changes(0, null, after);
                }
            } catch (org.beechhoist.wire.Malformed e) {
                strange("a watch", result);
                out = new Changes(0, null, after);
            }
            then.accept(out);
        });
    }
}
