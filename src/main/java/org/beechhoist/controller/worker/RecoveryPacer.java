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
        QUESTION
    }

    /** Of each second's part, what only urgent commands may take. */
    private static final double KEPT = 1 / 3.0;
    /** A zone may have this much of it: a zone that comes back must not keep the others waiting. */
    private static final double ZONE_SHARE = 0.6;
    /** Sockets that a start may fill with what it begins itself; the rest is for workers, users and nodes. */
    private static final double SOCKETS_SHARE = 1 / 8.0;
    /** A call to a living machine takes milliseconds: at an eighth of the sockets a second 4,000 machines waited half a minute. */
    private static final double CALLS_A_SOCKET = 2;
    /** So much of it may be sent at once, and as much comes back in a second: no second, wherever it begins, sees more than all. */
    private static final double AT_ONCE = 0.5;

    private static final double LEAST = 20;
    private static final double MOST = 300;

    private final double atOnce;
    private final double perSecond;
    private final TokenBucket all;
    private final Map<String, TokenBucket> zones = new HashMap<>();
    private int inFlight;
    private int heldBack;
    private int sent;

    /** @param sockets that this node may have open; 0: no limit */
    public RecoveryPacer(int sockets) {
        this.atOnce = sockets <= 0 ? MOST : Math.max(LEAST, Math.min(MOST, sockets * SOCKETS_SHARE));
        this.perSecond = CALLS_A_SOCKET * atOnce;
        this.all = new TokenBucket(perSecond * AT_ONCE);
    }

    /** Commands and questions a second, at most; half as many may be on their way at once. */
    public double perSecond() {
        return perSecond;
    }

    /** Whether one may be sent now; it is on its way then, until {@link #over}. */
    public boolean take(CallKind kind, String zone, MonotonicTime now) {
        TokenBucket bucket =
                zones.computeIfAbsent(String.valueOf(zone), k -> new TokenBucket(perSecond * AT_ONCE * ZONE_SHARE));
        double left = kind == CallKind.URGENT ? 0 : KEPT;
        boolean may = all.available(now) >= 1 + left * all.most()
                && bucket.available(now) >= 1 + left * bucket.most()
                && inFlight < atOnce * (1 - left);
        if (!may) {
            heldBack++;
            return false;
        }
        all.take(now, 1);
        bucket.take(now, 1);
        inFlight++;
        sent++;
        return true;
    }

    /** It was answered, or given up. */
    public void over() {
        inFlight = Math.max(0, inFlight - 1);
    }

    public int onTheirWay() {
        return inFlight;
    }

    /** How often something had to wait, and what was sent, since the start began. */
    public int heldBack() {
        return heldBack;
    }

    public int sent() {
        return sent;
    }
}
