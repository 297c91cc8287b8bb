package org.beechhoist.cron;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * What a schedule does next, given up to which occurrence it has been processed. An occurrence is missed if there was no leader at its
 * time; one that is only late, because of load or because the previous run took long, is not missed.
 *
 * @param run the occurrence to run now; null: none
 * @param cursor the occurrence up to which the schedule is processed once that is done
 * @param skippedCount number of occurrences that are skipped for good
 */
public record CatchUpDecision(Instant run, Instant cursor, int skippedCount) {
    /** Longer than an ordinary change of leader takes; occurrences within that time are late and not missed. */
    public static final Duration MAX_LEADER_CHANGE = Duration.ofSeconds(120);
    /** Missed occurrences that are handled in one step; further ones are skipped in later steps. */
    private static final int MAX_MISSED_PER_STEP = 2000;

    /**
     * Decides what a schedule does next.
     *
     * @param entry the schedule
     * @param calendar its calendar; null: none
     * @param first the first occurrence after the cursor, which is not after {@code now}
     * @param servedSince since when the present leader has known its schedules
     * @param now the current time
     */
    public static CatchUpDecision decide(
            Schedule entry, Calendar calendar, Instant first, Instant servedSince, Instant now) {
        Instant missedBefore = servedSince.minus(MAX_LEADER_CHANGE);
        if (!first.isBefore(missedBefore)) {
            return new CatchUpDecision(first, first, 0);
        }
        // A single run stands for all occurrences until the leader served again, also for those that would count as
        // late.
        Instant end = entry.missed() == Schedule.Missed.ONCE ? servedSince : missedBefore;
        Instant upTo = end.isBefore(now) ? end : now;
        List<Instant> missed = Occurrences.between(entry, calendar, first.minusMillis(1), upTo, MAX_MISSED_PER_STEP);
        Instant last = missed.get(missed.size() - 1);
        boolean more = missed.size() == MAX_MISSED_PER_STEP;
        return switch (entry.missed()) {
            case NONE -> new CatchUpDecision(null, last, missed.size());
            case ONCE ->
                more
                        ? new CatchUpDecision(null, missed.get(MAX_MISSED_PER_STEP - 2), MAX_MISSED_PER_STEP - 1)
                        : new CatchUpDecision(last, last, missed.size() - 1);
            case ALL -> {
                int drop = more ? MAX_MISSED_PER_STEP - entry.maxMissedRuns() : missed.size() - entry.maxMissedRuns();
                yield drop > 0
                        ? new CatchUpDecision(null, missed.get(drop - 1), drop)
                        : new CatchUpDecision(first, first, 0);
            }
        };
    }
}
