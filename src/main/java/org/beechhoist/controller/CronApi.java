package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ApiResponder;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.cron.Calendar;
import org.beechhoist.cron.CronTable;
import org.beechhoist.cron.Entry;
import org.beechhoist.cron.Occurrences;
import org.beechhoist.cron.ScheduleKeys;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.CommitResult;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.Revision;

/** Installs, shows and removes cron tables and calendars; the same on every node. */
public final class CronApi {
    /** Lines whose cursors share a value, and the bytes that a part of a table may take, of a value's 8 KiB. */
    private static final int PART_LINES = 30;

    private static final int PART_BYTES = 7000;
    private static final int PUTS_AT_ONCE = 6;
    /** Lines in one answer: each costs a read or two of its last run. */
    private static final int ROWS = 25;

    private static final long WAIT_MS = 150;

    /** What only the leader knows of a line: why it is held; null elsewhere. */
    interface Held {
        String why(String table, String id);
    }

    private final ControllerContext context;
    private final Settings settings;
    private final StoreClient store;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final UserApi users;
    private final Held held;

    CronApi(
            ControllerContext context,
            Settings settings,
            StoreClient store,
            TokenBucket requests,
            TokenBucket writes,
            UserApi users,
            Held held) {
        this.context = context;
        this.settings = settings;
        this.store = store;
        this.requests = requests;
        this.writes = writes;
        this.users = users;
        this.held = held;
    }

    private static ObjectNode error(String text) {
        return Codec.map().put("error", text);
    }

    private static void unknown(ApiResponder responder) {
        responder.respond(503, error("the state service does not answer, or this node has used its share of it"));
    }

    // ---- reading ----

    /** All of a prefix, or null where it could not be read. */
    private void all(
            String prefix, String after, List<StoreClient.KeyValue> items, Consumer<List<StoreClient.KeyValue>> then) {
        requests.takeOrOverdraw(context.now(), 1);
        store.list(prefix, after, 500, page -> {
            if (!page.isOk()) {
                then.accept(null);
                return;
            }
            items.addAll(page.items());
            if (page.more() && !page.items().isEmpty()) {
                all(prefix, items.get(items.size() - 1).key(), items, then);
            } else {
                then.accept(items);
            }
        });
    }

    /** What is installed. */
    private static final class Installed {
        private final Map<String, StoreClient.KeyValue> tables = new TreeMap<>();
        private final Map<String, Calendar> calendars = new HashMap<>();
        private final Map<String, JsonNode> parts = new TreeMap<>();
    }

