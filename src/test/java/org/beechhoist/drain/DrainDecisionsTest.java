package org.beechhoist.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.LocalDate;
import java.time.ZonedDateTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.TaskId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the decisions of drains: selected machines, permitted disruptions, order of the machines. */
class DrainDecisionsTest {
    private static final long NOW = 1_800_000_000_000L;

    private static TaskId task(int job, int i) {
        return new TaskId(new JobId("job-00000" + job), i);
    }

    private static Evictions.Candidate candidate(int job, int i, String host, double lost) {
        return new Evictions.Candidate(
                task(job, i), 1, new MachineId(host), "blue", "c", Cause.DRAIN, 0, 0, true, lost, true);
    }

    private static DisruptionBudget budget(
            String team, String jobClass, int atOnce, double lost, Double up, long again) {
        return new DisruptionBudget(team, jobClass, atOnce, lost, up, again, "ops", 1, "", 1);
    }

    /** Random candidates and budgets: evictions never exceed a budget, and every due candidate that a budget allows is evicted. */
    @Test
    void evictionsStayWithinBudgets() {
        SplittableRandom r = new SplittableRandom(11);
        int left = 0;
        int kept = 0;
        for (int round = 0; round < 200; round++) {
            int atOnce = r.nextInt(0, 8);
            double lost = r.nextInt(0, 400);
            Budgets budgets = new Budgets(
                    List.of(budget("blue", null, atOnce, lost, null, 300), budget("blue", "c", 3, 1e9, null, 300)));
            Map<String, Account> accounts = new HashMap<>();
            for (int i = 0; i < r.nextInt(5); i++) {
                accounts.computeIfAbsent("blue", k -> new Account())
                        .charge(task(9, i), new Account.Away(1, "d", Cause.PREEMPTION, r.nextInt(100), NOW));
            }
            double before = accounts.containsKey("blue")
                    ? accounts.get("blue").lastHour(null, NOW).cpuS()
                    : 0;
            List<Evictions.Candidate> all = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                all.add(candidate(r.nextInt(1, 4), i, "m-" + r.nextInt(4), r.nextInt(60)));
            }
            Evictions.Decision d = Evictions.decide(all, budgets, accounts, NOW, 40);
            Account a = accounts.getOrDefault("blue", new Account());
            double purposely = d.evicted().stream()
                    .mapToDouble(Evictions.Candidate::lostCpuS)
                    .sum();
            assertTrue(d.evicted().size() <= Math.min(atOnce, 3), "round " + round);
            assertTrue(purposely == 0 || before + purposely <= lost + 1e-6, "round " + round);
            assertEquals(before + purposely, a.lastHour(null, NOW).cpuS(), 1e-6, "each is charged once");
            assertEquals(
                    all.size(),
                    d.evicted().size()
                            + d.blocked().values().stream()
                                    .mapToInt(Integer::intValue)
                                    .sum(),
                    "each is evicted or has a reason");
            left += d.evicted().size();
            kept += d.blocked().size();
            // A refused candidate is refused again.
            Map<String, Account> again = new HashMap<>(Map.of("blue", a.copy()));
            List<Evictions.Candidate> rest =
                    all.stream().filter(c -> !d.evicted().contains(c)).toList();
            assertEquals(
                    List.of(), Evictions.decide(rest, budgets, again, NOW, 40).evicted(), "round " + round);
        }
        assertTrue(left > 100 && kept > 100, left + " left, " + kept + " reasons");
    }

    @Test
    void refusalNamesTheExceededLimit() {
        Account a = new Account();
        Account.DisruptionRequest ask = new Account.DisruptionRequest(task(1, 0), "c", false, 0, 10);
        assertTrue(
                a.refusalReason(budget("blue", null, 0, 100, null, 0), ask, NOW).contains("none of its tasks"));
        assertNull(a.refusalReason(DisruptionBudget.FALLBACK, ask, NOW));
        a.charge(task(1, 0), new Account.Away(1, "c", Cause.DRAIN, 10, NOW));
        assertTrue(a.refusalReason(DisruptionBudget.FALLBACK, ask, NOW + 60_000).contains("again in 240 s"));
        assertTrue(a.refusalReason(
                        budget("blue", null, 1, 100, null, 0),
                        new Account.DisruptionRequest(task(2, 0), "c", false, 0, 10),
                        NOW)
                .contains("1 of 1 tasks are away"));
        a.clearAway(task(1, 0));
        assertNull(a.refusalReason(DisruptionBudget.FALLBACK, ask, NOW + 301_000));
        // A service of three replicas that must keep three is never disrupted; one that may lack one has one away at a
        // time.
        Account.DisruptionRequest replica = new Account.DisruptionRequest(task(3, 0), "s", true, 3, 0);
        assertTrue(a.refusalReason(budget("blue", null, 9, 100, 1.0, 0), replica, NOW)
                .contains("of 3 replicas none may be away"));
        assertNull(a.refusalReason(DisruptionBudget.FALLBACK, replica, NOW));
        a.charge(task(3, 1), new Account.Away(1, "s", Cause.DRAIN, 0, NOW));
        assertTrue(a.refusalReason(DisruptionBudget.FALLBACK, replica, NOW).contains("is away"));
        // Disruptions that are not on purpose count for the hour, but their tasks are not away.
        a.charge(task(4, 0), new Account.Away(1, "c", Cause.MACHINE, 5000, NOW));
        assertFalse(a.isAway(task(4, 0)));
        assertTrue(a.refusalReason(
                        budget("blue", null, 9, 1000, null, 0),
                        new Account.DisruptionRequest(task(5, 0), "c", false, 0, 1),
                        NOW)
                .contains("CPU s of the hour"));
        a.foldExpiredSlots(NOW + 2 * 3_600_000);
        assertNull(a.refusalReason(
                budget("blue", null, 9, 1000, null, 0),
                new Account.DisruptionRequest(task(5, 0), "c", false, 0, 1),
                NOW + 2 * 3_600_000));
        assertEquals(5000, a.sums().get("c MACHINE").cpuS(), "sums are kept");
    }

    /** A stored account reads back equal, and a refund removes the charge completely. */
    @Test
    void storedAccountReadsBackEqualAndRefundRemovesCharge() {
        SplittableRandom r = new SplittableRandom(5);
        Account a = new Account();
        for (int i = 0; i < 40; i++) {
            a.charge(
                    task(1 + i % 5, i),
                    new Account.Away(
                            i,
                            "c" + i % 2,
                            Cause.values()[r.nextInt(Cause.values().length)],
                            r.nextInt(50),
                            NOW + i * 60_000L));
        }
        a.foldExpiredSlots(NOW + 90 * 60_000);
        Account b = Account.parse(a.toNode());
        assertEquals(a.toNode(), b.toNode());
        assertEquals(a.sums(), b.sums());
        Account c = new Account();
        c.charge(task(1, 1), new Account.Away(1, "c", Cause.DRAIN, 30, NOW));
        c.refund(task(1, 1));
        assertEquals(
                new Account().toNode(),
                Account.parse(c.toNode()).copy().toNode().put("x", 0).without("x"));
        assertTrue(c.sums().isEmpty() && c.away().isEmpty());
    }

    @Test
    void nextMachinesFollowStepZoneAndSpareLimits() throws MalformedMessageException {
        DrainLimits p = DrainLimits.parse(
                Codec.map()
                        .put("canary", 2)
                        .put("atOnce", 6)
                        .put("perZone", 3)
                        .put("spare", 0)
                        .put("holdS", 60),
                true);
        List<ReplacementSteps.PendingMachine> waiting = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            waiting.add(new ReplacementSteps.PendingMachine(
                    new MachineId("m-" + (10 + i)), i % 4 == 0 ? "b" : "a", 100 - i, 1));
        }
        List<MachineId> first = ReplacementSteps.nextMachines(
                p, new ReplacementSteps.ReplacementState(waiting, Map.of(), 0, 0, 0), NOW);
        assertEquals(2, first.size());
        assertEquals(new MachineId("m-29"), first.get(0), "the machine that loses least comes first");
        assertEquals(
                List.of(),
                ReplacementSteps.nextMachines(
                        p, new ReplacementSteps.ReplacementState(waiting, Map.of("a", 2), 0, 0, 0), NOW),
                "the first step must be complete");
        assertEquals(
                List.of(),
                ReplacementSteps.nextMachines(
                        p, new ReplacementSteps.ReplacementState(waiting, Map.of(), 2, NOW - 59_000, 0), NOW),
                "the hold time must have passed");
        List<MachineId> next = ReplacementSteps.nextMachines(
                p, new ReplacementSteps.ReplacementState(waiting, Map.of("a", 1), 2, NOW - 60_000, 0), NOW);
        assertEquals(5, next.size());
        assertEquals(
                2,
                next.stream()
                        .filter(h -> Integer.parseInt(h.text().substring(2)) % 4 != 2)
                        .count(),
                "three in a zone at once: " + next);
        DrainLimits spare =
                DrainLimits.parse(Codec.map().put("canary", 0).put("atOnce", 6).put("spare", 4), true);
        assertEquals(
                3,
                ReplacementSteps.nextMachines(
                                spare, new ReplacementSteps.ReplacementState(waiting, Map.of("a", 1), 0, 0, 4), NOW)
                        .size(),
                "one spare for each machine that is being drained");
        assertNull(ReplacementSteps.pauseReason(new ReplacementSteps.Health(0, 0, 0, 0, 1, "", 0, 100)));
        assertNotNull(ReplacementSteps.pauseReason(new ReplacementSteps.Health(6, 3, 0, 0, 1, "", 0, 100)));
        assertNotNull(ReplacementSteps.pauseReason(new ReplacementSteps.Health(0, 0, 0, 0, 0.5, "class:c", 0, 100)));
        assertNotNull(ReplacementSteps.pauseReason(new ReplacementSteps.Health(0, 0, 0, 0, 1, "", 30, 1000)));
        assertNotNull(ReplacementSteps.pauseReason(new ReplacementSteps.Health(0, 0, 0, 0, 1, "", 5, 20)));
        assertNull(ReplacementSteps.pauseReason(new ReplacementSteps.Health(0, 0, 0, 0, 1, "", 5, 200)));
    }

    /** Machines rented after the request are never selected; a share selects the same machines each time. */
    @Test
    void selectorMatchesOnlyOlderMachinesAndAStableShare() throws MalformedMessageException {
        Selector share = Selector.parse(Codec.map().put("share", 0.25).put("type", "c8"));
        int n = 0;
        for (int i = 0; i < 2000; i++) {
            Selector.MachineProperties old =
                    new Selector.MachineProperties(new MachineId("m-" + i), "c8", "a", true, NOW - 1000);
            boolean selected = share.matches(old, NOW);
            n += selected ? 1 : 0;
            assertEquals(selected, Selector.parse(node(share)).matches(old, NOW));
            assertFalse(share.matches(new Selector.MachineProperties(old.id(), "c8", "a", true, NOW + 1), NOW));
            assertFalse(share.matches(new Selector.MachineProperties(old.id(), "c4", "a", true, NOW - 1000), NOW));
        }
        assertTrue(n > 420 && n < 580, n + " of 2000");
        Selector old = Selector.parse(Codec.map().put("olderThanS", 3600).put("spot", false));
        assertTrue(old.matches(
                new Selector.MachineProperties(new MachineId("m-1"), "c8", "a", false, NOW - 3_700_000), NOW));
        assertFalse(old.matches(
                new Selector.MachineProperties(new MachineId("m-1"), "c8", "a", true, NOW - 3_700_000), NOW));
        assertFalse(
                old.matches(new Selector.MachineProperties(new MachineId("m-1"), "c8", "a", false, 0), NOW),
                "of unknown age");
        ObjectNode named = Codec.map();
        named.putArray("machines").add("m-7");
        assertTrue(Selector.parse(named)
                .matches(new Selector.MachineProperties(new MachineId("m-7"), "c8", "a", false, NOW + 5), NOW));
        assertThrows(MalformedMessageException.class, () -> Selector.parse(Codec.map()));
        assertThrows(
                MalformedMessageException.class,
                () -> Selector.parse(named.deepCopy().put("zone", "a")));
        assertThrows(
                MalformedMessageException.class,
                () -> Selector.parse(Codec.map().put("share", 1.5)));
    }

    private static ObjectNode node(Selector s) {
        ObjectNode n = Codec.map();
        s.writeTo(n);
        return n;
    }

    @ParameterizedTest
    @CsvSource({
        "2026-12-02T21:59+09:00, true",
        "2026-12-02T22:00+09:00, false",
        "2026-12-03T05:59+09:00, false",
        "2026-12-03T06:00+09:00, true",
        "2026-12-05T23:00+09:00, true",
        "2026-12-06T03:00+09:00, true",
        "2026-12-07T03:00+09:00, true",
        "2026-12-07T23:00+09:00, false"
    })
    void schedulePausesOutsideWorkingHoursAndOnClosedDays(String at, boolean paused) throws MalformedMessageException {
        PauseSchedule r = PauseSchedule.parse(Codec.map()
                        .put("from", "22:00")
                        .put("to", "06:00")
                        .put("clock", "Asia/Tokyo")
                        .put("calendar", "kyushu"))
                .withClosedDays(d -> d.getDayOfWeek().getValue() > 5, NOW);
        PauseSchedule stored = new PauseSchedule(
                r.from(),
                r.to(),
                r.zone(),
                r.calendar(),
                java.util.Set.of(LocalDate.parse("2026-12-05"), LocalDate.parse("2026-12-06")));
        assertEquals(paused, stored.isPaused(ZonedDateTime.parse(at).toInstant().toEpochMilli()), at);
        assertFalse(PauseSchedule.NEVER.isPaused(NOW));
    }

    /** Stored drains and budgets read back equal; errors for invalid input name the field, the value and the allowed range. */
    @Test
    void storedDrainReadsBackEqualAndInvalidFieldsAreRejected() throws MalformedMessageException {
        ObjectNode n = Codec.map()
                .put("zone", "a")
                .put("replace", true)
                .put("with", "c16")
                .put("canary", 2)
                .put("atOnce", 5)
                .put("waitS", 120)
                .put("inS", 600);
        Drain d = Drain.fromRequest("night", n, NOW).asNextVersionOf(null, "ops", NOW, "old kernels");
        assertEquals(d, Drain.parse(d.toNode()));
        Drain paused = d.withState(Drain.State.PAUSED, "paused", "ops", NOW + 5, "too loud");
        assertEquals(2, paused.number());
        assertEquals(paused, Drain.parse(paused.toNode()));
        for (String[] bad : new String[][] {{"atOnce", "0"}, {"waitS", "-1"}, {"inS", "0"}, {"olderThanS", "-5"}}) {
            MalformedMessageException e = assertThrows(
                    MalformedMessageException.class,
                    () -> Drain.fromRequest("night", n.deepCopy().put(bad[0], Integer.parseInt(bad[1])), NOW));
            assertTrue(
                    e.getMessage().startsWith(bad[0] + " = " + bad[1])
                            && e.getMessage().contains("expected"),
                    e.getMessage());
        }
        assertThrows(
                MalformedMessageException.class,
                () -> Drain.fromRequest("night", n.deepCopy().put("keep", true), NOW));
        assertThrows(MalformedMessageException.class, () -> Drain.fromRequest("a/b", n, NOW));
        DisruptionBudget b = DisruptionBudget.fromRequest(
                Codec.map().put("team", "blue").put("leastUp", 0.5), "ops", NOW, "because", 3);
        assertEquals(b, DisruptionBudget.parse(b.toNode()));
        assertEquals(2, b.maxReplicasAway(5));
        assertThrows(
                MalformedMessageException.class,
                () -> DisruptionBudget.fromRequest(
                        Codec.map().put("team", "blue").put("leastUp", 1.5), "ops", NOW, "", 1));
    }

    /** An account with many classes and tasks fits a record: its slots are merged, and the sum of the last hour never shrinks. */
    @Test
    void accountWithManyClassesAndTasksFitsRecord() {
        Account a = new Account();
        for (int i = 0; i < 3000; i++) {
            a.charge(
                    task(1 + i % 9, i),
                    new Account.Away(i, "class-" + i % 40, Cause.values()[i % 3 == 0 ? 3 : 7], 1, NOW + i * 1000L));
        }
        for (int i = 0; i < 60; i++) {
            a.charge(task(1 + i % 9, i), new Account.Away(i, "class-" + i % 40, Cause.DRAIN, 1, NOW + 3_000_000));
        }
        double hour = a.lastHour(null, NOW + 3_000_000).cpuS();
        a.mergeSlots();
        assertEquals(hour, a.lastHour(null, NOW + 3_000_000).cpuS(), 1e-6);
        assertTrue(Codec.jsonBytes(a.toNode()) < 8 * 1024, Codec.jsonBytes(a.toNode()) + " bytes");
        a.refund(task(1, 0));
        assertEquals(hour - 1, a.lastHour(null, NOW + 3_000_000).cpuS(), 1e-6);
    }
}
