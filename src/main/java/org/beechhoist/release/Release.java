package org.beechhoist.release;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/**
 * What a maker has promised to ship, as the state service holds it: {@code rl/set/NAME}.
 *
 * @param ship by the clock of the factory's zone
 * @param leadDays business days of {@code calendar} that the factory needs before it; all days where there is no calendar
 * @param team whose jobs count for it, and {@code jobClass} and {@code image}; null: any. With none of them only jobs that name it
 * @param dueMs the factory moment, by the time of day: computed when it was put or moved, so that all nodes have the same
 * @param changeNumber of its last change; it only grows
 * @param history the oldest first
 */
public record Release(
        String name,
        String maker,
        String factory,
        LocalDateTime ship,
        ZoneId zone,
        int leadDays,
        String calendar,
        String team,
        String jobClass,
        String image,
        long dueMs,
        long changeNumber,
        boolean removed,
        List<HistoryEntry> history) {
    public static final int MAX_LEAD_DAYS = 60;
    private static final int MOST_HISTORY = 20;
    private static final int MOST_TEXT = 120;
    private static final int LONGEST_BACK_DAYS = 400;
    private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}";

    /** One change: who moved which date when, and why. */
    public record HistoryEntry(String action, String author, long atMs, String reason, String from, String to) {}

    /** Whether the text can be a release's name. */
    public static boolean isValidName(String name) {
        return name.matches(NAME);
    }

    /** The moment by which the factory needs the images: the ship date less its lead, at the same hour by the clock there. */
    public static long computeDueMs(LocalDateTime ship, ZoneId zone, int leadDays, Predicate<LocalDate> open)
            throws MalformedMessageException {
        LocalDate day = ship.toLocalDate();
        int left = leadDays;
        for (int i = 0; left > 0; i++) {
            if (i == LONGEST_BACK_DAYS) {
                throw new MalformedMessageException("leadDays = " + leadDays
                        + ": the calendar has not so many business days before " + ship.toLocalDate());
            }
            day = day.minusDays(1);
            left -= open.test(day) ? 1 : 0;
        }
        // An hour that the clocks leave out is the one after it; of an hour that comes twice it is the first.
        return LocalDateTime.of(day, ship.toLocalTime())
                .atZone(zone)
                .toInstant()
                .toEpochMilli();
    }

    /** What a person puts: checked, without the moment, which needs the calendar. */
    public static Release parseDescription(String name, JsonNode node) throws MalformedMessageException {
        if (!isValidName(name)) {
            throw new MalformedMessageException(
                    "name = " + name + ": 1 to 64 letters, digits, dots, dashes and underlines are expected");
        }
        LocalDateTime ship = parseDateTime("ship", Codec.text(node, "ship"));
        ZoneId zone;
        try {
            zone = ZoneId.of(Codec.text(node, "zone"));
        } catch (DateTimeException e) {
            throw new MalformedMessageException(
                    "zone = " + node.path("zone").asText() + ": a zone such as Asia/Tokyo is expected");
        }
        int lead = Codec.isAbsent(node, "leadDays") ? 0 : (int) Codec.wholeNumber(node, "leadDays", 0, MAX_LEAD_DAYS);
        return new Release(
                name,
                text(node, "maker"),
                Codec.isAbsent(node, "factory") ? "" : text(node, "factory"),
                ship,
                zone,
                lead,
                optional(node, "calendar"),
                optional(node, "team"),
                optional(node, "class"),
                optional(node, "bundle"),
                0,
                0,
                false,
                List.of());
    }

    /**
     * Reads a date and time without a zone.
     *
     * @param field names it in the exception's message
     */
    public static LocalDateTime parseDateTime(String field, String text) throws MalformedMessageException {
        try {
            return LocalDateTime.parse(text);
        } catch (DateTimeParseException e) {
            throw new MalformedMessageException(
                    field + " = " + text + ": a date and time such as 2026-12-20T17:00 is expected");
        }
    }

    private static String optional(JsonNode node, String field) throws MalformedMessageException {
        return Codec.isAbsent(node, field) ? null : text(node, field);
    }

    private static String text(JsonNode node, String field) throws MalformedMessageException {
        String text = Codec.text(node, field);
        if (text.isBlank() || text.length() > MOST_TEXT) {
            throw new MalformedMessageException(
                    field + " = " + text + ": 1 to " + MOST_TEXT + " characters are expected");
        }
        return text;
    }

    /** The change of this release that makes it what is described, and its moment; {@code before} is null for the first. */
    public Release withPut(Release before, long due, String who, long atMs, String why) {
        return change(before, this, due, before == null || before.removed ? "put" : "put again", who, atMs, why);
    }

    /** The release with another ship date, and the change in its history. */
    public Release withShipDate(LocalDateTime to, long due, String who, long atMs, String why) {
        Release next = new Release(
                name,
                maker,
                factory,
                to,
                zone,
                leadDays,
                calendar,
                team,
                jobClass,
                image,
                due,
                changeNumber,
                false,
                history);
        return change(this, next, due, "moved", who, atMs, why);
    }

    /** The removed release, and the change in its history. */
    public Release withRemoval(String who, long atMs, String why) {
        Release out = change(this, this, dueMs, "removed", who, atMs, why);
        return new Release(
                name,
                maker,
                factory,
                ship,
                zone,
                leadDays,
                calendar,
                team,
                jobClass,
                image,
                dueMs,
                out.changeNumber,
                true,
                out.history);
    }

    private static Release change(
            Release before, Release to, long due, String what, String who, long atMs, String why) {
        List<HistoryEntry> past = new ArrayList<>(before == null ? List.of() : before.history);
        past.add(new HistoryEntry(
                what, who, atMs, why, before == null ? "" : before.ship.toString(), to.ship.toString()));
        List<HistoryEntry> kept = past.subList(Math.max(0, past.size() - MOST_HISTORY), past.size());
        return new Release(
                to.name,
                to.maker,
                to.factory,
                to.ship,
                to.zone,
                to.leadDays,
                to.calendar,
                to.team,
                to.jobClass,
                to.image,
                due,
                before == null ? 1 : before.changeNumber + 1,
                false,
                List.copyOf(kept));
    }

    /** The release as it is stored and answered. */
    public ObjectNode toNode() {
        ObjectNode node = Codec.map()
                .put("name", name)
                .put("maker", maker)
                .put("factory", factory)
                .put("ship", ship.toString())
                .put("zone", zone.getId())
                .put("leadDays", leadDays)
                .put("calendar", calendar)
                .put("team", team)
                .put("class", jobClass)
                .put("bundle", image)
                .put("due", dueMs)
                .put("number", changeNumber)
                .put("removed", removed);
        ArrayNode past = node.putArray("history");
        history.forEach(earlier -> past.addObject()
                .put("what", earlier.action)
                .put("who", earlier.author)
                .put("at", earlier.atMs)
                .put("why", earlier.reason)
                .put("from", earlier.from)
                .put("to", earlier.to));
        return node;
    }

    /** Reads a stored release. */
    public static Release parse(JsonNode node) throws MalformedMessageException {
        if (node == null) {
            throw new MalformedMessageException("not a release");
        }
        Release release = parseDescription(
                Codec.text(node, "name"),
                node.path("factory").asText().isEmpty() ? ((ObjectNode) node.deepCopy()).putNull("factory") : node);
        List<HistoryEntry> history = new ArrayList<>();
        for (JsonNode earlier : node.path("history")) {
            history.add(new HistoryEntry(
                    Codec.text(earlier, "what"),
                    Codec.text(earlier, "who"),
                    earlier.path("at").asLong(),
                    Codec.text(earlier, "why"),
                    Codec.text(earlier, "from"),
                    Codec.text(earlier, "to")));
        }
        return new Release(
                release.name,
                release.maker,
                release.factory,
                release.ship,
                release.zone,
                release.leadDays,
                release.calendar,
                release.team,
                release.jobClass,
                release.image,
                node.path("due").asLong(),
                Codec.wholeNumber(node, "number", 1, Long.MAX_VALUE),
                node.path("removed").asBoolean(),
                history);
    }
}
