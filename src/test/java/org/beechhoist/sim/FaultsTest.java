package org.beechhoist.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.beechhoist.controller.context.Effect;
import org.beechhoist.standin.StateService;
import org.beechhoist.standin.Worker;
import org.beechhoist.wire.TaskId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** The three troubles of docs/design/faults.md, and who is back in the middle of an election. The rules are checked throughout. */
class FaultsTest {
    private static World world(long seed, int nodes, int perKind) {
        Extent x = Extent.strict();
        x.leaseS = 26;
        return new World(seed, new WorldScale(nodes, perKind, 3000, 0, StateService.KEPT_CHANGES).with(x));
    }

    private static void arrivals(World w, long until) {
        w.every(1200, () -> {
            if (w.now < until) {
                boolean urgent = w.random.nextInt(3) == 0;
                w.submit(
                        urgent ? "fast" : "slow",
                        false,
                        w.random.nextInt(1, 9),
                        w.random.nextInt(1, 4),
                        w.random.nextInt(4, 20),
                        n -> n.put("dueS", 90.0)
                                .put("urgency", urgent ? "urgent" : "low")
                                .put("owner", w.random.nextInt(6) == 0 ? "red" : "blue")
                                .put("loaner", true));
            }
        });
        w.every(8000, () -> {
            if (w.now < until) {
                w.cancelSome();
                w.askForUnknown();
            }
        });
    }

    // ---- reports arrive, answers and commands don't ----

    /** A machine that can't hear looks empty: urgent work was given to it again and again, each round one more change. */
    @ParameterizedTest
    @CsvSource({"0.1, 15000", "0.1, 90000", "0.5, 60000", "1, 40000"})
    void whatCanNotHearGetsNothingNew(double share, long forMs) {
        for (long seed = 1; seed <= 2; seed++) {
            World w = world(40 + seed, 5, 12);
            arrivals(w, 150_000);
            w.runUntil(60_000);
            w.deafen(z -> true, share, forMs);
            w.runUntil(60_000 + forMs);
            int given = w.copies.launchesToDeaf;
            assertTrue(
                    w.copies.mostInARow <= 2,
                    "the same launch " + w.copies.mostInARow + " times in a row, seed " + seed);
            w.runUntil(500_000);
            assertEquals(List.of(), w.unfinished(), "seed " + seed);
            assertTrue(share == 1 || given <= 60, given + " launches to machines that did not hear, seed " + seed);
        }
    }

    /** Urgent work that was given to a machine that can't hear goes elsewhere long before its lease ends. */
    @Test
    void urgentWorkDoesNotWaitForWhatCanNotHear() {
        World w = world(51, 3, 8);
        w.every(900, () -> {
            if (w.now < 140_000) {
                w.submit("fast", false, 2, 1, 8, n -> n.put("urgency", "urgent")
                        .put("owner", "blue")
                        .put("loaner", true));
            }
        });
        w.runUntil(60_000);
        w.deafen(z -> true, 0.25, 70_000);
        w.runUntil(300_000);
        assertEquals(List.of(), w.unfinished());
        long longest = 0;
        for (UserJob j : w.allJobs()) {
            longest = j.submittedAt < 58_000
                    ? longest
                    : Math.max(longest, j.startedAt - j.submittedAt); // the first wait for machines to boot
        }
        assertTrue(longest < 14_000, "an urgent job began after " + longest + " ms");
    }

    /** A whole zone that can't hear is the network: nothing is returned in a panic, and it is used again when it hears. */
    @Test
    void aZoneThatCanNotHearIsNotReturned() {
        World w = world(52, 5, 12);
        for (int i = 0; i < 10; i++) {
            w.submit("slow", false, 10, 2, 200, n -> n.put("owner", "blue").put("loaner", true));
        }
        w.runUntil(80_000);
        int up = w.machinesUp();
        int lost = w.lost.tasks;
        w.deafen("a"::equals, 1, 20_000);
        w.runUntil(110_000);
        assertEquals(lost, w.lost.tasks, "tasks on machines that were returned");
        assertTrue(w.machinesUp() >= up - 2, w.machinesUp() + " of " + up + " machines are left");
        w.runUntil(900_000);
        assertEquals(List.of(), w.unfinished());
    }

