package org.beechhoist.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.LocalDate;
import java.time.OffsetDateTime;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.beechhoist.cron.ReferenceCron;
import org.beechhoist.wire.Codec;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * A year of a cron table by a time of day that runs a thousand times faster than steady clocks: three controllers that are
 * killed, a state service that goes out, clocks that step. Every run expected by the plain reading of the table is made once;
 * of a line that runs once after a time without service, the last missed one.
 */
@Tag("trial")
class CalendarTrial {
    private static final long RATE = 1000;
    private static final long DAY_MS = 86_400_000L;
    /** A leader's change takes hours by this time of day; runs that come in it are late or missed. */
    private static final long GAP_MS = 36 * 3_600_000L;

    private record Line(ReferenceCron plain, String options, boolean all) {}

    @Test
    void aYear() {
        long seed = Long.getLong("trial.seed", 1);
        SplittableRandom random = new SplittableRandom(seed);
        int year = seed == 1 ? 2026 : 2024 + random.nextInt(12);
        Instant start =
                OffsetDateTime.of(year - 1, 12, 30, 0, 0, 0, 0, ZoneOffset.UTC).toInstant();
        Instant end =
                OffsetDateTime.of(year + 1, 1, 2, 0, 0, 0, 0, ZoneOffset.UTC).toInstant();
        Map<LocalDate, String> holidays = holidays(year, random);
        List<Line> lines = lines(holidays);
        World w = new World(seed, WorldScale.SMALL.with(CronSimulationTest.ON), start.toEpochMilli(), RATE);
        Map<Integer, Map<Instant, Integer>> fired = new HashMap<>();
        w.entered = j -> {
            String[] from = j.spec.origin().split(", ");
            fired.computeIfAbsent(Integer.parseInt(from[1].substring("line ".length())), k -> new TreeMap<>())
                    .merge(OffsetDateTime.parse(from[2]).toInstant(), 1, Integer::sum);
        };
        install(w, lines, holidays);
        int[] crashes = new int[1];
        int[] outages = new int[1];
        w.every(400_000, () -> {
            if (w.wall() < end.toEpochMilli() - 20 * DAY_MS) {
                if (random.nextInt(2) == 0) {
                    crashes[0]++;
                    boolean all = random.nextInt(3) == 0;
                    for (int i = 0; i < 3; i++) {
                        if (all || i == 0) {
                            w.crash(all ? i : random.nextInt(3), 3000 + random.nextInt(20_000));
                        }
                    }
                } else {
                    outages[0]++;
                    w.stateOutage(3000 + random.nextInt(20_000));
                }
            }
        });
        w.every(60_000, () -> w.stepClock(random.nextInt(3), random.nextInt(-100, 101)));
        w.runUntil((end.toEpochMilli() - start.toEpochMilli()) / RATE);
        judge(seed, year, start, end, holidays, lines, fired, crashes[0], outages[0]);
    }

    private static Map<LocalDate, String> holidays(int year, SplittableRandom random) {
        Map<LocalDate, String> out = new TreeMap<>();
        for (int m = 1; m <= 12; m++) {
            out.put(LocalDate.of(year, m, 1 + random.nextInt(28)), "holiday of month " + m);
        }
        out.put(LocalDate.of(year, 5, 4), "a Golden Week");
        out.put(LocalDate.of(year, 5, 5), "a Golden Week");
        return out;
    }

    private static List<Line> lines(Map<LocalDate, String> holidays) {
        List<Line> out = new ArrayList<>();
        Map<LocalDate, String> none = Map.of();
        out.add(new Line(new ReferenceCron("30 2 * * *", "America/New_York", none, true, false), "", false));
        out.add(new Line(
                new ReferenceCron("30 1 * * *", "Europe/Berlin", none, true, false), "missed=all most=100", true));
        out.add(new Line(
                new ReferenceCron("15 2 * * 0", "Australia/Lord_Howe", none, true, false),
                "missed=all most=100",
                true));
        out.add(new Line(new ReferenceCron("0 */6 * * *", "UTC", none, true, false), "missed=all most=100", true));
        out.add(new Line(new ReferenceCron("0 0 29 2 *", "UTC", none, true, false), "", false));
        out.add(new Line(
                new ReferenceCron("0 12 31 * *", "Asia/Tokyo", none, true, false), "missed=all most=100", true));
        out.add(new Line(
                new ReferenceCron("0 3 13 * 5", "America/Costa_Rica", none, true, false), "missed=all most=100", true));
        out.add(new Line(
                new ReferenceCron("30 1 * * *", "Asia/Tokyo", holidays, true, false), "missed=all most=100", true));
        out.add(new Line(
                new ReferenceCron("0 5 * * 1,3,5", "America/Costa_Rica", holidays, false, true),
                "missed=all most=100",
                true));
        out.add(new Line(
                new ReferenceCron("0 5 1,15 * *", "America/Costa_Rica", holidays, false, true), "missed=once", false));
        return out;
    }

