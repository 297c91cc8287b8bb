package org.beechhoist.cron;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * What a line does next, given where it has got to. An occurrence is missed if no leader was there at its time; a late
 * one, held up by load or by the run before, is not.
 *
 * @param run the occurrence to run now; null: none
 * @param cursor where the line has got to once that is done
 * @param dropped occurrences that are passed over for good
 */
public record Catchup(Instant run, Instant cursor, int dropped) {
    /** Ordinary changes of leader take less; what came in that time is late and not missed. */
    public static final Duration CHANGE = Duration.ofSeconds(120);
    /** Looked at in one step; what was missed beyond is passed over in further ones. */
    private static final int STEP = 2000;

    /**
     * @param servedSince since when the present leader has known its schedules
     * @param first the first occurrence after the cursor, which is not after {@code now}
     */
    public static Catchup next(Entry entry, Calendar calendar, Instant first, Instant servedSince, Instant now) {
        Instant missedBefore = servedSince.minus(CHANGE);
        if (!first.isBefore(missedBefore)) {
            return new Catchup(first, first, 0);
        }
        // A single run stands for all until the return, also for one that would pass as late.
        Instant end = entry.missed() == Entry.Missed.ONCE ? servedSince : missedBefore;
        Instant upTo = end.isBefore(now) ? end : now;
        List<Instant> missed = Occurrences.between(entry, calendar, first.minusMillis(1), upTo, STEP);
        Instant last = missed.get(missed.size() - 1);
        boolean more = missed.size() == STEP;
        return switch (entry.missed()) {
            case NONE -> new Catchup(null, last, missed.size());
            case ONCE ->
                more ? new Catchup(null, missed.get(STEP - 2), STEP - 1) : new Catchup(last, last, missed.size() - 1);
            case ALL -> {
                int drop = more ? STEP - entry.mostMissed() : missed.size() - entry.mostMissed();
                yield drop > 0 ? new Catchup(null, missed.get(drop - 1), drop) : new Catchup(first, first, 0);
            }
        };
    }
}
