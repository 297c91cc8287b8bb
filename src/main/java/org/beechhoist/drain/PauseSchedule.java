package org.beechhoist.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.time.format.DateTimeParseException;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/**
 * The times at which a drain pauses. A drain works between two times of day in a time zone, which may span midnight, on days that are open
 * in a named calendar; an interval that spans midnight belongs to the day on which it begins. The closed days are copied from the calendar
 * when the drain is requested, because nodes that read the calendar independently could read different versions.
 *
 * @param from time of day at which work begins; null: no restriction to hours
 * @param to time of day at which work ends; null if {@code from} is null
 * @param zone the time zone of these times and of the days
 * @param calendar the name of the calendar; null: every day is open
 * @param closed the closed days
 */
public record PauseSchedule(LocalTime from, LocalTime to, ZoneId zone, String calendar, Set<LocalDate> closed) {
    /** No pauses. */
    public static final PauseSchedule NEVER = new PauseSchedule(null, null, ZoneId.of("UTC"), null, Set.of());
    /** Number of days for which closed days are copied from the calendar. */
    private static final int COPIED_DAY_COUNT = 90;

    /** Reads the schedule from a request or a stored drain. */
    public static PauseSchedule parse(JsonNode node) throws MalformedMessageException {
        boolean hasHours = !Codec.isAbsent(node, "from") || !Codec.isAbsent(node, "to");
        String calendar = Codec.isAbsent(node, "calendar") ? null : Codec.text(node, "calendar");
        if (!hasHours && calendar == null) {
            return NEVER;
        }
        ZoneId zone;
        try {
            zone = ZoneId.of(Codec.text(node, "clock"));
        } catch (DateTimeException e) {
            throw new MalformedMessageException(
                    "clock = " + node.path("clock").asText() + ": a zone such as Asia/Tokyo is expected");
        }
        Set<LocalDate> closed = new TreeSet<>();
        if (!Codec.isAbsent(node, "closed")) {
            for (String day : Codec.textList(node.get("closed"), "closed")) {
                try {
                    closed.add(LocalDate.parse(day));
                } catch (DateTimeParseException e) {
                    throw new MalformedMessageException("closed = " + day + ": a date such as 2026-12-29 is expected");
                }
            }
        }
        return new PauseSchedule(
                hasHours ? parseTime(node, "from") : null,
                hasHours ? parseTime(node, "to") : null,
                zone,
                calendar,
                closed);
    }

    private static LocalTime parseTime(JsonNode node, String field) throws MalformedMessageException {
        try {
            return LocalTime.parse(Codec.text(node, field));
        } catch (DateTimeParseException e) {
            throw new MalformedMessageException(
                    field + " = " + node.path(field).asText() + ": a time of day such as 22:00 is expected");
        }
    }

    /** Returns this schedule with the closed days of a period that begins yesterday and ends about three months ahead. */
    public PauseSchedule withClosedDays(Predicate<LocalDate> isClosed, long nowMs) {
        Set<LocalDate> days = new TreeSet<>();
        LocalDate first = Instant.ofEpochMilli(nowMs).atZone(zone).toLocalDate().minusDays(1);
        for (int i = 0; i < COPIED_DAY_COUNT; i++) {
            if (isClosed.test(first.plusDays(i))) {
                days.add(first.plusDays(i));
            }
        }
        return new PauseSchedule(from, to, zone, calendar, days);
    }

    /** Returns whether the drain pauses at the given wall clock time. */
    public boolean isPaused(long wallMs) {
        ZonedDateTime dateTime = Instant.ofEpochMilli(wallMs).atZone(zone);
        LocalDate day = dateTime.toLocalDate();
        if (from != null) {
            LocalTime now = dateTime.toLocalTime();
            boolean spansMidnight = !from.isBefore(to);
            boolean afterMidnight = spansMidnight && now.isBefore(to);
            if (spansMidnight ? !afterMidnight && now.isBefore(from) : now.isBefore(from) || !now.isBefore(to)) {
                return true;
            }
            day = afterMidnight ? day.minusDays(1) : day;
        }
        return closed.contains(day);
    }

    void writeTo(ObjectNode node) {
        if (this == NEVER || from == null && calendar == null) {
            return;
        }
        node.put("clock", zone.getId()).put("calendar", calendar);
        if (from != null) {
            node.put("from", from.toString()).put("to", to.toString());
        }
        if (!closed.isEmpty()) {
            ArrayNode days = node.putArray("closed");
            closed.forEach(d -> days.add(d.toString()));
        }
    }
}
