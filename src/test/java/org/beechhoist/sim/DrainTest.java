package org.beechhoist.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.beechhoist.config.Policy;
import org.beechhoist.controller.context.Effect;
import org.beechhoist.standin.StateService;
import org.beechhoist.wire.Codec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Machines emptied and replaced while nodes and machines fail: docs/design/drains.md. The protocol's rules are checked throughout. */
class DrainTest {
    static final Policy ON = Policy.DEFAULT.withDrains(true);

    static World world(long seed, int nodes, int perKind) {
        Extent x = Extent.strict();
        x.leaseS = 26;
        return new World(seed, new WorldScale(nodes, perKind, 3000, 0, StateService.KEPT_CHANGES, ON).with(x));
    }

    static void ask(World w, String path, Consumer<ObjectNode> body) {
        ObjectNode n = Codec.map().put("who", "ops").put("why", "old kernels");
        body.accept(n);
        w.request("POST", path, n, a -> assertEquals(200, a.status(), path + ": " + a.body()));
    }

    static JsonNode drain(World w, String name) {
        return w.view("/v1/drains/" + name);
    }

    /** Arrays that come until then, and services that stay. */
    static void work(World w, long until, double checkpointS) {
        for (int i = 0; i < 5; i++) {
            w.later(
                    500 + 200L * i,
                    () -> w.submit("serve", true, 3, 1, 0, n -> n.put("owner", "blue")
                            .put("loaner", false)
                            .put("urgency", "normal")));
        }
        w.every(1500, () -> {
            if (w.now < until) {
                w.submit(
                        "batch",
                        false,
                        w.random.nextInt(1, 6),
                        w.random.nextInt(1, 4),
                        w.random.nextInt(5, 60),
                        n -> n.put("owner", "blue")
                                .put("urgency", "normal")
                                .put("loaner", true)
                                .put("snapshotEveryS", checkpointS)
                                .put("snapshotCostS", checkpointS > 0 ? 2.0 : 0.0));
            }
        });
    }

    /** From the commit on nothing begins there; all of them are empty and returned, and every task goes on elsewhere. */
    @ParameterizedTest
    @CsvSource({"1, 0", "2, 10", "3, 0"})
    void machinesAreEmptiedAndReturned(long seed, double checkpointS) {
        World w = world(seed, 3, 10);
        work(w, 200_000, checkpointS);
        w.runUntil(90_000);
        Drains d = new Drains(w);
        List<String> meant = w.machineNames();
        ask(w, "/v1/drains/all/put", n -> n.put("all", true).put("waitS", 60));
        w.runUntil(94_000);
        d.watch(meant);
        w.runUntil(330_000);
        assertEquals(0, d.begun, "tasks begun on machines that are emptied, seed " + seed);
        assertEquals(
                List.of(),
                w.machineNames().stream().filter(meant::contains).toList(),
                "machines that are still there, seed " + seed);
        assertEquals(
                "over", drain(w, "all").path("now").asText(), drain(w, "all").toString());
        assertTrue(
                drain(w, "all").path("gone").asInt() >= meant.size(),
                drain(w, "all").toString()); // those that still booted, too
        assertEquals(0, d.underFloor, "services with two replicas away on purpose, seed " + seed);
        w.runUntil(600_000);
        assertEquals(List.of(), w.unfinished(), "seed " + seed);
        d.allServicesUp();
        JsonNode budgets = w.view("/v1/budgets");
        int away = 0;
        for (JsonNode row : budgets.path("budgets")) {
            away += row.path("away").asInt();
        }
        assertEquals(0, away, "nobody is away any more: " + budgets);
        assertEquals(List.of(), w.keys("mv/"));
    }

    /** Steps after which the leader ends, or stands still for longer than its lease. */
    enum Step {
        RUN(e -> put(e, "dr/run/")),
        CHARGED(e -> put(e, "dr/acct/")),
        MOVING(e -> put(e, "mv/")),
        STOPPED(e -> e instanceof Effect.Call c
                && c.path().equals("/orders")
                && c.body().toString().contains("kill")),
        RETURNED(e -> e instanceof Effect.Call c && c.path().equals("/machines/return"));

        private final Predicate<Effect> is;

        Step(Predicate<Effect> is) {
            this.is = is;
        }

        private static boolean put(Effect e, String key) {
            return e instanceof Effect.Call c
                    && c.path().equals("/commit")
                    && c.body().toString().contains("\"put\":\"" + key);
        }
    }

