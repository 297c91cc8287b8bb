package org.beechhoist.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.beechhoist.standin.StateService;
import org.junit.jupiter.api.Test;

/** What bad nights brought, each by itself: docs/incidents/2026-12-01-nights.md. */
class NightTest {
    /**
     * Users ask many times as often. Each poll was a question to the state service of its own; all nodes together asked for more
     * than it allows, and submissions were refused.
     */
    @Test
    void aStormOfPollsCostsLittleAndRefusesNoSubmission() {
        World w = new World(11, new WorldScale(5, 20, 3000, 500, StateService.KEPT_CHANGES).with(Extent.strict()));
        w.every(700, () -> {
            if (w.now < 120_000) {
                w.submit("slow", false, 6, 1, 20, n -> n.put("owner", "blue").put("loaner", true));
            }
        });
        w.runUntil(40_000);
        long[] polls = new long[2];
        w.every(4, () -> {
            if (w.now < 80_000) {
                polls[0]++;
                List<UserJob> jobs = w.allJobs();
                w.pollOnce(
                        jobs.get(jobs.size() - 1 - w.random.nextInt(Math.min(60, jobs.size()))),
                        a -> polls[1] += a != null && a.status() == 200 ? 1 : 0);
            }
        });
        long before = w.counted.storeRequests;
        long refused = w.counted.refused;
        w.counted.forgetBusiest();
        w.runUntil(80_000);
        long perThousand = 1000 * (w.counted.storeRequests - before) / polls[0];
        assertTrue(polls[0] > 9000, polls[0] + " polls");
        assertTrue(polls[1] > 0.97 * polls[0], polls[1] + " of " + polls[0] + " polls were answered");
        assertEquals(refused, w.counted.refused, "requests that the state service refused");
        assertTrue(perThousand < 400, perThousand + " requests to the state service for a thousand polls");
        assertTrue(w.counted.mostRequests <= 150, w.counted.mostRequests + " requests in the busiest second");
        long late = w.allJobs().stream()
                .filter(j -> !j.accepted && w.now - j.submittedAt > 1000)
                .count();
        assertEquals(0, late, "submissions not accepted after 1 s");
        w.runUntil(400_000);
        assertEquals(List.of(), w.unfinished());
    }

    /**
     * A job submitted with a mistake fails on every machine. All of its tasks were tried again after each pause, and machines were
     * rented and work was stopped for them; a new leader began with all of them once more.
     */
    @Test
    void aJobThatFailsEverywhereIsTriedWithOneTaskAtATime() {
        World w = new World(12, new WorldScale(3, 10, 3000, 0, StateService.KEPT_CHANGES));
        w.submit("slow", false, 20, 2, 30, n -> n.put("owner", "blue").put("loaner", true));
        w.runUntil(60_000);
        w.submit("broken", false, 30, 2, 30, n -> n.put("owner", "blue")
                .put("urgency", "urgent")
                .put("loaner", true));
        w.runUntil(90_000);
        int first = w.started;
        int rented = w.rented();
        w.runUntil(110_000);
        w.crash(w.leader(), 8000);
        w.runUntil(240_000);
        int tries = w.started - first;
        assertTrue(tries >= 1 && tries <= 12, tries + " tries in 150 s");
        assertTrue(w.rented() <= rented, w.rented() + " machines, " + rented + " before");
        UserJob broken = w.job(2);
        assertTrue(
                w.status(broken.spec.id().text()).path("reason").asText().contains("failed on"), "its status says why");
        w.cancel(broken.spec.id().text());
        w.runUntil(300_000);
        assertEquals("cancelled", broken.told);
    }

    /** A machine that breaks everything at the same time is told from the job: healthy work goes on elsewhere after one trial. */
    @Test
    void aJobThatMetFaultyMachinesGoesOn() {
        World w = new World(13, new WorldScale(3, 10, 3000, 0, StateService.KEPT_CHANGES));
        w.faultyMachines = 3;
        w.submit("slow", false, 24, 2, 10, n -> n.put("owner", "blue").put("loaner", true));
        w.runUntil(240_000);
        assertEquals(List.of(), w.unfinished());
    }

