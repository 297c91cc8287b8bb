package org.beechhoist.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ContainerNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Hands controllers answers and reports of which one field is missing or has a wrong type. A malformed message is
 * refused or left out; the simulation fails on any unexpected exception in a controller.
 */
class MalformedMessagesTest {
    private static final long DAMAGE_UNTIL_MS = 90_000;
    private static final long DRAIN_MS = 240_000;
    private static final double ANSWER_SHARE = 0.05;
    private static final double REPORT_SHARE = 0.3;
    private static final String STORED_RECORD = "data";

    /** Damages a share of messages: one field or element each. */
    private static final class WrongField implements Damage {
        private final World world;
        private final SplittableRandom random;
        private int damaged;

        WrongField(World world, long seed) {
            this.world = world;
            this.random = new SplittableRandom(seed);
        }

        private boolean isDamaged(double share) {
            return world.now < DAMAGE_UNTIL_MS && random.nextDouble() < share;
        }

        @Override
        public CallResult ofResult(CallResult result) {
            if (result.body() == null || !isDamaged(ANSWER_SHARE)) {
                return result;
            }
            damaged++;
            return new CallResult(result.kind(), result.status(), damage(result.body()));
        }

        @Override
        public byte[] ofBody(String path, byte[] body) {
            if (!path.equals("/checkin") || !isDamaged(REPORT_SHARE)) {
                return body;
            }
            try {
                damaged++;
                return Codec.encode(damage(Codec.decodeMap(body)));
            } catch (MalformedMessageException e) {
                throw new IllegalStateException(e);
            }
        }

        private JsonNode damage(JsonNode message) {
            JsonNode copy = message.deepCopy();
            List<ContainerNode<?>> containers = new ArrayList<>();
            collect(copy, containers);
            containers.removeIf(JsonNode::isEmpty);
            if (containers.isEmpty()) {
                return copy;
            }
            ContainerNode<?> chosen = containers.get(random.nextInt(containers.size()));
            if (chosen instanceof ObjectNode map) {
                List<String> names = new ArrayList<>();
                map.fieldNames().forEachRemaining(names::add);
                String name = names.get(random.nextInt(names.size()));
                JsonNode wrong = name.equals(STORED_RECORD) ? null : wrongValue();
                if (wrong == null) {
                    map.remove(name);
                } else {
                    map.set(name, wrong);
                }
            } else if (chosen instanceof ArrayNode list) {
                JsonNode wrong = wrongValue();
                list.set(random.nextInt(list.size()), wrong == null ? Codec.map() : wrong);
            }
            return copy;
        }

        /** Collects what may be damaged: not stored records, for whose contents the controllers themselves answer. */
        private static void collect(JsonNode node, List<ContainerNode<?>> out) {
            if (node instanceof ArrayNode list) {
                out.add(list);
                list.forEach(child -> collect(child, out));
            } else if (node instanceof ObjectNode map) {
                out.add(map);
                map.fields().forEachRemaining(field -> {
                    if (!field.getKey().equals(STORED_RECORD)) {
                        collect(field.getValue(), out);
                    }
                });
            }
        }

        /** Returns a value of a type that no field expects everywhere, or null where the field is to be missing. */
        private JsonNode wrongValue() {
            ObjectNode values = Codec.map()
                    .putNull("null")
                    .put("text", "x/y z")
                    .put("empty", "")
                    .put("negative", -1)
                    .put("fraction", 0.5)
                    .put("infinite", Double.POSITIVE_INFINITY)
                    .put("flag", true);
            values.putArray("list").add(1).add("a").addNull();
            values.putObject("map").put("a", 1);
            int index = random.nextInt(values.size() + 1);
            int position = 0;
            for (JsonNode value : values) {
                if (position++ == index) {
                    return value;
                }
            }
            return null;
        }
    }

    private static void submitJobs(World world) {
        int[] count = new int[1];
        world.every(3000, () -> {
            if (world.now < DAMAGE_UNTIL_MS) {
                count[0]++;
                world.submit("batch", false, 1 + count[0] % 4, 1, 10, n -> {});
            }
        });
    }

    /** Guards against an exception in a controller that is given a malformed report; seed 22 leaves a machine without an address. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 22})
    void malformedReportsAreRefused(long seed) {
        World world = new World(900_000 + seed);
        List<WrongField> damages = damageReports(world, seed);
        submitJobs(world);
        world.runUntil(DAMAGE_UNTIL_MS + DRAIN_MS);
        assertTrue(damages.stream().mapToInt(d -> d.damaged).sum() > 20);
        assertEquals(List.of(), world.unfinished());
    }

    private static List<WrongField> damageReports(World world, long seed) {
        List<WrongField> out = new ArrayList<>();
        for (SimulatedController node : world.nodes) {
            WrongField wrong = new WrongField(world, 31 * seed + node.index);
            out.add(wrong);
            node.damage = new Damage() {
                @Override
                public byte[] ofBody(String path, byte[] body) {
                    return wrong.ofBody(path, body);
                }
            };
        }
        return out;
    }

    /** Guards against an exception in a controller that is given a malformed answer of the state service, the cloud or a worker. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void malformedAnswersAreLeftOut(long seed) {
        World world = new World(910_000 + seed);
        int damaged = 0;
        List<WrongField> damages = new ArrayList<>();
        for (SimulatedController node : world.nodes) {
            WrongField wrong = new WrongField(world, 37 * seed + node.index);
            damages.add(wrong);
            node.damage = new Damage() {
                @Override
                public CallResult ofResult(CallResult result) {
                    return wrong.ofResult(result);
                }
            };
        }
        submitJobs(world);
        world.runUntil(DAMAGE_UNTIL_MS + DRAIN_MS);
        for (WrongField wrong : damages) {
            damaged += wrong.damaged;
        }
        assertTrue(damaged > 20);
    }
}
