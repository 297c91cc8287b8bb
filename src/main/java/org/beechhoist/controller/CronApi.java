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
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ApiResponder;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.cron.Calendar;
import org.beechhoist.cron.CronTable;
import org.beechhoist.cron.Occurrences;
import org.beechhoist.cron.Schedule;
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

/** Installs, shows and removes cron tables and calendars. Every node serves these requests. */
public final class CronApi {
    /** Maximum number of lines in one response; each line takes one or two reads for the status of its last job. */
    private static final int MAX_LINES_PER_RESPONSE = 25;

    /** Gives the reason for which a schedule is held. Only the leader knows it; other nodes return null. */
    interface HoldReasons {
        /** Returns why a schedule is held, or null. */
        String reason(String table, String id);
    }

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final ScheduleStorage storage;
    private final UserApi users;
    private final HoldReasons holdReasons;

    CronApi(
            ControllerContext context,
            Settings settings,
            StoreClient store,
            TokenBucket requests,
            TokenBucket writes,
            UserApi users,
            HoldReasons held) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.storage = new ScheduleStorage(new StateServiceAccess(context, settings, store, requests, writes));
        this.users = users;
        this.holdReasons = held;
    }

    /** Installs a table, or responds with the error that prevents it. */
    void installTable(String table, JsonNode body, ApiResponder responder) {
        if (!Calendar.isValidName(table)) {
            responder.respond(
                    400,
                    ScheduleStorage.errorBody(
                            "table = " + table + ": letters, digits, - and _ are expected, at most 60"));
            return;
        }
        List<Schedule> parsed;
        try {
            parsed = CronTable.parse(table, Codec.text(body, "text"), context.wallMs() / 1000);
        } catch (CronTable.InvalidTableException | MalformedMessageException e) {
            responder.respond(400, ScheduleStorage.errorBody(e.getMessage()));
            return;
        }
        storage.readInstalled(responder, installed -> {
            List<Schedule> all = new ArrayList<>();
            Map<String, Schedule> previous = new HashMap<>();
            if (installed.tables.containsKey(table)) {
                installed.schedules(table).forEach(e -> previous.put(e.id(), e));
            }
            for (Schedule schedule : parsed) {
                String refusal = refusalReason(schedule, installed);
                if (refusal != null) {
                    responder.respond(
                            refusalStatus(refusal, schedule, installed),
                            ScheduleStorage.errorBody("line " + schedule.line() + ": " + refusal));
                    return;
                }
                // An unchanged line keeps its start time, so that an occurrence that is due during the installation is
                // not lost.
                all.add(
                        previous.containsKey(schedule.id())
                                ? schedule.withSince(previous.get(schedule.id()).sinceS())
                                : schedule);
            }
            writeTable(table, all, installed, responder);
        });
    }

    private static int refusalStatus(String refusal, Schedule schedule, InstalledSchedules installed) {
        if (refusal.equals(SubmissionRules.MACHINE_TYPES_UNKNOWN)) {
            return 503;
        }
        return schedule.calendar() != null && !installed.calendars.containsKey(schedule.calendar()) ? 400 : 422;
    }

    private String refusalReason(Schedule schedule, InstalledSchedules installed) {
        if (schedule.calendar() != null && !installed.calendars.containsKey(schedule.calendar())) {
            return "calendar = " + schedule.calendar() + ": an installed calendar is expected"
                    + (installed.calendars.isEmpty()
                            ? ", there is none"
                            : ": " + String.join(", ", new TreeMap<>(installed.calendars).keySet()));
        }
        try {
            JobSpec job = schedule.job(Instant.ofEpochMilli(context.wallMs()));
            return users.refusal(job);
        } catch (MalformedMessageException m) {
            return m.getMessage();
        }
    }

    private void writeTable(String table, List<Schedule> all, InstalledSchedules installed, ApiResponder responder) {
        StoreClient.KeyValue old = installed.tables.get(table);
        long gen = Math.max(
                context.wallMs(), old == null ? 0 : old.value().path("gen").asLong() + 1);
        List<ArrayNode> parts = ScheduleStorage.splitIntoParts(all);
        ObjectNode meta = Codec.map()
                .put("gen", gen)
                .put("chunks", parts.size())
                .put("lines", all.size())
                .put("installed", context.wallMs() / 1000);
        storage.writeParts(table, gen, parts, 0, ok -> {
            if (!ok) {
                ScheduleStorage.respondUnavailable(responder);
                return;
            }
            String key = ScheduleKeys.TABLES_PREFIX + table;
            Transaction transaction = new Transaction()
                    .guard(key, old == null ? Revision.ABSENT : old.version())
                    .put(key, meta);
            storage.commit(transaction, commit -> {
                switch (commit.outcome()) {
                    case COMMITTED -> {
                        responder.respond(
                                old == null ? 201 : 200,
                                Codec.map().put("table", table).put("lines", all.size()));
                        storage.deleteKeys(installed.partKeysOf(table, old));
                    }
                    case CONFLICT ->
                        responder.respond(
                                409,
                                ScheduleStorage.errorBody(
                                        "table " + table + ": another version was installed at this moment"));
                    default -> ScheduleStorage.respondUnavailable(responder);
                }
            });
        });
    }

    /** Removes a table. */
    void removeTable(String table, ApiResponder responder) {
        storage.readInstalled(responder, installed -> {
            StoreClient.KeyValue old = installed.tables.get(table);
            if (old == null) {
                responder.respond(404, ScheduleStorage.errorBody("no such table"));
                return;
            }
            storage.commit(new Transaction().guard(old.key(), old.version()).delete(old.key()), commit -> {
                switch (commit.outcome()) {
                    case COMMITTED -> {
                        responder.respond(200, Codec.map().put("table", table).put("lines", 0));
                        List<String> keys = new ArrayList<>(installed.partKeysOf(table, old));
                        for (int n = 0; n < old.value().path("chunks").asInt(); n++) {
                            keys.add(ScheduleKeys.cursorKey(table, n));
                        }
                        storage.deleteKeys(keys);
                    }
                    case CONFLICT ->
                        responder.respond(
                                409, ScheduleStorage.errorBody("table " + table + ": it was changed at this moment"));
                    default -> ScheduleStorage.respondUnavailable(responder);
                }
            });
        });
    }

    /** Responds with the installed tables and calendars. */
    void listInstalled(ApiResponder responder) {
        storage.readInstalled(responder, installed -> {
            ObjectNode out = Codec.map();
            ArrayNode tables = out.putArray("tables");
            installed.tables.forEach((name, item) -> tables.addObject()
                    .put("table", name)
                    .put("lines", item.value().path("lines").asInt())
                    .put(
                            "installed",
                            Instant.ofEpochSecond(item.value().path("installed").asLong())
                                    .toString()));
            ArrayNode calendars = out.putArray("calendars");
            new TreeMap<>(installed.calendars).forEach((name, calendar) -> calendars
                    .addObject()
                    .put("calendar", name)
                    .put("version", calendar.version())
                    .put(
                            "days",
                            calendar.holidays().size() + calendar.workdays().size()));
            responder.respond(200, out);
        });
    }

    /** Responds with the lines of a table after line {@code after}: last run, next run, hold reason. */
    void showTable(String table, int after, ApiResponder responder) {
        storage.readInstalled(responder, installed -> {
            if (!installed.tables.containsKey(table)) {
                responder.respond(404, ScheduleStorage.errorBody("no such table"));
                return;
            }
            storage.readAll(ScheduleKeys.CURSORS_PREFIX + table + "/", null, new ArrayList<>(), cursors -> {
                if (cursors == null) {
                    ScheduleStorage.respondUnavailable(responder);
                    return;
                }
                Map<String, JsonNode> byId = new HashMap<>();
                cursors.forEach(item -> item.value()
                        .fields()
                        .forEachRemaining(entry -> byId.merge(
                                entry.getKey(),
                                entry.getValue(),
                                (a, b) -> a.path(0).asLong() >= b.path(0).asLong() ? a : b)));
                List<Schedule> lines = installed.schedules(table);
                lines.removeIf(e -> e.line() <= after);
                lines.sort(Comparator.comparingInt(Schedule::line));
                ObjectNode out = Codec.map().put("table", table).put("more", lines.size() > MAX_LINES_PER_RESPONSE);
                ArrayNode rows = out.putArray("lines");
                addRows(lines.subList(0, Math.min(MAX_LINES_PER_RESPONSE, lines.size())), installed, byId, rows);
                addOutcomes(rows, 0, () -> responder.respond(200, out));
            });
        });
    }

    private void addRows(
            List<Schedule> lines, InstalledSchedules installed, Map<String, JsonNode> cursors, ArrayNode rows) {
        for (Schedule schedule : lines) {
            JsonNode cursor = cursors.getOrDefault(schedule.id(), Codec.list());
            long at = Math.max(schedule.sinceS(), cursor.path(0).asLong());
            Calendar calendar = installed.calendars.get(schedule.calendar());
            Instant next = schedule.calendar() != null && calendar == null
                    ? null
                    : Occurrences.next(schedule, calendar, Instant.ofEpochSecond(at));
            ObjectNode row = rows.addObject()
                    .put("line", schedule.line())
                    .put("job", schedule.jobName())
                    .put(
                            "next",
                            next == null
                                    ? null
                                    : next.atZone(schedule.zone())
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
            String why = schedule.calendar() != null && calendar == null
                    ? "its calendar " + schedule.calendar() + " is gone"
                    : holdReasons.reason(schedule.table(), schedule.id());
            if (why != null) {
                row.put("held", why);
            }
        }
    }

    /** Adds the status of each line's last job, reading one job at a time. */
    private void addOutcomes(ArrayNode rows, int from, Runnable then) {
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
            addOutcomes(rows, row + 1, then);
        });
    }

    /** Installs a calendar, or responds with the error that prevents it. */
    void installCalendar(String name, JsonNode body, ApiResponder responder) {
        Calendar calendar;
        try {
            calendar = Calendar.parse(body, name);
        } catch (MalformedMessageException e) {
            responder.respond(400, ScheduleStorage.errorBody(e.getMessage()));
            return;
        }
        ObjectNode value = calendar.toNode();
        if (Codec.jsonBytes(value) > ScheduleStorage.MAX_PART_BYTES) {
            responder.respond(
                    400,
                    ScheduleStorage.errorBody("holidays: " + Codec.jsonBytes(value) + " bytes in all, at most "
                            + ScheduleStorage.MAX_PART_BYTES + " are allowed"));
            return;
        }
        storage.commit(new Transaction().put(ScheduleKeys.CALENDARS_PREFIX + name, value), commit -> {
            if (commit.outcome() == CommitResult.Outcome.COMMITTED) {
                responder.respond(200, Codec.map().put("calendar", name).put("version", calendar.version()));
            } else {
                ScheduleStorage.respondUnavailable(responder);
            }
        });
    }

    /** Responds with an installed calendar. */
    void showCalendar(String name, ApiResponder responder) {
        requests.takeOrOverdraw(context.now(), 1);
        store.get(ScheduleKeys.CALENDARS_PREFIX + name, read -> {
            if (!read.answered()) {
                ScheduleStorage.respondUnavailable(responder);
            } else if (read.item() == null) {
                responder.respond(404, ScheduleStorage.errorBody("no such calendar"));
            } else {
                responder.respond(200, read.item().value());
            }
        });
    }
}
