package org.beechhoist.cron;

import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.zone.ZoneOffsetTransition;
import java.time.zone.ZoneRules;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * When a line runs. A line with hours of its own runs at local times: one that falls into a gap runs once at the gap's
 * end, one that comes twice runs at the first. A line whose hour field is {@code *} follows real time: every real minute
 * whose local minute it names.
 */
public final class Occurrences {
    /** From 29 February over a century's turn to the next one that falls on a given weekday, and some. */
    private static final int MOST_DAYS = 366 * 41;

    private static final int LONGEST_CLOSED = 60;

    private Occurrences() {}

    /** The first occurrence after the moment; null where there is none in 41 years. */
    public static Instant next(Entry entry, Calendar calendar, Instant after) {
        LocalDate day =
                LocalDateTime.ofInstant(after, entry.zone()).toLocalDate().minusDays(1);
        List<Instant> found = new ArrayList<>(1);
        for (int i = 0; i < MOST_DAYS; i++, day = day.plusDays(1)) {
            if (runsOn(entry, calendar, day)) {
                times(entry, day, after, Instant.MAX, 1, found);
                if (!found.isEmpty()) {
                    return found.get(0);
                }
            }
        }
        return null;
    }

    /** The line's moments after one and up to another, at most so many; earlier ones first. */
    public static List<Instant> between(Entry entry, Calendar calendar, Instant after, Instant upTo, int most) {
        List<Instant> out = new ArrayList<>();
        LocalDate last =
                LocalDateTime.ofInstant(upTo, entry.zone()).toLocalDate().plusDays(1);
        LocalDate day =
                LocalDateTime.ofInstant(after, entry.zone()).toLocalDate().minusDays(1);
        for (; !day.isAfter(last) && out.size() < most; day = day.plusDays(1)) {
            if (runsOn(entry, calendar, day)) {
                times(entry, day, after, upTo, most, out);
            }
        }
        return out;
    }

    /** Tells of each day between two that the line names and its calendar leaves out, with the reason. */
    public static void leftOut(
            Entry entry, Calendar calendar, LocalDate from, LocalDate until, BiConsumer<LocalDate, String> tell) {
        for (LocalDate date = from; calendar != null && date.isBefore(until); date = date.plusDays(1)) {
            String closed = entry.expression().matches(date) ? calendar.closed(date) : null;
            if (closed != null) {
                tell.accept(date, closed);
            }
        }
    }

    private static boolean runsOn(Entry entry, Calendar calendar, LocalDate day) {
        if (calendar == null) {
            return entry.expression().matches(day);
        }
        if (calendar.closed(day) != null) {
            return false;
        }
        if (entry.expression().matches(day)) {
            return true;
        }
        if (!entry.nextBusinessDay()) {
            return false;
        }
        // What closed days just before have pushed on to this one.
        LocalDate date = day.minusDays(1);
        for (int i = 0; i < LONGEST_CLOSED && calendar.closed(date) != null; i++, date = date.minusDays(1)) {
            if (entry.expression().matches(date)) {
                return true;
            }
        }
        return false;
    }

    /** Adds the day's moments after one and up to another, in their order, until there are {@code most} in all. */
    private static void times(Entry entry, LocalDate day, Instant after, Instant upTo, int most, List<Instant> out) {
        Expression expression = entry.expression();
        if (expression.everyHour()) {
            realMinutes(expression, day, entry.zone(), after, upTo, most, out);
            return;
        }
        ZoneRules rules = entry.zone().getRules();
        Instant last = after;
        for (int hour = 0; hour < 24; hour++) {
            for (int minute = 0; expression.hour(hour) && minute < 60 && out.size() < most; minute++) {
                Instant instant = expression.minute(minute)
                        ? instant(rules, LocalDateTime.of(day, LocalTime.of(hour, minute)))
                        : last;
                if (instant.isAfter(last) && !instant.isAfter(upTo)) { // several in a gap are one
                    out.add(instant);
                    last = instant;
                }
            }
        }
    }

    private static Instant instant(ZoneRules rules, LocalDateTime local) {
        List<ZoneOffset> valid = rules.getValidOffsets(local);
        if (!valid.isEmpty()) {
            return local.toInstant(valid.get(0)); // of two, the first to come
        }
        ZoneOffsetTransition gap = rules.getTransition(local);
        return gap.getInstant();
    }

    private static void realMinutes(
            Expression expression,
            LocalDate day,
            ZoneId zone,
            Instant after,
            Instant upTo,
            int most,
            List<Instant> out) {
        Instant end = day.plusDays(1).atStartOfDay(zone).toInstant();
        Instant instant = day.atStartOfDay(zone).toInstant();
        if (instant.isBefore(after)) {
            instant = instant.plusSeconds((after.getEpochSecond() - instant.getEpochSecond()) / 60 * 60);
        }
        for (;
                instant.isBefore(end) && !instant.isAfter(upTo) && out.size() < most;
                instant = instant.plusSeconds(60)) {
            if (instant.isAfter(after)
                    && expression.minute(LocalDateTime.ofInstant(instant, zone).getMinute())) {
                out.add(instant);
            }
        }
    }
}
