package org.beechhoist.store;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MalformedMessageException;

/**
 * What a new leader needs of the machines before they speak, in parts of a value each: {@code fleet/<part>}. A machine's
 * part follows from its name and the number of parts. A hint, never a proof: nothing of it says what runs where.
 *
 * @param parts into how many the fleet was cut; a power of two
 * @param wallMs when it was written, by the time of day
 */
public record FleetSnapshot(int part, int parts, long wallMs, List<Machine> machines) {
    /** @param rentedWallMs 0 where that is not known; {@code images} those it should hold, with their sizes in GB */
    public record Machine(
            MachineId id,
            String address,
            String type,
            String zone,
            boolean spot,
            long epoch,
            long rentedWallMs,
            Map<String, Double> images) {}

    public static final String PREFIX = "fleet/";
    private static final int VERSION = 1;
    /** A row without its texts: marks, numbers and images' places. */
    private static final int ROW_BYTES = 44;

    private static final int HEAD_BYTES = 160;
    private static final int MAX_PARTS = 1024;
    private static final int ROW = 7;
    private static final char SIZE = '#';

    /** The key of a part. */
    public static String key(int part) {
        return PREFIX + String.format("%04d", part);
    }

    /** Into how many parts so many machines are cut: each well below a value's limit, for names spread unevenly. */
    public static int parts(int machines, int bytesEach, int valueBytes) {
        int most = Math.max(1, (valueBytes / 2 - HEAD_BYTES) / bytesEach);
        int count = 1;
        while (count < MAX_PARTS && count * most < machines) {
            count *= 2;
        }
        return count;
    }

    /** The part that holds the machine, if the fleet is cut into so many. */
    public static int partOf(MachineId id, int parts) {
        return (int) (Hashing.xxh3_64().hashCharsToLong(id.text()) & (parts - 1));
    }

    /** Bytes that a machine takes at most, in the form that limits count. */
    public static int bytes(Machine machine) {
        return ROW_BYTES + machine.id.text().length() + machine.address.length() + 5 * machine.images.size();
    }

    /** What is in it, whatever the time: a part that has not changed need not be written again. */
    public long contentHash() {
        return checksum(0);
    }

    private long checksum(long wall) {
        HashStream64 hash =
                Hashing.xxh3_64().hashStream().putInt(part).putInt(parts).putLong(wall);
        for (Machine machine : machines) {
            hash.putString(machine.id.text())
                    .putString(machine.address)
                    .putString(machine.type)
                    .putString(machine.zone)
                    .putBoolean(machine.spot)
                    .putLong(machine.epoch)
                    .putLong(machine.rentedWallMs / 1000);
            machine.images.forEach((image, gb) -> hash.putString(image).putDouble(gb));
        }
        return hash.getAsLong();
    }

    /** The part as it is stored, with a checksum of its content. */
    public ObjectNode toNode() {
        Map<String, Integer> words = new LinkedHashMap<>();
        ObjectNode node = Codec.map()
                .put("v", VERSION)
                .put("part", part)
                .put("parts", parts)
                .put("at", wallMs)
                .put("sum", Long.toHexString(checksum(wallMs)));
        ArrayNode rows = Codec.list();
        for (Machine machine : machines) {
            rows.add(machine.id.text())
                    .add(machine.address)
                    .add(wordIndex(words, machine.type))
                    .add(wordIndex(words, machine.zone))
                    .add(machine.spot ? 1 : 0)
                    .add(machine.rentedWallMs / 1000 + ":" + Long.toUnsignedString(machine.epoch));
            ArrayNode images = rows.addArray();
            // The same image may have another size in another job's words.
            machine.images.forEach((image, gb) -> images.add(wordIndex(words, image + SIZE + gb)));
        }
        ArrayNode texts = node.putArray("words");
        words.keySet().forEach(texts::add);
        node.set("hosts", rows);
        return node;
    }

    private static int wordIndex(Map<String, Integer> words, String text) {
        return words.computeIfAbsent(text, k -> words.size());
    }

    /** Refuses what another version wrote, and what is not whole. */
    public static FleetSnapshot parse(JsonNode node) throws MalformedMessageException {
        if (node == null || !node.isObject() || node.path("v").asInt() != VERSION) {
            throw new MalformedMessageException("v: " + VERSION + " expected");
        }
        JsonNode rows = node.path("hosts");
        JsonNode words = node.path("words");
        if (!rows.isArray() || rows.size() % ROW != 0 || !words.isArray()) {
            throw new MalformedMessageException("hosts: rows of " + ROW + " expected, with their words");
        }
        List<Machine> machines = new ArrayList<>();
        for (int first = 0; first < rows.size(); first += ROW) {
            machines.add(parseRow(rows, first, words));
        }
        FleetSnapshot snapshot = new FleetSnapshot(
                node.path("part").asInt(),
                (int) Codec.wholeNumber(node, "parts", 1, MAX_PARTS),
                node.path("at").asLong(),
                machines);
        if (!Long.toHexString(snapshot.checksum(snapshot.wallMs))
                .equals(node.path("sum").asText())) {
            throw new MalformedMessageException("sum: it is torn");
        }
        return snapshot;
    }

    private static Machine parseRow(JsonNode rows, int first, JsonNode words) throws MalformedMessageException {
        String[] times = rows.get(first + 5).asText().split(":");
        Map<String, Double> images = new LinkedHashMap<>();
        try {
            for (JsonNode place : rows.get(first + 6)) {
                String image = word(words, place);
                int size = image.lastIndexOf(SIZE);
                images.put(image.substring(0, size), Double.parseDouble(image.substring(size + 1)));
            }
            return new Machine(
                    new MachineId(rows.get(first).asText()),
                    rows.get(first + 1).asText(),
                    word(words, rows.get(first + 2)),
                    word(words, rows.get(first + 3)),
                    rows.get(first + 4).asInt() == 1,
                    Long.parseUnsignedLong(times[1]),
                    1000 * Long.parseLong(times[0]),
                    images);
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            throw new MalformedMessageException("hosts: row " + first / ROW + " has no times or sizes");
        }
    }

    private static String word(JsonNode words, JsonNode place) throws MalformedMessageException {
        if (!place.isInt() || !words.path(place.asInt()).isTextual()) {
            throw new MalformedMessageException("words: place " + place + " of " + words.size());
        }
        return words.get(place.asInt()).textValue();
    }

    /** The machines of all parts; of one that stands in two, for the fleet was cut anew, what was written last. */
    public static Map<MachineId, Machine> merged(List<FleetSnapshot> parts) {
        Map<MachineId, Machine> out = new TreeMap<>();
        List<FleetSnapshot> byTime = new ArrayList<>(parts);
        byTime.sort((a, b) -> Long.compare(a.wallMs, b.wallMs));
        byTime.forEach(s -> s.machines.forEach(m -> out.put(m.id, m)));
        return out;
    }
}
