package org.beechhoist.regress;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What share of each class of jobs was served on a day: a day on which less than half of any one class is fails, whatever its
 * figure. The bench tells shares by class alone, none by team; for teams the simulation's checker stands in.
 *
 * @param share of the class's jobs or tasks that met the aim, the least of the day; {@code by} the aim
 */
record Served(String day, String jobClass, double share, String by) {
    /** Below this a day fails; below the other it is close enough to be read first. */
    static final double HALF = 0.5;

    static final double NEAR = 0.6;
    private static final Pattern OF_A_CLASS =
            Pattern.compile("((?:wait|finished|deadline) (\\S+) .+): ([0-9.]+) \\(aim .*");

    /** The classes whose least share is near a half or below it, the worst first. */
    static List<Served> near(List<Day> days) {
        List<Served> out = new ArrayList<>();
        for (Day day : days) {
            for (String aim : day.told().values()) {
                Matcher matcher = OF_A_CLASS.matcher(aim);
                if (matcher.matches() && Double.parseDouble(matcher.group(3)) < NEAR) {
                    out.add(new Served(
                            day.site() + " " + day.name(),
                            matcher.group(2),
                            Double.parseDouble(matcher.group(3)),
                            matcher.group(1)));
                }
            }
        }
        out.sort(Comparator.comparingDouble(Served::share));
        return out;
    }

    boolean fails() {
        return share < HALF;
    }

    String line() {
        return String.format(
                Locale.ROOT,
                "%s %s: %.3f of %s (%s)",
                fails() ? "FAILED, less than half served" : "near a half",
                day,
                share,
                jobClass,
                by);
    }
}
