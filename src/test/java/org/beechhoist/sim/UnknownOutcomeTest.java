package org.beechhoist.sim;

import static org.beechhoist.sim.MeetingDay.FIRST_MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.beechhoist.config.Policy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Transactions that get no answer, carried out at once or after newer ones, whatever they were for. */
class UnknownOutcomeTest {
    /** A leader whose rewriting of its key was made, and only the answer lost, still leads: it doesn't take its own for another's. */
    @Test
    void aLeaderKnowsItsOwnRewriting() {
        World w = MeetingDay.world(1090);
        MeetingDay.arrivals(w, 100_000);
        w.runUntil(30_000);
        int before = w.meetings.reigns;
        w.meetings.lateWrites(0.5, true, 60_000);
        w.runUntil(90_000);
        assertTrue(w.meetings.lateOrLost > 20, w.meetings.lateOrLost + " transactions without an answer");
        assertEquals(before, w.meetings.reigns, "leaderships");
        MeetingDay.seenThrough(w, 300_000, "");
    }

    /** Everything is submitted, placed, cancelled and ended on top of it, and the lead changes. */
    @ParameterizedTest
    @CsvSource({"0.1, true, 0", "0.1, false, 1", "0.5, true, 1", "0.3, false, 2"})
    void whateverIsWritten(double share, boolean atOnce, int crashes) {
        World w = MeetingDay.world(1000 + Math.round(100 * share) + crashes);
        MeetingDay.arrivals(w, 150_000);
        MeetingDay.tiny(w, 0.5, 0.3, 0, 150_000);
        w.later(FIRST_MS, () -> w.meetings.lateWrites(share, atOnce, 70_000));
        w.later(FIRST_MS, () -> w.meetings.closeLooks(70_000));
        w.later(FIRST_MS + 5000, () -> w.meetings.cancelNow(4, 6000));
        for (int i = 1; i <= crashes; i++) {
            w.later(FIRST_MS + i * 20_000L, () -> w.crash(w.leader(), 300));
        }
        w.runUntil(FIRST_MS + 70_000);
        assertTrue(w.meetings.lateOrLost > 10, w.meetings.lateOrLost + " transactions without an answer");
        MeetingDay.seenThrough(w, 400_000, "share " + share);
        MeetingDay.cancelledSome(w, 10, "share " + share);
    }

    /** Each occurrence of a schedule is entered once, though the commit that enters it, and marks it as entered, gets no answer. */
    @ParameterizedTest
    @CsvSource({"0.4, true", "0.4, false", "0.8, true"})
    void schedules(double share, boolean atOnce) {
        World w = CronSimulationTest.world(1060 + Math.round(10 * share));
        Map<String, Integer> entered = CronSimulationTest.counted(w);
        CronSimulationTest.install(w, "t", CronSimulationTest.HEAD + "* * * * * small\n* * * * * payout pieces=2\n");
        w.later(10_000, () -> w.meetings.lateWrites(share, atOnce, 240_000));
        w.later(95_000, () -> w.crash(w.leader(), 300));
        w.later(155_000, () -> w.crash(w.leader(), 9000));
        w.runUntil(300_000);
        assertTrue(w.meetings.lateOrLost > 10, w.meetings.lateOrLost + " transactions without an answer");
        assertEquals(10, entered.size(), entered.toString()); // two lines, five minutes
        entered.forEach((line, times) -> assertEquals(1, times, line));
        MeetingDay.seenThrough(w, 300_000, "share " + share);
    }

