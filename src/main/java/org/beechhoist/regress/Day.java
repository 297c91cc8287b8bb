package org.beechhoist.regress;

import java.util.Map;

/**
 * One day's figures as the bench recorded them.
 *
 * @param day the bench's name for exactly this day; {@code seed} its luck
 * @param worth of each aim, from 0 to 1, by the aim's words without its figure
 * @param told the aims in full, as recorded
 * @param broken rules that were broken, and whatever else kept the day from counting; empty where nothing did
 */
public record Day(
        String site,
        String name,
        String day,
        String seed,
        double score,
        Map<String, Double> worth,
        Map<String, String> told,
        String broken) {
    /** Whether the two played the same day. */
    boolean same(Day other) {
        return site.equals(other.site) && day.equals(other.day) && seed.equals(other.seed);
    }
}