    /** Another leader goes on in the middle: nobody is disturbed twice for it, no charge is forgotten, all of it ends. */
    @ParameterizedTest
    @EnumSource(Step.class)
    void anotherLeaderGoesOnInTheMiddle(Step step) {
        int crashed = 0;
        for (long seed = 1; seed <= 3; seed++) {
            World w = world(20 + seed, 3, 10);
            work(w, 150_000, seed == 2 ? 10 : 0);
            w.runUntil(80_000);
            Drains d = new Drains(w);
            List<String> meant = w.machineNames();
            if (seed == 3) {
                w.freezeAt(w.leader(), step.is, 20_000);
            } else {
                w.crashAt(w.leader(), step.is, seed == 1 ? 200 : 8000);
            }
            boolean replace = seed == 2;
            ask(w, "/v1/drains/night/put", n -> n.put("all", true)
                    .put("waitS", 20)
                    .put("replace", replace ? true : null)
                    .put("holdS", replace ? 5 : null)
                    .put("spare", replace ? 2 : null)
                    .put("atOnce", replace ? 8 : null));
            w.runUntil(500_000);
            crashed += w.crashed + w.frozen;
            assertEquals(
                    List.of(),
                    w.machineNames().stream().filter(meant::contains).toList(),
                    step + ", seed " + seed + ": " + drain(w, "night"));
            assertEquals(0, d.underFloor, step + ", seed " + seed);
            assertEquals(0, d.twiceTooSoon, step + ", seed " + seed);
            w.runUntil(700_000);
            assertEquals(List.of(), w.unfinished(), step + ", seed " + seed);
            assertEquals(List.of(), w.keys("mv/"), step + ", seed " + seed);
            d.allServicesUp();
        }
        assertTrue(crashed >= 2, step + " came up " + crashed + " times");
    }

    /** In steps: the first ones alone, new machines beside them before, never more than the pace allows, and then all. */
    @Test
    void aReplacementGoesInSteps() {
        World w = world(41, 5, 14);
        work(w, 250_000, 0);
        w.runUntil(80_000);
        Drains d = new Drains(w);
        List<String> meant = w.machineNames();
        ask(w, "/v1/drains/roll/put", n -> n.put("all", true)
                .put("replace", true)
                .put("canary", 2)
                .put("atOnce", 4)
                .put("spare", 4)
                .put("holdS", 20)
                .put("waitS", 30));
        int[] most = new int[2];
        w.every(500, () -> {
            JsonNode row = drain(w, "roll");
            if (row != null) {
                most[row.path("gone").asInt() < 2 ? 0 : 1] = Math.max(
                        most[row.path("gone").asInt() < 2 ? 0 : 1],
                        row.path("inHand").asInt());
            }
        });
        w.runUntil(600_000);
        assertEquals(
                List.of(),
                w.machineNames().stream().filter(meant::contains).toList(),
                String.valueOf(drain(w, "roll")));
        assertTrue(most[0] <= 2 && most[1] >= 3 && most[1] <= 4, "in hand: " + most[0] + ", then " + most[1]);
        JsonNode row = drain(w, "roll");
        assertEquals("over", row.path("now").asText(), row.toString());
        assertTrue(row.path("sparesAsked").asInt() >= 4, row.toString());
        assertEquals(0, d.underFloor);
        d.allServicesUp();
    }

    /** A budget of none holds a drain up for ever, which says whose it is; raised, it goes on. A pause stops nobody; an abort uses them again. */
    @Test
    void budgetsHoldItUp() {
        World w = world(51, 3, 8);
        work(w, 60_000, 0);
        w.runUntil(60_000);
        ask(w, "/v1/budgets/blue/put", n -> n.put("team", "blue").put("atOnce", 0));
        w.runUntil(64_000);
        Drains d = new Drains(w);
        ask(w, "/v1/drains/d/put", n -> n.put("all", true).put("waitS", 10));
        w.runUntil(200_000);
        assertEquals(0, d.purposely, "tasks stopped on purpose");
        assertTrue(
                drain(w, "d").path("blocked").toString().contains("budget of blue: none of its tasks"),
                drain(w, "d").toString());
        d.allServicesUp();
        ask(w, "/v1/budgets/blue/put", n -> n.put("team", "blue").put("atOnce", 2));
        ask(w, "/v1/drains/d/pause", n -> {});
        w.runUntil(240_000);
        assertEquals(0, d.purposely, "it is paused");
        ask(w, "/v1/drains/d/resume", n -> {});
        w.runUntil(420_000);
        assertTrue(d.purposely > 0 && d.mostAway <= 2, d.purposely + " stopped, " + d.mostAway + " away at once");
        assertEquals("over", drain(w, "d").path("now").asText(), drain(w, "d").toString());
        d.allServicesUp();
        // Kept and undone: used again, and not returned.
        List<String> there = w.machineNames();
        ask(w, "/v1/drains/keep/put", n -> n.put("all", true).put("keep", true));
        w.runUntil(440_000);
        ask(w, "/v1/drains/keep/abort", n -> {});
        w.runUntil(445_000);
        assertTrue(w.machineNames().containsAll(there), "machines that were kept");
        w.submit("batch", false, 4, 1, 5, n -> n.put("owner", "blue").put("loaner", true));
        w.runUntil(500_000);
        assertEquals(List.of(), w.unfinished());
    }

