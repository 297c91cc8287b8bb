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
 * One line of a cron table: when it runs and what job it makes.
 *
 * @param id follows from what the line says and not from where it stands, so that a table's new version goes on where
 *     the old one was
 * @param since occurrences after this moment count, in seconds since 1970
 */
public record Entry(
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
        int mostMissed,
        Overlap overlap,
        String onceKey,
        long since) {
    /** What becomes of occurrences at which the service was down. */
    public enum Missed {
        ONCE,
        NONE,
        ALL
    }

    /** What becomes of an occurrence whose schedule's last run is not over. */
    public enum Overlap {
        QUEUE,
        SKIP,
        REPLACE
    }

    public static final int MOST_MISSED = 100;
    private static final Pattern VARIABLE = Pattern.compile("\\{([A-Za-z_][A-Za-z0-9_]*)}");

    public Entry at(long sinceS) {
        return new Entry(
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
                mostMissed,
                overlap,
                onceKey,
                sinceS);
    }

    /** The ref of the job that an occurrence makes; the same whoever makes it, and whenever. */
    public JobId ref(Instant at) {
        return new JobId("job-"
                + new BigInteger(
                        1, hash(table + "\n" + id + "\n" + at.getEpochSecond()).toByteArray()));
    }

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

    private static String filled(String text, Map<String, String> variables) {
        Matcher matcher = VARIABLE.matcher(text);
        StringBuilder out = new StringBuilder();
        while (matcher.find()) {
            matcher.appendReplacement(
                    out, Matcher.quoteReplacement(variables.getOrDefault(matcher.group(1), matcher.group())));
        }
        return matcher.appendTail(out).toString();
    }

    /** The job of one occurrence, as a user would submit it. */
    public JobSpec job(Instant at) throws MalformedMessageException {
        Map<String, String> variables = variables(at);
        ObjectNode node = JobSpec.withDefaults(template);
        template.fields().forEachRemaining(entry -> {
            if (entry.getValue().isTextual()) {
                node.set(
                        entry.getKey(), TextNode.valueOf(filled(entry.getValue().textValue(), variables)));
            }
        });
        node.put("ref", ref(at).text());
        if (onceKey != null) {
            node.put("onceKey", filled(onceKey, variables));
        }
        return JobSpec.parse(node)
                .withOrigin(table + ", line " + line + ", " + at.atZone(zone).toOffsetDateTime());
    }

    public ObjectNode toNode() {
        ObjectNode node = expression
                .toNode()
                .put("id", id)
                .put("line", line)
                .put("zone", zone.getId())
                .put("job", jobName)
                .put("missed", missed.name().toLowerCase(Locale.ROOT))
                .put("most", mostMissed)
                .put("overlap", overlap.name().toLowerCase(Locale.ROOT))
                .put("since", since);
        if (calendar != null) {
            node.put("calendar", calendar).put("next", nextBusinessDay);
        }
        if (onceKey != null) {
            node.put("once", onceKey);
        }
        node.set("template", template);
        return node;
    }

    public static Entry parse(String table, JsonNode node) throws MalformedMessageException {
        try {
            return new Entry(
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
                    (int) Codec.wholeNumber(node, "most", 0, MOST_MISSED),
                    Overlap.valueOf(Codec.text(node, "overlap").toUpperCase(Locale.ROOT)),
                    node.path("once").textValue(),
                    Codec.wholeNumber(node, "since", 0, Long.MAX_VALUE));
        } catch (DateTimeException | IllegalArgumentException | ClassCastException e) {
            throw new MalformedMessageException("not a schedule: " + e.getMessage());
        }
    }

    /** Fills the table's own variables in, once, when it is read. */
    static ObjectNode filled(ObjectNode template, Map<String, String> settings) {
        ObjectNode out = template.deepCopy();
        Map<String, String> known = new TreeMap<>(settings);
        template.fields().forEachRemaining(entry -> {
            if (entry.getValue().isTextual()) {
                out.put(entry.getKey(), filled(entry.getValue().textValue(), known));
            }
        });
        return out;
    }

    static String filledText(String text, Map<String, String> settings) {
        return text == null ? null : filled(text, settings);
    }
}
