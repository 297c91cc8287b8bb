package org.beechhoist.controller.worker;

import java.util.HashMap;
import java.util.Map;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.MonotonicTime;

/**
 * How fast a start may turn to machines: so many commands and questions a second in all and in each zone, and so many on
 * their way at once. A part is kept for urgent work. What is held back goes with the answer to the machine's next report,
 * or a moment later; nothing is lost by it. Calls of cloud and state service have budgets of their own, which hold in a
 * start as at any other time.
 */
public final class RecoveryPacer {
    /** What is paced. */
    public enum CallKind {
        /** Commands that launch or end urgent work, or end what must not run. */
        URGENT,
        ORDINARY,
        /** A silent machine is asked for its report. */
        PROBE
    }

    /** Of each second's part, what only urgent commands may take. */
    private static final double URGENT_RESERVE = 1 / 3.0;
    /** A zone may have this much of it: a zone that comes back must not keep the others waiting. */
    private static final double ZONE_SHARE = 0.6;
    /** Sockets that a start may fill with what it begins itself; the rest is for workers, users and nodes. */
    private static final double SOCKETS_SHARE = 1 / 8.0;
    /** A call to a living machine takes milliseconds: at an eighth of the sockets a second 4,000 machines waited half a minute. */
    private static final double CALLS_PER_SOCKET = 2;
    /** So much of it may be sent at once, and as much comes back in a second: no second, wherever it begins, sees more than all. */
    private static final double BURST_SHARE = 0.5;

    private static final double MIN_CONCURRENT = 20;
    private static final double MAX_CONCURRENT = 300;

    private final double maxConcurrent;
    private final double perSecond;
    private final TokenBucket overall;
    private final Map<String, TokenBucket> zones = new HashMap<>();
    private int inFlight;
    private int deferred;
    private int sent;

    /** @param sockets that this node may have open; 0: no limit */
    public RecoveryPacer(int sockets) {
        this.maxConcurrent = sockets <= 0
                ? MAX_CONCURRENT
                : Math.max(MIN_CONCURRENT, Math.min(MAX_CONCURRENT, sockets * SOCKETS_SHARE));
        this.perSecond = CALLS_PER_SOCKET * maxConcurrent;
        this.overall = new TokenBucket(perSecond * BURST_SHARE);
    }

    /** Commands and questions a second, at most; half as many may be on their way at once. */
    public double perSecond() {
        return perSecond;
    }

    /** Whether one may be sent now; it is on its way then, until {@link #over}. */
    public boolean tryAcquire(CallKind kind, String zone, MonotonicTime now) {
        TokenBucket bucket =
                zones.computeIfAbsent(String.valueOf(zone), k -> new TokenBucket(perSecond * BURST_SHARE * ZONE_SHARE));
        double left = kind == CallKind.URGENT ? 0 : URGENT_RESERVE;
        boolean may = overall.available(now) >= 1 + left * overall.capacity()
                && bucket.available(now) >= 1 + left * bucket.capacity()
                && inFlight < maxConcurrent * (1 - left);
        if (!may) {
            deferred++;
            return false;
        }
        overall.takeOrOverdraw(now, 1);
        bucket.takeOrOverdraw(now, 1);
        inFlight++;
        sent++;
        return true;
    }

    /** It was answered, or given up. */
    public void callFinished() {
        inFlight = Math.max(0, inFlight - 1);
    }

    public int inFlight() {
        return inFlight;
    }

    /** How often something had to wait, and what was sent, since the start began. */
    public int deferred() {
        return deferred;
    }

    public int sent() {
        return sent;
    }
}
