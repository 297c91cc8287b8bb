package org.beechhoist.cron;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.NoViableAltException;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.Interval;
import org.beechhoist.cron.grammar.CrontabLexer;
import org.beechhoist.cron.grammar.CrontabParser;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/** Reads a cron table's text, by the grammar in Crontab.g4; docs/operations/cron.md explains what it says. */
public final class CronTable {
    /** A table that can't be used: line, column, what stands there and what may. */
    public static final class Bad extends Exception {
        Bad(int line, int column, String what) {
            super("line " + line + ", column " + (column + 1) + ": " + what, null, false, false);
        }
    }

    /** Thrown out of ANTLR's listener, which can't declare Bad. */
    private static final class Refused extends RuntimeException {
        private static final long serialVersionUID = 1;
        private final transient Bad why;

        Refused(Bad why) {
            super(why.getMessage(), why, false, false);
            this.why = why;
        }
    }

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
    private static final Set<String> OPTIONS = Set.of("missed", "most", "overlap", "once_key");

    private final String name;
    private final List<Entry> entries = new ArrayList<>();
    private final Map<String, ObjectNode> jobs = new HashMap<>();
    private final Map<String, String> settings = new TreeMap<>();
    private final Set<String> ids = new HashSet<>();
    private ZoneId zone;
    private String calendar;
    private boolean nextBusinessDay;
    private String team;

    private CronTable(String name) {
        this.name = name;
    }

    /** The table's lines, in their order; since the moment given. */
    public static List<Entry> parse(String name, String text, long sinceS) throws Bad {
        CrontabLexer lexer = new CrontabLexer(CharStreams.fromString(text.endsWith("\n") ? text : text + "\n"));
        CrontabParser parser = new CrontabParser(new CommonTokenStream(lexer));
        BaseErrorListener refuse = new BaseErrorListener() {
            @Override
            public void syntaxError(
                    Recognizer<?, ?> recognizer,
                    Object symbol,
                    int line,
                    int column,
                    String message,
                    RecognitionException recognitionException) {
                String found = symbol instanceof Token token && token.getType() == Token.EOF
                        ? "the end"
                        : symbol instanceof Token offending && offending.getType() == CrontabParser.NL
                                ? "the line's end"
                                : symbol instanceof Token otherOffending
                                        ? "'" + otherOffending.getText() + "'"
                                        : message;
                String may = recognitionException instanceof NoViableAltException
                        ? ": a line such as 0 5 * * 1-5 JOB, or zone, calendar, team, job or NAME=value is expected"
                        : recognizer instanceof CrontabParser crontabParser
                                ? ": " + crontabParser.getExpectedTokens().toString(crontabParser.getVocabulary())
                                        + " is expected"
                                : "";
                throw new Refused(new Bad(line, column, found + may));
            }
        };
        lexer.removeErrorListeners();
        parser.removeErrorListeners();
        lexer.addErrorListener(refuse);
        parser.addErrorListener(refuse);
        try {
            CronTable cronTable = new CronTable(name);
            for (CrontabParser.LineContext line : parser.table().line()) {
                cronTable.take(line, sinceS);
            }
            return cronTable.entries;
        } catch (Refused e) {
            throw e.why;
        }
    }

    private static Bad bad(ParserRuleContext at, String may) {
        return new Bad(at.getStart().getLine(), at.getStart().getCharPositionInLine(), "'" + said(at) + "': " + may);
    }

    private static String said(ParserRuleContext context) {
        return context.getStart()
                .getInputStream()
                .getText(Interval.of(
                        context.getStart().getStartIndex(), context.getStop().getStopIndex()));
    }

    private static String text(ParserRuleContext context) {
        String s = context.getText();
        return s.startsWith("\"") ? s.substring(1, s.length() - 1) : s;
    }

