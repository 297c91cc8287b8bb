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
 * A shipment that a maker has promised, as stored in the state service under {@code rl/set/NAME}.
 *
 * @param ship the ship date and time in the factory's time zone
 * @param leadDays business days of {@code calendar} that the factory needs before the ship date; all days count if there is no
 *     calendar
 * @param team the team whose jobs belong to the release; null matches any, likewise for {@code jobClass} and {@code image}. If all
 *     three are null, only jobs that name the release belong to it
 * @param dueMs wall-clock time at which the factory needs the images, computed when the release is put or moved, so that all nodes
 *     use the same value
 * @param changeNumber the number of the last change; it only increases
 * @param history the changes, oldest first
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
    /** Maximum lead in days. */
    public static final int MAX_LEAD_DAYS = 60;

    private static final int MAX_HISTORY_COUNT = 20;
    private static final int MAX_TEXT_LENGTH = 120;
    private static final int MAX_LOOKBACK_DAYS = 400;
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}";

    /** One change of a release: action, author, time, reason, and the ship date before and after. */
    public record HistoryEntry(String action, String author, long atMs, String reason, String from, String to) {}

    /** Returns whether the text is a valid name of a release. */
    public static boolean isValidName(String name) {
        return name.matches(NAME_PATTERN);
    }

    /** Computes when the factory needs the images: the ship date minus the lead days, at the same local time. */
    public static long computeDueMs(LocalDateTime ship, ZoneId zone, int leadDays, Predicate<LocalDate> open)
            throws MalformedMessageException {
        LocalDate day = ship.toLocalDate();
        int remainingDays = leadDays;
        for (int i = 0; remainingDays > 0; i++) {
            if (i == MAX_LOOKBACK_DAYS) {
                throw new MalformedMessageException("leadDays = " + leadDays
                        + ": the calendar has not so many business days before " + ship.toLocalDate());
            }
            day = day.minusDays(1);
            remainingDays -= open.test(day) ? 1 : 0;
        }
        // A local time in a daylight saving gap becomes the one after the gap; in an overlap it is the earlier one.
        return LocalDateTime.of(day, ship.toLocalTime())
                .atZone(zone)
                .toInstant()
                .toEpochMilli();
    }

    /** Parses and checks a release from a request; its due time is not set, because that needs the calendar. */
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
        int leadDays =
                Codec.isAbsent(node, "leadDays") ? 0 : (int) Codec.wholeNumber(node, "leadDays", 0, MAX_LEAD_DAYS);
        return new Release(
                name,
                text(node, "maker"),
                Codec.isAbsent(node, "factory") ? "" : text(node, "factory"),
                ship,
                zone,
                leadDays,
                optionalText(node, "calendar"),
                optionalText(node, "team"),
                optionalText(node, "class"),
                optionalText(node, "bundle"),
                0,
                0,
                false,
                List.of());
    }

    /**
     * Reads a date and time without a zone.
     *
     * @param field the field name for the exception's message
     */
    public static LocalDateTime parseDateTime(String field, String text) throws MalformedMessageException {
        try {
            return LocalDateTime.parse(text);
        } catch (DateTimeParseException e) {
            throw new MalformedMessageException(
                    field + " = " + text + ": a date and time such as 2026-12-20T17:00 is expected");
        }
    }

    private static String optionalText(JsonNode node, String field) throws MalformedMessageException {
        return Codec.isAbsent(node, field) ? null : text(node, field);
    }

    private static String text(JsonNode node, String field) throws MalformedMessageException {
        String text = Codec.text(node, field);
        if (text.isBlank() || text.length() > MAX_TEXT_LENGTH) {
            throw new MalformedMessageException(
                    field + " = " + text + ": 1 to " + MAX_TEXT_LENGTH + " characters are expected");
        }
        return text;
    }

    /** Returns this release with the due time and the history of {@code before}, null for the first, plus the change. */
    public Release withPut(Release before, long newDueMs, String author, long atMs, String reason) {
        return withChange(
                before, this, newDueMs, before == null || before.removed ? "put" : "put again", author, atMs, reason);
    }

    /** Returns the release with another ship date, and the change added to its history. */
    public Release withShipDate(LocalDateTime to, long newDueMs, String author, long atMs, String reason) {
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
                newDueMs,
                changeNumber,
                false,
                history);
        return withChange(this, next, newDueMs, "moved", author, atMs, reason);
    }

    /** Returns the release marked as removed, and the change added to its history. */
    public Release withRemoval(String author, long atMs, String reason) {
        Release changed = withChange(this, this, dueMs, "removed", author, atMs, reason);
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
                changed.changeNumber,
                true,
                changed.history);
    }

    private static Release withChange(
            Release before, Release to, long newDueMs, String action, String author, long atMs, String reason) {
        List<HistoryEntry> entries = new ArrayList<>(before == null ? List.of() : before.history);
        entries.add(new HistoryEntry(
                action, author, atMs, reason, before == null ? "" : before.ship.toString(), to.ship.toString()));
        List<HistoryEntry> kept = entries.subList(Math.max(0, entries.size() - MAX_HISTORY_COUNT), entries.size());
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
                newDueMs,
                before == null ? 1 : before.changeNumber + 1,
                false,
                List.copyOf(kept));
    }

    /** Returns the form of the release that is stored and sent to clients. */
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
        ArrayNode entries = node.putArray("history");
        history.forEach(earlier -> entries.addObject()
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
