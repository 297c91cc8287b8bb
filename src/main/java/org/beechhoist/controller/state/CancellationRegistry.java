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

    private static final int MAX_REMEMBERED = 10_000;
    /** In one message to another node. */
    private static final int MAX_IN_MESSAGE = 200;

    private static final int MAX_NEWEST_IN_MESSAGE = 100;

    private final ControllerContext context;
    private final Freshness freshness;
    private final long cancelMs;
    /** When each was committed, by the time of day, in the order in which they were heard of. */
    private final Map<JobId, Long> known = new LinkedHashMap<>();
    /** Those of them that this node's users were told of. */
    private final Map<JobId, Long> confirmedHere = new LinkedHashMap<>();
    /** The records told of all that had been committed when this was sent; null: in this leadership they have not yet. */
    private MonotonicTime completeAsOf;

    public CancellationRegistry(ControllerContext context, Settings settings) {
        this.context = context;
        this.freshness = settings.freshness();
        this.cancelMs = settings.workers().cancelMs();
    }

    /** A leadership begins or ends: what was known of the records counts no more. */
    public void reset() {
        completeAsOf = null;
    }

    /** All that was committed when this was sent is known and taken up. */
    void markCompleteAsOf(MonotonicTime sent) {
        completeAsOf = completeAsOf == null || completeAsOf.isBefore(sent) ? sent : completeAsOf;
    }

    /** Until when a worker's lease may be renewed. */
    public MonotonicTime leasesRenewableUntil() {
        return freshness.renewUntil(completeAsOf);
    }

    public boolean mayRenewLeases() {
        return context.now().isBefore(leasesRenewableUntil());
    }

    /** How long the next question for changes may stay open; one is answered at once where the last answer is long ago, as after an outage. */
    long watchHoldMs() {
        return completeAsOf != null && context.now().since(completeAsOf) <= 2 * freshness.holdMs()
                ? freshness.holdMs()
                : 0;
    }

    public boolean isCancelled(JobId jobId) {
        return known.containsKey(jobId);
    }

    /** When it was committed, by the time of day; 0: nothing is known of that. */
    public long cancelledAtWallMs(JobId jobId) {
        return known.getOrDefault(jobId, 0L);
    }

    /** It is committed; whether that is news. */
    public boolean record(JobId jobId, long wallMs) {
        if (known.putIfAbsent(jobId, wallMs) != null) {
            return false;
        }
        evictOld();
        return true;
    }

    /** A user of this node is told of it: the others are to know at once. */
    public void recordConfirmed(JobId jobId, long wallMs) {
        confirmedHere.put(jobId, wallMs);
    }

    private void evictOld() {
        long before = context.wallMs() - REMEMBERED_TIMES * cancelMs;
        known.values().removeIf(at -> at < before);
        while (known.size() > MAX_REMEMBERED) {
            known.remove(known.keySet().iterator().next());
        }
    }

    /** What the others are told now: the newest, and of the rest those that are due soonest. */
    public List<CancelledJob> forPeers() {
        confirmedHere.values().removeIf(at -> context.wallMs() - at > cancelMs);
        List<CancelledJob> all = new ArrayList<>();
        confirmedHere.forEach((jobId, at) -> all.add(new CancelledJob(jobId, at)));
        if (all.size() <= MAX_IN_MESSAGE) {
            return all;
        }
        List<CancelledJob> out = new ArrayList<>(all.subList(all.size() - MAX_NEWEST_IN_MESSAGE, all.size()));
        all.subList(0, all.size() - MAX_NEWEST_IN_MESSAGE).stream()
                .sorted(Comparator.comparingLong(CancelledJob::wallMs))
                .limit(MAX_IN_MESSAGE - MAX_NEWEST_IN_MESSAGE)
                .forEach(out::add);
        return out;
    }
}