    /** The checks of nights see what they are for: an answer older than the last, and a healthy machine that is condemned. */
    @Test
    void plantedDefectsAreSeen() {
        World w = new World(14, new WorldScale(3, 6, 3000, 0, StateService.KEPT_CHANGES));
        w.submit("slow", false, 3, 1, 5, n -> n.put("owner", "blue").put("loaner", true));
        w.submit("broken", false, 3, 1, 5, n -> n.put("owner", "blue").put("loaner", true));
        w.runUntil(60_000);
        assertEquals("done", w.job(1).told);
        assertEquals(0, w.toll.healthyCondemned);
        String host = w.toll.lastFailed;
        w.toll.failed(host, w.now);
        w.giveBack(host);
        assertEquals(1, w.toll.healthyCondemned);
        w.users.oldAnswerFor = w.job(1).spec.id().text();
        w.pollOnce(w.job(1), a -> {});
        AssertionError seen = assertThrows(AssertionError.class, () -> w.runUntil(70_000));
        assertTrue(seen.getMessage().startsWith("went_back"), seen.getMessage());
    }

    /**
     * A guest's swarm of single-task jobs, about as many a second as the state service allows changes for. Submissions of others were
     * refused seven times of ten, and their ends and launches waited behind the swarm's.
     */
    @Test
    void aSwarmOfTinyJobsRefusesNobodyElse() {
        Extent x = Extent.strict();
        x.guest = true;
        x.writeRps = 35;
        World w = new World(15, new WorldScale(5, 20, 3000, 500, StateService.KEPT_CHANGES).with(x));
        w.every(1500, () -> {
            if (w.now < 160_000) {
                w.submit("fast", false, 6, 1, 10, n -> n.put("owner", "blue")
                        .put("urgency", "urgent")
                        .put("loaner", true));
            }
        });
        w.every(80, () -> {
            if (w.now > 40_000 && w.now < 120_000) {
                w.submit("single", false, 1, 0.25, 5, n -> n.put("owner", "guest")
                        .put("urgency", "low")
                        .put("loaner", true));
            }
        });
        int[] standing = new int[1];
        w.every(5000, () -> standing[0] = Math.max(standing[0], w.over("jo/")));
        w.later(90_000, () -> w.crash(w.leader(), 300));
        w.runUntil(160_000);
        List<UserJob> others = w.allJobs().stream()
                .filter(j -> j.spec.team().equals("blue") && j.submittedAt > 40_000 && j.submittedAt < 120_000)
                .toList();
        long prompt = others.stream()
                .filter(j -> j.acceptedAt >= 0 && j.acceptedAt - j.submittedAt <= 1000)
                .count();
        long begun = others.stream()
                .filter(j -> j.startedAt >= 0 && j.startedAt - j.submittedAt <= 6000)
                .count();
        assertTrue(prompt >= 0.95 * others.size(), prompt + " of " + others.size() + " were accepted within a second");
        assertTrue(begun >= 0.9 * others.size(), begun + " of " + others.size() + " began within 6 s");
        assertTrue(standing[0] > 20, standing[0] + " final states stood where open records do");
        w.runUntil(600_000);
        assertEquals(List.of(), w.unfinished());
        assertEquals(0, w.keys("jo/").size(), "all final states are moved once there is time for it");
    }

    /** A hundred submissions a second: those on the leader's node took all of its changes, and nothing was launched for 20 s. */
    @Test
    void submissionsLeaveTheLeaderItsChanges() {
        World w = new World(77, new WorldScale(5, 20, 6000, 2000, StateService.KEPT_CHANGES).with(Extent.strict()));
        w.every(
                1000,
                () -> w.submit(
                        "slow", false, 4, 1, 20, n -> n.put("owner", "blue").put("loaner", true)));
        w.runUntil(60_000);
        int before = w.started;
        for (int i = 0; i < 1500; i++) {
            w.later(
                    i * 10L,
                    () -> w.submit("tiny", false, 1, 0.25, 4, n -> n.put("owner", "blue")
                            .put("urgency", "low")
                            .put("loaner", true)));
        }
        w.runUntil(80_000);
        // Four tasks a second are asked for beside the swarm, which waits for machines; without the bound none began.
        assertTrue(w.started - before > 60, w.started - before + " starts in 20 s");
    }
}
