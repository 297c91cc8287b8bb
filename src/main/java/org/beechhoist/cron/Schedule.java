package org.beechhoist.cron;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.math.BigInteger;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MalformedMessageException;

/**
 * A schedule, which is one line of a cron table: when it runs and which job it submits.
 *
 * @param table the name of the table
 * @param id the identity of the schedule, which depends on the content of the line and not on its position, so that an unchanged line
 *     keeps its cursor in a new version of the table
 * @param line the number of the line in the table
 * @param expression the five fields of the line
 * @param zone the time zone of the line
 * @param calendar the name of the calendar, or null
 * @param nextBusinessDay whether an occurrence on a closed day moves to the next open day; otherwise it is skipped
 * @param jobName the name of the job in the table
 * @param template the fields of the job
 * @param missed the policy for missed occurrences
 * @param maxMissedRuns maximum number of missed occurrences that run under {@link Missed#ALL}
 * @param overlap the policy for an occurrence whose previous run has not ended
 * @param idempotencyKey the job's idempotency key, with variables, or null
 * @param sinceS occurrences after this time run, in seconds since 1970
 */
public record Schedule(
        String table,
        String id,
        int line,
        Expression expression,
        ZoneId zone,
        String calendar,
        boolean nextBusinessDay,
        String jobName,
        ObjectNode template,
        Missed missed,
        int maxMissedRuns,
        Overlap overlap,
        String idempotencyKey,
        long sinceS) {
    /** Policy for occurrences during which no leader was running; the names are stored in lower case. */
    public enum Missed {
        /** One run replaces all missed occurrences. */
        ONCE,
        /** Missed occurrences are skipped. */
        NONE,
        /** The latest missed occurrences are run, up to a limit. */
        ALL
    }

    /** Policy for an occurrence whose previous run has not ended; the names are stored in lower case. */
    public enum Overlap {
        /** The occurrence waits until the previous run has ended. */
        QUEUE,
        /** The occurrence is skipped. */
        SKIP,
        /** The previous run is cancelled before the occurrence runs. */
        REPLACE
    }

    /** Upper limit of {@code maxMissedRuns}. */
    public static final int MAX_MISSED_RUNS = 100;

    private static final Pattern VARIABLE = Pattern.compile("\\{([A-Za-z_][A-Za-z0-9_]*)}");

    /** Returns this schedule with another time after which its occurrences run. */
    public Schedule withSince(long sinceS) {
        return new Schedule(
                table,
                id,
                line,
                expression,
                zone,
                calendar,
                nextBusinessDay,
                jobName,
                template,
                missed,
                maxMissedRuns,
                overlap,
                idempotencyKey,
                sinceS);
    }

    /** Returns the id of the job that an occurrence submits; it is the same on every node and at any time. */
    public JobId jobId(Instant at) {
        return new JobId("job-"
                + new BigInteger(
                        1, hash(table + "\n" + id + "\n" + at.getEpochSecond()).toByteArray()));
    }

    /** Returns the hash from which the ids of schedules and jobs are derived. */
    public static HashValue128 hash(String text) {
        return Hashing.murmur3_128().hashCharsTo128Bits(text);
    }

    private Map<String, String> variables(Instant at) {
        LocalDateTime local = LocalDateTime.ofInstant(at, zone);
        return Map.of(
                "date",
                local.toLocalDate().toString(),
                "time",
                local.format(DateTimeFormatter.ofPattern("HHmm")),
                "table",
                table,
                "line",
                Integer.toString(line),
                "job",
                jobName);
    }

    private static String substituteVariables(String text, Map<String, String> variables) {
        Matcher matcher = VARIABLE.matcher(text);
        StringBuilder out = new StringBuilder();
        while (matcher.find()) {
            matcher.appendReplacement(
                    out, Matcher.quoteReplacement(variables.getOrDefault(matcher.group(1), matcher.group())));
        }
        return matcher.appendTail(out).toString();
    }

    /** Returns the job of one occurrence, as a user would submit it. */
    public JobSpec job(Instant at) throws MalformedMessageException {
        Map<String, String> variables = variables(at);
        ObjectNode node = JobSpec.withDefaults(template);
        template.fields().forEachRemaining(entry -> {
            if (entry.getValue().isTextual()) {
                node.set(
                        entry.getKey(),
                        TextNode.valueOf(substituteVariables(entry.getValue().textValue(), variables)));
            }
        });
        node.put("ref", jobId(at).text());
        if (idempotencyKey != null) {
            node.put("onceKey", substituteVariables(idempotencyKey, variables));
        }
        return JobSpec.parse(node)
                .withOrigin(table + ", line " + line + ", " + at.atZone(zone).toOffsetDateTime());
    }

    /** Returns the stored form. */
    public ObjectNode toNode() {
        ObjectNode node = expression
                .toNode()
                .put("id", id)
                .put("line", line)
                .put("zone", zone.getId())
                .put("job", jobName)
                .put("missed", missed.name().toLowerCase(Locale.ROOT))
                .put("most", maxMissedRuns)
                .put("overlap", overlap.name().toLowerCase(Locale.ROOT))
                .put("since", sinceS);
        if (calendar != null) {
            node.put("calendar", calendar).put("next", nextBusinessDay);
        }
        if (idempotencyKey != null) {
            node.put("once", idempotencyKey);
        }
        node.set("template", template);
        return node;
    }

    /** Reads the stored form. */
    public static Schedule parse(String table, JsonNode node) throws MalformedMessageException {
        try {
            return new Schedule(
                    table,
                    Codec.text(node, "id"),
                    (int) Codec.wholeNumber(node, "line", 1, Integer.MAX_VALUE),
                    Expression.parse(node),
                    ZoneId.of(Codec.text(node, "zone")),
                    node.path("calendar").textValue(),
                    node.path("next").asBoolean(),
                    Codec.text(node, "job"),
                    (ObjectNode) node.get("template"),
                    Missed.valueOf(Codec.text(node, "missed").toUpperCase(Locale.ROOT)),
                    (int) Codec.wholeNumber(node, "most", 0, MAX_MISSED_RUNS),
                    Overlap.valueOf(Codec.text(node, "overlap").toUpperCase(Locale.ROOT)),
                    node.path("once").textValue(),
                    Codec.wholeNumber(node, "since", 0, Long.MAX_VALUE));
        } catch (DateTimeException | IllegalArgumentException | ClassCastException e) {
            throw new MalformedMessageException("not a schedule: " + e.getMessage());
        }
    }

    /** Replaces the variables that the table defines in the template. The table's reader calls this once per schedule. */
    static ObjectNode substituteVariables(ObjectNode template, Map<String, String> settings) {
        ObjectNode out = template.deepCopy();
        Map<String, String> known = new TreeMap<>(settings);
        template.fields().forEachRemaining(entry -> {
            if (entry.getValue().isTextual()) {
                out.put(entry.getKey(), substituteVariables(entry.getValue().textValue(), known));
            }
        });
        return out;
    }

    static String substituteVariablesOrNull(String text, Map<String, String> settings) {
        return text == null ? null : substituteVariables(text, settings);
    }
}
