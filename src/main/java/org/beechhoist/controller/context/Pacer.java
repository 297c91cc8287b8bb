package org.beechhoist.controller.context;

import org.beechhoist.wire.MonotonicTime;

/**
 * Limits how often an action is run: at once after a quiet interval, and then at most once per interval. Requests that
 * arrive in between share the next run.
 */
public final class Pacer {
    private final ControllerContext context;
    private final long intervalMs;
    private MonotonicTime next = MonotonicTime.ZERO;
    private boolean scheduled;

    /** Creates a pacer that allows a run at once, and then one every {@code everyMs} milliseconds. */
    public Pacer(ControllerContext context, long everyMs) {
        this.context = context;
        this.intervalMs = everyMs;
    }

    /** Whether the next run is not due yet; {@code again} is called when it is, once for all postponed requests. */
    public boolean postponeIfNotDue(Runnable again) {
        if (!context.now().isBefore(next)) {
            return false;
        }
        if (!scheduled) {
            scheduled = true;
            context.schedule(next.since(context.now()), () -> {
                scheduled = false;
                again.run();
            });
        }
        return true;
    }

    /** Notes that the action runs now: the interval begins anew. */
    public void recordRun() {
        next = context.now().plusMs(intervalMs);
    }
}
