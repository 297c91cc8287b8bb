package org.beechhoist.cron;

import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * A reference implementation of crontab lines: checks each day and each minute and parses the fields as text every time. It
 * shares no code with the code under test.
 */
public record ReferenceCron(
        String fields, String zone, Map<LocalDate, String> holidays, boolean weekends, boolean next) {
    /**
     * Checks that there are five fields.
     *
     * @param weekends whether Saturdays and Sundays are open
     */
    public ReferenceCron {
        if (fields.split(" ").length != 5) {
            throw new IllegalArgumentException(fields);
        }
    }

    private static boolean has(String field, int value, int most) {
        for (String item : field.split(",")) {
            String[] step = item.split("/");
            String range = step[0];
            int from = 0;
            int to = most;
            if (!range.equals("*")) {
                String[] ends = range.split("-");
                from = Integer.parseInt(ends[0]);
                to = ends.length > 1 ? Integer.parseInt(ends[1]) : step.length > 1 ? most : from;
            } else if (most == 31 || most == 12) {
                from = 1;
            }
            int by = step.length > 1 ? Integer.parseInt(step[1]) : 1;
            for (int v = from; v <= to; v += by) {
                if (v == value) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean names(LocalDate d) {
        String[] f = fields.split(" ");
        int weekday = d.getDayOfWeek().getValue() % 7;
        boolean day = has(f[2], d.getDayOfMonth(), 31);
        boolean week = has(f[4], weekday, 6) || (weekday == 0 && has(f[4], 7, 7) && !f[4].equals("*"));
        boolean either = !f[2].startsWith("*") && !f[4].startsWith("*");
        return has(f[3], d.getMonthValue(), 12) && (either ? day || week : day && week);
    }

    private boolean open(LocalDate d) {
        return !holidays.containsKey(d) && (weekends || d.getDayOfWeek().getValue() < 6);
    }

    private boolean runs(LocalDate d) {
        if (!open(d)) {
            return false;
        }
        if (names(d)) {
            return true;
        }
        for (LocalDate b = d.minusDays(1); next && !open(b); b = b.minusDays(1)) {
            if (names(b)) {
                return true;
            }
        }
        return false;
    }

    public List<Instant> between(Instant from, Instant until) {
        ZoneId z = ZoneId.of(zone);
        String[] f = fields.split(" ");
        TreeSet<Instant> out = new TreeSet<>();
        LocalDate last = LocalDateTime.ofInstant(until, z).toLocalDate().plusDays(1);
        for (LocalDate d = LocalDateTime.ofInstant(from, z).toLocalDate().minusDays(1);
                !d.isAfter(last);
                d = d.plusDays(1)) {
            if (!runs(d)) {
                continue;
            }
            if (f[1].equals("*")) {
                for (Instant t = d.atStartOfDay(z).toInstant();
                        t.isBefore(d.plusDays(1).atStartOfDay(z).toInstant());
                        t = t.plusSeconds(60)) {
                    if (has(f[0], LocalDateTime.ofInstant(t, z).getMinute(), 59)) {
                        out.add(t);
                    }
                }
                continue;
            }
            for (int minute = 0; minute < 1440; minute++) {
                if (has(f[1], minute / 60, 23) && has(f[0], minute % 60, 59)) {
                    LocalDateTime l = d.atStartOfDay().plusMinutes(minute);
                    while (z.getRules().getValidOffsets(l).isEmpty()) {
                        l = l.plusMinutes(1); // to the end of the gap
                    }
                    out.add(l.toInstant(z.getRules().getValidOffsets(l).get(0)));
                }
            }
        }
        List<Instant> all = new ArrayList<>(out);
        all.removeIf(t -> !t.isAfter(from) || t.isAfter(until));
        return all;
    }
}
