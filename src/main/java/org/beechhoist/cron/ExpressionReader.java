package org.beechhoist.cron;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.beechhoist.cron.grammar.CrontabLexer;
import org.beechhoist.cron.grammar.CrontabParser;

/** Reads the five fields of a crontab line, or a nickname such as {@code @daily}, from the syntax tree. */
final class ExpressionReader {
    private static final Map<String, String> NICKNAMES = Map.of(
            "@yearly",
            "0 0 1 1 *",
            "@annually",
            "0 0 1 1 *",
            "@monthly",
            "0 0 1 * *",
            "@weekly",
            "0 0 * * 0",
            "@daily",
            "0 0 * * *",
            "@midnight",
            "0 0 * * *",
            "@hourly",
            "0 * * * *");
    private static final List<String> MONTHS =
            List.of("jan", "feb", "mar", "apr", "may", "jun", "jul", "aug", "sep", "oct", "nov", "dec");
    private static final List<String> WEEKDAYS = List.of("sun", "mon", "tue", "wed", "thu", "fri", "sat");
    private static final int LAST_MINUTE = 59;
    private static final int LAST_HOUR = 23;
    private static final int LAST_DAY = 31;
    private static final int LAST_MONTH = 12;
    /** Sunday is weekday 0 and also weekday 7. */
    private static final int ALTERNATIVE_SUNDAY = 7;

    private static final int ALL_WEEKDAYS = 0x7f;
    /** Numbers with more digits are outside the range of every field and may overflow an int. */
    private static final int MAX_NUMBER_DIGITS = 4;

    private ExpressionReader() {}

    static Expression read(CrontabParser.WhenContext whenContext) throws CronTable.InvalidTableException {
        if (whenContext.NICKNAME() != null) {
            String fields = NICKNAMES.get(whenContext.getText());
            if (fields == null) {
                throw CronTable.invalid(
                        whenContext, "one of " + String.join(", ", new TreeMap<>(NICKNAMES).keySet()) + " is expected");
            }
            CrontabParser parser =
                    new CrontabParser(new CommonTokenStream(new CrontabLexer(CharStreams.fromString(fields))));
            return read(parser.when());
        }
        long weekdays = readBits(whenContext.dayOfWeek, 0, ALTERNATIVE_SUNDAY, WEEKDAYS, 0);
        weekdays = (weekdays | weekdays >> ALTERNATIVE_SUNDAY) & ALL_WEEKDAYS;
        return new Expression(
                readBits(whenContext.minute, 0, LAST_MINUTE, List.of(), 0),
                (int) readBits(whenContext.hour, 0, LAST_HOUR, List.of(), 0),
                (int) readBits(whenContext.dayOfMonth, 1, LAST_DAY, List.of(), 1),
                (int) readBits(whenContext.month, 1, LAST_MONTH, MONTHS, 1),
                (int) weekdays,
                whenContext.hour.getText().equals("*"),
                whenContext.dayOfMonth.getText().startsWith("*"),
                whenContext.dayOfWeek.getText().startsWith("*"));
    }

    /** Returns the values that a field matches as a bit set; {@code firstNameValue} is the value of the first of the names. */
    private static long readBits(
            CrontabParser.FieldContext field, int min, int max, List<String> names, int firstNameValue)
            throws CronTable.InvalidTableException {
        long bits = 0;
        for (CrontabParser.ItemContext itemContext : field.item()) {
            int from = itemContext.STAR() != null ? min : readValue(itemContext.from, min, max, names, firstNameValue);
            int to = from;
            if (itemContext.STAR() != null || itemContext.to == null && itemContext.step != null) {
                to = max;
            } else if (itemContext.to != null) {
                to = readValue(itemContext.to, min, max, names, firstNameValue);
            }
            int step = 1;
            if (itemContext.step != null) {
                step = itemContext.step.getText().length() > MAX_NUMBER_DIGITS
                        ? 0
                        : Integer.parseInt(itemContext.step.getText());
                if (step < 1 || step > max) {
                    throw CronTable.invalid(itemContext, "a step from 1 to " + max + " is expected");
                }
            }
            if (from > to) {
                throw CronTable.invalid(itemContext, "the first of a range must not be above the last");
            }
            for (int value = from; value <= to; value += step) {
                bits |= 1L << value;
            }
        }
        return bits;
    }

    private static int readValue(
            CrontabParser.PointContext pointContext, int min, int max, List<String> names, int firstNameValue)
            throws CronTable.InvalidTableException {
        String expected = "a number from " + min + " to " + max
                + (names.isEmpty() ? "" : " or " + names.get(0) + " to " + names.get(names.size() - 1))
                + " is expected";
        if (pointContext.NAME() != null) {
            int index = names.indexOf(pointContext.getText().toLowerCase(Locale.ROOT));
            if (index < 0) {
                throw CronTable.invalid(pointContext, expected);
            }
            return index + firstNameValue;
        }
        int value = pointContext.getText().length() > MAX_NUMBER_DIGITS ? -1 : Integer.parseInt(pointContext.getText());
        if (value < min || value > max) {
            throw CronTable.invalid(pointContext, expected);
        }
        return value;
    }
}