    /** The leader hears all machines and none hears it: another is heard, and no lease ends for the time in between. */
    @ParameterizedTest
    @CsvSource({"3, 3000", "5, 6000", "7, 6000"})
    void aLeaderWhomNobodyHearsMakesWay(int nodes, long reportMs) {
        for (long seed = 1; seed <= 2; seed++) {
            Extent x = Extent.strict();
            x.leaseS = 32;
            World w = new World(53 + seed, new WorldScale(nodes, 10, reportMs, 0, StateService.KEPT_CHANGES).with(x));
            for (int i = 0; i < 10; i++) {
                w.submit("slow", false, 10, 1, 200, n -> n.put("owner", "blue").put("loaner", true));
            }
            arrivals(w, 120_000);
            w.runUntil(80_000);
            int before = w.leader();
            int lost = w.lost.tasks;
            w.mute(before, 60_000);
            w.runUntil(140_000);
            assertTrue(before != w.leader(), "node " + before + " still leads, seed " + seed);
            assertEquals(0, w.toll.lost(Worker.End.LAPSED), "leases that ended, seed " + seed);
            assertEquals(lost, w.lost.tasks, "tasks on machines that were returned, seed " + seed);
            w.runUntil(900_000);
            assertEquals(List.of(), w.unfinished(), "seed " + seed);
        }
    }

    // ---- copies ----

    /** Each report comes again, up to three leases late, to any node, from machines long gone, across changes of leader. */
    @ParameterizedTest
    @CsvSource({"1, 90000", "3, 40000"})
    void copiesRaiseNobody(int each, long mostMs) {
        for (long seed = 1; seed <= 2; seed++) {
            World w = world(60 + seed, 3, 10);
            w.copies.each = each;
            w.copies.mostMs = mostMs;
            arrivals(w, 200_000);
            w.later(70_000, () -> w.loseMachines(8));
            w.later(80_000, () -> w.crash(w.leader(), 200));
            w.later(120_000, () -> w.crash(w.leader(), 6000));
            w.later(150_000, () -> w.crashAll(i -> 300 + 100L * i));
            w.runUntil(85_000);
            int before = w.copies.launchesToGone;
            w.runUntil(230_000);
            assertTrue(w.copies.sent > 500, w.copies.sent + " copies");
            assertTrue(
                    w.copies.launchesToGone - before <= 6,
                    (w.copies.launchesToGone - before) + " launches to machines that are gone, seed " + seed);
            w.copies.each = 0;
            w.runUntil(700_000);
            assertEquals(List.of(), w.unfinished(), "seed " + seed);
        }
    }

    // ---- cut from the state service and the other controllers ----

    /** Nobody else may think that it leads after its lease; workers find another, and no lease of theirs ends for it. */
    @ParameterizedTest
    @CsvSource({
        "1, false, 40000",
        "1, true, 40000",
        "2, false, 30000",
        "2, true, 90000",
        "1, false, 5000",
        "3, false, 40000",
        "4, false, 40000",
        "4, true, 90000"
    })
    void aNodeThatOnlyItsWorkersReachSendsThemOn(int together, boolean refuses, long forMs) {
        for (long seed = 1; seed <= 2; seed++) {
            World w = world(70 + seed, 5, 10);
            for (int i = 0; i < 8; i++) {
                w.submit("slow", false, 10, 1, 200, n -> n.put("owner", "blue").put("loaner", true));
            }
            arrivals(w, 150_000);
            w.runUntil(70_000);
            int lost = w.lost.tasks;
            int before = w.leader();
            if (together == 3) {
                w.isolateOneWay(before, forMs);
            } else if (together == 4) {
                w.isolateWith(before, "a", refuses, forMs);
            } else {
                w.isolate(before, refuses, forMs);
            }
            if (together == 2) {
                w.isolate((before + 1) % 5, refuses, forMs);
            }
            long[] unled = new long[2];
            w.every(500, () -> {
                unled[0] = w.view("/v1/start") != null ? 0 : unled[0] + 500;
                unled[1] = Math.max(unled[1], unled[0]);
            });
            w.runUntil(70_000 + forMs);
            // A lease that runs out would have been seen as tasks lost; the world's own losses are none here.
            assertEquals(0, w.toll.lost(Worker.End.LAPSED), "tasks whose worker's lease ended, seed " + seed);
            assertTrue(unled[1] <= 12_000, unled[1] + " ms without a leader");
            assertTrue(forMs < 15_000 || before != w.leader(), "the node that is cut off still leads");
            w.runUntil(900_000);
            assertEquals(lost, w.lost.tasks, "tasks on machines that were returned, seed " + seed);
            assertEquals(List.of(), w.unfinished(), "seed " + seed);
        }
    }

