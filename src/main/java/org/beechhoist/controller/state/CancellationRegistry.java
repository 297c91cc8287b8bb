package org.beechhoist.controller.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.cancel.Freshness;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.peer.CancelledJob;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MonotonicTime;

/**
 * What this node knows of cancellations that are committed: by its own users, by the records, by what another node tells. Each of
 * them is certain, whoever told it, and stops work at once; but only the records tell all, and as of when they last did says
 * whether workers' leases may be renewed.
 */
public final class CancellationRegistry {
    /** Remembered for so many times as long as a task may go on after one. */
    private static final int REMEMBERED_TIMES = 4;

    private static final int MOST_REMEMBERED = 10_000;
    /** In one message to another node. */
    private static final int MOST_TOLD = 200;

    private static final int MOST_NEWEST = 100;

    private final ControllerContext turn;
    private final Freshness freshness;
    private final long cancelMs;
    /** When each was committed, by the time of day, in the order in which they were heard of. */
    private final Map<JobId, Long> known = new LinkedHashMap<>();
    /** Those of them that this node's users were told of. */
    private final Map<JobId, Long> own = new LinkedHashMap<>();
    /** The records told of all that had been committed when this was sent; null: in this leadership they have not yet. */
    private MonotonicTime asOf;

    public CancellationRegistry(ControllerContext turn, Settings settings) {
        this.turn = turn;
        this.freshness = settings.freshness();
        this.cancelMs = settings.workers().cancelMs();
    }

    /** A leadership begins or ends: what was known of the records counts no more. */
    public void begin() {
        asOf = null;
    }

    /** All that was committed when this was sent is known and taken up. */
    void knownAsOf(MonotonicTime sent) {
        asOf = asOf == null || asOf.before(sent) ? sent : asOf;
    }

    /** Until when a worker's lease may be renewed. */
    public MonotonicTime renewUntil() {
        return freshness.renewUntil(asOf);
    }

    public boolean mayRenew() {
        return turn.now().before(renewUntil());
    }

    /** How long the next question for changes may stay open; one is answered at once where the last answer is long ago, as after an outage. */
    long holdMs() {
        return asOf != null && turn.now().since(asOf) <= 2 * freshness.holdMs() ? freshness.holdMs() : 0;
    }

    public boolean knows(JobId ref) {
        return known.containsKey(ref);
    }

    /** When it was committed, by the time of day; 0: nothing is known of that. */
    public long at(JobId ref) {
        return known.getOrDefault(ref, 0L);
    }

    /** It is committed; whether that is news. */
    public boolean heard(JobId ref, long wallMs) {
        if (known.putIfAbsent(ref, wallMs) != null) {
            return false;
        }
        forgetOld();
        return true;
    }

    /** A user of this node is told of it: the others are to know at once. */
    public void confirmed(JobId ref, long wallMs) {
        own.put(ref, wallMs);
    }

    private void forgetOld() {
        long before = turn.wallMs() - REMEMBERED_TIMES * cancelMs;
        known.values().removeIf(at -> at < before);
        while (known.size() > MOST_REMEMBERED) {
            known.remove(known.keySet().iterator().next());
        }
    }

    /** What the others are told now: the newest, and of the rest those that are due soonest. */
    public List<CancelledJob> toTell() {
        own.values().removeIf(at -> turn.wallMs() - at > cancelMs);
        List<CancelledJob> all = new ArrayList<>();
        own.forEach((ref, at) -> all.add(new CancelledJob(ref, at)));
        if (all.size() <= MOST_TOLD) {
            return all;
        }
        List<CancelledJob> out = new ArrayList<>(all.subList(all.size() - MOST_NEWEST, all.size()));
        all.subList(0, all.size() - MOST_NEWEST).stream()
                .sorted(Comparator.comparingLong(CancelledJob::wallMs))
                .limit(MOST_TOLD - MOST_NEWEST)
                .forEach(out::add);
        return out;
    }
}
