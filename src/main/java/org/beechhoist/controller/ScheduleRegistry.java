package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.cron.Calendar;
import org.beechhoist.cron.Entry;
import org.beechhoist.cron.Occurrences;
import org.beechhoist.cron.ScheduleKeys;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.Revision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The lines of all installed tables on the leader, by when each is next due; read after winning and when one changes. */
final class ScheduleRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(ScheduleRegistry.class);

    /** A line, where it has got to, and what holds it. */
    static final class Line {
        final Entry entry;
        final Shard shard;
        long cursorS;
        JobId last;
        long firedS;
        int dropped;
        Instant next;
        MonotonicTime dueSince;
        MonotonicTime nextLog = MonotonicTime.ZERO;
        String held;
        boolean replacing;
        /** Whose work its occurrence was found to be, and the version of a key that has run out. */
        JobId taken;

        Revision keyVersion = Revision.ABSENT;

        Line(Entry entry, Shard shard) {
            this.entry = entry;
            this.shard = shard;
        }
    }

    /** Lines whose cursors stand in one value. */
    static final class Shard {
        final String key;
        final String table;
        final Map<String, Line> lines = new LinkedHashMap<>();
        Revision version = Revision.ABSENT;
        boolean inFlight;

        Shard(String key, String table) {
            this.key = key;
            this.table = table;
        }
    }

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final Map<String, Calendar> calendars = new HashMap<>();
    private final Map<String, Revision> tables = new HashMap<>();
    private final Map<String, Shard> shards = new HashMap<>();
    private final PriorityQueue<Line> waiting = new PriorityQueue<>(Comparator.comparing((Line l) -> l.next));
    private final Set<Line> due = new LinkedHashSet<>();
    private boolean loaded;
    private long epoch;
    private Instant servedSince;

    ScheduleRegistry(ControllerContext context, StoreClient store, TokenBucket requests) {
        this.context = context;
        this.store = store;
        this.requests = requests;
    }

    void begin() {
        servedSince = null;
        reload();
    }

    void end() {
        epoch++;
        loaded = false;
        clear();
    }

    private void clear() {
        calendars.clear();
        tables.clear();
        shards.clear();
        waiting.clear();
        due.clear();
    }

    boolean loaded() {
        return loaded;
    }

    /** Changes whenever the lines are read anew. */
    long epoch() {
        return epoch;
    }

    /** Since when this leader has known its schedules. */
    Instant servedSince() {
        return servedSince;
    }

    Calendar calendar(Line line) {
        return calendars.get(line.entry.calendar());
    }

    Revision version(String table) {
        return tables.get(table);
    }

    int size() {
        return waiting.size() + due.size();
    }

    /** Lines whose occurrence has come and is not decided. */
    Set<Line> due() {
        return due;
    }

    /** The same, with those that have come by now; no line is looked at before its time. */
    Set<Line> dueAt(Instant now) {
        while (!waiting.isEmpty() && !waiting.peek().next.isAfter(now)) {
            Line line = waiting.poll();
            line.dueSince = context.now();
            due.add(line);
        }
        return due;
    }

    Instant wall() {
        return Instant.ofEpochMilli(context.wallMs());
    }

    /** Puts a line where its next occurrence finds it. */
    void schedule(Line line) {
        line.dueSince = null;
        line.held = null;
        line.replacing = false;
        line.taken = null;
        line.keyVersion = Revision.ABSENT;
        Calendar calendar = calendars.get(line.entry.calendar());
        if (line.entry.calendar() != null && calendar == null) {
            LOG.warn(
                    "table {}, line {}: its calendar {} is gone, it never runs",
                    line.entry.table(),
                    line.entry.line(),
                    line.entry.calendar());
            return;
        }
        line.next = Occurrences.next(line.entry, calendar, Instant.ofEpochSecond(line.cursorS));
        if (line.next != null) {
            waiting.add(line);
        }
    }

    // ---- reading ----

    void reload() {
        long expectedEpoch = ++epoch;
        loaded = false;
        page(
                expectedEpoch,
                ScheduleKeys.DEFINITIONS,
                null,
                new ArrayList<>(),
                null,
                (definitions, revision) ->
                        page(expectedEpoch, ScheduleKeys.CURSORS, null, new ArrayList<>(), null, (cursors, later) -> {
                            build(definitions, cursors);
                            watch(expectedEpoch, revision);
                        }));
    }

    private interface Pages {
        void all(List<StoreClient.KeyValue> items, Revision first);
    }

    private void page(
            long expectedEpoch,
            String prefix,
            String after,
            List<StoreClient.KeyValue> items,
            Revision first,
            Pages then) {
        requests.takeOrOverdraw(context.now(), 1);
        store.list(prefix, after, 500, page -> {
            if (expectedEpoch != epoch) {
                return;
            }
            if (!page.isOk()) {
                context.schedule(500, () -> {
                    if (expectedEpoch == epoch) {
                        page(expectedEpoch, prefix, after, items, first, then);
                    }
                });
                return;
            }
            items.addAll(page.items());
            Revision start = first == null ? page.revision() : first;
            if (page.more() && !page.items().isEmpty()) {
                page(expectedEpoch, prefix, items.get(items.size() - 1).key(), items, start, then);
            } else {
                then.all(items, start);
            }
        });
    }

    private void build(List<StoreClient.KeyValue> definitions, List<StoreClient.KeyValue> cursors) {
        clear();
        Map<String, JsonNode> chunks = new HashMap<>();
        Map<String, JsonNode> metas = new HashMap<>();
        for (StoreClient.KeyValue item : definitions) {
            try {
                if (item.key().startsWith(ScheduleKeys.CALENDARS)) {
                    String name = item.key().substring(ScheduleKeys.CALENDARS.length());
                    calendars.put(name, Calendar.parse(item.value(), name));
                } else if (item.key().startsWith(ScheduleKeys.TABLES)) {
                    String name = item.key().substring(ScheduleKeys.TABLES.length());
                    tables.put(name, item.version());
                    metas.put(name, item.value());
                } else {
                    chunks.put(item.key(), item.value());
                }
            } catch (MalformedMessageException m) {
                LOG.error("{} can't be read, left alone: {}", item.key(), m.getMessage());
            }
        }
        Map<String, JsonNode> byId = new HashMap<>();
        Map<String, Revision> versions = new HashMap<>();
        for (StoreClient.KeyValue item : cursors) {
            versions.put(item.key(), item.version());
            String table = ScheduleKeys.tableOfCursor(item.key());
            item.value()
                    .fields()
                    .forEachRemaining(entry -> byId.merge(
                            table + "\n" + entry.getKey(),
                            entry.getValue(),
                            (a, b) -> a.path(0).asLong() >= b.path(0).asLong() ? a : b));
        }
        metas.forEach((table, meta) -> {
            for (int n = 0; n < meta.path("chunks").asInt(); n++) {
                JsonNode chunk = chunks.get(
                        ScheduleKeys.definition(table, meta.path("gen").asLong(), n));
                if (chunk == null) {
                    LOG.error("table {}: part {} is missing", table, n);
                    continue;
                }
                Shard shard = new Shard(ScheduleKeys.cursor(table, n), table);
                shard.version = versions.getOrDefault(shard.key, Revision.ABSENT);
                shards.put(shard.key, shard);
                for (JsonNode entry : chunk) {
                    add(shard, entry, byId);
                }
            }
        });
        loaded = true;
        if (servedSince == null) {
            servedSince = wall();
        }
        LOG.info("{} cron tables with {} lines to come, {} calendars", tables.size(), waiting.size(), calendars.size());
    }

    private void add(Shard shard, JsonNode node, Map<String, JsonNode> byId) {
        try {
            Line line = new Line(Entry.parse(shard.table, node), shard);
            JsonNode cursor = byId.get(shard.table + "\n" + line.entry.id());
            line.cursorS = Math.max(
                    line.entry.since(), cursor == null ? 0 : cursor.path(0).asLong());
            if (cursor != null) {
                line.last = JobId.isValid(cursor.path(1).asText())
                        ? new JobId(cursor.path(1).asText())
                        : null;
                line.firedS = cursor.path(2).asLong();
                line.dropped = cursor.path(3).asInt();
            }
            shard.lines.put(line.entry.id(), line);
            schedule(line);
        } catch (MalformedMessageException m) {
            LOG.error("table {}: a line can't be read, left alone: {}", shard.table, m.getMessage());
        }
    }

    private void watch(long expectedEpoch, Revision after) {
        requests.takeOrOverdraw(context.now(), 1);
        store.watch(ScheduleKeys.DEFINITIONS, after, 10_000, changes -> {
            if (expectedEpoch != epoch) {
                return;
            }
            boolean changed = changes.status() == 410
                    || (changes.status() == 200 && !changes.changes().isEmpty());
            if (changed) {
                context.schedule(200, () -> {
                    if (expectedEpoch == epoch) {
                        reload();
                    }
                });
            } else {
                context.schedule(changes.status() == 200 ? 0 : 500, () -> {
                    if (expectedEpoch == epoch) {
                        watch(expectedEpoch, changes.revision());
                    }
                });
            }
        });
    }
}
