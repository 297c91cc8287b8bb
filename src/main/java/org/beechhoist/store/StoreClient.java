package org.beechhoist.store;

import static org.beechhoist.wire.ProtocolFields.KEY;
import static org.beechhoist.wire.ProtocolFields.LEASE;
import static org.beechhoist.wire.ProtocolFields.REVISION;
import static org.beechhoist.wire.ProtocolFields.VALUE;
import static org.beechhoist.wire.ProtocolFields.VERSION;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.LeaseId;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.Revision;
import org.beechhoist.wire.ServiceCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The client of the state service. It takes no tokens for its requests: callers do, for they know which may wait.
 */
public final class StoreClient {
    private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);
    private static final long TIMEOUT_MS = 2000;

    /** A key with its value, its version, and the lease that holds it. */
    public record KeyValue(String key, JsonNode value, Revision version, LeaseId lease) {}

    /**
     * The result of a read: {@code item} is null where the key is absent; nothing is known where {@code answered} is false.
     *
     * @param malformed what is wrong with the answer, or null
     */
    public record ReadResult(boolean answered, KeyValue item, String malformed) {
        /** No usable answer came. */
        public static final ReadResult UNKNOWN = new ReadResult(false, null, null);

        /** A well-formed answer; {@code item} is null where the key is absent. */
        public static ReadResult of(KeyValue item) {
            return new ReadResult(true, item, null);
        }
    }

    /**
     * One page of a listing; {@code items} is null where the read failed.
     *
     * @param malformed what is wrong with the answer, or null
     */
    public record Page(List<KeyValue> items, boolean more, Revision revision, String malformed) {
        /** Whether the page could be read. */
        public boolean isOk() {
            return items != null;
        }
    }

    /**
     * The changes since a revision, as of {@code revision}. A removed key has a null value.
     *
     * @param status the HTTP status, 410 where the revision is too old, or 0 where no usable answer came
     * @param malformed what is wrong with the answer, or null
     */
    public record WatchResult(int status, List<KeyValue> changes, Revision revision, String malformed) {}

    /** The result of a transaction; {@code failedKeys} are keys whose guard failed. */
    public record CommitResult(Outcome outcome, Revision revision, Set<String> failedKeys) {
        /** What became of it. */
        public enum Outcome {
            /** All of it was written. */
            COMMITTED,
            /** A guard failed; nothing was written. */
            CONFLICT,
            /** It was certainly not executed. */
            REJECTED,
            /** A lease that it names has ended; nothing was written. */
            LEASE_EXPIRED,
            /** It may have been executed, or may still be. */
            UNKNOWN
        }
    }

    private final ServiceCalls calls;
    private boolean unexpectedLogged;

    /** A client that makes its calls through {@code calls}. */
    public StoreClient(ServiceCalls calls) {
        this.calls = calls;
    }

    private void logUnexpected(String what, CallResult result, MalformedMessageException problem) {
        if (!unexpectedLogged) {
            unexpectedLogged = true;
            LOG.warn(
                    "unexpected answer of the state service (logged once): request=\"{}\" status={} cause=\"{}\"",
                    what,
                    result.status(),
                    problem.getMessage());
        }
    }

    private static KeyValue item(JsonNode node) throws MalformedMessageException {
        return new KeyValue(
                Codec.text(node, KEY),
                value(node),
                version(node),
                Codec.isAbsent(node, LEASE) ? LeaseId.NONE : lease(node));
    }

    private static Revision version(JsonNode node) throws MalformedMessageException {
        return new Revision(Codec.unsignedNumber(node, VERSION));
    }

    private static LeaseId lease(JsonNode node) throws MalformedMessageException {
        return new LeaseId(Codec.unsignedNumber(node, LEASE));
    }

    /** The value of a key that exists: without this check, an answer that lacks it read as if the key were gone. */
    private static JsonNode value(JsonNode node) throws MalformedMessageException {
        if (Codec.isAbsent(node, VALUE)) {
            throw new MalformedMessageException(VALUE + ": value expected");
        }
        return node.get(VALUE);
    }

    private static Revision revision(JsonNode node) throws MalformedMessageException {
        return new Revision(Codec.unsignedNumber(node, REVISION));
    }

    /** Reads one key. */
    public void get(String key, Consumer<ReadResult> then) {
        calls.call(ServiceCalls.Target.STATE, null, "GET", "/store/" + key, null, TIMEOUT_MS, result -> {
            ReadResult read = ReadResult.UNKNOWN;
            try {
                if (result.isOk()) {
                    read = ReadResult.of(item(result.body()));
                } else if (result.hasStatus(404)
                        && result.body() != null
                        && result.body().has(REVISION)) {
                    // A 404 without the service's own body could come from something else on the way.
                    read = ReadResult.of(null);
                }
            } catch (MalformedMessageException e) {
                logUnexpected("a read", result, e);
                read = new ReadResult(false, null, e.getMessage());
            }
            then.accept(read);
        });
    }

    /**
     * Reads a page of the keys with this prefix, in order.
     *
     * @param after the last key of the page before, or null for the first page
     */
    public void list(String prefix, String after, int limit, Consumer<Page> then) {
        String path = "/store?prefix=" + prefix + (after == null ? "" : "&after=" + after) + "&limit=" + limit;
        calls.call(ServiceCalls.Target.STATE, null, "GET", path, null, 5000, result -> {
            Page page = new Page(null, false, Revision.ABSENT, null);
            try {
                if (result.isOk() && result.body().path("items").isArray()) {
                    List<KeyValue> items = new ArrayList<>();
                    for (JsonNode n : result.body().get("items")) {
                        items.add(item(n));
                    }
                    page = new Page(items, Codec.bool(result.body(), "more"), revision(result.body()), null);
                }
            } catch (MalformedMessageException e) {
                logUnexpected("a listing", result, e);
                page = new Page(null, false, Revision.ABSENT, e.getMessage());
            }
            then.accept(page);
        });
    }

    /** Sends a transaction: all of its changes are made if each of its guards holds, or none. */
    public void commit(Transaction transaction, Consumer<CommitResult> then) {
        calls.call(
                ServiceCalls.Target.STATE,
                null,
                "POST",
                "/commit",
                transaction.toNode(),
                TIMEOUT_MS,
                o -> then.accept(read(o)));
    }

    private CommitResult read(CallResult answer) {
        CommitResult.Outcome result = CommitResult.Outcome.UNKNOWN;
        Revision revision = Revision.ABSENT;
        Set<String> failed = new HashSet<>();
        try {
            if (answer.kind() == CallResult.Kind.NOT_SENT || answer.hasStatus(503) || answer.hasStatus(429)) {
                result = CommitResult.Outcome.REJECTED;
            } else if (answer.isOk()) {
                revision = revision(answer.body());
                result = CommitResult.Outcome.COMMITTED;
            } else if (answer.hasStatus(409) && answer.body() != null) {
                failed.addAll(Codec.textList(answer.body().get("failed"), "failed"));
                result = CommitResult.Outcome.CONFLICT;
            } else if (answer.hasStatus(400)) {
                boolean lease = answer.body() != null
                        && "no such lease".equals(answer.body().path("error").asText());
                if (!lease) {
                    LOG.error("transaction refused as malformed by the state service: answer={}", answer.body());
                }
                result = lease ? CommitResult.Outcome.LEASE_EXPIRED : CommitResult.Outcome.REJECTED;
            }
        } catch (MalformedMessageException e) {
            logUnexpected("a transaction", answer, e);
            result = CommitResult.Outcome.UNKNOWN;
        }
        return new CommitResult(result, revision, failed);
    }

    /** Asks for a new lease; {@code then} receives its id, or {@link LeaseId#NONE} where none was granted. */
    public void grantLease(long ttlMs, Consumer<LeaseId> then) {
        calls.call(
                ServiceCalls.Target.STATE,
                null,
                "POST",
                "/leases",
                Codec.map().put("ttlMs", ttlMs),
                TIMEOUT_MS,
                result -> then.accept(granted(result)));
    }

    private LeaseId granted(CallResult result) {
        try {
            return result.isOk() ? lease(result.body()) : LeaseId.NONE;
        } catch (MalformedMessageException e) {
            logUnexpected("a lease", result, e);
            return LeaseId.NONE;
        }
    }

    /** Extends a lease by its time to live. */
    public void extendLease(LeaseId lease, Consumer<CallResult> then) {
        calls.call(
                ServiceCalls.Target.STATE,
                null,
                "POST",
                "/leases/" + lease.text() + "/extend",
                Codec.map(),
                1000,
                then);
    }

    /** Ends a lease, and with it the keys it holds. Nobody waits for the answer. */
    public void revokeLease(LeaseId lease) {
        calls.call(ServiceCalls.Target.STATE, null, "DELETE", "/leases/" + lease.text(), null, TIMEOUT_MS, o -> {});
    }

    /**
     * Asks for the changes of keys with this prefix, made after a revision.
     *
     * @param holdMs how long the state service may wait for the first change before it answers with none
     */
    public void watch(String prefix, Revision after, long holdMs, Consumer<WatchResult> then) {
        String path = "/changes?prefix=" + prefix + "&after=" + after.text() + "&holdMs=" + holdMs;
        calls.call(ServiceCalls.Target.STATE, null, "GET", path, null, holdMs + 3000, result -> {
            WatchResult out =
                    new WatchResult(result.kind() == CallResult.Kind.ANSWERED ? result.status() : 0, null, after, null);
            try {
                if (result.isOk() && result.body().path("log").isArray()) {
                    List<KeyValue> log = new ArrayList<>();
                    for (JsonNode node : result.body().get("log")) {
                        boolean put = node.hasNonNull("put");
                        log.add(new KeyValue(
                                Codec.text(node, put ? "put" : "remove"),
                                put ? value(node) : null,
                                version(node),
                                LeaseId.NONE));
                    }
                    out = new WatchResult(200, log, revision(result.body()), null);
                } else if (result.hasStatus(200)) {
                    throw new MalformedMessageException("log: list expected");
                }
            } catch (MalformedMessageException e) {
                logUnexpected("a watch", result, e);
                out = new WatchResult(0, null, after, e.getMessage());
            }
            then.accept(out);
        });
    }
}
