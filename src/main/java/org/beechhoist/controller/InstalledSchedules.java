package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.beechhoist.cron.Calendar;
import org.beechhoist.cron.Schedule;
import org.beechhoist.cron.ScheduleKeys;
import org.beechhoist.store.StoreClient;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/** The cron tables and calendars that are installed in the state service. */
final class InstalledSchedules {
    /** The records that describe the tables, by the name of the table. */
    final Map<String, StoreClient.KeyValue> tables = new TreeMap<>();
    /** The calendars by name. */
    final Map<String, Calendar> calendars = new HashMap<>();
    /** The parts of the tables by key. */
    final Map<String, JsonNode> parts = new TreeMap<>();

    /** Returns the schedules of an installed table without those whose record is invalid. */
    List<Schedule> schedules(String table) {
        List<Schedule> out = new ArrayList<>();
        JsonNode meta = tables.get(table).value();
        for (int index = 0; index < meta.path("chunks").asInt(); index++) {
            for (JsonNode node : parts.getOrDefault(
                    ScheduleKeys.partKey(table, meta.path("gen").asLong(), index), Codec.list())) {
                try {
                    out.add(Schedule.parse(table, node));
                } catch (MalformedMessageException m) {
                    // the leader logs it
                }
            }
        }
        return out;
    }

    /** Returns the keys of the parts of the table's version {@code old}; none if it is null. */
    List<String> partKeysOf(String table, StoreClient.KeyValue old) {
        return old == null
                ? List.of()
                : parts.keySet().stream()
                        .filter(key -> key.startsWith(ScheduleKeys.partPrefix(table)
                                + old.value().path("gen").asLong() + "/"))
                        .toList();
    }
}