    /** Users are told at once that such a node can't help them, and the load balancer leaves it out. */
    @ParameterizedTest
    @CsvSource({"false, leader", "true, leader", "false, other", "true, other"})
    void aNodeThatOnlyItsWorkersReachSaysSo(boolean refuses, String which) {
        World w = world(77, 5, 6);
        w.submit("slow", false, 4, 1, 200, n -> n.put("owner", "blue").put("loaner", true));
        w.runUntil(40_000);
        int node = which.equals("leader") ? w.leader() : (w.leader() + 1) % 5;
        w.isolate(node, refuses, 60_000);
        w.runUntil(48_000);
        long[] answered = new long[4];
        long asked = w.now;
        w.at(node, "GET", "/ready", new byte[0], a -> answered[0] = a.status());
        w.at(node, "GET", "/v1/jobs/job-000001", new byte[0], a -> {
            answered[1] = a.status();
            answered[2] = w.now - asked;
        });
        w.at(
                node,
                "POST",
                "/checkin",
                w.anyReport(),
                a -> answered[3] = a.status() == 421 && a.body().has("foreman") ? 1 : a.status());
        w.runUntil(50_000);
        assertEquals(503, answered[0], "it is not ready");
        assertEquals(503, answered[1]);
        assertTrue(answered[2] <= 100, "a user was told after " + answered[2] + " ms");
        assertEquals(421, answered[3], "workers are sent on, to nobody that it only remembers");
        w.runUntil(115_000);
        w.at(node, "GET", "/ready", new byte[0], a -> answered[0] = a.status());
        w.runUntil(116_000);
        assertEquals(200, answered[0], "it is ready again");
    }

    /**
     * A notice is never withdrawn, so a report tells of it however old it may be: a new leader once left it alone until the worker
     * had its token, and gave work to machines about to go. Nor is anything launched that was decided before the notice was heard.
     */
    @Test
    void aNoticeHeardByANewLeaderIsBelieved() {
        int noticed = 0;
        for (long seed = 1; seed <= 4; seed++) {
            World w = world(110 + seed, 3, 10);
            w.every(300, () -> {
                if (w.now < 110_000) {
                    w.submit("fast", false, 2, 1, 6, n -> n.put("urgency", "urgent")
                            .put("owner", "blue")
                            .put("loaner", true));
                }
            });
            w.runUntil(60_000);
            w.crash(w.leader(), 15_000);
            List<String> going = w.machineNames().subList(0, w.machineNames().size() / 2);
            going.forEach(h -> w.notice(h, 60));
            noticed += going.size();
            Set<TaskId> old = new HashSet<>();
            going.forEach(h -> old.addAll(w.on(h)));
            int[] given = new int[1];
            w.every(50, () -> {
                for (String h : w.now < 110_000 ? going : List.<String>of()) {
                    for (TaskId t : w.on(h)) {
                        given[0] += old.add(t) && w.now > 65_000
                                ? 1
                                : 0; // what was on its way before nobody led arrives by then
                    }
                }
            });
            w.runUntil(110_000);
            assertEquals(0, given[0], "tasks begun on machines that had told of their notice, seed " + seed);
            w.runUntil(400_000);
            assertEquals(List.of(), w.unfinished(), "seed " + seed);
        }
        assertTrue(noticed > 20, noticed + " machines had a notice");
    }

    // ---- planted ----

    /** What the checks above look at is seen: a copy that is taken for fresh, and a machine that is thought to hear, on a day of its check. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void plantedDefectsAreSeen(boolean copy) {
        int seen = 0;
        for (long seed = 1; seed <= 3; seed++) {
            World w = copy ? world(30 + seed, 3, 10) : world(40 + seed, 5, 12);
            w.copies.each = copy ? 1 : 0;
            w.copies.takenForFresh = copy;
            w.copies.deafSeemToHear = !copy;
            arrivals(w, copy ? 120_000 : 150_000);
            try {
                w.later(60_000, () -> w.loseMachines(copy ? 8 : 0));
                w.later(60_000, () -> w.deafen(z -> true, copy ? 0 : 0.5, 60_000));
                w.runUntil(240_000);
                seen += w.copies.launchesToDeaf > 60
                                || w.copies.mostInARow > 2
                                || w.copies.launchesToGone > 12
                                || !w.unfinished().isEmpty()
                        ? 1
                        : 0;
            } catch (AssertionError rule) {
                seen++;
            }
        }
        assertTrue(seen > 0, "nothing was seen of it");
    }

    // ---- back in the middle of an election ----

    /** Steps of an election and of what follows, after which a process may end. */
    enum Step {
        GRANT(e -> call(e, "/leases")),
        STAND(e -> call(e, "/commit") && e.toString().contains("lead")),
        READING(e -> e instanceof Effect.Call c && c.path().startsWith("/store?prefix=jo/")),
        READING_LOG(e -> e instanceof Effect.Call c && c.path().startsWith("/store?prefix=log/")),
        FIRST_COMMIT(e -> e instanceof Effect.Call c
                && c.path().equals("/commit")
                && c.body().toString().contains("log/")),
        LAUNCH(e -> e instanceof Effect.Call c
                && c.path().equals("/orders")
                && c.body().toString().contains("launch"));

