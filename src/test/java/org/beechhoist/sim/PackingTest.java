package org.beechhoist.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.beechhoist.config.Policy;
import org.beechhoist.controller.context.Effect;
import org.beechhoist.packing.DefragmentationSearch;
import org.beechhoist.packing.GpuSizeDistribution;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.TaskId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Whole GPUs out of pieces: docs/design/packing.md. The protocol's rules are checked throughout. */
class PackingTest {
    private static final Policy ON = Policy.DEFAULT;
    private static final Policy STILL = Policy.DEFAULT.withPacking(true, false);

    /** Six machines in pieces, no more to be had, one model that needs a whole one. */
    static Gpus pieces(long seed, Policy policy) {
        for (long drawn = 100 * seed;
                drawn < 100 * seed + 30;
                drawn++) { // a night in which chance leaves no machine whole
            Gpus g = new Gpus(Gpus.world(drawn, 3, 1, 6, policy));
            g.fragmented(18, 8);
            g.w.runUntil(70_000);
            if (g.free() >= 10 && g.whole() == 0 && g.w.machinesUp() == 6) {
                return g;
            }
        }
        throw new AssertionError("no such night");
    }

    @Test
    void aLargeModelBeginsWhereItNeverDid() {
        int still = 0;
        for (long seed = 1; seed <= 4; seed++) {
            Gpus before = pieces(seed, STILL);
            String ref = before.service(1, 8, 10);
            before.w.runUntil(310_000);
            still += before.w.userJob(ref).startedAt < 0 ? 1 : 0;
            Gpus g = pieces(seed, ON);
            ref = g.service(1, 8, 10);
            g.w.runUntil(310_000);
            long began = g.w.userJob(ref).startedAt;
            assertTrue(
                    began > 0 && began < 110_000,
                    "seed " + seed + ": it began at " + began + " with " + g.free() + " GPUs free");
            assertEquals(0, g.twiceTooSoon, "seed " + seed);
            assertEquals(0, g.underFloor, "seed " + seed);
            assertTrue(g.moves <= 8, g.moves + " moves, seed " + seed);
            assertTrue(
                    g.outOfServiceMs <= g.moves * 25_000L,
                    g.outOfServiceMs + " ms out of service for " + g.moves + " moves, seed " + seed);
        }
        assertTrue(still >= 3, "without moves it began in " + (4 - still) + " of 4, nothing is shown");
    }

    /** Two whole machines of one zone: one room after the other, in a zone that has enough for both. */
    @Test
    void aModelOverTwoMachinesBegins() {
        int still = 0;
        int begun = 0;
        for (long seed = 1; seed <= 4; seed++) {
            for (Policy policy : List.of(STILL, ON)) {
                Gpus g = twoZones(seed, policy);
                String ref = String.format("job-%06d", g.w.nextJob());
                g.w.submit("serve", true, 2, 32, 0, n -> n.put("owner", "blue")
                        .put("urgency", "normal")
                        .put("loaner", false)
                        .put("accelerators", 8.0)
                        .put("memGb", 256.0)
                        .put("bundle", "w-10")
                        .put("pullGb", 10.0)
                        .put("samePlace", true)
                        .set("hosttypes", Codec.list().add("g8")));
                if (seed > 2) {
                    g.w.later(8000, () -> g.w.crash(g.w.leader(), 300));
                }
                g.w.runUntil(400_000);
                int there = g.w.onMachines(ref);
                still += policy == STILL && there == 2 ? 1 : 0;
                begun += policy == ON && there == 2 ? 1 : 0;
                assertEquals(0, g.twiceTooSoon, "seed " + seed);
                assertEquals(0, g.underFloor, "seed " + seed);
                assertEquals(List.of(), g.w.keys("mv/"), "seed " + seed);
            }
        }
        assertEquals(4, begun, "models over two machines that run");
        assertTrue(still <= 1, "without moves " + still + " of 4 run, nothing is shown");
    }

