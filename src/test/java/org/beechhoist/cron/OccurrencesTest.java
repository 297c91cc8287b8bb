package org.beechhoist.cron;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.beechhoist.wire.MalformedMessageException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OccurrencesTest {
    static final String HEAD = "team ours\njob j { cores = 1.0, memGb = 1, bundle = \"i\" }\n";

    static Schedule line(String zone, String line) {
        try {
            return CronTable.parse("t", HEAD + "zone " + zone + "\n" + line + "\n", 0)
                    .get(0);
        } catch (CronTable.InvalidTableException e) {
            throw new IllegalStateException(line + ": " + e.getMessage(), e);
        }
    }

    private static String runs(String zone, String fields, String from, int most) {
        Schedule e = line(zone, fields + " j");
        return Occurrences.between(
                        e, null, Instant.parse(from), Instant.parse(from).plus(Duration.ofDays(4000)), most)
                .stream()
                .map(t -> t.atZone(e.zone()).toOffsetDateTime().toString())
                .collect(Collectors.joining(" "));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // Gap in New York on 2026-03-08 at 2:00: times in the gap run once, at its end.
                "America/New_York|30 2 8 3 *|2026-01-01T00:00:00Z|1|2026-03-08T03:00-04:00",
                "America/New_York|0,30 2 8 3 *|2026-01-01T00:00:00Z|2|2026-03-08T03:00-04:00 2027-03-08T02:00-05:00",
                // Repeated hour on 2026-11-01 at 1:00: runs once, the first time.
                "America/New_York|30 1 * * *|2026-11-01T00:00:00Z|2|2026-11-01T01:30-04:00 2026-11-02T01:30-05:00",
                // Hour field *: runs in each of the repeated hours, not in the gap.
                "America/New_York|30 * * * *|2026-11-01T04:59:00Z|3|2026-11-01T01:30-04:00 2026-11-01T01:30-05:00 2026-11-01T02:30-05:00",
                "America/New_York|30 * * * *|2026-03-08T06:00:00Z|2|2026-03-08T01:30-05:00 2026-03-08T03:30-04:00",
                // Daylight saving of half an hour.
                "Australia/Lord_Howe|15 2 * * *|2026-10-03T00:00:00Z|2|2026-10-04T02:30+11:00 2026-10-05T02:15+11:00",
                // Changed zone rules: Mexico ended daylight saving after 2022.
                "America/Mexico_City|30 2 * 4 0|2022-04-01T00:00:00Z|1|2022-04-03T03:00-05:00",
                "America/Mexico_City|30 2 * 4 0|2023-04-01T00:00:00Z|1|2023-04-02T02:30-06:00",
                "UTC|0 0 29 2 *|2026-01-01T00:00:00Z|2|2028-02-29T00:00Z 2032-02-29T00:00Z",
                "UTC|0 0 31 * *|2026-01-31T00:00:00Z|3|2026-03-31T00:00Z 2026-05-31T00:00Z 2026-07-31T00:00Z",
                "UTC|0 0 13 * 5|2026-02-10T00:00:00Z|3|2026-02-13T00:00Z 2026-02-20T00:00Z 2026-02-27T00:00Z",
                "UTC|0 0 13 * *|2026-02-10T00:00:00Z|2|2026-02-13T00:00Z 2026-03-13T00:00Z",
                "UTC|5-59/20 0 1 JAN sun-tue|2026-01-01T00:00:00Z|4|2026-01-01T00:05Z 2026-01-01T00:25Z 2026-01-01T00:45Z 2026-01-04T00:05Z",
                "UTC|@weekly|2026-01-01T00:00:00Z|1|2026-01-04T00:00Z"
            })
    void lineRunsAtExpectedTimes(String zone, String fields, String from, int most, String expected) {
        assertEquals(expected, runs(zone, fields, from, most));
    }

    static Calendar japan() {
        try {
            return CalendarFile.read(
                    Path.of("deploy/example/calendars/jp-holidays.toml"), "jp", null, LocalDate.MIN, LocalDate.MAX);
        } catch (MalformedMessageException | java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static Calendar costaRica() {
        try {
            return CalendarFile.read(
                    Path.of("deploy/example/calendars/cr-business.ics"),
                    "cr",
                    List.of("mon", "tue", "wed", "thu", "fri"),
                    LocalDate.of(2026, 1, 1),
                    LocalDate.of(2028, 1, 1));
        } catch (MalformedMessageException | java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Expected days, taken by hand from the calendars: Golden Week in Japan; Holy Week in Costa Rica and the moved runs after it. */
    @Test
    void closedDaysAreSkippedOrMovedToNextBusinessDay() {
        Schedule skip = line("Asia/Tokyo", "calendar jp holiday skip\n30 1 * * 1-5 j");
        List<String> days = Occurrences.between(
                        skip, japan(), Instant.parse("2026-04-27T00:00:00Z"), Instant.parse("2026-05-09T00:00:00Z"), 99)
                .stream()
                .map(t -> t.atZone(skip.zone()).toLocalDate().toString())
                .toList();
        assertEquals(List.of("2026-04-28", "2026-04-30", "2026-05-01", "2026-05-07", "2026-05-08"), days);
        List<String> why = new ArrayList<>();
        Occurrences.reportClosedDays(
                skip, japan(), LocalDate.of(2026, 4, 27), LocalDate.of(2026, 5, 9), (d, w) -> why.add(d + " " + w));
        assertEquals(
                List.of(
                        "2026-04-29 holiday: Showa Day",
                        "2026-05-04 holiday: Greenery Day",
                        "2026-05-05 holiday: Children's Day",
                        "2026-05-06 holiday: substitute holiday"),
                why);
        Schedule next = line("America/Costa_Rica", "calendar cr holiday next\n0 5 * * 4,6 j");
        days = Occurrences.between(
                        next,
                        costaRica(),
                        Instant.parse("2026-03-30T00:00:00Z"),
                        Instant.parse("2026-04-20T00:00:00Z"),
                        99)
                .stream()
                .map(t -> t.atZone(next.zone()).toOffsetDateTime().toString())
                .toList();
        // Holy Thursday and the Saturdays move to Mondays; Saturday 11 April is also a holiday.
        assertEquals(
                List.of(
                        "2026-03-30T05:00-06:00",
                        "2026-04-06T05:00-06:00",
                        "2026-04-09T05:00-06:00",
                        "2026-04-13T05:00-06:00",
                        "2026-04-16T05:00-06:00"),
                days);
    }

    /** Runs on the 1st and 15th or the next business day in Costa Rica, for all of 2026; the expected days were written by hand. */
    @Test
    void twiceMonthlyRunsOfAYearMatchExpectedDays() {
        Schedule e = line("America/Costa_Rica", "calendar cr holiday next\n0 5 1,15 * * j");
        assertEquals(
                "01-02 01-15 02-02 02-16 03-02 03-16 04-01 04-15 05-04 05-15 06-01 06-15 07-01 07-15 08-03 08-17 09-01 09-16 10-01 "
                        + "10-15 11-02 11-16 12-01 12-15",
                Occurrences.between(
                                e,
                                costaRica(),
                                Instant.parse("2026-01-01T00:00:00Z"),
                                Instant.parse("2026-12-31T00:00:00Z"),
                                99)
                        .stream()
                        .map(t -> t.atZone(e.zone()).toLocalDate().toString().substring(5))
                        .collect(Collectors.joining(" ")));
    }

    /** Compares random lines with the reference implementation, over two years with a leap day and all changes of the clock. */
    @Test
    void randomLinesMatchReferenceImplementation() {
        List<String> zones = List.of(
                "America/New_York",
                "Europe/Berlin",
                "Australia/Lord_Howe",
                "Asia/Tokyo",
                "America/Costa_Rica",
                "Africa/Casablanca");
        for (long seed = 0; seed < 60; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            String fields = field(r, 59) + " " + (r.nextInt(3) == 0 ? "*" : field(r, 23)) + " "
                    + (r.nextBoolean() ? "*" : 1 + r.nextInt(31)) + " "
                    + (r.nextBoolean() ? "*" : "*/" + (1 + r.nextInt(3))) + " "
                    + (r.nextBoolean() ? "*" : r.nextInt(4) + "-" + (4 + r.nextInt(3)));
            String zone = zones.get(r.nextInt(zones.size()));
            Instant from = Instant.parse("2027-02-01T00:00:00Z").plusSeconds(r.nextInt(400) * 86_400L);
            Instant until = from.plus(Duration.ofDays(40));
            Schedule e = line(zone, fields + " j");
            assertEquals(
                    new ReferenceCron(fields, zone, Map.of(), true, false).between(from, until),
                    Occurrences.between(e, null, from, until, 100_000),
                    "seed " + seed + ": " + fields + " " + zone);
        }
    }

    private static String field(SplittableRandom r, int most) {
        int a = r.nextInt(most + 1);
        return switch (r.nextInt(4)) {
            case 0 -> "*/" + (1 + r.nextInt(most / 2));
            case 1 -> a + "-" + most;
            case 2 -> a + "," + r.nextInt(most + 1);
            default -> Integer.toString(a);
        };
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "61 * * * * j|line 4, column 1: '61': a number from 0 to 59",
                "0 0 * FOO * j|'FOO': a number from 1 to 12 or jan to dec",
                "0 0 * * * k|'k': one of the jobs defined above is expected: j",
                "0 0 31 2 * j|'0 0 31 2 *': it never comes",
                "@often j|@daily",
                "0 0 * * * j missed=twice|'twice': one of once, none, all",
                "0 0 * * j|line's end",
                "0 5-3 * * * j|the first of a range",
                "0 0 * * * j pieces=0|pieces",
                "0 */99 * * * j|a step from 1 to 23",
                "0 0 * * * j overlap=|expected",
                "zone Asia/Tokio|a time zone such as",
                "? * * * * j|'?'"
            })
    void invalidLineIsRejectedWithExpectedText(String line, String part) {
        CronTable.InvalidTableException e = assertThrows(
                CronTable.InvalidTableException.class,
                () -> CronTable.parse("t", HEAD + "zone UTC\n" + line + "\n", 0));
        assertTrue(e.getMessage().contains(part) && e.getMessage().startsWith("line 4, column"), e.getMessage());
    }

    @Test
    void idsDependOnContentAndNotOnPosition() {
        Schedule a = line("UTC", "0 0 * * * j");
        Schedule b = line("UTC", "\n\n# later\n0 0 * * *   j");
        assertEquals(a.id(), b.id());
        assertNotEquals(a.id(), line("UTC", "0 0 * * * j pieces=2").id());
        assertEquals(a.jobId(Instant.ofEpochSecond(60)), b.jobId(Instant.ofEpochSecond(60)));
        assertNotEquals(a.jobId(Instant.ofEpochSecond(60)), a.jobId(Instant.ofEpochSecond(120)));
    }

    /** After several hours without a leader, one, none or the latest missed occurrences run; late occurrences are never skipped. */
    @Test
    void missedOccurrencesFollowThePolicy() {
        Instant back = Instant.parse("2026-06-01T10:30:00Z");
        Instant first = Instant.parse("2026-06-01T07:00:00Z");
        Schedule once = line("UTC", "0 * * * * j");
        assertEquals(
                new CatchUpDecision(back, back, 5),
                CatchUpDecision.decide(
                        line("UTC", "0,30 10 * * * j"), null, Instant.parse("2026-05-30T10:00:00Z"), back, back),
                "the occurrence at the time of the return runs");
        assertEquals(
                new CatchUpDecision(Instant.parse("2026-06-01T10:00:00Z"), Instant.parse("2026-06-01T10:00:00Z"), 3),
                CatchUpDecision.decide(once, null, first, back, back));
        assertEquals(
                new CatchUpDecision(null, Instant.parse("2026-06-01T10:00:00Z"), 4),
                CatchUpDecision.decide(line("UTC", "0 * * * * j missed=none"), null, first, back, back));
        Schedule all = line("UTC", "0 * * * * j missed=all most=2");
        assertEquals(
                new CatchUpDecision(null, Instant.parse("2026-06-01T08:00:00Z"), 2),
                CatchUpDecision.decide(all, null, first, back, back));
        Instant ninth = Instant.parse("2026-06-01T09:00:00Z");
        assertEquals(new CatchUpDecision(ninth, ninth, 0), CatchUpDecision.decide(all, null, ninth, back, back));
        assertEquals(
                new CatchUpDecision(first, first, 0),
                CatchUpDecision.decide(once, null, first, first, back),
                "there was a leader: the occurrence is late, not missed");
        Schedule minutes = line("UTC", "* * * * * j");
        Instant year = back.minus(Duration.ofDays(300));
        int dropped = 0;
        Instant at = year;
        for (int i = 0; i < 1000; i++) {
            CatchUpDecision c = CatchUpDecision.decide(minutes, null, at, back, back);
            dropped += c.skippedCount();
            if (c.run() != null) {
                assertTrue(Duration.between(c.run(), back).toSeconds() <= 180, c.toString());
                assertTrue(dropped > 300 * 1440 - 10);
                return;
            }
            at = Occurrences.next(minutes, null, c.cursor());
        }
        throw new AssertionError("the missed minutes of 300 days are never caught up with");
    }
}