    private void take(CrontabParser.LineContext line, long sinceS) throws Bad {
        if (line.zone() != null) {
            try {
                zone = ZoneId.of(text(line.zone().zoneName()));
            } catch (DateTimeException e) {
                throw bad(line.zone().zoneName(), "a time zone such as Asia/Tokyo is expected");
            }
        } else if (line.calendar() != null) {
            boolean none = line.calendar().NONE() != null;
            calendar = none ? null : text(line.calendar().name());
            nextBusinessDay = !none
                    && line.calendar().treat() != null
                    && line.calendar().treat().NEXT() != null;
        } else if (line.team() != null) {
            team = text(line.team().name());
        } else if (line.job() != null) {
            jobs.put(text(line.job().name()), template(line.job()));
        } else if (line.setting() != null) {
            settings.put(
                    line.setting().NAME().getText(),
                    line.setting().value() == null ? "" : text(line.setting().value()));
        } else if (line.entry() != null) {
            entry(line.entry(), sinceS);
        }
    }

    private static ObjectNode template(CrontabParser.JobContext job) throws Bad {
        ObjectNode out = Codec.map();
        for (CrontabParser.PairContext p : job.pair()) {
            out.set(text(p.name()), value(p.value()));
        }
        return out;
    }

    private static JsonNode value(CrontabParser.ValueContext valueContext) throws Bad {
        if (valueContext.list() != null) {
            ArrayNode out = Codec.list();
            for (CrontabParser.ValueContext e : valueContext.list().value()) {
                out.add(value(e));
            }
            return out;
        }
        if (valueContext.LBRACE() != null) {
            ObjectNode out = Codec.map();
            for (CrontabParser.PairContext p : valueContext.pair()) {
                out.set(text(p.name()), value(p.value()));
            }
            return out;
        }
        if (valueContext.TRUE() != null || valueContext.FALSE() != null) {
            return BooleanNode.valueOf(valueContext.TRUE() != null);
        }
        try {
            return valueContext.INT() != null
                    ? LongNode.valueOf(Long.parseLong(valueContext.getText()))
                    : valueContext.NUMBER() != null
                            ? DoubleNode.valueOf(Double.parseDouble(valueContext.getText()))
                            : TextNode.valueOf(text(valueContext));
        } catch (NumberFormatException e) {
            throw bad(valueContext, "a smaller number is expected");
        }
    }

    private void entry(CrontabParser.EntryContext entryContext, long sinceS) throws Bad {
        String job = text(entryContext.name());
        ObjectNode template = jobs.get(job);
        if (template == null) {
            throw bad(
                    entryContext.name(),
                    jobs.isEmpty()
                            ? "a job line must define it above"
                            : "one of the jobs defined above is expected: "
                                    + String.join(", ", new TreeMap<>(jobs).keySet()));
        }
        if (zone == null) {
            throw bad(entryContext, "a zone line is expected above");
        }
        if (team == null && !template.has("owner")) {
            throw bad(entryContext, "a team line is expected above, or owner in the job");
        }
        ObjectNode made = template.deepCopy();
        if (!made.has("owner")) {
            made.put("owner", team);
        }
        Map<String, CrontabParser.OptionContext> options = new HashMap<>();
        for (CrontabParser.OptionContext optionContext : entryContext.option()) {
            String option = text(optionContext.name());
            if (OPTIONS.contains(option)) {
                options.put(option, optionContext);
            } else {
                made.set(option, value(optionContext.value())); // a field of the job, for this line only
            }
        }
        Entry.Missed missed = choice(options.get("missed"), Entry.Missed.class, Entry.Missed.ONCE);
        Entry.Overlap overlap = choice(options.get("overlap"), Entry.Overlap.class, Entry.Overlap.QUEUE);
        int most = 1;
        if (options.containsKey("most")) {
            CrontabParser.ValueContext valueContext = options.get("most").value();
            if (valueContext.INT() == null
                    || valueContext.getText().length() > 3
                    || Integer.parseInt(valueContext.getText()) > Entry.MOST_MISSED) {
                throw bad(valueContext, "a number from 0 to " + Entry.MOST_MISSED + " is expected");
            }
            most = Integer.parseInt(valueContext.getText());
        }
        String once =
                options.containsKey("once_key") ? text(options.get("once_key").value()) : null;
        Expression expression = expression(entryContext.when());
        String said = zone + "|" + calendar + "|" + nextBusinessDay + "|" + expression + "|" + job + "|" + made + "|"
                + missed + "|" + overlap + "|" + once;
        String id = Entry.hash(said).toString().replaceAll("[^0-9a-fA-F]", "");
        for (int i = 2; !ids.add(id); i++) {
            id = Entry.hash(said + "|" + i).toString().replaceAll("[^0-9a-fA-F]", "");
        }
        Entry entry = new Entry(
                name,
                id.substring(0, Math.min(16, id.length())),
                entryContext.getStart().getLine(),
                expression,
                zone,
                calendar,
                nextBusinessDay,
                job,
                Entry.filled(made, settings),
                missed,
                most,
                overlap,
                Entry.filledText(once, settings),
                sinceS);
        try {
            entry.job(Instant.ofEpochSecond(sinceS));
        } catch (MalformedMessageException m) {
            throw bad(entryContext.name(), m.getMessage());
        }
        if (Occurrences.next(entry, null, Instant.ofEpochSecond(sinceS)) == null) {
            throw bad(entryContext.when(), "it never comes");
        }
        entries.add(entry);
    }

