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
 * Computes when a schedule runs. A line that names hours runs at local times: a time that falls into a gap of the local clock runs once
 * at the end of the gap, a time that occurs twice runs the first time. A line whose hour field is {@code *} follows real time and runs at
 * every real minute whose local minute it names.
 */
public final class Occurrences {
    /** Days that are searched: more than from one 29 February on a given weekday to the next, across a century without a leap day. */
    private static final int MAX_SEARCH_DAYS = 366 * 41;

    /** Closed days in a row of which occurrences can move to the next business day. */
    private static final int MAX_CONSECUTIVE_CLOSED_DAYS = 60;

    private static final int HOURS_PER_DAY = 24;
    private static final int MINUTES_PER_HOUR = 60;
    private static final int SECONDS_PER_MINUTE = 60;

    private Occurrences() {}

    /** Returns the first occurrence after the moment, or null if there is none within 41 years. */
    public static Instant next(Schedule entry, Calendar calendar, Instant after) {
        LocalDate day =
                LocalDateTime.ofInstant(after, entry.zone()).toLocalDate().minusDays(1);
        List<Instant> found = new ArrayList<>(1);
        for (int i = 0; i < MAX_SEARCH_DAYS; i++, day = day.plusDays(1)) {
            if (runsOn(entry, calendar, day)) {
                addOccurrences(entry, day, after, Instant.MAX, 1, found);
                if (!found.isEmpty()) {
                    return found.get(0);
                }
            }
        }
        return null;
    }

    /** Returns the occurrences after one moment and up to another, at most {@code most}, earlier ones first. */
    public static List<Instant> between(Schedule entry, Calendar calendar, Instant after, Instant upTo, int most) {
        List<Instant> out = new ArrayList<>();
        LocalDate last =
                LocalDateTime.ofInstant(upTo, entry.zone()).toLocalDate().plusDays(1);
        LocalDate day =
                LocalDateTime.ofInstant(after, entry.zone()).toLocalDate().minusDays(1);
        for (; !day.isAfter(last) && out.size() < most; day = day.plusDays(1)) {
            if (runsOn(entry, calendar, day)) {
                addOccurrences(entry, day, after, upTo, most, out);
            }
        }
        return out;
    }

    /** Reports each day from one to before another that the line names and its calendar has closed, with the reason. */
    public static void reportClosedDays(
            Schedule entry, Calendar calendar, LocalDate from, LocalDate until, BiConsumer<LocalDate, String> report) {
        for (LocalDate date = from; calendar != null && date.isBefore(until); date = date.plusDays(1)) {
            String closed = entry.expression().matchesDate(date) ? calendar.closedReason(date) : null;
            if (closed != null) {
                report.accept(date, closed);
            }
        }
    }

    private static boolean runsOn(Schedule entry, Calendar calendar, LocalDate day) {
        if (calendar == null) {
            return entry.expression().matchesDate(day);
        }
        if (calendar.closedReason(day) != null) {
            return false;
        }
        if (entry.expression().matchesDate(day)) {
            return true;
        }
        if (!entry.nextBusinessDay()) {
            return false;
        }
        // Occurrences on the closed days just before are moved to this day.
        LocalDate date = day.minusDays(1);
        for (int i = 0;
                i < MAX_CONSECUTIVE_CLOSED_DAYS && calendar.closedReason(date) != null;
                i++, date = date.minusDays(1)) {
            if (entry.expression().matchesDate(date)) {
                return true;
            }
        }
        return false;
    }

    /** Adds the day's occurrences after one moment and up to another, in order, until there are {@code most} in all. */
    private static void addOccurrences(
            Schedule entry, LocalDate day, Instant after, Instant upTo, int most, List<Instant> out) {
        Expression expression = entry.expression();
        if (expression.everyHour()) {
            addEveryHourOccurrences(expression, day, entry.zone(), after, upTo, most, out);
            return;
        }
        ZoneRules rules = entry.zone().getRules();
        Instant last = after;
        for (int hour = 0; hour < HOURS_PER_DAY; hour++) {
            for (int minute = 0;
                    expression.matchesHour(hour) && minute < MINUTES_PER_HOUR && out.size() < most;
                    minute++) {
                Instant instant = expression.matchesMinute(minute)
                        ? resolveLocalTime(rules, LocalDateTime.of(day, LocalTime.of(hour, minute)))
                        : last;
                if (instant.isAfter(last) && !instant.isAfter(upTo)) { // several times in one gap are one occurrence
                    out.add(instant);
                    last = instant;
                }
            }
        }
    }

    private static Instant resolveLocalTime(ZoneRules rules, LocalDateTime local) {
        List<ZoneOffset> valid = rules.getValidOffsets(local);
        if (!valid.isEmpty()) {
            return local.toInstant(valid.get(0)); // of two, the first to come
        }
        ZoneOffsetTransition gap = rules.getTransition(local);
        return gap.getInstant();
    }

    private static void addEveryHourOccurrences(
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
            instant = instant.plusSeconds(
                    (after.getEpochSecond() - instant.getEpochSecond()) / SECONDS_PER_MINUTE * SECONDS_PER_MINUTE);
        }
        for (;
                instant.isBefore(end) && !instant.isAfter(upTo) && out.size() < most;
                instant = instant.plusSeconds(SECONDS_PER_MINUTE)) {
            if (instant.isAfter(after)
                    && expression.matchesMinute(
                            LocalDateTime.ofInstant(instant, zone).getMinute())) {
                out.add(instant);
            }
        }
    }
}