    private void installed(ApiResponder responder, Consumer<Installed> then) {
        all(ScheduleKeys.DEFINITIONS, null, new ArrayList<>(), items -> {
            if (items == null) {
                unknown(responder);
                return;
            }
            Installed in = new Installed();
            for (StoreClient.KeyValue item : items) {
                try {
                    if (item.key().startsWith(ScheduleKeys.TABLES)) {
                        in.tables.put(item.key().substring(ScheduleKeys.TABLES.length()), item);
                    } else if (item.key().startsWith(ScheduleKeys.CALENDARS)) {
                        String name = item.key().substring(ScheduleKeys.CALENDARS.length());
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

    private static List<Entry> entries(Installed in, String table) {
        List<Entry> out = new ArrayList<>();
        JsonNode meta = in.tables.get(table).value();
        for (int n = 0; n < meta.path("chunks").asInt(); n++) {
            for (JsonNode node : in.parts.getOrDefault(
                    ScheduleKeys.definition(table, meta.path("gen").asLong(), n), Codec.list())) {
                try {
                    out.add(Entry.parse(table, node));
                } catch (MalformedMessageException m) {
                    // the leader's log names it
                }
            }
        }
        return out;
    }

    // ---- tables ----

    void install(String table, JsonNode body, ApiResponder responder) {
        if (!Calendar.validName(table)) {
            responder.respond(400, error("table = " + table + ": letters, digits, - and _ are expected, at most 60"));
            return;
        }
        List<Entry> parsed;
        try {
            parsed = CronTable.parse(table, Codec.text(body, "text"), context.wallMs() / 1000);
        } catch (CronTable.InvalidTableException | MalformedMessageException e) {
            responder.respond(400, error(e.getMessage()));
            return;
        }
        installed(responder, in -> {
            List<Entry> all = new ArrayList<>();
            Map<String, Entry> before = new HashMap<>();
            if (in.tables.containsKey(table)) {
                entries(in, table).forEach(e -> before.put(e.id(), e));
            }
            for (Entry entry : parsed) {
                String bad = judge(entry, in);
                if (bad != null) {
                    responder.respond(
                            bad.equals(AdmissionRules.MACHINE_TYPES_UNKNOWN)
                                    ? 503
                                    : entry.calendar() != null && !in.calendars.containsKey(entry.calendar())
                                            ? 400
                                            : 422,
                            error("line " + entry.line() + ": " + bad));
                    return;
                }
                // A line that stays goes on where it was: what is due at this very moment is not lost.
                all.add(
                        before.containsKey(entry.id())
                                ? entry.withSince(before.get(entry.id()).since())
                                : entry);
            }
            write(table, all, in, responder);
        });
    }

    private String judge(Entry entry, Installed in) {
        if (entry.calendar() != null && !in.calendars.containsKey(entry.calendar())) {
            return "calendar = " + entry.calendar() + ": an installed calendar is expected"
                    + (in.calendars.isEmpty()
                            ? ", there is none"
                            : ": " + String.join(", ", new TreeMap<>(in.calendars).keySet()));
        }
        try {
            JobSpec job = entry.job(Instant.ofEpochMilli(context.wallMs()));
            return users.refusal(job);
        } catch (MalformedMessageException m) {
            return m.getMessage();
        }
    }

    /** Lines that run together stand together, so that one write moves the cursors of many. */
    private static List<ArrayNode> parts(List<Entry> all) {
        List<Entry> sorted = new ArrayList<>(all);
        sorted.sort(Comparator.comparing((Entry e) -> e.expression() + " " + e.zone())
                .thenComparing(Entry::id));
        List<ArrayNode> out = new ArrayList<>();
        int bytes = PART_BYTES;
        for (Entry entry : sorted) {
            ObjectNode node = entry.toNode();
            int size = Codec.jsonBytes(node);
            if (bytes + size > PART_BYTES || out.get(out.size() - 1).size() >= PART_LINES) {
                out.add(Codec.list());
                bytes = 0;
            }
            bytes += size;
            out.get(out.size() - 1).add(node);
        }
        return out;
    }

    private void write(String table, List<Entry> all, Installed in, ApiResponder responder) {
        StoreClient.KeyValue old = in.tables.get(table);
        long gen = Math.max(
                context.wallMs(), old == null ? 0 : old.value().path("gen").asLong() + 1);
        List<ArrayNode> parts = parts(all);
        ObjectNode meta = Codec.map()
                .put("gen", gen)
                .put("chunks", parts.size())
                .put("lines", all.size())
                .put("installed", context.wallMs() / 1000);
        writeParts(table, gen, parts, 0, ok -> {
            if (!ok) {
                unknown(responder);
                return;
            }
            String key = ScheduleKeys.TABLES + table;
            Transaction transaction = new Transaction()
                    .guard(key, old == null ? Revision.ABSENT : old.version())
                    .put(key, meta);
            send(transaction, commit -> {
                switch (commit.outcome()) {
                    case COMMITTED -> {
                        responder.respond(
                                old == null ? 201 : 200,
                                Codec.map().put("table", table).put("lines", all.size()));
                        removeKeys(stale(in, table, old));
                    }
                    case CONFLICT ->
                        responder.respond(
                                409, error("table " + table + ": another version was installed at this moment"));
                    default -> unknown(responder);
                }
            });
        });
    }

    private static List<String> stale(Installed in, String table, StoreClient.KeyValue old) {
        return old == null
                ? List.of()
                : in.parts.keySet().stream()
                        .filter(k -> k.startsWith(ScheduleKeys.definitions(table)
                                + old.value().path("gen").asLong() + "/"))
                        .toList();
    }

    /** Parts are written before the table says that they count, a few at a time as the writes allow. */
    private void writeParts(String table, long gen, List<ArrayNode> parts, int from, Consumer<Boolean> then) {
        if (from >= parts.size()) {
            then.accept(true);
            return;
        }
        int count = (int) Math.min(
                Math.min(PUTS_AT_ONCE, settings.stateLimits().txnOps()), Math.floor(writes.available(context.now())));
        if (count < 1) {
            context.schedule(WAIT_MS, () -> writeParts(table, gen, parts, from, then));
            return;
        }
        Transaction transaction = new Transaction();
        int to = Math.min(parts.size(), from + count);
        for (int i = from; i < to; i++) {
            transaction.put(ScheduleKeys.definition(table, gen, i), parts.get(i));
        }
        send(transaction, commit -> {
            if (commit.outcome() == CommitResult.Outcome.COMMITTED) {
                writeParts(table, gen, parts, to, then);
            } else {
                then.accept(false);
            }
        });
    }

    private void send(Transaction transaction, Consumer<CommitResult> then) {
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), transaction.operationCount());
        store.commit(transaction, then);
    }

    /** What nothing refers to any more; where that fails, it stays and does no harm. */
    private void removeKeys(List<String> keys) {
        if (keys.isEmpty()) {
            return;
        }
        if (writes.available(context.now()) < PUTS_AT_ONCE) {
            context.schedule(WAIT_MS, () -> removeKeys(keys));
            return;
        }
        Transaction transaction = new Transaction();
        List<String> first = keys.subList(0, Math.min(PUTS_AT_ONCE, keys.size()));
        first.forEach(transaction::delete);
        send(transaction, c -> removeKeys(keys.subList(first.size(), keys.size())));
    }

    void remove(String table, ApiResponder responder) {
        installed(responder, in -> {
            StoreClient.KeyValue old = in.tables.get(table);
            if (old == null) {
                responder.respond(404, error("no such table"));
                return;
            }
            send(new Transaction().guard(old.key(), old.version()).delete(old.key()), commit -> {
                switch (commit.outcome()) {
                    case COMMITTED -> {
                        responder.respond(200, Codec.map().put("table", table).put("lines", 0));
                        List<String> keys = new ArrayList<>(stale(in, table, old));
                        for (int n = 0; n < old.value().path("chunks").asInt(); n++) {
                            keys.add(ScheduleKeys.cursor(table, n));
                        }
                        removeKeys(keys);
                    }
                    case CONFLICT ->
                        responder.respond(409, error("table " + table + ": it was changed at this moment"));
                    default -> unknown(responder);
                }
            });
        });
    }

    void list(ApiResponder responder) {
        installed(responder, in -> {
            ObjectNode out = Codec.map();
            ArrayNode tables = out.putArray("tables");
            in.tables.forEach((name, item) -> tables.addObject()
                    .put("table", name)
                    .put("lines", item.value().path("lines").asInt())
                    .put(
                            "installed",
                            Instant.ofEpochSecond(item.value().path("installed").asLong())
                                    .toString()));
            ArrayNode calendars = out.putArray("calendars");
            new TreeMap<>(in.calendars).forEach((name, calendar) -> calendars
                    .addObject()
                    .put("calendar", name)
                    .put("version", calendar.version())
                    .put(
                            "days",
                            calendar.holidays().size() + calendar.workdays().size()));
            responder.respond(200, out);
        });
    }

    /** A table's lines after one: last run, next run, why it is held. */
    void show(String table, int after, ApiResponder responder) {
        installed(responder, in -> {
            if (!in.tables.containsKey(table)) {
                responder.respond(404, error("no such table"));
                return;
            }
            all(ScheduleKeys.CURSORS + table + "/", null, new ArrayList<>(), cursors -> {
                if (cursors == null) {
                    unknown(responder);
                    return;
                }
                Map<String, JsonNode> byId = new HashMap<>();
                cursors.forEach(item -> item.value()
                        .fields()
                        .forEachRemaining(entry -> byId.merge(
                                entry.getKey(),
                                entry.getValue(),
                                (a, b) -> a.path(0).asLong() >= b.path(0).asLong() ? a : b)));
                List<Entry> lines = entries(in, table);
                lines.removeIf(e -> e.line() <= after);
                lines.sort(Comparator.comparingInt(Entry::line));
                ObjectNode out = Codec.map().put("table", table).put("more", lines.size() > ROWS);
                ArrayNode rows = out.putArray("lines");
                rows(lines.subList(0, Math.min(ROWS, lines.size())), in, byId, rows);
                outcomes(rows, 0, () -> responder.respond(200, out));
            });
        });
    }

    private void rows(List<Entry> lines, Installed in, Map<String, JsonNode> cursors, ArrayNode rows) {
        for (Entry entry : lines) {
            JsonNode cursor = cursors.getOrDefault(entry.id(), Codec.list());
            long at = Math.max(entry.since(), cursor.path(0).asLong());
            Calendar calendar = in.calendars.get(entry.calendar());
            Instant next = entry.calendar() != null && calendar == null
                    ? null
                    : Occurrences.next(entry, calendar, Instant.ofEpochSecond(at));
            ObjectNode row = rows.addObject()
                    .put("line", entry.line())
                    .put("job", entry.jobName())
                    .put(
                            "next",
                            next == null
                                    ? null
                                    : next.atZone(entry.zone())
                                            .toOffsetDateTime()
                                            .toString());
            if (!cursor.path(1).asText().isEmpty()) {
                row.put("last", cursor.path(1).asText())
                        .put(
                                "lastAt",
                                Instant.ofEpochSecond(cursor.path(2).asLong()).toString());
            }
            if (cursor.path(3).asInt() > 0) {
                row.put("passedOver", cursor.path(3).asInt());
            }
            String why = entry.calendar() != null && calendar == null
                    ? "its calendar " + entry.calendar() + " is gone"
                    : held.why(entry.table(), entry.id());
            if (why != null) {
                row.put("held", why);
            }
        }
    }

    /** How the lines' last runs stand, one after the other. */
    private void outcomes(ArrayNode rows, int from, Runnable then) {
        int index = from;
        while (index < rows.size() && !rows.get(index).has("last")) {
            index++;
        }
        if (index >= rows.size()) {
            then.run();
            return;
        }
        int row = index;
        users.readStatus(new JobId(rows.get(row).get("last").textValue()), state -> {
            if (state != null) {
                ((ObjectNode) rows.get(row)).put("outcome", state.path("status").asText());
                if (state.has("reason")) {
                    ((ObjectNode) rows.get(row))
                            .put("reason", state.get("reason").asText());
                }
            }
            outcomes(rows, row + 1, then);
        });
    }

    // ---- calendars ----

    void installCalendar(String name, JsonNode body, ApiResponder responder) {
        Calendar calendar;
        try {
            calendar = Calendar.parse(body, name);
        } catch (MalformedMessageException e) {
            responder.respond(400, error(e.getMessage()));
            return;
        }
        ObjectNode value = calendar.toNode();
        if (Codec.jsonBytes(value) > PART_BYTES) {
            responder.respond(
                    400,
                    error("holidays: " + Codec.jsonBytes(value) + " bytes in all, at most " + PART_BYTES
                            + " are allowed"));
            return;
        }
        send(new Transaction().put(ScheduleKeys.CALENDARS + name, value), commit -> {
            if (commit.outcome() == CommitResult.Outcome.COMMITTED) {
                responder.respond(200, Codec.map().put("calendar", name).put("version", calendar.version()));
            } else {
                unknown(responder);
            }
        });
    }

    void calendar(String name, ApiResponder responder) {
        requests.takeOrOverdraw(context.now(), 1);
        store.get(ScheduleKeys.CALENDARS + name, read -> {
            if (!read.answered()) {
                unknown(responder);
            } else if (read.item() == null) {
                responder.respond(404, error("no such calendar"));
            } else {
                responder.respond(200, read.item().value());
            }
        });
    }
}