    private static <T extends Enum<T>> T choice(CrontabParser.OptionContext optionContext, Class<T> type, T fallback)
            throws Bad {
        if (optionContext == null) {
            return fallback;
        }
        List<String> all = new ArrayList<>();
        for (T element : type.getEnumConstants()) {
            all.add(element.name().toLowerCase(Locale.ROOT));
            if (element.name().equalsIgnoreCase(text(optionContext.value()))) {
                return element;
            }
        }
        throw bad(optionContext.value(), "one of " + String.join(", ", all) + " is expected");
    }

    private static Expression expression(CrontabParser.WhenContext whenContext) throws Bad {
        if (whenContext.NICKNAME() != null) {
            String fields = NICKNAMES.get(whenContext.getText());
            if (fields == null) {
                throw bad(
                        whenContext, "one of " + String.join(", ", new TreeMap<>(NICKNAMES).keySet()) + " is expected");
            }
            CrontabParser crontabParser =
                    new CrontabParser(new CommonTokenStream(new CrontabLexer(CharStreams.fromString(fields))));
            return expression(crontabParser.when());
        }
        long weekdays = bits(whenContext.dayOfWeek, 0, 7, WEEKDAYS, 0);
        weekdays = (weekdays | weekdays >> 7) & 0x7f; // 7 is Sunday too
        return new Expression(
                bits(whenContext.minute, 0, 59, List.of(), 0),
                (int) bits(whenContext.hour, 0, 23, List.of(), 0),
                (int) bits(whenContext.dayOfMonth, 1, 31, List.of(), 1),
                (int) bits(whenContext.month, 1, 12, MONTHS, 1),
                (int) weekdays,
                whenContext.hour.getText().equals("*"),
                whenContext.dayOfMonth.getText().startsWith("*"),
                whenContext.dayOfWeek.getText().startsWith("*"));
    }

    private static long bits(CrontabParser.FieldContext field, int least, int most, List<String> names, int first)
            throws Bad {
        long out = 0;
        for (CrontabParser.ItemContext itemContext : field.item()) {
            int from = itemContext.STAR() != null ? least : point(itemContext.from, least, most, names, first);
            int to = itemContext.STAR() != null || (itemContext.to == null && itemContext.step != null)
                    ? most
                    : itemContext.to == null ? from : point(itemContext.to, least, most, names, first);
            int step = 1;
            if (itemContext.step != null) {
                step = itemContext.step.getText().length() > 4 ? 0 : Integer.parseInt(itemContext.step.getText());
                if (step < 1 || step > most) {
                    throw bad(itemContext, "a step from 1 to " + most + " is expected");
                }
            }
            if (from > to) {
                throw bad(itemContext, "the first of a range must not be above the last");
            }
            for (int v = from; v <= to; v += step) {
                out |= 1L << v;
            }
        }
        return out;
    }

    private static int point(
            CrontabParser.PointContext pointContext, int least, int most, List<String> names, int first) throws Bad {
        String may = "a number from " + least + " to " + most
                + (names.isEmpty() ? "" : " or " + names.get(0) + " to " + names.get(names.size() - 1))
                + " is expected";
        if (pointContext.NAME() != null) {
            int index = names.indexOf(pointContext.getText().toLowerCase(Locale.ROOT));
            if (index < 0) {
                throw bad(pointContext, may);
            }
            return index + first;
        }
        int value = pointContext.getText().length() > 4 ? -1 : Integer.parseInt(pointContext.getText());
        if (value < least || value > most) {
            throw bad(pointContext, may);
        }
        return value;
    }
}
