package org.beechhoist.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.beechhoist.config.Policy;
import org.beechhoist.release.Release;
import org.beechhoist.release.ReleaseOrder;
import org.beechhoist.standin.StateService;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MalformedMessageException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The release calendar: docs/design/releases.md. The protocol's rules are checked throughout. */
class ReleaseTest {
    static final Policy ON = Policy.DEFAULT.withReleases(true).withKeySets(true);

    static World world(long seed, int nodes, int perKind, Policy policy) {
        Extent x = Extent.strict();
        x.leaseS = 26;
        return new World(seed, new WorldScale(nodes, perKind, 3000, 500, StateService.KEPT_CHANGES, policy).with(x));
    }

    /** The nearest date first, in whatever order jobs came, through falls of all controllers; others are not starved for it. */
    @ParameterizedTest
    @CsvSource({"none", "leader", "all", "outage", "cut_off"})
    void theNearestDateGoesFirst(String trouble) {
        for (long seed = 1; seed <= 2; seed++) {
            World w = world(400 + seed, 5, 1, ON);
            Ships s = new Ships(w);
            String[] names = {"later", "nearest", "between"};
            long[] dates = {420_000, 250_000, 330_000};
            for (int i = 0; i < 3; i++) {
                int r = i;
                w.later(500, () -> s.put(names[r], "maker-" + r, dates[r]));
            }
            for (int i = 0; i < 12; i++) {
                int r = i % 4;
                w.later(5000 + 1500L * i, () -> s.submit(r == 3 ? null : names[r], 14, 12));
            }
            List<long[]> quiet = new ArrayList<>();
            if (!trouble.equals("none")) {
                quiet.add(new long[] {70_000, 100_000}); // a leader's first plans know machines that have spoken
                w.later(70_000, () -> {
                    switch (trouble) {
                        case "leader" -> w.crash(w.leader(), 200);
                        case "all" -> w.crashAll(i -> 300 + 200L * i);
                        case "outage" -> w.stateOutage(15_000);
                        default -> w.isolate(w.leader(), false, 25_000);
                    }
                });
            }
            w.runUntil(600_000);
            assertEquals(List.of(), w.unfinished());
            int against = s.againstOrder(0, 600_000, quiet);
            assertEquals(0, against, trouble + ", seed " + seed + ": " + s.firstAgainst);
            assertEquals(3, s.met(), trouble + ", seed " + seed + ": dates met");
        }
    }

    /** A date that is moved while jobs run changes the order from the next plan on; who moved it, and whose order it changed, is kept. */
    @Test
    void aMovedDateChangesTheOrder() {
        World w = world(411, 3, 1, ON);
        Ships s = new Ships(w);
        w.later(500, () -> s.put("one", "a", 400_000));
        w.later(500, () -> s.put("two", "b", 300_000));
        w.later(4000, () -> {
            for (int i = 0; i < 5; i++) {
                s.submit("one", 12, 12);
                s.submit("two", 12, 12);
            }
        });
        w.runUntil(60_000);
        s.move("one", 200_000);
        w.runUntil(66_000);
        JsonNode[] shown = new JsonNode[1];
        w.request("GET", "/v1/releases/one", null, a -> shown[0] = a.body());
        w.later(3000, () -> w.crashAll(i -> 500));
        w.runUntil(68_000);
        assertEquals("b", shown[0].path("history").get(1).path("who").asText());
        assertTrue(shown[0].path("reordered").path("jobs").asInt() > 0, shown[0].toString());
        w.runUntil(500_000);
        assertEquals(List.of(), w.unfinished());
        assertEquals(0, s.againstOrder(66_000, 500_000, List.of(new long[] {69_000, 85_000})));
        // Removed, its jobs go as those without a release.
        w.request(
                "POST",
                "/v1/releases/two/remove",
                Codec.map().put("who", "c").put("why", "withdrawn"),
                a -> assertEquals(200, a.status()));
        w.runUntil(505_000);
        assertEquals(1, view(w).size());
        int[] status = new int[2];
        int other = (w.leader() + 1) % 3;
        w.at(other, "GET", "/v1/releases", new byte[0], a -> status[0] = a.status());
        w.at(other, "GET", "/v1/releases/", new byte[0], a -> status[1] = a.status());
        w.runUntil(506_000);
        assertEquals(421, status[0], "the leading node makes the forecast");
        assertEquals(200, status[1], "the order is known to all");
    }

    private static JsonNode view(World w) {
        return w.view("/v1/releases").path("releases");
    }

