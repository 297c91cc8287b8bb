package org.beechhoist.cron;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.LocalDate;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/**
 * The five fields of a crontab line as sets of bits: minutes 0 to 59, hours 0 to 23, days 1 to 31, months 1 to 12,
 * weekdays 0 (Sunday) to 6.
 *
 * @param everyHour the hour field is {@code *}: the line follows real time, also where local time jumps
 * @param anyDay the day-of-month field begins with {@code *}, {@code anyWeekday} the day-of-week field: where both are
 *     given, a day matches that either of them names, as crontabs have it
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

    /** Whether the date is one of the line's, calendars aside. */
    boolean matches(LocalDate date) {
        if ((months >> date.getMonthValue() & 1) == 0) {
            return false;
        }
        boolean day = (days >> date.getDayOfMonth() & 1) == 1;
        boolean weekday = (weekdays >> date.getDayOfWeek().getValue() % 7 & 1) == 1;
        return anyDay || anyWeekday ? day && weekday : day || weekday;
    }

    boolean minute(int minute) {
        return (minutes >> minute & 1) == 1;
    }

    boolean hour(int hour) {
        return (hours >> hour & 1) == 1;
    }

    /** Sets of bits as hexadecimal text: sixty minutes are more than the protocol's checked numbers hold. */
    ObjectNode toNode() {
        return Codec.map()
                .put("m", Long.toHexString(minutes))
                .put("h", Integer.toHexString(hours))
                .put("d", Integer.toHexString(days))
                .put("mo", Integer.toHexString(months))
                .put("w", Integer.toHexString(weekdays))
                .put("free", (everyHour ? 1 : 0) + (anyDay ? 2 : 0) + (anyWeekday ? 4 : 0));
    }

    static Expression parse(JsonNode node) throws MalformedMessageException {
        int free = (int) Codec.wholeNumber(node, "free", 0, 7);
        return new Expression(
                bits(node, "m"),
                (int) bits(node, "h"),
                (int) bits(node, "d"),
                (int) bits(node, "mo"),
                (int) bits(node, "w"),
                (free & 1) != 0,
                (free & 2) != 0,
                (free & 4) != 0);
    }

    private static long bits(JsonNode node, String field) throws MalformedMessageException {
        try {
            return Long.parseUnsignedLong(Codec.text(node, field), 16);
        } catch (NumberFormatException e) {
            throw new MalformedMessageException(field + ": a set of bits in hexadecimal is expected");
        }
    }
}