    private static void install(World w, List<Line> lines, Map<LocalDate, String> holidays) {
        for (String name : List.of("holidays", "business")) {
            ObjectNode c = Codec.map().put("version", "1");
            if (name.equals("business")) {
                List.of("mon", "tue", "wed", "thu", "fri").forEach(c.withArray("/business")::add);
            }
            holidays.forEach((d, what) -> c.withArray("/holidays")
                    .addObject()
                    .put("date", d.toString())
                    .put("name", what));
            w.request("POST", "/v1/calendars/" + name, c, a -> assertEquals(200, a.status()));
        }
        w.runUntil(20_000);
        StringBuilder text =
                new StringBuilder("team blue\njob j { cores = 1.0, memGb = 1.0, bundle = \"img-0\", guessS = 0.5 }\n");
        for (Line l : lines) {
            boolean closed = !l.plain.holidays().isEmpty();
            text.append("zone ")
                    .append(l.plain.zone())
                    .append("\ncalendar ")
                    .append(
                            !closed
                                    ? "none"
                                    : (l.plain.weekends() ? "holidays" : "business") + " holiday "
                                            + (l.plain.next() ? "next" : "skip"))
                    .append('\n')
                    .append(l.plain.fields())
                    .append(" j ")
                    .append(l.options)
                    .append('\n');
        }
        CronSimulationTest.install(w, "year", text.toString());
    }

    /** Noon of every 31st in Tokyo in 2026, written by hand; the sweep is judged until the morning of the last. */
    private static List<Instant> byHand() {
        return List.of("2025-12-31", "2026-01-31", "2026-03-31", "2026-05-31", "2026-07-31", "2026-08-31", "2026-10-31")
                .stream()
                .map(d -> Instant.parse(d + "T03:00:00Z"))
                .toList();
    }

    private static void judge(
            long seed,
            int year,
            Instant start,
            Instant end,
            Map<LocalDate, String> holidays,
            List<Line> lines,
            Map<Integer, Map<Instant, Integer>> fired,
            int crashes,
            int outages) {
        int expected = 0;
        int made = 0;
        int doubled = 0;
        int dropped = 0;
        int unexpected = 0;
        int onHoliday = 0;
        int caughtUp = 0;
        Instant from = start.plusMillis(40_000 * RATE);
        for (int i = 0; i < lines.size(); i++) {
            Line l = lines.get(i);
            Map<Instant, Integer> runs = new TreeMap<>(fired.getOrDefault(5 + 3 * i, Map.of()));
            Instant until = end.minusSeconds(86_400 * 2);
            runs.keySet().removeIf(t -> !t.isAfter(from) || t.isAfter(until));
            List<Instant> wanted =
                    year == 2026 && l.plain.fields().equals("0 12 31 * *") ? byHand() : l.plain.between(from, until);
            expected += wanted.size();
            made += runs.size();
            doubled += (int) runs.values().stream().filter(n -> n > 1).count();
            TreeSet<Instant> known = new TreeSet<>(l.plain.between(start, end));
            unexpected +=
                    (int) runs.keySet().stream().filter(t -> !known.contains(t)).count();
            for (Instant t : runs.keySet()) {
                onHoliday += l.plain
                                .holidays()
                                .containsKey(t.atZone(java.time.ZoneId.of(l.plain.zone()))
                                        .toLocalDate())
                        ? 1
                        : 0;
            }
            for (Instant t : wanted) {
                if (!runs.containsKey(t)) {
                    // Missed: one later run, soon after, stands for it, and only where a line says so.
                    Instant instead = runs.keySet().stream()
                            .filter(r -> r.isAfter(t))
                            .findFirst()
                            .orElse(null);
                    boolean stands = !l.all && instead != null && instead.toEpochMilli() - t.toEpochMilli() <= GAP_MS;
                    caughtUp += stands ? 1 : 0;
                    dropped += stands ? 0 : 1;
                }
            }
        }
        System.out.printf(
                "trial: calendar seed=%d year=%d lines=%d expected=%d fired=%d doubled=%d dropped=%d unexpected=%d on_a_holiday=%d"
                        + " stood_for_by_a_later_run=%d crashes=%d outages=%d%n",
                seed,
                year,
                lines.size(),
                expected,
                made,
                doubled,
                dropped,
                unexpected,
                onHoliday,
                caughtUp,
                crashes,
                outages);
        assertEquals("0 0 0 0", doubled + " " + dropped + " " + unexpected + " " + onHoliday);
        assertEquals(expected, made + caughtUp);
        assertTrue(expected > 2500);
        assertTrue(crashes > 10 && outages > 10);
    }
}
