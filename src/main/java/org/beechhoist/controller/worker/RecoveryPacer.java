package org.beechhoist.controller.worker;

import java.util.HashMap;
import java.util.Map;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.MonotonicTime;

/**
 * Limits the rate of commands and probes during a cold-start recovery, in total and per zone, and the number in flight.
 * A share is reserved for urgent work. A deferred command is not lost: it goes with the response to the machine's next
 * heartbeat, or is sent a moment later. Calls to the cloud and the state service have limits of their own, which apply
 * during a recovery as at any other time.
 */
public final class RecoveryPacer {
    /** The kinds of calls. */
    public enum CallKind {
        /** Commands that launch or end urgent work, or end what must not run. */
        URGENT,
        /** Any other commands. */
        ORDINARY,
        /** A request to a silent machine for its heartbeat. */
        PROBE
    }

    /** The share of each limit that only urgent commands may use. */
    private static final double URGENT_RESERVE = 1 / 3.0;
    /** The share of the limit that one zone may use: a zone that recovers must not delay the others. */
    private static final double ZONE_SHARE = 0.6;
    /** The share of the sockets that paced calls may use; the rest is for workers, users and other nodes. */
    private static final double SOCKETS_SHARE = 1 / 8.0;
    /**
     * Calls per second for each concurrent one. A call to a running machine takes milliseconds; with an eighth of the
     * sockets as calls per second, 4,000 machines waited half a minute.
     */
    private static final double CALLS_PER_S_PER_SOCKET = 2;
    /**
     * The share of {@link #perSecond} that may be sent in a burst and that is refilled per second, so that no interval
     * of a second has more calls than the limit.
     */
    private static final double BURST_SHARE = 0.5;
    /** The minimum of the limit on concurrent calls, regardless of the number of sockets. */
    private static final double MIN_CONCURRENT_CALLS = 20;
    /** The maximum of the limit on concurrent calls. */
    private static final double MAX_CONCURRENT_CALLS = 300;

    private final double maxConcurrent;
    private final double perSecond;
    private final TokenBucket overall;
    private final Map<String, TokenBucket> zones = new HashMap<>();
    private int inFlight;
    private int deferred;
    private int sent;

    /**
     * Creates a pacer at the beginning of a term.
     *
     * @param sockets the maximum number of open sockets of this node; 0: no limit
     */
    public RecoveryPacer(int sockets) {
        this.maxConcurrent = sockets <= 0
                ? MAX_CONCURRENT_CALLS
                : Math.max(MIN_CONCURRENT_CALLS, Math.min(MAX_CONCURRENT_CALLS, sockets * SOCKETS_SHARE));
        this.perSecond = CALLS_PER_S_PER_SOCKET * maxConcurrent;
        this.overall = new TokenBucket(perSecond * BURST_SHARE);
    }

    /** Returns the maximum number of commands and probes per second; half as many may be in flight at once. */
    public double perSecond() {
        return perSecond;
    }

    /** Returns whether a call may be sent now; if so, it counts as in flight until {@link #callFinished}. */
    public boolean tryAcquire(CallKind kind, String zone, MonotonicTime now) {
        TokenBucket bucket =
                zones.computeIfAbsent(String.valueOf(zone), k -> new TokenBucket(perSecond * BURST_SHARE * ZONE_SHARE));
        double reserve = kind == CallKind.URGENT ? 0 : URGENT_RESERVE;
        boolean allowed = overall.available(now) >= 1 + reserve * overall.capacity()
                && bucket.available(now) >= 1 + reserve * bucket.capacity()
                && inFlight < maxConcurrent * (1 - reserve);
        if (!allowed) {
            deferred++;
            return false;
        }
        overall.takeOrOverdraw(now, 1);
        bucket.takeOrOverdraw(now, 1);
        inFlight++;
        sent++;
        return true;
    }

    /** Records that a call was answered or timed out. */
    public void callFinished() {
        inFlight = Math.max(0, inFlight - 1);
    }

    /** Returns the number of calls in flight. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the number of deferred calls since the recovery began. */
    public int deferred() {
        return deferred;
    }

    /** Returns the number of calls sent since the recovery began. */
    public int sent() {
        return sent;
    }
}