    private static Gpus twoZones(long seed, Policy policy) {
        for (long drawn = 1000 * seed; drawn < 1000 * seed + 40; drawn++) {
            Gpus g = new Gpus(Gpus.world(drawn, 3, 2, 5, policy));
            g.fragmented(30, 14);
            g.w.runUntil(70_000);
            if (g.free() >= 28 && g.whole() == 0 && g.w.machinesUp() == 10) {
                return g;
            }
        }
        throw new AssertionError("no such night");
    }

    /** Steps of a move after which its leader ends, stands still, or is cut off. */
    enum Step {
        WRITTEN(e -> e instanceof Effect.Call c
                && c.path().equals("/commit")
                && c.body().toString().contains("\"put\":\"mv/")),
        STOPPED(e -> e instanceof Effect.Call c
                && c.path().equals("/orders")
                && c.body().toString().contains("kill")),
        PLACED(e -> e instanceof Effect.Call c
                && c.path().equals("/commit")
                && c.body().toString().contains("\"put\":\"log/")),
        FINISHED(e -> e instanceof Effect.Call c
                && c.path().equals("/commit")
                && c.body().toString().contains("\"remove\":\"mv/"));

        private final Predicate<Effect> is;

        Step(Predicate<Effect> is) {
            this.is = is;
        }
    }

    @ParameterizedTest
    @EnumSource(Step.class)
    void anotherLeaderGoesOnInTheMiddle(Step step) {
        for (long seed = 1; seed <= 3; seed++) {
            Gpus g = pieces(20 + seed, ON);
            String ref = g.service(1, 8, 10);
            g.w.crashAt(g.w.leader(), step.is, seed == 1 ? 200 : 9000);
            g.w.runUntil(400_000);
            long began = g.w.userJob(ref).startedAt;
            assertTrue(began > 0 && began < 170_000, step + ", seed " + seed + ": it began at " + began);
            assertEquals(0, g.twiceTooSoon, step + ", seed " + seed);
            assertEquals(0, g.underFloor, step + ", seed " + seed);
            assertEquals(List.of(), g.w.keys("mv/"), step + ", seed " + seed);
            for (UserJob j : g.w.allJobs()) {
                int missing = g.w.cancelled(j)
                        ? 0
                        : j.spec.tasks() - g.w.onMachines(j.spec.id().text());
                assertEquals(
                        0, missing, step + ", seed " + seed + ": replicas of " + j.spec.id() + " that are nowhere");
            }
        }
    }

    /** What happens in the midst of it: every replica has a place in the end, and nothing is left written. */
    @ParameterizedTest
    @CsvSource({"dies", "cancelled", "two", "urgent", "deaf", "cut"})
    void inTheMidst(String what) {
        for (long seed = 1; seed <= 3; seed++) {
            Gpus g = pieces(40 + seed, ON);
            World w = g.w;
            String ref = g.service(1, 8, 10);
            boolean[] done = new boolean[1];
            String[] more = new String[1];
            w.performed = (age, e) -> {
                if (!done[0] && Step.STOPPED.is.test(e)) {
                    done[0] = true;
                    w.later(300, () -> {
                        switch (what) {
                            case "dies" -> w.loseMachine();
                            case "cancelled" -> w.cancel(ref);
                            case "two" -> more[0] = g.service(1, 8, 10);
                            case "urgent" -> g.job(false, 10, 1, 5, 20, "urgent");
                            case "deaf" -> w.deafen(z -> true, 0.4, 30_000);
                            default -> w.isolate(w.leader(), false, 25_000);
                        }
                    });
                }
            };
            w.runUntil(600_000);
            assertTrue(done[0], "something was moved");
            assertEquals(List.of(), w.keys("mv/"), what + ", seed " + seed);
            assertEquals(0, g.twiceTooSoon, what + ", seed " + seed);
            boolean room = !what.equals("dies");
            if (room && !what.equals("cancelled")) {
                assertTrue(w.userJob(ref).startedAt > 0, what + ", seed " + seed);
            }
            for (UserJob j : w.allJobs()) {
                boolean one =
                        j.spec.id().text().equals(ref) || j.spec.id().text().equals(more[0]);
                if (room && j.spec.isService() && !one && !w.cancelled(j)) {
                    assertEquals(
                            j.spec.tasks(),
                            w.onMachines(j.spec.id().text()),
                            what + ", seed " + seed + ": " + j.spec.id());
                }
            }
        }
    }