        private final Predicate<Effect> is;

        Step(Predicate<Effect> is) {
            this.is = is;
        }

        private static boolean call(Effect e, String path) {
            return e instanceof Effect.Call c && c.path().equals(path);
        }
    }

    /** The leader falls; whoever comes next ends in the middle of a step and is back at once, twice in a row, and so does its rival. */
    @ParameterizedTest
    @EnumSource(Step.class)
    void backInTheMiddleOfAnElection(Step step) {
        int crashed = 0;
        for (int seed = 1; seed <= 3; seed++) {
            boolean leaderToo = seed == 2;
            World w = world(800 + 10 * step.ordinal() + seed, 3, 8);
            arrivals(w, 110_000);
            for (long at : new long[] {30_000, 70_000}) {
                w.later(at, () -> {
                    for (int i = 0; i < 3; i++) {
                        if (i != w.leader() || leaderToo || step != Step.LAUNCH) {
                            w.crashAt(i, step.is, 30 + w.random.nextInt(500));
                        }
                    }
                    w.crash(w.leader(), 100 + w.random.nextInt(300));
                });
                for (long more : new long[] {400, 1500, 9000}) {
                    w.later(at + more, () -> w.crashAt(w.random.nextInt(3), step.is, 30 + w.random.nextInt(500)));
                }
            }
            w.runUntil(110_000);
            w.noCrash();
            w.runUntil(420_000);
            crashed += w.crashed;
            assertEquals(List.of(), w.unfinished(), step + ", seed " + seed);
        }
        assertTrue(crashed >= 3, step + " came up " + crashed + " times");
    }

    /** A machine is back at once with its name, its address and a worker that knows nothing: its reports look like old copies. */
    @Test
    void aMachineThatIsBackAtOnceIsUsedAgain() {
        for (long seed = 1; seed <= 3; seed++) {
            World w = world(90 + seed, 3, 6);
            w.copies.each = seed == 3 ? 1 : 0;
            arrivals(w, 130_000);
            for (long at : new long[] {50_000, 50_400, 60_000, 75_000, 90_000}) {
                w.later(at, w::restartMachine);
            }
            w.runUntil(60_000);
            String back = w.restartMachine();
            w.runUntil(130_000);
            w.copies.each = 0;
            w.runUntil(400_000);
            assertEquals(List.of(), w.unfinished(), "seed " + seed + ", " + back);
        }
    }

    /** A machine stops and another has its address, with a session of the same number: what was meant for the one must not run on the other. */
    @Test
    void anAddressThatBelongsToAnother() {
        for (long seed = 1; seed <= 4; seed++) {
            World w = world(97 + seed, 3, 6);
            w.every(400, () -> {
                if (w.now < 120_000) {
                    w.submit("fast", false, 2, 1, 15, n -> n.put("urgency", "urgent")
                            .put("owner", "blue")
                            .put("loaner", true));
                }
            });
            w.runUntil(50_000);
            for (int i = 0; i < 4; i++) {
                w.later(i * 15_000L, () -> {
                    List<String> up = w.machineNames();
                    if (up.size() > 3) {
                        w.takeAddress(up.get(0), up.get(up.size() - 1));
                    }
                });
            }
            w.runUntil(400_000);
            assertEquals(List.of(), w.unfinished(), "seed " + seed);
        }
    }

    // ---- nobody forgotten ----

    /** After a storm of polls that the state service can't answer, each job's questions are answered within seconds, not only most. */
    @Test
    void afterAStormEachJobIsAnswered() {
        Extent x = Extent.strict();
        x.rps = 60;
        x.writeRps = 35;
        World w = new World(95, new WorldScale(5, 10, 3000, 500, StateService.KEPT_CHANGES).with(x));
        w.every(400, () -> {
            if (w.now < 100_000) {
                w.submit("slow", false, 2, 1, 40, n -> n.put("owner", "blue").put("loaner", true));
            }
        });
        w.runUntil(40_000);
        w.every(3, () -> {
            if (w.now < 100_000) {
                List<UserJob> jobs = w.allJobs();
                w.pollOnce(jobs.get(w.random.nextInt(jobs.size())), a -> {});
            }
        });
        w.trouble(60_000);
        w.later(60_000, () -> w.crashAll(i -> 200 + 300L * i));
        w.later(99_000, () -> w.crashAll(i -> 500));
        w.runUntil(500_000);
        assertEquals(List.of(), w.unfinished());
        assertTrue(
                w.users.longestUnansweredMs <= 10_000,
                w.users.longestUnanswered + " was not answered for " + w.users.longestUnansweredMs + " ms");
    }
}