    /** A fall of many machines, a leader's end and an outage in the middle of it: it pauses by itself, says why, and ends all the same. */
    @Test
    void inTheMiddleOfMuchElse() {
        World w = world(61, 5, 30);
        work(w, 260_000, 0);
        w.runUntil(90_000);
        Drains d = new Drains(w);
        List<String> meant = w.machineNames();
        boolean[] paused = new boolean[1];
        w.every(1000, () -> {
            JsonNode row = drain(w, "roll");
            paused[0] |= row != null && row.path("now").asText().contains("machines were lost");
        });
        ask(w, "/v1/drains/roll/put", n -> n.put("all", true)
                .put("replace", true)
                .put("canary", 1)
                .put("atOnce", 6)
                .put("spare", 3)
                .put("holdS", 10)
                .put("waitS", 20));
        ask(w, "/v1/drains/zone/put", n -> n.put("zone", "a").put("waitS", 40));
        w.later(20_000, () -> w.loseMachines(w.rented() * 2 / 3));
        w.later(40_000, () -> w.crash(w.leader(), 300));
        w.later(60_000, () -> w.stateOutage(20_000));
        w.later(100_000, () -> w.crashAll(i -> 300 + 200L * i));
        w.later(130_000, () -> w.deafen(z -> true, 0.2, 30_000));
        w.runUntil(700_000);
        assertTrue(paused[0], "it never paused");
        assertEquals(
                List.of(),
                w.machineNames().stream().filter(meant::contains).toList(),
                drain(w, "roll") + " " + drain(w, "zone"));
        assertEquals(0, d.underFloor);
        w.runUntil(900_000);
        assertEquals(List.of(), w.unfinished());
        d.allServicesUp();
        assertEquals(List.of(), w.keys("mv/"));
    }

    /** Said beforehand, and bad input refused with field and value. */
    @Test
    void whatItWouldCost() {
        World w = world(71, 3, 8);
        work(w, 60_000, 0);
        w.runUntil(60_000);
        JsonNode[] told = new JsonNode[1];
        w.at(
                w.leader(),
                "POST",
                "/v1/drains/d/plan",
                Codec.encode(Codec.map().put("all", true).put("waitS", 0)),
                a -> told[0] = a.body());
        w.runUntil(61_000);
        assertTrue(
                told[0].path("machines").asInt() > 3
                        && told[0].path("tasks").asInt() > 3
                        && told[0].path("byTeamAndClass").has("blue serve"),
                told[0].toString());
        for (String[] bad : new String[][] {
            {"/v1/drains/d/put", "zone", "nowhere"},
            {"/v1/drains/d/put", "type", "huge"},
            {"/v1/budgets/green/put", "team", "green"}
        }) {
            int[] status = new int[1];
            w.request(
                    "POST",
                    bad[0],
                    Codec.map().put("who", "ops").put("why", "x").put(bad[1], bad[2]),
                    a -> {
                        status[0] = a.status();
                        assertTrue(
                                a.body().path("error").asText().startsWith(bad[1] + " = " + bad[2]),
                                a.body().toString());
                    });
            w.runUntil(w.now + 3000);
            assertEquals(400, status[0]);
        }
        assertEquals(List.of(), w.keys("dr/put/"));
    }

    /** A leader that has won and not seen the cloud's list knows of no machine: no drain is over for that. And what stood by for one that is undone is let go. */
    @Test
    void nothingIsOverBeforeTheListIsSeen() {
        World w = world(81, 3, 10);
        work(w, 150_000, 0);
        w.runUntil(80_000);
        ask(w, "/v1/drains/roll/put", n -> n.put("all", true)
                .put("replace", true)
                .put("canary", 1)
                .put("atOnce", 4)
                .put("spare", 4)
                .put("holdS", 5)
                .put("waitS", 60));
        w.runUntil(110_000);
        for (int i = 0; i < 4; i++) {
            w.cloudOutage(12_000);
            w.crashAll(k -> 300 + 200L * k);
            for (int t = 0; t < 20; t++) {
                w.runUntil(w.now + 1000);
                JsonNode row = drain(w, "roll");
                boolean over = row != null && row.path("now").asText().equals("over");
                assertTrue(!over, "it is called over at " + w.now + ": " + row);
            }
        }
        ask(w, "/v1/drains/roll/abort", n -> {});
        w.runUntil(400_000);
        int idle =
                (int) w.machineNames().stream().filter(h -> w.on(h).isEmpty()).count();
        assertTrue(idle <= 2, idle + " machines stand idle long after it was undone");
        assertEquals(List.of(), w.unfinished());
    }
}
