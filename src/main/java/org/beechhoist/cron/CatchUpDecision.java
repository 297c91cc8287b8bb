package org.beechhoist.cron;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * The next step of a schedule, given the occurrence up to which it has been processed. An occurrence is missed if there was no leader at its
 * time; one that is only late, because of load or because the previous run took long, is not missed.
 *
 * @param run the occurrence to run now, or null
 * @param cursor the occurrence up to which the schedule is processed once that is done
 * @param skippedCount number of occurrences that are skipped permanently
 */
public record CatchUpDecision(Instant run, Instant cursor, int skippedCount) {
    /** Upper bound of an ordinary change of leader. Occurrences during that time are late, not missed. */
    public static final Duration MAX_LEADER_CHANGE = Duration.ofSeconds(120);
    /** Maximum number of missed occurrences per decision; later decisions handle the rest. */
    private static final int MAX_MISSED_PER_STEP = 2000;

    /**
     * Decides what a schedule does next.
     *
     * @param schedule the schedule
     * @param calendar its calendar, or null
     * @param first the first occurrence after the cursor, which is not after {@code now}
     * @param firstLoadedAt when the current leader first loaded the schedules
     * @param now the current time
     */
    public static CatchUpDecision decide(
            Schedule schedule, Calendar calendar, Instant first, Instant firstLoadedAt, Instant now) {
        Instant missedBefore = firstLoadedAt.minus(MAX_LEADER_CHANGE);
        if (!first.isBefore(missedBefore)) {
            return new CatchUpDecision(first, first, 0);
        }
        // One run replaces all occurrences until the leader loaded the schedules, including those that count as late
        // and not as missed.
        Instant end = schedule.missed() == Schedule.Missed.ONCE ? firstLoadedAt : missedBefore;
        Instant upTo = end.isBefore(now) ? end : now;
        List<Instant> missed = Occurrences.between(schedule, calendar, first.minusMillis(1), upTo, MAX_MISSED_PER_STEP);
        Instant last = missed.get(missed.size() - 1);
        boolean more = missed.size() == MAX_MISSED_PER_STEP;
        return switch (schedule.missed()) {
            case NONE -> new CatchUpDecision(null, last, missed.size());
            case ONCE ->
                more
                        ? new CatchUpDecision(null, missed.get(MAX_MISSED_PER_STEP - 2), MAX_MISSED_PER_STEP - 1)
                        : new CatchUpDecision(last, last, missed.size() - 1);
            case ALL -> {
                int skipped = more
                        ? MAX_MISSED_PER_STEP - schedule.maxMissedRuns()
                        : missed.size() - schedule.maxMissedRuns();
                yield skipped > 0
                        ? new CatchUpDecision(null, missed.get(skipped - 1), skipped)
                        : new CatchUpDecision(first, first, 0);
            }
        };
    }
}