    /** What is at risk is said, with its cause, early enough: too little time, or a job that is held for its key set. */
    @Test
    void whatIsAtRiskIsSaid() {
        World w = world(412, 3, 1, ON);
        KeySetRules keys = new KeySetRules(w);
        Ships s = new Ships(w);
        w.later(500, () -> keys.make("release", "blue", "AB:CD:EF:01"));
        w.later(500, () -> s.put("soon", "a", 90_000));
        w.later(500, () -> s.put("held", "b", 600_000));
        w.runUntil(4000);
        for (int i = 0; i < 8; i++) {
            s.submit("soon", 20, 20);
        }
        w.submit("exact", false, 4, 4, 10, n -> n.put("owner", "blue")
                .put("loaner", true)
                .put("release", "held")
                .put("keySet", "release"));
        w.runUntil(8000);
        keys.revoke("release", 1, () -> {});
        w.runUntil(40_000);
        JsonNode rows = leaderView(w);
        assertEquals("soon", rows.get(0).path("name").asText());
        assertTrue(rows.get(0).path("atRisk").asText().startsWith("machines"), rows.toString());
        assertTrue(rows.get(1).path("atRisk").asText().startsWith("key set"), rows.toString());
        assertEquals(160, rows.get(0).path("tasksAsked").asInt(), rows.toString());
        w.runUntil(100_000);
        assertEquals("overdue", leaderView(w).get(0).path("atRisk").asText());
    }

    private static JsonNode leaderView(World w) {
        JsonNode[] out = new JsonNode[1];
        w.at(w.leader(), "GET", "/v1/releases", new byte[0], a -> out[0] = a.body());
        w.runUntil(w.now + 10);
        return out[0].path("releases");
    }

    /** Bad input gets one line with field, value and what is allowed, and changes nothing. */
    @Test
    void badInputIsRefused() {
        World w = world(413, 3, 1, ON);
        w.runUntil(3000);
        String good =
                "{\"maker\":\"m\",\"ship\":\"2999-01-01T10:00\",\"zone\":\"Asia/Tokyo\",\"who\":\"a\",\"why\":\"b\"}";
        for (String[] bad : new String[][] {
            {"2999-01-01T10:00", "tomorrow"},
            {"Asia/Tokyo", "Mars"},
            {"2999", "1999"},
            {"\"m\"", "\"\""},
            {"\"who\"", "\"leadDays\":99,\"who\""},
            {"\"who\"", "\"calendar\":\"none\",\"who\""},
            {"\"who\"", "\"team\":\"none\",\"who\""}
        }) {
            String[] told = new String[1];
            w.request(
                    "POST",
                    "/v1/releases/x/put",
                    json(good.replace(bad[0], bad[1])),
                    a -> told[0] = a.status() + " " + a.body().path("error").asText());
            w.runUntil(w.now + 2000);
            assertTrue(told[0].matches("400 .*expected.*|400 .*leadDays.*"), bad[1] + ": " + told[0]);
        }
        assertEquals(List.of(), w.keys("rl/"));
    }

