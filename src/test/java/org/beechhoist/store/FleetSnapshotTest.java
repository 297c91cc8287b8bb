package org.beechhoist.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MalformedMessageException;
import org.junit.jupiter.api.Test;

class FleetSnapshotTest {
    private static FleetSnapshot.Machine machine(int i, SplittableRandom random) {
        Map<String, Double> images = new java.util.LinkedHashMap<>();
        for (int k = random.nextInt(8); k >= 0; k--) {
            images.put("img-" + random.nextInt(40), 0.1 * random.nextInt(1, 60));
        }
        return new FleetSnapshot.Machine(
                new MachineId(String.format("m-%06d", i)),
                "10.1." + i / 250 + "." + i % 250 + ":9000",
                i % 2 == 0 ? "kiln8" : "forge32",
                "zone-" + i % 4,
                i % 3 == 0,
                1 + i % 3,
                1_800_000_000_000L + 60_000L * i,
                images);
    }

    @Test
    void everyMachineComesBackAndEveryPartFits() throws MalformedMessageException {
        for (int n : new int[] {0, 1, 90, 1244, 15_000}) {
            SplittableRandom random = new SplittableRandom(n);
            List<FleetSnapshot.Machine> all = new ArrayList<>();
            int largest = 1;
            for (int i = 0; i < n; i++) {
                all.add(machine(i, random));
                largest = Math.max(largest, FleetSnapshot.bytes(all.get(i)));
            }
            int parts = FleetSnapshot.parts(n, largest, 8192);
            List<FleetSnapshot> read = new ArrayList<>();
            for (int p = 0; p < parts; p++) {
                int part = p;
                FleetSnapshot s = new FleetSnapshot(
                        p,
                        parts,
                        5,
                        all.stream()
                                .filter(m -> FleetSnapshot.partOf(m.id(), parts) == part)
                                .toList());
                assertTrue(
                        Codec.jsonBytes(s.toNode()) <= 8192,
                        Codec.jsonBytes(s.toNode()) + " bytes of part " + p + " of " + parts);
                read.add(FleetSnapshot.parse(Codec.decodeMap(Codec.encode(s.toNode()))));
            }
            assertEquals(all, new ArrayList<>(FleetSnapshot.merged(read).values()));
        }
    }

    @Test
    void whatIsTornOrForeignIsRefused() {
        SplittableRandom random = new SplittableRandom(3);
        FleetSnapshot s = new FleetSnapshot(0, 1, 5, List.of(machine(1, random), machine(2, random)));
        ObjectNode cut = s.toNode();
        ArrayNode hosts = (ArrayNode) cut.get("hosts");
        for (int i = 0; i < 7; i++) {
            hosts.remove(0);
        }
        assertThrows(MalformedMessageException.class, () -> FleetSnapshot.parse(cut), "a row is missing");
        assertThrows(
                MalformedMessageException.class,
                () -> FleetSnapshot.parse(s.toNode().put("at", 6)),
                "another part's time");
        assertThrows(
                MalformedMessageException.class,
                () -> FleetSnapshot.parse(s.toNode().put("v", 2)),
                "another version");
        assertThrows(
                MalformedMessageException.class,
                () -> FleetSnapshot.parse(Codec.map().put("garbage", 1)));
        assertThrows(MalformedMessageException.class, () -> FleetSnapshot.parse(null));
        ObjectNode words = s.toNode();
        words.putArray("words");
        assertThrows(MalformedMessageException.class, () -> FleetSnapshot.parse(words));
    }

    @Test
    void whatWasWrittenLastCounts() {
        SplittableRandom random = new SplittableRandom(4);
        FleetSnapshot.Machine old = machine(7, random);
        FleetSnapshot.Machine later =
                new FleetSnapshot.Machine(old.id(), "10.9.9.9:1", old.type(), old.zone(), old.spot(), 4, 0, Map.of());
        assertEquals(
                List.of(later),
                new ArrayList<>(FleetSnapshot.merged(List.of(
                                new FleetSnapshot(3, 4, 900, List.of(later)),
                                new FleetSnapshot(0, 1, 100, List.of(old))))
                        .values()));
    }
}
