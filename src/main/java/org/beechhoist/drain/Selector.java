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
 * Which machines: by name, or all that were rented before the drain began and are of a type, a zone, a kind, an age, or a share of
 * them. A function of the machine and the record alone, so that every leader finds the same ones.
 *
 * @param names empty: not by name
 * @param spot null: both kinds
 * @param share of the machines that fit else, drawn by a hash of their names: about that many
 */
public record Selector(Set<String> names, String type, String zone, Boolean spot, long olderThanS, double share) {
    public static final int MOST_NAMES = 100;
    private static final long LONGEST_S = 366L * 86_400;
    private static final double LEAST_SHARE = 0.001;
    private static final double HASHES = 4294967296.0;

    /** @param rentedWallMs by the time of day; 0: not known */
    public record Machine(MachineId id, String type, String zone, boolean spot, long rentedWallMs) {}

    /** @param atMs when the drain was put, by the time of day */
    public boolean matches(Machine machine, long atMs) {
        if (!names.isEmpty()) {
            return names.contains(machine.id.text());
        }
        boolean old = machine.rentedWallMs > 0 && machine.rentedWallMs < atMs - 1000 * olderThanS;
        return old
                && (type == null || type.equals(machine.type))
                && (zone == null || zone.equals(machine.zone))
                && (spot == null || spot == machine.spot)
                && (share >= 1
                        || Integer.toUnsignedLong(Hashing.murmur3_32().hashCharsToInt(machine.id.text()))
                                < share * HASHES);
    }

    public static Selector parse(JsonNode node) throws MalformedMessageException {
        Set<String> names = new TreeSet<>();
        if (!Codec.isAbsent(node, "machines")) {
            names.addAll(Codec.textList(node.get("machines"), "machines"));
            if (names.isEmpty() || names.size() > MOST_NAMES) {
                throw new MalformedMessageException(
                        "machines = " + names.size() + " names: 1 to " + MOST_NAMES + " are expected");
            }
        }
        String type = Fields.text(node, "type");
        String zone = Fields.text(node, "zone");
        Boolean spot = Codec.isAbsent(node, "spot") ? null : Boolean.valueOf(Fields.flag(node, "spot"));
        long older = Fields.count(node, "olderThanS", 0, 0, LONGEST_S);
        double share = Fields.number(node, "share", 1, LEAST_SHARE, 1);
        boolean all = Fields.flag(node, "all");
        boolean some = type != null || zone != null || spot != null || older > 0 || share < 1;
        if (names.isEmpty() ? !all && !some : all || some) {
            throw new MalformedMessageException(
                    "machines, type, zone, spot, olderThanS, share, all: names alone, or some of the others, or all = true are expected");
        }
        return new Selector(names, type, zone, spot, older, share);
    }

    public void into(ObjectNode node) {
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
