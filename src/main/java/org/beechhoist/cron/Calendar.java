package org.beechhoist.cron;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.format.TextStyle;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/**
 * A named calendar: the weekdays on which business is done, and days on which it isn't (or is, though the weekday
 * says otherwise), each with its name.
 */
public record Calendar(
        String name,
        String version,
        Set<DayOfWeek> business,
        Map<LocalDate, String> holidays,
        Map<LocalDate, String> workdays) {
    /** What one value of the state service holds. */
    public static final int MAX_DAYS = 180;

    private static final int MAX_NAME = 60;

    /** Why the day is closed, such as {@code holiday: Showa Day} or {@code Saturday}; null where it is open. */
    public String closed(LocalDate date) {
        String holiday = holidays.get(date);
        if (holiday != null) {
            return "holiday: " + holiday;
        }
        if (business.contains(date.getDayOfWeek()) || workdays.containsKey(date)) {
            return null;
        }
        return date.getDayOfWeek().getDisplayName(TextStyle.FULL, Locale.ROOT);
    }

    public static boolean validName(String text) {
        return text != null && text.matches("[A-Za-z0-9_-]{1," + MAX_NAME + "}");
    }

    public ObjectNode toNode() {
        ObjectNode node = Codec.map().put("name", name).put("version", version);
        ArrayNode week = node.putArray("business");
        business.forEach(d -> week.add(d.name().substring(0, 3).toLowerCase(Locale.ROOT)));
        days(node.putArray("holidays"), holidays);
        days(node.putArray("workdays"), workdays);
        return node;
    }

    private static void days(ArrayNode out, Map<LocalDate, String> days) {
        days.forEach((d, name) -> out.addObject().put("date", d.toString()).put("name", name));
    }

    /** Reads the form that {@link #toNode} writes, which is also that of a TOML file. */
    public static Calendar parse(JsonNode node, String name) throws MalformedMessageException {
        if (!validName(name)) {
            throw new MalformedMessageException(
                    "calendar = " + name + ": letters, digits, - and _ are expected, at most " + MAX_NAME);
        }
        Set<DayOfWeek> week = EnumSet.noneOf(DayOfWeek.class);
        for (String text : node.has("business")
                ? Codec.textList(node.get("business"), "business")
                : java.util.List.of("mon", "tue", "wed", "thu", "fri", "sat", "sun")) {
            week.add(weekday(text));
        }
        if (week.isEmpty()) {
            throw new MalformedMessageException("business = []: at least one weekday is expected");
        }
        Calendar calendar =
                new Calendar(name, Codec.text(node, "version"), week, days(node, "holidays"), days(node, "workdays"));
        if (calendar.holidays.size() + calendar.workdays.size() > MAX_DAYS) {
            throw new MalformedMessageException("holidays: " + (calendar.holidays.size() + calendar.workdays.size())
                    + " days, at most " + MAX_DAYS + " are allowed; leave out years that are over");
        }
        return calendar;
    }

    private static DayOfWeek weekday(String text) throws MalformedMessageException {
        for (DayOfWeek day : DayOfWeek.values()) {
            if (text.length() >= 3 && day.name().startsWith(text.toUpperCase(Locale.ROOT))) {
                return day;
            }
        }
        throw new MalformedMessageException("business: " + text + ": mon to sun is expected");
    }

    private static Map<LocalDate, String> days(JsonNode node, String field) throws MalformedMessageException {
        Map<LocalDate, String> out = new TreeMap<>();
        for (JsonNode otherDate : node.path(field)) {
            String date = otherDate.path("date").asText();
            try {
                out.put(LocalDate.parse(date), Codec.text(otherDate, "name"));
            } catch (DateTimeException e) {
                throw new MalformedMessageException(
                        field + ".date = " + date + ": a date such as 2026-04-29 is expected");
            }
        }
        return out;
    }
}
