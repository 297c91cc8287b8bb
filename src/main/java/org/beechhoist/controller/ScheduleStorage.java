package org.beechhoist.controller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ApiResponder;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.cron.Calendar;
import org.beechhoist.cron.Schedule;
import org.beechhoist.cron.ScheduleKeys;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.CommitResult;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/** Reads and writes cron tables and calendars in the state service, on any node. */
final class ScheduleStorage {
    /** Maximum number of schedules in a part; their cursors are stored in one value. */
    private static final int MAX_LINES_PER_PART = 30;

    /** Maximum size of a part of a table or of a calendar; a value of the state service holds 8 KiB. */
    static final int MAX_PART_BYTES = 7000;

    private static final int MAX_WRITES_PER_TRANSACTION = 6;
    private static final int MAX_ITEMS_PER_PAGE = 500;
    private static final long RETRY_DELAY_MS = 150;

    private final ControllerContext context;
    private final Settings settings;
    private final StoreClient store;
    private final TokenBucket requests;
    private final TokenBucket writes;

    ScheduleStorage(StateServiceAccess access) {
        this.context = access.context();
        this.settings = access.settings();
        this.store = access.store();
        this.requests = access.requestTokens();
        this.writes = access.writeTokens();
    }

    /** Returns the body of an error response. */
    static ObjectNode errorBody(String text) {
        return Codec.map().put("error", text);
    }

    /** Responds with 503: the state service is unavailable. */
    static void respondUnavailable(ApiResponder responder) {
        responder.respond(503, errorBody("the state service does not answer, or this node has used its share of it"));
    }

    /** Reads all values under a prefix. Passes null to {@code then} if the read failed. */
    void readAll(
            String prefix, String after, List<StoreClient.KeyValue> items, Consumer<List<StoreClient.KeyValue>> then) {
        requests.takeOrOverdraw(context.now(), 1);
        store.list(prefix, after, MAX_ITEMS_PER_PAGE, page -> {
            if (!page.isOk()) {
                then.accept(null);
                return;
            }
            items.addAll(page.items());
            if (page.more() && !page.items().isEmpty()) {
                readAll(prefix, items.get(items.size() - 1).key(), items, then);
            } else {
                then.accept(items);
            }
        });
    }

    /** Reads the installed tables and calendars. Responds with an error itself if the read failed. */
    void readInstalled(ApiResponder responder, Consumer<InstalledSchedules> then) {
        readAll(ScheduleKeys.DEFINITIONS_PREFIX, null, new ArrayList<>(), items -> {
            if (items == null) {
                respondUnavailable(responder);
                return;
            }
            InstalledSchedules installed = new InstalledSchedules();
            for (StoreClient.KeyValue item : items) {
                try {
                    if (item.key().startsWith(ScheduleKeys.TABLES_PREFIX)) {
                        installed.tables.put(item.key().substring(ScheduleKeys.TABLES_PREFIX.length()), item);
                    } else if (item.key().startsWith(ScheduleKeys.CALENDARS_PREFIX)) {
                        String name = item.key().substring(ScheduleKeys.CALENDARS_PREFIX.length());
                        installed.calendars.put(name, Calendar.parse(item.value(), name));
                    } else {
                        installed.parts.put(item.key(), item.value());
                    }
                } catch (MalformedMessageException e) {
                    // left out of responses; the leader logs it
                }
            }
            then.accept(installed);
        });
    }

    /** Divides a table into parts. Schedules with the same times are kept together, so that one write advances many cursors. */
    static List<ArrayNode> splitIntoParts(List<Schedule> all) {
        List<Schedule> sorted = new ArrayList<>(all);
        sorted.sort(Comparator.comparing((Schedule schedule) -> schedule.expression() + " " + schedule.zone())
                .thenComparing(Schedule::id));
        List<ArrayNode> out = new ArrayList<>();
        int partBytes = MAX_PART_BYTES;
        for (Schedule schedule : sorted) {
            ObjectNode node = schedule.toNode();
            int size = Codec.jsonBytes(node);
            if (partBytes + size > MAX_PART_BYTES || out.get(out.size() - 1).size() >= MAX_LINES_PER_PART) {
                out.add(Codec.list());
                partBytes = 0;
            }
            partBytes += size;
            out.get(out.size() - 1).add(node);
        }
        return out;
    }

    /** Writes the parts of a new version of a table, a few at a time within the write limit. They take effect once the table refers to them. */
    void writeParts(String table, long gen, List<ArrayNode> parts, int from, Consumer<Boolean> then) {
        if (from >= parts.size()) {
            then.accept(true);
            return;
        }
        int count = (int) Math.min(
                Math.min(MAX_WRITES_PER_TRANSACTION, settings.stateLimits().txnOps()),
                Math.floor(writes.available(context.now())));
        if (count < 1) {
            context.schedule(RETRY_DELAY_MS, () -> writeParts(table, gen, parts, from, then));
            return;
        }
        Transaction transaction = new Transaction();
        int to = Math.min(parts.size(), from + count);
        for (int index = from; index < to; index++) {
            transaction.put(ScheduleKeys.partKey(table, gen, index), parts.get(index));
        }
        commit(transaction, commit -> {
            if (commit.outcome() == CommitResult.Outcome.COMMITTED) {
                writeParts(table, gen, parts, to, then);
            } else {
                then.accept(false);
            }
        });
    }

    /** Commits a transaction even if the node's rate limit is exhausted. */
    void commit(Transaction transaction, Consumer<CommitResult> then) {
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), transaction.operationCount());
        store.commit(transaction, then);
    }

    /** Deletes keys that are no longer referred to; keys that remain after a failure are harmless. */
    void deleteKeys(List<String> keys) {
        if (keys.isEmpty()) {
            return;
        }
        if (writes.available(context.now()) < MAX_WRITES_PER_TRANSACTION) {
            context.schedule(RETRY_DELAY_MS, () -> deleteKeys(keys));
            return;
        }
        Transaction transaction = new Transaction();
        List<String> first = keys.subList(0, Math.min(MAX_WRITES_PER_TRANSACTION, keys.size()));
        first.forEach(transaction::delete);
        commit(transaction, commit -> deleteKeys(keys.subList(first.size(), keys.size())));
    }
}
