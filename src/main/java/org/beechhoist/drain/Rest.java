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
 * When it rests. It works from one time of day to another by a zone's clock, over midnight too, on days that are open in a named
 * calendar; of a night it is the day on which the night begins. The closed days are taken from the calendar when the drain is put,
 * for what each node read of it by itself could differ.
 *
 * @param from null: at all hours
 */
public record Rest(LocalTime from, LocalTime to, ZoneId zone, String calendar, Set<LocalDate> closed) {
    public static final Rest NEVER = new Rest(null, null, ZoneId.of("UTC"), null, Set.of());
    private static final int DAYS = 90;

    public static Rest parse(JsonNode node) throws MalformedMessageException {
        boolean hours = !Codec.isAbsent(node, "from") || !Codec.isAbsent(node, "to");
        String calendar = Codec.isAbsent(node, "calendar") ? null : Codec.text(node, "calendar");
        if (!hours && calendar == null) {
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
        return new Rest(hours ? time(node, "from") : null, hours ? time(node, "to") : null, zone, calendar, closed);
    }

    private static LocalTime time(JsonNode node, String field) throws MalformedMessageException {
        try {
            return LocalTime.parse(Codec.text(node, field));
        } catch (DateTimeParseException e) {
            throw new MalformedMessageException(
                    field + " = " + node.path(field).asText() + ": a time of day such as 22:00 is expected");
        }
    }

    /** The same with the closed days of the next while. */
    public Rest with(Predicate<LocalDate> isClosed, long nowMs) {
        Set<LocalDate> days = new TreeSet<>();
        LocalDate first = Instant.ofEpochMilli(nowMs).atZone(zone).toLocalDate().minusDays(1);
        for (int i = 0; i < DAYS; i++) {
            if (isClosed.test(first.plusDays(i))) {
                days.add(first.plusDays(i));
            }
        }
        return new Rest(from, to, zone, calendar, days);
    }

    /** Whether it rests at the moment. */
    public boolean rests(long wallMs) {
        ZonedDateTime dateTime = Instant.ofEpochMilli(wallMs).atZone(zone);
        LocalDate day = dateTime.toLocalDate();
        if (from != null) {
            LocalTime now = dateTime.toLocalTime();
            boolean night = !from.isBefore(to);
            boolean early = night && now.isBefore(to);
            if (night ? !early && now.isBefore(from) : now.isBefore(from) || !now.isBefore(to)) {
                return true;
            }
            day = early ? day.minusDays(1) : day;
        }
        return closed.contains(day);
    }

    void into(ObjectNode node) {
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