    /** Where it gains nothing, nothing moves: room there is, none to be had, or weights that take longer than the wait is worth. */
    @Test
    void nothingMovesForNothing() {
        Gpus g = new Gpus(Gpus.world(61, 3, 1, 6, ON));
        for (int i = 0; i < 8; i++) {
            g.w.later(2000 + 300L * i, () -> g.service(2, 2, 5));
        }
        g.w.runUntil(60_000);
        String ref = g.service(1, 8, 10); // a machine is whole: small ones have kept together
        g.w.runUntil(150_000);
        assertTrue(g.w.userJob(ref).startedAt > 0);
        assertEquals(0, g.moves);
        // Services of one replica are left alone.
        Gpus single = new Gpus(Gpus.world(62, 3, 1, 3, ON));
        for (int i = 0; i < 4; i++) {
            single.w.later(2000 + 300L * i, () -> single.service(1, 5, 5));
        }
        single.w.runUntil(60_000);
        single.service(1, 8, 5);
        single.w.runUntil(200_000);
        assertEquals(0, single.moves);
    }

    /** The fragmentation gradient: small tasks fill what is broken already, and whole machines stay whole. */
    @Test
    void whatAPlacementBreaks() {
        GpuSizeDistribution s = new GpuSizeDistribution(Map.of(1.0, 6.0, 2.0, 3.0, 8.0, 1.0));
        assertTrue(s.fragmentationChange(8, 1) > 0);
        assertTrue(s.fragmentationChange(3, 1) < s.fragmentationChange(8, 1));
        assertTrue(s.fragmentationChange(1, 1) < s.fragmentationChange(2, 1) + 1e-9);
        assertTrue(s.fragmentationChange(8, 8) <= 0);
        assertEquals(0, GpuSizeDistribution.NONE.fragmentationChange(8, 1));
    }

    private static TaskId task(int i) {
        return new TaskId(new JobId("job-" + i), 0);
    }

    private static DefragmentationSearch.MovableTask movable(int i, int gpus, double cost) {
        return new DefragmentationSearch.MovableTask(
                task(i), new DefragmentationSearch.Resources(gpus, gpus, gpus), cost);
    }

    private static DefragmentationSearch.MachineSnapshot machine(
            String id, int free, DefragmentationSearch.MovableTask... tasks) {
        return new DefragmentationSearch.MachineSnapshot(
                new MachineId(id), new DefragmentationSearch.Resources(free, free, free), true, List.of(tasks));
    }

    /** The cheapest set on one machine, each with a place elsewhere; none where there is room, or no place for what must go. */
    @Test
    void theCheapestMoves() {
        DefragmentationSearch.Resources need = new DefragmentationSearch.Resources(8, 8, 8);
        GpuSizeDistribution s = new GpuSizeDistribution(Map.of(1.0, 1.0, 8.0, 1.0));
        DefragmentationSearch.Result f = DefragmentationSearch.findCheapest(
                need,
                List.of(
                        machine("a", 4, movable(1, 4, 50)),
                        machine("b", 5, movable(2, 1, 2), movable(3, 2, 3), movable(4, 3, 90)),
                        machine("c", 3, movable(5, 5, 9))),
                (t, h) -> true,
                s);
        assertEquals(new MachineId("b"), f.machine(), f.toString());
        assertEquals(5, f.costGpuS());
        assertEquals(2, f.moves().size());
        assertNull(
                DefragmentationSearch.findCheapest(
                        need, List.of(machine("a", 8), machine("b", 4, movable(1, 4, 1))), (t, h) -> true, s),
                "there is room");
        assertNull(
                DefragmentationSearch.findCheapest(
                        need, List.of(machine("a", 7, movable(1, 1, 1)), machine("b", 0)), (t, h) -> true, s),
                "no place elsewhere");
        assertNull(
                DefragmentationSearch.findCheapest(
                        need, List.of(machine("a", 7, movable(1, 1, 1)), machine("b", 1)), (t, h) -> false, s),
                "not allowed elsewhere");
    }
}