    private static com.fasterxml.jackson.databind.node.ObjectNode json(String text) {
        try {
            return (com.fasterxml.jackson.databind.node.ObjectNode)
                    new com.fasterxml.jackson.databind.ObjectMapper().readTree(text);
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Lead in business days, and hours that the clocks leave out or go through twice. */
    @Test
    void theFactoryMoment() throws MalformedMessageException {
        ZoneId tokyo = ZoneId.of("Asia/Tokyo");
        LocalDateTime monday = LocalDateTime.of(2026, 12, 21, 9, 0);
        java.util.function.Predicate<LocalDate> week = d -> d.getDayOfWeek().getValue() <= 5;
        assertEquals(
                LocalDateTime.of(2026, 12, 17, 9, 0).atZone(tokyo).toInstant().toEpochMilli(),
                Release.computeDueMs(monday, tokyo, 2, week));
        assertEquals(
                LocalDateTime.of(2026, 12, 19, 9, 0).atZone(tokyo).toInstant().toEpochMilli(),
                Release.computeDueMs(monday, tokyo, 2, d -> true));
        ZoneId berlin = ZoneId.of("Europe/Berlin");
        assertEquals(
                java.time.Instant.parse("2026-03-29T01:30:00Z").toEpochMilli(),
                Release.computeDueMs(LocalDateTime.of(2026, 3, 29, 2, 30), berlin, 0, week),
                "the gap");
        assertEquals(
                java.time.Instant.parse("2026-10-25T00:30:00Z").toEpochMilli(),
                Release.computeDueMs(LocalDateTime.of(2026, 10, 25, 2, 30), berlin, 0, week),
                "twice");
        assertThrows(MalformedMessageException.class, () -> Release.computeDueMs(monday, tokyo, 2, d -> false));
    }

    /** The order: nearest first, what is late after it, and no maker over everybody; for every leader the same. */
    @Test
    void theOrder() throws MalformedMessageException {
        long now = 1_000_000;
        List<ReleaseOrder.OpenJob> open = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            open.add(new ReleaseOrder.OpenJob(new JobId("job-1" + i), release("greedy", now + 500), i, 100));
        }
        open.add(new ReleaseOrder.OpenJob(new JobId("job-20"), release("late", now - 1000), 0, 100));
        open.add(new ReleaseOrder.OpenJob(new JobId("job-21"), release("later", now - 5000), 0, 100));
        open.add(new ReleaseOrder.OpenJob(new JobId("job-22"), release("far", now + 9000), 0, 100));
        open.add(new ReleaseOrder.OpenJob(new JobId("job-30"), null, 0, 100));
        Map<JobId, Long> keys = ReleaseOrder.sortKeys(open, now);
        assertEquals(
                12,
                keys.keySet().stream().filter(r -> r.text().startsWith("job-1")).count(),
                "three quarters of all that is open");
        assertTrue(keys.get(new JobId("job-10")) < keys.get(new JobId("job-22")));
        assertTrue(keys.get(new JobId("job-22")) < keys.get(new JobId("job-20")));
        assertTrue(keys.get(new JobId("job-20")) < keys.get(new JobId("job-21")));
        assertEquals(null, keys.get(new JobId("job-30")));
        java.util.Collections.reverse(open);
        assertEquals(keys, ReleaseOrder.sortKeys(open, now));
        assertEquals(
                12,
                ReleaseOrder.sortKeys(
                                open.stream()
                                        .filter(o -> o.release() != null
                                                && o.release().maker().equals("greedy"))
                                        .toList(),
                                now)
                        .size(),
                "alone there is no bound");
    }

    private static Release release(String maker, long due) {
        return new Release(
                maker,
                maker,
                "",
                LocalDateTime.of(2026, 1, 1, 0, 0),
                ZoneId.of("UTC"),
                0,
                null,
                null,
                null,
                null,
                due,
                1,
                false,
                List.of());
    }

    /** Jobs that nobody has submitted yet are in no plan: the forecasts made so far are held against what happened, and the next ones are nearer; over a leader's fall too. */
    @Test
    void forecastsLearnFromWhatHappened() {
        World w = world(460, 3, 1, ON);
        Ships s = new Ships(w);
        int releases = 16;
        double[][] error = new double[2][2];
        for (int i = 0; i < releases; i++) {
            String name = "r-" + i;
            long from = 5000 + 150_000L * i;
            int later = i;
            w.later(from, () -> s.put(name, "maker", w.now + 900_000));
            for (int k = 0; k < 5; k++) { // its jobs come one after the other, each when the last is nearly over
                w.later(from + 2000 + 22_000L * k, () -> s.submit(name, 8, 25));
            }
            w.later(from + 27_000, () -> {
                JsonNode view = w.view("/v1/releases");
                for (JsonNode row : view == null ? List.<JsonNode>of() : view.path("releases")) {
                    if (row.path("name").asText().equals(name) && row.has("endsInS")) {
                        double plan = row.path("endsInSByPlan").asDouble();
                        double told = row.path("endsInS").asDouble();
                        long at = w.now;
                        w.later(115_000, () -> {
                            long end = w.allJobs().stream()
                                    .filter(j -> name.equals(
                                            s.releaseOf.get(j.spec.id().text())))
                                    .mapToLong(j -> j.doneAt)
                                    .max()
                                    .orElse(0);
                            error[later < releases / 2 ? 0 : 1][0] += Math.abs((end - at) / 1000.0 - plan);
                            error[later < releases / 2 ? 0 : 1][1] += Math.abs((end - at) / 1000.0 - told);
                        });
                    }
                }
            });
        }
        w.later(150_000L * 10 + 60_000, () -> w.crash(w.leader(), 300));
        w.runUntil(150_000L * releases + 200_000);
        assertEquals(List.of(), w.unfinished());
        assertTrue(error[1][0] > 100, "the plan alone is off by " + error[1][0] + " s");
        assertTrue(
                error[1][1] < 0.6 * error[1][0],
                "off by " + error[1][1] + " s, the plan alone by " + error[1][0] + " s");
    }
}
