package org.beechhoist.cron;

import biweekly.Biweekly;
import biweekly.ICalendar;
import biweekly.component.VEvent;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.Map;
import java.util.TreeMap;
import org.beechhoist.wire.MalformedMessageException;

/** Reads ship dates from an iCalendar file (RFC 5545). Each event is a ship date; recurring events are rejected. */
public final class ShipDates {
    private static final int MAX_EVENTS = 500;

    private ShipDates() {}

    /** Returns the local start time of each event in the zone, by event name; an all-day event starts at midnight. */
    public static Map<String, String> read(Path file, String zone) throws MalformedMessageException, IOException {
        ZoneId zoneId;
        try {
            zoneId = ZoneId.of(zone);
        } catch (DateTimeException e) {
            throw new MalformedMessageException("zone = " + zone + ": a zone such as Asia/Tokyo is expected");
        }
        ICalendar ics = Biweekly.parse(Files.readString(file)).first();
        if (ics == null) {
            throw new MalformedMessageException("an iCalendar object (BEGIN:VCALENDAR) is expected");
        }
        Map<String, String> out = new TreeMap<>();
        for (VEvent event : ics.getEvents()) {
            String name = event.getSummary() == null
                    ? ""
                    : event.getSummary().getValue().trim().replaceAll("[^A-Za-z0-9._-]+", "-");
            if (name.isEmpty() || event.getDateStart() == null) {
                throw new MalformedMessageException("event " + name + ": SUMMARY and DTSTART are expected");
            }
            if (event.getRecurrenceRule() != null) {
                throw new MalformedMessageException(
                        "event " + name + ": one that happens once is expected, without RRULE");
            }
            // The library reads a time without a zone in the system time zone; its local time is used.
            boolean timed = event.getDateStart().getValue().hasTime();
            LocalDateTime dateTime = LocalDateTime.ofInstant(
                    event.getDateStart().getValue().toInstant(),
                    timed && hasZone(ics, event) ? zoneId : ZoneId.systemDefault());
            if (out.put(name, dateTime.toString()) != null) {
                throw new MalformedMessageException("event " + name + ": it is there twice");
            }
            if (out.size() > MAX_EVENTS) {
                throw new MalformedMessageException("at most " + MAX_EVENTS + " events are allowed");
            }
        }
        return out;
    }

    /** Returns whether the event's start has a time zone (UTC or another), and is not a local time without a zone. */
    private static boolean hasZone(ICalendar ics, VEvent event) {
        return !ics.getTimezoneInfo().isFloating(event.getDateStart());
    }
}
