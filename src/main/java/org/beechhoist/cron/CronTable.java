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

/** Reads the text of a cron table by the grammar in Crontab.g4; docs/operations/cron.md explains the format. */
public final class CronTable {
    /** Reports an invalid table. The message gives line, column, the text at that place and the expected text. */
    public static final class InvalidTableException extends Exception {
        InvalidTableException(int line, int column, String problem) {
            super("line " + line + ", column " + (column + 1) + ": " + problem, null, false, false);
        }
    }

    /** Thrown by ANTLR's error listener, which can't declare a checked exception. */
    private static final class SyntaxError extends RuntimeException {
        private static final long serialVersionUID = 1;
        private final transient InvalidTableException tableException;

        SyntaxError(InvalidTableException tableException) {
            super(tableException.getMessage(), tableException, false, false);
            this.tableException = tableException;
        }
    }

    /** Throws an exception at the first syntax error. */
    private static final class ThrowingErrorListener extends BaseErrorListener {
        @Override
        public void syntaxError(
                Recognizer<?, ?> recognizer,
                Object symbol,
                int line,
                int column,
                String message,
                RecognitionException recognitionException) {
            String found = found(symbol, message);
            throw new SyntaxError(
                    new InvalidTableException(line, column, found + expected(recognizer, recognitionException)));
        }

        private static String found(Object symbol, String message) {
            if (!(symbol instanceof Token token)) {
                return message;
            }
            if (token.getType() == Token.EOF) {
                return "the end";
            }
            return token.getType() == CrontabParser.NL ? "the line's end" : "'" + token.getText() + "'";
        }

        private static String expected(Recognizer<?, ?> recognizer, RecognitionException recognitionException) {
            if (recognitionException instanceof NoViableAltException) {
                return ": a line such as 0 5 * * 1-5 JOB, or zone, calendar, team, job or NAME=value is expected";
            }
            if (recognizer instanceof CrontabParser parser) {
                return ": " + parser.getExpectedTokens().toString(parser.getVocabulary()) + " is expected";
            }
            return "";
        }
    }

    private static final Set<String> OPTIONS = Set.of("missed", "most", "overlap", "once_key");
    /** Digits of {@link Schedule#MAX_MISSED_RUNS}. */
    private static final int MAX_MISSED_RUNS_DIGITS = 3;
    /** Hexadecimal digits of a schedule's id. */
    private static final int ID_LENGTH = 16;

    private final String name;
    private final List<Schedule> schedules = new ArrayList<>();
    private final Map<String, ObjectNode> jobs = new HashMap<>();
    private final Map<String, String> settings = new TreeMap<>();
    private final Set<String> usedIds = new HashSet<>();
    private ZoneId zone;
    private String calendar;
    private boolean nextBusinessDay;
    private String team;

    private CronTable(String name) {
        this.name = name;
    }

    /**
     * Reads a table and returns its schedules in their order.
     *
     * @param name the name of the table
     * @param text the text of the table
     * @param sinceS occurrences after this time run, in seconds since 1970
     * @throws InvalidTableException if the text is not a valid table
     */
    public static List<Schedule> parse(String name, String text, long sinceS) throws InvalidTableException {
        CrontabLexer lexer = new CrontabLexer(CharStreams.fromString(text.endsWith("\n") ? text : text + "\n"));
        CrontabParser parser = new CrontabParser(new CommonTokenStream(lexer));
        BaseErrorListener errorListener = new ThrowingErrorListener();
        lexer.removeErrorListeners();
        parser.removeErrorListeners();
        lexer.addErrorListener(errorListener);
        parser.addErrorListener(errorListener);
        try {
            CronTable table = new CronTable(name);
            for (CrontabParser.LineContext line : parser.table().line()) {
                table.readLine(line, sinceS);
            }
            return table.schedules;
        } catch (SyntaxError e) {
            throw e.tableException;
        }
    }

    /** Returns an exception for a place in the table; {@code expected} describes valid text there. */
    static InvalidTableException invalid(ParserRuleContext place, String expected) {
        return new InvalidTableException(
                place.getStart().getLine(),
                place.getStart().getCharPositionInLine(),
                "'" + source(place) + "': " + expected);
    }

    private static String source(ParserRuleContext context) {
        return context.getStart()
                .getInputStream()
                .getText(Interval.of(
                        context.getStart().getStartIndex(), context.getStop().getStopIndex()));
    }

    private static String text(ParserRuleContext context) {
        String text = context.getText();
        return text.startsWith("\"") ? text.substring(1, text.length() - 1) : text;
    }

