package org.beechhoist.cron;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.LocalDate;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/**
 * The five fields of a crontab line as bit sets. If neither the day-of-month nor the day-of-week field begins with {@code *}, a day
 * matches if either field matches it, as is usual for crontabs. Ids of schedules are hashes of text that contains {@link #toString}: names
 * and order of the components must not change.
 *
 * @param minutes bits 0 to 59
 * @param hours bits 0 to 23
 * @param days bits 1 to 31
 * @param months bits 1 to 12
 * @param weekdays bits 0 (Sunday) to 6
 * @param everyHour whether the hour field is {@code *}; such a line follows elapsed time, also across changes of the local clock
 * @param anyDay whether the day-of-month field begins with {@code *}
 * @param anyWeekday whether the day-of-week field begins with {@code *}
 */
public record Expression(
        long minutes,
        int hours,
        int days,
        int months,
        int weekdays,
        boolean everyHour,
        boolean anyDay,
        boolean anyWeekday) {
    private static final int DAYS_PER_WEEK = 7;
    private static final int HEX_RADIX = 16;
    /** Flags in the stored form. */
    private static final int EVERY_HOUR = 1;

    private static final int ANY_DAY = 2;
    private static final int ANY_WEEKDAY = 4;
    private static final int ALL_FLAGS = EVERY_HOUR | ANY_DAY | ANY_WEEKDAY;

    /** Returns whether the expression matches the date, regardless of calendars. */
    boolean matchesDate(LocalDate date) {
        if ((months >> date.getMonthValue() & 1) == 0) {
            return false;
        }
        boolean day = (days >> date.getDayOfMonth() & 1) == 1;
        boolean weekday = (weekdays >> date.getDayOfWeek().getValue() % DAYS_PER_WEEK & 1) == 1;
        return anyDay || anyWeekday ? day && weekday : day || weekday;
    }

    boolean matchesMinute(int minute) {
        return (minutes >> minute & 1) == 1;
    }

    boolean matchesHour(int hour) {
        return (hours >> hour & 1) == 1;
    }

    /** Returns the stored form. Bit sets are hexadecimal text, because 60 bits exceed the range of the protocol's numbers. */
    ObjectNode toNode() {
        return Codec.map()
                .put("m", Long.toHexString(minutes))
                .put("h", Integer.toHexString(hours))
                .put("d", Integer.toHexString(days))
                .put("mo", Integer.toHexString(months))
                .put("w", Integer.toHexString(weekdays))
                .put("free", (everyHour ? EVERY_HOUR : 0) + (anyDay ? ANY_DAY : 0) + (anyWeekday ? ANY_WEEKDAY : 0));
    }

    static Expression parse(JsonNode node) throws MalformedMessageException {
        int flags = (int) Codec.wholeNumber(node, "free", 0, ALL_FLAGS);
        return new Expression(
                parseBits(node, "m"),
                (int) parseBits(node, "h"),
                (int) parseBits(node, "d"),
                (int) parseBits(node, "mo"),
                (int) parseBits(node, "w"),
                (flags & EVERY_HOUR) != 0,
                (flags & ANY_DAY) != 0,
                (flags & ANY_WEEKDAY) != 0);
    }

    private static long parseBits(JsonNode node, String field) throws MalformedMessageException {
        try {
            return Long.parseUnsignedLong(Codec.text(node, field), HEX_RADIX);
        } catch (NumberFormatException e) {
            throw new MalformedMessageException(field + ": a set of bits in hexadecimal is expected");
        }
    }
}