    /** Proposals, approvals and revocations of key sets, and the placements that they guard. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void keySets(boolean atOnce) {
        World w = KeySetTest.world(1070, 5, 8);
        KeySetRules rules = new KeySetRules(w);
        w.users.mayRefuse = j -> !j.accepted && rules.pin(j.spec.id().text()) == null;
        w.later(500, () -> rules.make("release", "blue", "AB:CD:EF:01"));
        w.runUntil(6000);
        w.every(3000, () -> {
            if (w.now < 140_000) {
                KeySetTest.sign(w, "release", 6, 20);
            }
        });
        w.later(10_000, () -> w.meetings.lateWrites(0.3, atOnce, 150_000));
        for (int i = 0; i < 3; i++) {
            w.later(30_000 + i * 40_000L, () -> rules.revoke("release", 1, () -> {}));
            w.later(
                    55_000 + i * 40_000L,
                    () -> rules.approve(
                            "release", 1, rules.set("release").version(1).digest(), 0));
        }
        w.later(45_000, () -> w.crash(w.leader(), 300));
        w.runUntil(180_000);
        assertTrue(w.meetings.lateOrLost > 10, w.meetings.lateOrLost + " transactions without an answer");
        assertTrue(rules.bound > 5, rules.bound + " jobs bound to the set");
        KeySetTest.holds(rules);
        rules.approve("release", 1, rules.set("release").version(1).digest(), 0);
        MeetingDay.seenThrough(w, 400_000, "");
        KeySetTest.holds(rules);
    }

    /** A release's date is what its maker was told last, on every node; the jobs are served. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void releases(boolean atOnce) {
        World w = ReleaseTest.world(1080, 5, 4, ReleaseTest.ON);
        Ships ships = new Ships(w);
        w.later(500, () -> ships.put("one", "a", 400_000));
        w.runUntil(20_000);
        w.meetings.lateWrites(0.5, atOnce, 100_000);
        for (int i = 0; i < 6; i++) {
            long due = 300_000 + 20_000L * i;
            w.later(i * 15_000L, () -> ships.move("one", due));
            w.later(i * 15_000L + 1000, () -> ships.submit("one", 6, 10));
        }
        w.later(40_000, () -> w.crash(w.leader(), 300));
        w.runUntil(150_000);
        assertTrue(w.meetings.lateOrLost > 10, w.meetings.lateOrLost + " transactions without an answer");
        String told = Ships.local(w, ships.due.get("one"));
        for (int node = 0; node < w.nodeCount(); node++) {
            w.at(node, "GET", "/v1/releases/one", new byte[0], a -> {
                assertEquals(200, a.status());
                assertEquals(told, a.body().path("ship").asText(), a.body().toString());
            });
        }
        MeetingDay.seenThrough(w, 400_000, "");
    }

    /** A drain's steps and the charges of those whom it stops: nobody is disturbed twice, no charge stays, all of it ends. */
    @ParameterizedTest
    @CsvSource({"0.3, true, false", "0.3, false, false", "0.3, true, true"})
    void drains(double share, boolean atOnce, boolean leaderEnds) {
        World w = DrainTest.world(1040, 3, 10);
        DrainTest.work(w, 150_000, 10);
        w.runUntil(80_000);
        Drains seen = new Drains(w);
        List<String> meant = w.machineNames();
        DrainTest.ask(w, "/v1/drains/all/put", n -> n.put("all", true).put("waitS", 20));
        w.later(1000, () -> w.meetings.lateWrites(share, atOnce, 120_000));
        if (leaderEnds) {
            w.later(30_000, () -> w.crash(w.leader(), 300));
        }
        w.runUntil(500_000);
        assertTrue(w.meetings.lateOrLost > 10, w.meetings.lateOrLost + " transactions without an answer");
        assertEquals(
                List.of(),
                w.machineNames().stream().filter(meant::contains).toList(),
                DrainTest.drain(w, "all").toString());
        assertEquals(0, seen.underFloor, "services with two replicas away on purpose");
        assertEquals(0, seen.twiceTooSoon, "tasks stopped twice");
        w.runUntil(700_000);
        assertEquals(List.of(), w.unfinished());
        seen.allServicesUp();
        w.view("/v1/budgets")
                .path("budgets")
                .forEach(row -> assertEquals(0, row.path("away").asInt(), "nobody is away any more: " + row));
        assertEquals(List.of(), w.keys("mv/"));
    }

    /** Small tasks are moved so that a large one begins, each once. */
    @ParameterizedTest
    @CsvSource({"0.5, true", "0.5, false"})
    void moves(double share, boolean atOnce) {
        int begun = 0;
        for (long seed = 1; seed <= 3; seed++) {
            Gpus gpus = PackingTest.pieces(seed, Policy.DEFAULT);
            gpus.w.meetings.lateWrites(share, atOnce, 60_000);
            String ref = gpus.service(1, 8, 10);
            gpus.w.runUntil(400_000);
            begun += gpus.w.userJob(ref).startedAt > 0 ? 1 : 0;
            assertTrue(gpus.w.meetings.lateOrLost > 2, gpus.w.meetings.lateOrLost + " transactions without an answer");
            assertEquals(0, gpus.twiceTooSoon, "seed " + seed);
            assertEquals(0, gpus.underFloor, "seed " + seed);
            assertEquals(List.of(), gpus.w.keys("mv/"), "seed " + seed);
        }
        assertEquals(3, begun, "models that began");
    }

    /** Rentals and returns that are carried out though nobody was answered, beside commits of the same kind: what came is used or returned. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void rentals(boolean atOnce) {
        World w = MeetingDay.world(1050);
        MeetingDay.arrivals(w, 120_000);
        w.cloudTrouble = 0.5;
        w.meetings.lateWrites(0.3, atOnce, 120_000);
        w.later(FIRST_MS, () -> w.crash(w.leader(), 300));
        w.later(120_000, () -> w.cloudTrouble = 0);
        w.runUntil(130_000);
        int most = w.rented();
        MeetingDay.seenThrough(w, 400_000, "");
        w.runUntil(w.now + 120_000);
        assertTrue(most > 8, most + " machines");
        assertTrue(w.rented() <= 1, w.rented() + " machines stay though nothing is left to do");
    }
}
