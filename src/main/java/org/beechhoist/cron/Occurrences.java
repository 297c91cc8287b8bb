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
 * Computes when a schedule runs. A line with specific hours runs at local times: a time in a gap of the local clock runs once at the end
 * of the gap, a time that occurs twice runs the first time. A line whose hour field is {@code *} follows elapsed time and runs at every
 * minute whose local minute it matches, also in a repeated hour.
 */
public final class Occurrences {
    /** Covers the longest interval between two 29 Februaries on the same weekday, across a century year without a leap day. */
    private static final int MAX_SEARCH_DAYS = 366 * 41;

    /** Maximum number of consecutive closed days over which an occurrence moves to the next business day. */
    private static final int MAX_CONSECUTIVE_CLOSED_DAYS = 60;

    private static final int HOURS_PER_DAY = 24;
    private static final int MINUTES_PER_HOUR = 60;
    private static final int SECONDS_PER_MINUTE = 60;

    private Occurrences() {}

    /** Returns the first occurrence after a time, or null if there is none within 41 years. */
    public static Instant next(Schedule schedule, Calendar calendar, Instant after) {
        LocalDate day =
                LocalDateTime.ofInstant(after, schedule.zone()).toLocalDate().minusDays(1);
        List<Instant> found = new ArrayList<>(1);
        for (int i = 0; i < MAX_SEARCH_DAYS; i++, day = day.plusDays(1)) {
            if (runsOn(schedule, calendar, day)) {
                addOccurrences(schedule, day, after, Instant.MAX, 1, found);
                if (!found.isEmpty()) {
                    return found.get(0);
                }
            }
        }
        return null;
    }

    /** Returns the occurrences after one time and up to another in ascending order, at most {@code maxCount}. */
    public static List<Instant> between(
            Schedule schedule, Calendar calendar, Instant after, Instant upTo, int maxCount) {
        List<Instant> out = new ArrayList<>();
        LocalDate last =
                LocalDateTime.ofInstant(upTo, schedule.zone()).toLocalDate().plusDays(1);
        LocalDate day =
                LocalDateTime.ofInstant(after, schedule.zone()).toLocalDate().minusDays(1);
        for (; !day.isAfter(last) && out.size() < maxCount; day = day.plusDays(1)) {
            if (runsOn(schedule, calendar, day)) {
                addOccurrences(schedule, day, after, upTo, maxCount, out);
            }
        }
        return out;
    }

    /** Reports each day from {@code from} to before {@code until} that the line matches and that its calendar closes, with the reason. */
    public static void reportClosedDays(
            Schedule schedule,
            Calendar calendar,
            LocalDate from,
            LocalDate until,
            BiConsumer<LocalDate, String> report) {
        for (LocalDate date = from; calendar != null && date.isBefore(until); date = date.plusDays(1)) {
            String closed = schedule.expression().matchesDate(date) ? calendar.closedReason(date) : null;
            if (closed != null) {
                report.accept(date, closed);
            }
        }
    }

    private static boolean runsOn(Schedule schedule, Calendar calendar, LocalDate day) {
        if (calendar == null) {
            return schedule.expression().matchesDate(day);
        }
        if (calendar.closedReason(day) != null) {
            return false;
        }
        if (schedule.expression().matchesDate(day)) {
            return true;
        }
        if (!schedule.nextBusinessDay()) {
            return false;
        }
        // Occurrences on the closed days immediately before move to this day.
        LocalDate date = day.minusDays(1);
        for (int i = 0;
                i < MAX_CONSECUTIVE_CLOSED_DAYS && calendar.closedReason(date) != null;
                i++, date = date.minusDays(1)) {
            if (schedule.expression().matchesDate(date)) {
                return true;
            }
        }
        return false;
    }

    /** Adds the occurrences of the day after one time and up to another, in ascending order, until {@code out} holds {@code maxCount}. */
    private static void addOccurrences(
            Schedule schedule, LocalDate day, Instant after, Instant upTo, int maxCount, List<Instant> out) {
        Expression expression = schedule.expression();
        if (expression.everyHour()) {
            addEveryHourOccurrences(expression, day, schedule.zone(), after, upTo, maxCount, out);
            return;
        }
        ZoneRules rules = schedule.zone().getRules();
        Instant last = after;
        for (int hour = 0; hour < HOURS_PER_DAY; hour++) {
            for (int minute = 0;
                    expression.matchesHour(hour) && minute < MINUTES_PER_HOUR && out.size() < maxCount;
                    minute++) {
                Instant instant = expression.matchesMinute(minute)
                        ? resolveLocalTime(rules, LocalDateTime.of(day, LocalTime.of(hour, minute)))
                        : last;
                if (instant.isAfter(last) && !instant.isAfter(upTo)) { // several times in one gap make one occurrence
                    out.add(instant);
                    last = instant;
                }
            }
        }
    }

    private static Instant resolveLocalTime(ZoneRules rules, LocalDateTime local) {
        List<ZoneOffset> valid = rules.getValidOffsets(local);
        if (!valid.isEmpty()) {
            return local.toInstant(valid.get(0)); // the earlier of two
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
            int maxCount,
            List<Instant> out) {
        Instant end = day.plusDays(1).atStartOfDay(zone).toInstant();
        Instant instant = day.atStartOfDay(zone).toInstant();
        if (instant.isBefore(after)) {
            instant = instant.plusSeconds(
                    (after.getEpochSecond() - instant.getEpochSecond()) / SECONDS_PER_MINUTE * SECONDS_PER_MINUTE);
        }
        for (;
                instant.isBefore(end) && !instant.isAfter(upTo) && out.size() < maxCount;
                instant = instant.plusSeconds(SECONDS_PER_MINUTE)) {
            if (instant.isAfter(after)
                    && expression.matchesMinute(
                            LocalDateTime.ofInstant(instant, zone).getMinute())) {
                out.add(instant);
            }
        }
    }
}
