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
import org.beechhoist.cron.Occurrences;
import org.beechhoist.cron.Schedule;
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
    static final class ScheduleState {
        final Schedule schedule;
        final TablePart part;
        long cursorS;
        JobId lastJobId;
        long lastFiredS;
        int skippedCount;
        Instant nextOccurrence;
        MonotonicTime dueSince;
        MonotonicTime nextLogAt = MonotonicTime.ZERO;
        String holdReason;
        boolean cancellingPrevious;
        /** Whose work its occurrence was found to be, and the version of a key that has run out. */
        JobId existingJobId;

        Revision idempotencyKeyVersion = Revision.ABSENT;

        ScheduleState(Schedule entry, TablePart shard) {
            this.schedule = entry;
            this.part = shard;
        }
    }

    /** Lines whose cursors stand in one value. */
    static final class TablePart {
        final String cursorKey;
        final String table;
        final Map<String, ScheduleState> schedules = new LinkedHashMap<>();
        Revision cursorVersion = Revision.ABSENT;
        boolean commitInFlight;

        TablePart(String key, String table) {
            this.cursorKey = key;
            this.table = table;
        }
    }

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final Map<String, Calendar> calendars = new HashMap<>();
    private final Map<String, Revision> tables = new HashMap<>();
    private final Map<String, TablePart> parts = new HashMap<>();
    private final PriorityQueue<ScheduleState> waiting =
            new PriorityQueue<>(Comparator.comparing((ScheduleState l) -> l.nextOccurrence));
    private final Set<ScheduleState> dueSchedules = new LinkedHashSet<>();
    private boolean loaded;
    private long epoch;
    private Instant firstLoadedAt;

    ScheduleRegistry(ControllerContext context, StoreClient store, TokenBucket requests) {
        this.context = context;
        this.store = store;
        this.requests = requests;
    }

    void startTerm() {
        firstLoadedAt = null;
        reload();
    }

    void endTerm() {
        epoch++;
        loaded = false;
        clear();
    }

    private void clear() {
        calendars.clear();
        tables.clear();
        parts.clear();
        waiting.clear();
        dueSchedules.clear();
    }

    boolean isLoaded() {
        return loaded;
    }

    /** Changes whenever the lines are read anew. */
    long epoch() {
        return epoch;
    }

    /** Since when this leader has known its schedules. */
    Instant firstLoadedAt() {
        return firstLoadedAt;
    }

    Calendar calendarOf(ScheduleState line) {
        return calendars.get(line.schedule.calendar());
    }

    Revision tableVersion(String table) {
        return tables.get(table);
    }

    int scheduleCount() {
        return waiting.size() + dueSchedules.size();
    }

    /** Lines whose occurrence has come and is not decided. */
    Set<ScheduleState> dueSchedules() {
        return dueSchedules;
    }

    /** The same, with those that have come by now; no line is looked at before its time. */
    Set<ScheduleState> updateDueSchedules(Instant now) {
        while (!waiting.isEmpty() && !waiting.peek().nextOccurrence.isAfter(now)) {
            ScheduleState line = waiting.poll();
            line.dueSince = context.now();
            dueSchedules.add(line);
        }
        return dueSchedules;
    }

    Instant wallTime() {
        return Instant.ofEpochMilli(context.wallMs());
    }

    /** Puts a line where its next occurrence finds it. */
    void scheduleNext(ScheduleState line) {
        line.dueSince = null;
        line.holdReason = null;
        line.cancellingPrevious = false;
        line.existingJobId = null;
        line.idempotencyKeyVersion = Revision.ABSENT;
        Calendar calendar = calendars.get(line.schedule.calendar());
        if (line.schedule.calendar() != null && calendar == null) {
            LOG.warn(
                    "table {}, line {}: its calendar {} is gone, it never runs",
                    line.schedule.table(),
                    line.schedule.line(),
                    line.schedule.calendar());
            return;
        }
        line.nextOccurrence = Occurrences.next(line.schedule, calendar, Instant.ofEpochSecond(line.cursorS));
        if (line.nextOccurrence != null) {
            waiting.add(line);
        }
    }

    // ---- reading ----

    void reload() {
        long expectedEpoch = ++epoch;
        loaded = false;
        listAllPages(
                expectedEpoch,
                ScheduleKeys.DEFINITIONS_PREFIX,
                null,
                new ArrayList<>(),
                null,
                (definitions, revision) -> listAllPages(
                        expectedEpoch, ScheduleKeys.CURSORS_PREFIX, null, new ArrayList<>(), null, (cursors, later) -> {
                            rebuild(definitions, cursors);
                            watchDefinitions(expectedEpoch, revision);
                        }));
    }

    private interface PagesHandler {
        void accept(List<StoreClient.KeyValue> items, Revision first);
    }

    private void listAllPages(
            long expectedEpoch,
            String prefix,
            String after,
            List<StoreClient.KeyValue> items,
            Revision first,
            PagesHandler then) {
        requests.takeOrOverdraw(context.now(), 1);
        store.list(prefix, after, 500, page -> {
            if (expectedEpoch != epoch) {
                return;
            }
            if (!page.isOk()) {
                context.schedule(500, () -> {
                    if (expectedEpoch == epoch) {
                        listAllPages(expectedEpoch, prefix, after, items, first, then);
                    }
                });
                return;
            }
            items.addAll(page.items());
            Revision start = first == null ? page.revision() : first;
            if (page.more() && !page.items().isEmpty()) {
                listAllPages(expectedEpoch, prefix, items.get(items.size() - 1).key(), items, start, then);
            } else {
                then.accept(items, start);
            }
        });
    }

    private void rebuild(List<StoreClient.KeyValue> definitions, List<StoreClient.KeyValue> cursors) {
        clear();
        Map<String, JsonNode> chunks = new HashMap<>();
        Map<String, JsonNode> metas = new HashMap<>();
        for (StoreClient.KeyValue item : definitions) {
            try {
                if (item.key().startsWith(ScheduleKeys.CALENDARS_PREFIX)) {
                    String name = item.key().substring(ScheduleKeys.CALENDARS_PREFIX.length());
                    calendars.put(name, Calendar.parse(item.value(), name));
                } else if (item.key().startsWith(ScheduleKeys.TABLES_PREFIX)) {
                    String name = item.key().substring(ScheduleKeys.TABLES_PREFIX.length());
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
            String table = ScheduleKeys.tableOfCursorKey(item.key());
            item.value()
                    .fields()
                    .forEachRemaining(entry -> byId.merge(
                            table + "\n" + entry.getKey(),
                            entry.getValue(),
                            (a, b) -> a.path(0).asLong() >= b.path(0).asLong() ? a : b));
        }
        metas.forEach((table, meta) -> {
            for (int n = 0; n < meta.path("chunks").asInt(); n++) {
                JsonNode chunk =
                        chunks.get(ScheduleKeys.partKey(table, meta.path("gen").asLong(), n));
                if (chunk == null) {
                    LOG.error("table {}: part {} is missing", table, n);
                    continue;
                }
                TablePart shard = new TablePart(ScheduleKeys.cursorKey(table, n), table);
                shard.cursorVersion = versions.getOrDefault(shard.cursorKey, Revision.ABSENT);
                parts.put(shard.cursorKey, shard);
                for (JsonNode entry : chunk) {
                    addSchedule(shard, entry, byId);
                }
            }
        });
        loaded = true;
        if (firstLoadedAt == null) {
            firstLoadedAt = wallTime();
        }
        LOG.info("{} cron tables with {} lines to come, {} calendars", tables.size(), waiting.size(), calendars.size());
    }

    private void addSchedule(TablePart shard, JsonNode node, Map<String, JsonNode> byId) {
        try {
            ScheduleState line = new ScheduleState(Schedule.parse(shard.table, node), shard);
            JsonNode cursor = byId.get(shard.table + "\n" + line.schedule.id());
            line.cursorS = Math.max(
                    line.schedule.sinceS(), cursor == null ? 0 : cursor.path(0).asLong());
            if (cursor != null) {
                line.lastJobId = JobId.isValid(cursor.path(1).asText())
                        ? new JobId(cursor.path(1).asText())
                        : null;
                line.lastFiredS = cursor.path(2).asLong();
                line.skippedCount = cursor.path(3).asInt();
            }
            shard.schedules.put(line.schedule.id(), line);
            scheduleNext(line);
        } catch (MalformedMessageException m) {
            LOG.error("table {}: a line can't be read, left alone: {}", shard.table, m.getMessage());
        }
    }

    private void watchDefinitions(long expectedEpoch, Revision after) {
        requests.takeOrOverdraw(context.now(), 1);
        store.watch(ScheduleKeys.DEFINITIONS_PREFIX, after, 10_000, changes -> {
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
                        watchDefinitions(expectedEpoch, changes.revision());
                    }
                });
            }
        });
    }
}
