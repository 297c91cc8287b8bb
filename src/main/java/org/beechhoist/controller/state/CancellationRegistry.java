package org.beechhoist.controller.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.cancel.CancellationFreshness;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.peer.CancelledJob;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MonotonicTime;

/**
 * The committed cancellations that this node knows, from its own users, from the records or from another node. Each of them is
 * certain, whatever its source, and stops work at once; but only the records hold all of them, and how fresh the knowledge of the
 * records is decides whether workers' leases may be renewed.
 */
public final class CancellationRegistry {
    /** A cancellation is remembered for this many times as long as a task may continue after it. */
    private static final int REMEMBERED_TIMES = 4;

    private static final int MAX_REMEMBERED = 10_000;
    /** The most cancellations in one message to another node. */
    private static final int MAX_IN_MESSAGE = 200;

    private static final int MAX_NEWEST_IN_MESSAGE = 100;

    private final ControllerContext context;
    private final CancellationFreshness freshness;
    private final long cancelMs;
    /** The time of day at which each was committed, in the order in which this node learned of them. */
    private final Map<JobId, Long> known = new LinkedHashMap<>();
    /** Those of them that this node has confirmed to its users. */
    private final Map<JobId, Long> confirmedHere = new LinkedHashMap<>();
    /** All cancellations committed before this time have been read from the records; null: not yet in this term. */
    private MonotonicTime completeAsOf;

    /** Creates a registry that knows of no cancellation. */
    public CancellationRegistry(ControllerContext context, Settings settings) {
        this.context = context;
        this.freshness = settings.freshness();
        this.cancelMs = settings.workers().cancelMs();
    }

    /** Forgets how fresh the knowledge of the records is, for a term begins or ends. */
    public void reset() {
        completeAsOf = null;
    }

    /** Notes that all cancellations committed before the request sent at this time are known and applied. */
    void markCompleteAsOf(MonotonicTime sent) {
        completeAsOf = completeAsOf == null || completeAsOf.isBefore(sent) ? sent : completeAsOf;
    }

    /** Until when workers' leases may be renewed. */
    public MonotonicTime leasesRenewableUntil() {
        return freshness.renewUntil(completeAsOf);
    }

    /** Whether the knowledge of the records is fresh enough for workers' leases to be renewed now. */
    public boolean mayRenewLeases() {
        return context.now().isBefore(leasesRenewableUntil());
    }

    /** How long the next watch request may stay open; 0, for an answer at once, where the last answer is long ago, as after an outage. */
    long watchHoldMs() {
        return completeAsOf != null && context.now().since(completeAsOf) <= 2 * freshness.watchHoldMs()
                ? freshness.watchHoldMs()
                : 0;
    }

    /** Whether a committed cancellation of the job is known. */
    public boolean isCancelled(JobId jobId) {
        return known.containsKey(jobId);
    }

    /** The time of day at which the job's cancellation was committed; 0 where none is known. */
    public long cancelledAtWallMs(JobId jobId) {
        return known.getOrDefault(jobId, 0L);
    }

    /** Records a committed cancellation; true if it was not known before. */
    public boolean record(JobId jobId, long wallMs) {
        if (known.putIfAbsent(jobId, wallMs) != null) {
            return false;
        }
        evictOld();
        return true;
    }

    /** Records that a cancellation has been confirmed to a user of this node: the other nodes are to be informed at once. */
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

    /** What is sent to the other nodes now: the newest cancellations, and of the others those that were committed first. */
    public List<CancelledJob> cancellationsForPeers() {
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