    private void readLine(CrontabParser.LineContext line, long sinceS) throws InvalidTableException {
        if (line.zone() != null) {
            try {
                zone = ZoneId.of(text(line.zone().zoneName()));
            } catch (DateTimeException e) {
                throw invalid(line.zone().zoneName(), "a time zone such as Asia/Tokyo is expected");
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
            addSchedule(line.entry(), sinceS);
        }
    }

    private static ObjectNode template(CrontabParser.JobContext job) throws InvalidTableException {
        ObjectNode out = Codec.map();
        for (CrontabParser.PairContext pair : job.pair()) {
            out.set(text(pair.name()), value(pair.value()));
        }
        return out;
    }

    private static JsonNode value(CrontabParser.ValueContext valueContext) throws InvalidTableException {
        if (valueContext.list() != null) {
            ArrayNode out = Codec.list();
            for (CrontabParser.ValueContext element : valueContext.list().value()) {
                out.add(value(element));
            }
            return out;
        }
        if (valueContext.LBRACE() != null) {
            ObjectNode out = Codec.map();
            for (CrontabParser.PairContext pair : valueContext.pair()) {
                out.set(text(pair.name()), value(pair.value()));
            }
            return out;
        }
        if (valueContext.TRUE() != null || valueContext.FALSE() != null) {
            return BooleanNode.valueOf(valueContext.TRUE() != null);
        }
        try {
            if (valueContext.INT() != null) {
                return LongNode.valueOf(Long.parseLong(valueContext.getText()));
            }
            return valueContext.NUMBER() != null
                    ? DoubleNode.valueOf(Double.parseDouble(valueContext.getText()))
                    : TextNode.valueOf(text(valueContext));
        } catch (NumberFormatException e) {
            throw invalid(valueContext, "a smaller number is expected");
        }
    }

    private void addSchedule(CrontabParser.EntryContext entryContext, long sinceS) throws InvalidTableException {
        String job = text(entryContext.name());
        ObjectNode template = findJobTemplate(entryContext, job);
        ObjectNode jobTemplate = template.deepCopy();
        if (!jobTemplate.has("owner")) {
            jobTemplate.put("owner", team);
        }
        Map<String, CrontabParser.OptionContext> options = readOptions(entryContext, jobTemplate);
        Schedule.Missed missed = readEnumOption(options.get("missed"), Schedule.Missed.class, Schedule.Missed.ONCE);
        Schedule.Overlap overlap =
                readEnumOption(options.get("overlap"), Schedule.Overlap.class, Schedule.Overlap.QUEUE);
        int maxMissedRuns = options.containsKey("most")
                ? readMaxMissedRuns(options.get("most").value())
                : 1;
        String idempotencyKey =
                options.containsKey("once_key") ? text(options.get("once_key").value()) : null;
        Expression expression = ExpressionReader.read(entryContext.when());
        String content = zone + "|" + calendar + "|" + nextBusinessDay + "|" + expression + "|" + job + "|"
                + jobTemplate + "|" + missed + "|" + overlap + "|" + idempotencyKey;
        Schedule schedule = new Schedule(
                name,
                uniqueId(content),
                entryContext.getStart().getLine(),
                expression,
                zone,
                calendar,
                nextBusinessDay,
                job,
                Schedule.substituteVariables(jobTemplate, settings),
                missed,
                maxMissedRuns,
                overlap,
                Schedule.substituteVariablesOrNull(idempotencyKey, settings),
                sinceS);
        validate(schedule, entryContext);
        schedules.add(schedule);
    }

    /** Returns the template of the job that the line names. Checks that job, zone and team are defined above the line. */
    private ObjectNode findJobTemplate(CrontabParser.EntryContext entryContext, String job)
            throws InvalidTableException {
        ObjectNode template = jobs.get(job);
        if (template == null) {
            throw invalid(
                    entryContext.name(),
                    jobs.isEmpty()
                            ? "a job line must define it above"
                            : "one of the jobs defined above is expected: "
                                    + String.join(", ", new TreeMap<>(jobs).keySet()));
        }
        if (zone == null) {
            throw invalid(entryContext, "a zone line is expected above");
        }
        if (team == null && !template.has("owner")) {
            throw invalid(entryContext, "a team line is expected above, or owner in the job");
        }
        return template;
    }

    /** Returns the options of the line that belong to the schedule. Sets the other ones as fields of the job, for this line only. */
    private static Map<String, CrontabParser.OptionContext> readOptions(
            CrontabParser.EntryContext entryContext, ObjectNode job) throws InvalidTableException {
        Map<String, CrontabParser.OptionContext> options = new HashMap<>();
        for (CrontabParser.OptionContext optionContext : entryContext.option()) {
            String option = text(optionContext.name());
            if (OPTIONS.contains(option)) {
                options.put(option, optionContext);
            } else {
                job.set(option, value(optionContext.value()));
            }
        }
        return options;
    }

    private static int readMaxMissedRuns(CrontabParser.ValueContext valueContext) throws InvalidTableException {
        if (valueContext.INT() == null
                || valueContext.getText().length() > MAX_MISSED_RUNS_DIGITS
                || Integer.parseInt(valueContext.getText()) > Schedule.MAX_MISSED_RUNS) {
            throw invalid(valueContext, "a number from 0 to " + Schedule.MAX_MISSED_RUNS + " is expected");
        }
        return Integer.parseInt(valueContext.getText());
    }

    /** Returns the id of a schedule, a hash of its content. A line with the same content as earlier lines adds a number to the hashed text. */
    private String uniqueId(String content) {
        String id = hexHash(content);
        for (int i = 2; !usedIds.add(id); i++) {
            id = hexHash(content + "|" + i);
        }
        return id.substring(0, Math.min(ID_LENGTH, id.length()));
    }

    private static String hexHash(String text) {
        return Schedule.hash(text).toString().replaceAll("[^0-9a-fA-F]", "");
    }

    private static void validate(Schedule schedule, CrontabParser.EntryContext entryContext)
            throws InvalidTableException {
        Instant since = Instant.ofEpochSecond(schedule.sinceS());
        try {
            schedule.job(since);
        } catch (MalformedMessageException e) {
            throw invalid(entryContext.name(), e.getMessage());
        }
        if (Occurrences.next(schedule, null, since) == null) {
            throw invalid(entryContext.when(), "it never comes");
        }
    }

    private static <T extends Enum<T>> T readEnumOption(
            CrontabParser.OptionContext optionContext, Class<T> type, T defaultValue) throws InvalidTableException {
        if (optionContext == null) {
            return defaultValue;
        }
        List<String> all = new ArrayList<>();
        for (T element : type.getEnumConstants()) {
            all.add(element.name().toLowerCase(Locale.ROOT));
            if (element.name().equalsIgnoreCase(text(optionContext.value()))) {
                return element;
            }
        }
        throw invalid(optionContext.value(), "one of " + String.join(", ", all) + " is expected");
    }
}
