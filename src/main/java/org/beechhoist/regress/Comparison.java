package org.beechhoist.regress;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** New days against the newest recorded ones of the same day: what broke a rule, and what fell. */
final class Comparison {
    /**
     * Lines to read; whether something keeps the change from landing.
     *
     * @param fell a day, or an aim on a day, is worth less than before by more than the bound
     */
    record Result(List<String> lines, boolean broke, boolean fell) {}

    private Comparison() {}

    static Result of(List<Day> before, List<Day> now, double bound) {
        List<String> lines = new ArrayList<>();
        boolean broke = false;
        boolean fell = false;
        for (Served served : Served.near(now)) {
            broke |= served.fails();
            lines.add(served.line());
        }
        for (Day day : now) {
            String title = day.site() + " " + day.name();
            Day old = null;
            for (Day b : before) {
                old = b.same(day) ? b : old;
            }
            if (!day.broken().isEmpty()) {
                broke = true;
                lines.add(title + " BROKEN: " + day.broken());
            }
            if (old == null) {
                lines.add(String.format(Locale.ROOT, "%s %.3f, not played before", title, day.score()));
                continue;
            }
            boolean down = old.score() - day.score() > bound;
            fell |= down;
            lines.add(String.format(
                    Locale.ROOT, "%s %.3f, before %.3f%s", title, day.score(), old.score(), down ? " FELL" : ""));
            for (String aim : day.worth().keySet()) {
                Double was = old.worth().get(aim);
                if (was != null && was - day.worth().get(aim) > bound) {
                    fell = true;
                    lines.add(String.format(
                            Locale.ROOT,
                            "    FELL %.2f -> %.2f: %s; before %s",
                            was,
                            day.worth().get(aim),
                            day.told().get(aim),
                            old.told().get(aim)));
                }
            }
        }
        if (now.isEmpty()) {
            broke = true;
            lines.add("BROKEN: no day was played");
        }
        return new Result(lines, broke, fell);
    }
}
