package org.beechhoist.cron;

import biweekly.Biweekly;
import biweekly.ICalendar;
import biweekly.component.VEvent;
import biweekly.util.com.google.ical.compat.javautil.DateIterator;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.Date;
import java.util.List;
import java.util.TimeZone;
import java.util.TreeMap;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.UnicodeText;

/**
 * Reads a calendar from a file: TOML, or iCalendar (RFC 5545), whose all-day events are read as holidays. Recurring events are expanded
 * for the requested years.
 */
public final class CalendarFile {
    /** Maximum number of days that are read of one event. */
    private static final int MAX_EVENT_DAYS = 400;
    /** Maximum number of occurrences that are read of one recurring event. */
    private static final int MAX_EVENT_OCCURRENCES = MAX_EVENT_DAYS * 10;

    private CalendarFile() {}

    /**
     * Reads a calendar.
     *
     * @param file the file; a name that ends with {@code .ics} means iCalendar, any other TOML
     * @param name the name of the calendar
     * @param business the business weekdays for an iCalendar file, which has no field for them; all if null
     * @param from the first day to read from an iCalendar file
     * @param until the day after the last one to read
     * @throws MalformedMessageException if the file is not a valid calendar
     * @throws IOException if the file can't be read
     */
    public static Calendar read(Path file, String name, List<String> business, LocalDate from, LocalDate until)
            throws MalformedMessageException, IOException {
        String text = Files.readString(file);
        if (!file.getFileName().toString().endsWith(".ics")) {
            try {
                JsonNode root = new TomlMapper().readTree(text);
                if (!UnicodeText.isValid(root)) {
                    throw new MalformedMessageException(
                            file + ": text in Unicode, without halves of characters, is expected");
                }
                return Calendar.parse(root, name);
            } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
                throw new MalformedMessageException(file + ": TOML is expected: " + e.getOriginalMessage());
            }
        }
        ICalendar ics = Biweekly.parse(text).first();
        if (ics == null) {
            throw new MalformedMessageException(file + ": an iCalendar object (BEGIN:VCALENDAR) is expected");
        }
        TreeMap<LocalDate, String> days = new TreeMap<>();
        for (VEvent event : ics.getEvents()) {
            addDays(event, from, until, days);
        }
        ObjectNode node = Codec.map()
                .put(
                        "version",
                        ics.getLastModified() != null
                                ? ics.getLastModified().getValue().toInstant().toString()
                                : "ics-" + Integer.toHexString(text.hashCode()));
        if (business != null) {
            business.forEach(node.withArray("/business")::add);
        }
        days.forEach((d, summary) -> node.withArray("/holidays")
                .addObject()
                .put("date", d.toString())
                .put("name", summary));
        return Calendar.parse(node, name);
    }

    private static void addDays(VEvent event, LocalDate from, LocalDate until, TreeMap<LocalDate, String> days)
            throws MalformedMessageException {
        String summary =
                event.getSummary() == null ? "holiday" : event.getSummary().getValue();
        if (event.getDateStart() == null || event.getDateStart().getValue().hasTime()) {
            throw new MalformedMessageException("event " + summary + ": a whole day (DTSTART;VALUE=DATE) is expected");
        }
        ZoneId zone = ZoneId.systemDefault(); // the library reads a date without a zone in the system time zone
        LocalDate first = day(event.getDateStart().getValue(), zone);
        LocalDate end = event.getDateEnd() == null
                ? first.plusDays(1)
                : day(event.getDateEnd().getValue(), zone);
        long length = Math.max(1, end.toEpochDay() - first.toEpochDay());
        DateIterator dates = event.getDateIterator(TimeZone.getTimeZone(zone));
        for (int i = 0; dates.hasNext() && i < MAX_EVENT_OCCURRENCES; i++) {
            LocalDate date = day(dates.next(), zone);
            if (!date.isBefore(until)) {
                return;
            }
            for (long k = 0; k < length && k < MAX_EVENT_DAYS; k++) {
                if (!date.plusDays(k).isBefore(from)) {
                    days.put(date.plusDays(k), summary);
                }
            }
        }
    }

    private static LocalDate day(Date date, ZoneId zone) {
        return Instant.ofEpochMilli(date.getTime()).atZone(zone).toLocalDate();
    }
}
