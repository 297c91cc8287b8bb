package org.beechhoist.drain;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import java.util.TreeSet;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MalformedMessageException;

/**
 * Selects the machines of a drain: by name, or all that were rented before the drain was requested and have a type, a zone, a kind or an
 * age, or a share of those. The result depends only on the machine and the record, so that every leader selects the same machines.
 *
 * @param names the names of the machines; empty: selected by the other criteria
 * @param type the machine type; null: any
 * @param zone the zone; null: any
 * @param spot whether spot machines or the others are selected; null: both
 * @param olderThanS minimum age of a machine at the time of the request, in seconds
 * @param share the approximate share of the matching machines that is selected, by a hash of their names
 */
public record Selector(Set<String> names, String type, String zone, Boolean spot, long olderThanS, double share) {
    /** Largest number of machines that can be selected by name. */
    public static final int MAX_NAMES = 100;

    private static final long MAX_AGE_S = 366L * 86_400;
    private static final double MIN_SHARE = 0.001;
    /** Number of different hash values. */
    private static final double HASH_VALUE_COUNT = 4294967296.0;

    private static final long MS_PER_S = 1000;

    /**
     * The properties of a machine by which it is selected.
     *
     * @param id the machine
     * @param type its machine type
     * @param zone its zone
     * @param spot whether it is a spot machine
     * @param rentedWallMs time of its rental, in wall clock time; 0: not known
     */
    public record MachineProperties(MachineId id, String type, String zone, boolean spot, long rentedWallMs) {}

    /**
     * Returns whether the machine is selected.
     *
     * @param machine the machine
     * @param atMs time of the drain's request, in wall clock time
     */
    public boolean matches(MachineProperties machine, long atMs) {
        if (!names.isEmpty()) {
            return names.contains(machine.id.text());
        }
        boolean oldEnough = machine.rentedWallMs > 0 && machine.rentedWallMs < atMs - MS_PER_S * olderThanS;
        return oldEnough
                && (type == null || type.equals(machine.type))
                && (zone == null || zone.equals(machine.zone))
                && (spot == null || spot == machine.spot)
                && (share >= 1
                        || Integer.toUnsignedLong(Hashing.murmur3_32().hashCharsToInt(machine.id.text()))
                                < share * HASH_VALUE_COUNT);
    }

    /** Reads the selector from a request or a stored drain. */
    public static Selector parse(JsonNode node) throws MalformedMessageException {
        Set<String> names = new TreeSet<>();
        if (!Codec.isAbsent(node, "machines")) {
            names.addAll(Codec.textList(node.get("machines"), "machines"));
            if (names.isEmpty() || names.size() > MAX_NAMES) {
                throw new MalformedMessageException(
                        "machines = " + names.size() + " names: 1 to " + MAX_NAMES + " are expected");
            }
        }
        String type = Fields.optionalName(node, "type");
        String zone = Fields.optionalName(node, "zone");
        Boolean spot = Codec.isAbsent(node, "spot") ? null : Boolean.valueOf(Fields.bool(node, "spot"));
        long minAgeS = Fields.wholeNumber(node, "olderThanS", 0, 0, MAX_AGE_S);
        double share = Fields.number(node, "share", 1, MIN_SHARE, 1);
        boolean all = Fields.bool(node, "all");
        boolean hasCriteria = type != null || zone != null || spot != null || minAgeS > 0 || share < 1;
        if (names.isEmpty() ? !all && !hasCriteria : all || hasCriteria) {
            throw new MalformedMessageException(
                    "machines, type, zone, spot, olderThanS, share, all: names alone, or some of the others, or all = true are expected");
        }
        return new Selector(names, type, zone, spot, minAgeS, share);
    }

    /** Writes the selector into the stored form of a drain or into a reply. */
    public void writeTo(ObjectNode node) {
        if (!names.isEmpty()) {
            ArrayNode list = node.putArray("machines");
            names.forEach(list::add);
            return;
        }
        node.put("type", type).put("zone", zone).put("spot", spot);
        if (olderThanS > 0) {
            node.put("olderThanS", olderThanS);
        }
        if (share < 1) {
            node.put("share", share);
        }
        if (type == null && zone == null && spot == null && olderThanS == 0 && share >= 1) {
            node.put("all", true);
        }
    }
}
