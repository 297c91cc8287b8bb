package org.beechhoist.cron;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.format.TextStyle;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/**
 * A named calendar: the business weekdays and named exceptions to them.
 *
 * @param name the name of the calendar
 * @param version the version that its maintainer has assigned
 * @param business the weekdays that are open
 * @param holidays days that are closed regardless of their weekday, with their names
 * @param workdays days that are open regardless of their weekday, with their names
 */
public record Calendar(
        String name,
        String version,
        Set<DayOfWeek> business,
        Map<LocalDate, String> holidays,
        Map<LocalDate, String> workdays) {
    /** Maximum number of exceptions, so that a calendar fits into one value of the state service. */
    public static final int MAX_EXCEPTION_DAYS = 180;

    private static final int MAX_NAME_LENGTH = 60;
    /** Number of letters of a weekday in the stored form, and the minimum that is accepted. */
    private static final int WEEKDAY_LETTERS = 3;

    /** Returns why the day is closed, such as {@code holiday: Showa Day} or {@code Saturday}, or null if it is open. */
    public String closedReason(LocalDate date) {
        String holiday = holidays.get(date);
        if (holiday != null) {
            return "holiday: " + holiday;
        }
        if (business.contains(date.getDayOfWeek()) || workdays.containsKey(date)) {
            return null;
        }
        return date.getDayOfWeek().getDisplayName(TextStyle.FULL, Locale.ROOT);
    }

    /** Returns whether the text can be the name of a calendar. */
    public static boolean isValidName(String text) {
        return text != null && text.matches("[A-Za-z0-9_-]{1," + MAX_NAME_LENGTH + "}");
    }

    /** Returns the stored form. */
    public ObjectNode toNode() {
        ObjectNode node = Codec.map().put("name", name).put("version", version);
        ArrayNode week = node.putArray("business");
        business.forEach(d -> week.add(d.name().substring(0, WEEKDAY_LETTERS).toLowerCase(Locale.ROOT)));
        writeDays(node.putArray("holidays"), holidays);
        writeDays(node.putArray("workdays"), workdays);
        return node;
    }

    private static void writeDays(ArrayNode out, Map<LocalDate, String> days) {
        days.forEach((d, name) -> out.addObject().put("date", d.toString()).put("name", name));
    }

    /** Reads the form that {@link #toNode} writes; a calendar in a TOML file has the same form. */
    public static Calendar parse(JsonNode node, String name) throws MalformedMessageException {
        if (!isValidName(name)) {
            throw new MalformedMessageException(
                    "calendar = " + name + ": letters, digits, - and _ are expected, at most " + MAX_NAME_LENGTH);
        }
        Set<DayOfWeek> week = EnumSet.noneOf(DayOfWeek.class);
        for (String text : node.has("business")
                ? Codec.textList(node.get("business"), "business")
                : List.of("mon", "tue", "wed", "thu", "fri", "sat", "sun")) {
            week.add(weekday(text));
        }
        if (week.isEmpty()) {
            throw new MalformedMessageException("business = []: at least one weekday is expected");
        }
        Calendar calendar = new Calendar(
                name, Codec.text(node, "version"), week, readDays(node, "holidays"), readDays(node, "workdays"));
        if (calendar.holidays.size() + calendar.workdays.size() > MAX_EXCEPTION_DAYS) {
            throw new MalformedMessageException("holidays: " + (calendar.holidays.size() + calendar.workdays.size())
                    + " days, at most " + MAX_EXCEPTION_DAYS + " are allowed; leave out years that are over");
        }
        return calendar;
    }

    private static DayOfWeek weekday(String text) throws MalformedMessageException {
        for (DayOfWeek day : DayOfWeek.values()) {
            if (text.length() >= WEEKDAY_LETTERS && day.name().startsWith(text.toUpperCase(Locale.ROOT))) {
                return day;
            }
        }
        throw new MalformedMessageException("business: " + text + ": mon to sun is expected");
    }

    private static Map<LocalDate, String> readDays(JsonNode node, String field) throws MalformedMessageException {
        Map<LocalDate, String> out = new TreeMap<>();
        for (JsonNode day : node.path(field)) {
            String date = day.path("date").asText();
            try {
                out.put(LocalDate.parse(date), Codec.text(day, "name"));
            } catch (DateTimeException e) {
                throw new MalformedMessageException(
                        field + ".date = " + date + ": a date such as 2026-04-29 is expected");
            }
        }
        return out;
    }
}
