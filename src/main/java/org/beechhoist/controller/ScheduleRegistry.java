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

/**
 * The schedules of all installed tables on the leader, ordered by their next occurrence. They are loaded at the start of a term
 * and reloaded when a table or calendar changes.
 */
final class ScheduleRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(ScheduleRegistry.class);
    private static final int MAX_ITEMS_PER_PAGE = 500;
    private static final long RETRY_DELAY_MS = 500;
    private static final long RELOAD_DELAY_MS = 200;
    private static final long WATCH_HOLD_MS = 10_000;

    /** A schedule with its cursor, its next occurrence and the reason for which it is held. */
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
        /** The job that an earlier submission created for the next occurrence, or null. */
        JobId existingJobId;
        /** The version of the expired idempotency key that the next occurrence replaces. */
        Revision idempotencyKeyVersion = Revision.ABSENT;

        ScheduleState(Schedule schedule, TablePart part) {
            this.schedule = schedule;
            this.part = part;
        }
    }

    /** Schedules of one table whose cursors are stored in one value. */
    static final class TablePart {
        final String cursorKey;
        final String table;
        final Map<String, ScheduleState> schedules = new LinkedHashMap<>();
        Revision cursorVersion = Revision.ABSENT;
        boolean commitInFlight;

        TablePart(String cursorKey, String table) {
            this.cursorKey = cursorKey;
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
            new PriorityQueue<>(Comparator.comparing((ScheduleState state) -> state.nextOccurrence));
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

    /** Returns a number that changes with every reload and at the end of a term. */
    long epoch() {
        return epoch;
    }

    /** Returns when this leader first loaded the schedules in its term, or null. */
    Instant firstLoadedAt() {
        return firstLoadedAt;
    }

    Calendar calendarOf(ScheduleState state) {
        return calendars.get(state.schedule.calendar());
    }

    Revision tableVersion(String table) {
        return tables.get(table);
    }

    int scheduleCount() {
        return waiting.size() + dueSchedules.size();
    }

    /** Returns the schedules whose next occurrence is due and not yet processed. */
    Set<ScheduleState> dueSchedules() {
        return dueSchedules;
    }

    /** Moves schedules that have become due to the due ones and returns those; does not visit schedules that are not due. */
    Set<ScheduleState> updateDueSchedules(Instant now) {
        while (!waiting.isEmpty() && !waiting.peek().nextOccurrence.isAfter(now)) {
            ScheduleState state = waiting.poll();
            state.dueSince = context.now();
            dueSchedules.add(state);
        }
        return dueSchedules;
    }

    Instant wallTime() {
        return Instant.ofEpochMilli(context.wallMs());
    }

    /** Computes the next occurrence of a schedule after its cursor and queues the schedule for it. */
    void scheduleNext(ScheduleState state) {
        state.dueSince = null;
        state.holdReason = null;
        state.cancellingPrevious = false;
        state.existingJobId = null;
        state.idempotencyKeyVersion = Revision.ABSENT;
        Calendar calendar = calendars.get(state.schedule.calendar());
        if (state.schedule.calendar() != null && calendar == null) {
            LOG.warn(
                    "schedule disabled, calendar not installed: table={} line={} calendar={}",
                    state.schedule.table(),
                    state.schedule.line(),
                    state.schedule.calendar());
            return;
        }
        state.nextOccurrence = Occurrences.next(state.schedule, calendar, Instant.ofEpochSecond(state.cursorS));
        if (state.nextOccurrence != null) {
            waiting.add(state);
        }
    }

    // ---- loading ----

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
        store.list(prefix, after, MAX_ITEMS_PER_PAGE, page -> {
            if (expectedEpoch != epoch) {
                return;
            }
            if (!page.isOk()) {
                context.schedule(RETRY_DELAY_MS, () -> {
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
                LOG.error("invalid cron record ignored: key={} reason=\"{}\"", item.key(), m.getMessage());
            }
        }
        Map<String, JsonNode> cursorsById = new HashMap<>();
        Map<String, Revision> versions = new HashMap<>();
        for (StoreClient.KeyValue item : cursors) {
            versions.put(item.key(), item.version());
            String table = ScheduleKeys.tableOfCursorKey(item.key());
            item.value()
                    .fields()
                    .forEachRemaining(entry -> cursorsById.merge(
                            table + "\n" + entry.getKey(),
                            entry.getValue(),
                            (a, b) -> a.path(0).asLong() >= b.path(0).asLong() ? a : b));
        }
        metas.forEach((table, meta) -> {
            for (int n = 0; n < meta.path("chunks").asInt(); n++) {
                JsonNode chunk =
                        chunks.get(ScheduleKeys.partKey(table, meta.path("gen").asLong(), n));
                if (chunk == null) {
                    LOG.error("part of cron table is missing: table={} part={}", table, n);
                    continue;
                }
                TablePart part = new TablePart(ScheduleKeys.cursorKey(table, n), table);
                part.cursorVersion = versions.getOrDefault(part.cursorKey, Revision.ABSENT);
                parts.put(part.cursorKey, part);
                for (JsonNode node : chunk) {
                    addSchedule(part, node, cursorsById);
                }
            }
        });
        loaded = true;
        if (firstLoadedAt == null) {
            firstLoadedAt = wallTime();
        }
        LOG.info(
                "cron tables loaded: tables={} schedules={} calendars={}",
                tables.size(),
                waiting.size(),
                calendars.size());
    }

    private void addSchedule(TablePart part, JsonNode node, Map<String, JsonNode> cursorsById) {
        try {
            ScheduleState state = new ScheduleState(Schedule.parse(part.table, node), part);
            JsonNode cursor = cursorsById.get(part.table + "\n" + state.schedule.id());
            state.cursorS = Math.max(
                    state.schedule.sinceS(), cursor == null ? 0 : cursor.path(0).asLong());
            if (cursor != null) {
                state.lastJobId = JobId.isValid(cursor.path(1).asText())
                        ? new JobId(cursor.path(1).asText())
                        : null;
                state.lastFiredS = cursor.path(2).asLong();
                state.skippedCount = cursor.path(3).asInt();
            }
            part.schedules.put(state.schedule.id(), state);
            scheduleNext(state);
        } catch (MalformedMessageException m) {
            LOG.error("invalid schedule ignored: table={} reason=\"{}\"", part.table, m.getMessage());
        }
    }

    private void watchDefinitions(long expectedEpoch, Revision after) {
        requests.takeOrOverdraw(context.now(), 1);
        store.watch(ScheduleKeys.DEFINITIONS_PREFIX, after, WATCH_HOLD_MS, changes -> {
            if (expectedEpoch != epoch) {
                return;
            }
            boolean changed = changes.status() == 410
                    || (changes.status() == 200 && !changes.changes().isEmpty());
            if (changed) {
                context.schedule(RELOAD_DELAY_MS, () -> {
                    if (expectedEpoch == epoch) {
                        reload();
                    }
                });
            } else {
                context.schedule(changes.status() == 200 ? 0 : RETRY_DELAY_MS, () -> {
                    if (expectedEpoch == epoch) {
                        watchDefinitions(expectedEpoch, changes.revision());
                    }
                });
            }
        });
    }
}
