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
    /** Lines whose cursors share a value. */
    private static final int MAX_LINES_PER_PART = 30;

    /** The bytes that a part of a table or a calendar may take, of a value's 8 KiB. */
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

    /** The body of an answer that reports an error. */
    static ObjectNode errorBody(String text) {
        return Codec.map().put("error", text);
    }

    /** Answers that the state service could not be asked. */
    static void respondUnavailable(ApiResponder responder) {
        responder.respond(503, errorBody("the state service does not answer, or this node has used its share of it"));
    }

    /** Reads all values under a prefix; hands over null where it could not be read. */
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

    /** Reads what is installed; answers the request where that can't be read. */
    void readInstalled(ApiResponder responder, Consumer<InstalledSchedules> then) {
        readAll(ScheduleKeys.DEFINITIONS_PREFIX, null, new ArrayList<>(), items -> {
            if (items == null) {
                respondUnavailable(responder);
                return;
            }
            InstalledSchedules in = new InstalledSchedules();
            for (StoreClient.KeyValue item : items) {
                try {
                    if (item.key().startsWith(ScheduleKeys.TABLES_PREFIX)) {
                        in.tables.put(item.key().substring(ScheduleKeys.TABLES_PREFIX.length()), item);
                    } else if (item.key().startsWith(ScheduleKeys.CALENDARS_PREFIX)) {
                        String name = item.key().substring(ScheduleKeys.CALENDARS_PREFIX.length());
                        in.calendars.put(name, Calendar.parse(item.value(), name));
                    } else {
                        in.parts.put(item.key(), item.value());
                    }
                } catch (MalformedMessageException e) {
                    // shown to nobody; the leader's log names it
                }
            }
            then.accept(in);
        });
    }

    /** Divides a table into parts. Lines that run together are kept together, so that one write moves the cursors of many. */
    static List<ArrayNode> splitIntoParts(List<Schedule> all) {
        List<Schedule> sorted = new ArrayList<>(all);
        sorted.sort(Comparator.comparing((Schedule entry) -> entry.expression() + " " + entry.zone())
                .thenComparing(Schedule::id));
        List<ArrayNode> out = new ArrayList<>();
        int bytes = MAX_PART_BYTES;
        for (Schedule entry : sorted) {
            ObjectNode node = entry.toNode();
            int size = Codec.jsonBytes(node);
            if (bytes + size > MAX_PART_BYTES || out.get(out.size() - 1).size() >= MAX_LINES_PER_PART) {
                out.add(Codec.list());
                bytes = 0;
            }
            bytes += size;
            out.get(out.size() - 1).add(node);
        }
        return out;
    }

    /** Writes the parts, which count only once the table refers to them, a few at a time as the writes allow. */
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

    /** Commits a transaction, even where the node's share is used up. */
    void commit(Transaction transaction, Consumer<CommitResult> then) {
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), transaction.operationCount());
        store.commit(transaction, then);
    }

    /** Deletes keys that nothing refers to any more; those that are left after a failure do no harm. */
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
