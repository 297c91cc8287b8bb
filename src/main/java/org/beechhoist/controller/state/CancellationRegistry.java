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
 * The committed cancellations known to this node from its own users, the records or other nodes. A cancellation from any of these
 * sources is final and takes effect at once, but only the records hold all of them: workers' leases may be renewed only while the
 * records were read recently enough.
 */
public final class CancellationRegistry {
    /** A cancellation is kept for this many times the time that a task may continue after it. */
    private static final int RETENTION_FACTOR = 4;

    private static final int MAX_KNOWN_COUNT = 10_000;
    /** Maximum number of cancellations in one message to another node. */
    private static final int MAX_MESSAGE_COUNT = 200;

    private static final int MAX_NEWEST_MESSAGE_COUNT = 100;

    private final ControllerContext context;
    private final CancellationFreshness cancellationFreshness;
    private final long cancelMs;
    /** Commit time of each cancellation (time of day), in the order in which this node learned of them. */
    private final Map<JobId, Long> committedAtMs = new LinkedHashMap<>();
    /** Commit times of the cancellations that this node has confirmed to its users. */
    private final Map<JobId, Long> confirmedLocally = new LinkedHashMap<>();
    /** All cancellations committed before this time have been read from the records; null if none were read in this term. */
    private MonotonicTime completeAsOf;

    /** Creates an empty registry. */
    public CancellationRegistry(ControllerContext context, Settings settings) {
        this.context = context;
        this.cancellationFreshness = settings.cancellationFreshness();
        this.cancelMs = settings.workers().cancelMs();
    }

    /** Discards the time up to which the records are known; called when a term begins or ends. */
    public void reset() {
        completeAsOf = null;
    }

    /** Records that all cancellations committed before this send time of a request are known and applied. */
    void markCompleteAsOf(MonotonicTime sent) {
        completeAsOf = completeAsOf == null || completeAsOf.isBefore(sent) ? sent : completeAsOf;
    }

    /** Returns the time until which workers' leases may be renewed. */
    public MonotonicTime leasesRenewableUntil() {
        return cancellationFreshness.renewUntil(completeAsOf);
    }

    /** Returns whether the records were read recently enough for workers' leases to be renewed now. */
    public boolean mayRenewLeases() {
        return context.now().isBefore(leasesRenewableUntil());
    }

    /** Returns how long the next watch request may stay open; 0 requests an immediate answer if the last one is too old, as after an outage. */
    long watchHoldMs() {
        return completeAsOf != null && context.now().since(completeAsOf) <= 2 * cancellationFreshness.watchHoldMs()
                ? cancellationFreshness.watchHoldMs()
                : 0;
    }

    /** Returns whether a committed cancellation of the job is known. */
    public boolean isCancelled(JobId jobId) {
        return committedAtMs.containsKey(jobId);
    }

    /** Returns the time of day at which the job's cancellation was committed, or 0 if none is known. */
    public long cancelledAtWallMs(JobId jobId) {
        return committedAtMs.getOrDefault(jobId, 0L);
    }

    /** Records a committed cancellation; returns true if it was not known before. */
    public boolean record(JobId jobId, long wallMs) {
        if (committedAtMs.putIfAbsent(jobId, wallMs) != null) {
            return false;
        }
        removeExpired();
        return true;
    }

    /** Records that a cancellation was confirmed to a user of this node, so that the other nodes are informed at once. */
    public void recordConfirmed(JobId jobId, long wallMs) {
        confirmedLocally.put(jobId, wallMs);
    }

    private void removeExpired() {
        long before = context.wallMs() - RETENTION_FACTOR * cancelMs;
        committedAtMs.values().removeIf(at -> at < before);
        while (committedAtMs.size() > MAX_KNOWN_COUNT) {
            committedAtMs.remove(committedAtMs.keySet().iterator().next());
        }
    }

    /** Returns the cancellations to send to the other nodes: the newest ones, then those of the rest that were committed first. */
    public List<CancelledJob> cancellationsForPeers() {
        confirmedLocally.values().removeIf(at -> context.wallMs() - at > cancelMs);
        List<CancelledJob> all = new ArrayList<>();
        confirmedLocally.forEach((jobId, at) -> all.add(new CancelledJob(jobId, at)));
        if (all.size() <= MAX_MESSAGE_COUNT) {
            return all;
        }
        List<CancelledJob> out = new ArrayList<>(all.subList(all.size() - MAX_NEWEST_MESSAGE_COUNT, all.size()));
        all.subList(0, all.size() - MAX_NEWEST_MESSAGE_COUNT).stream()
                .sorted(Comparator.comparingLong(CancelledJob::wallMs))
                .limit(MAX_MESSAGE_COUNT - MAX_NEWEST_MESSAGE_COUNT)
                .forEach(out::add);
        return out;
    }
}
