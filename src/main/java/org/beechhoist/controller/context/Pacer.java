package org.beechhoist.controller.context;

import org.beechhoist.wire.MonotonicTime;

/**
 * Limits how often an action is run: immediately after an interval without a run, then at most once per interval.
 * Requests that arrive in between share the next run.
 */
public final class Pacer {
    private final ControllerContext context;
    private final long intervalMs;
    private MonotonicTime next = MonotonicTime.ZERO;
    private boolean scheduled;

    /** Creates a pacer that allows a run immediately, and then one every {@code everyMs} milliseconds. */
    public Pacer(ControllerContext context, long everyMs) {
        this.context = context;
        this.intervalMs = everyMs;
    }

    /**
     * Returns whether the next run is not due yet; if so, {@code again} is called when it is due, once for all
     * postponed requests.
     */
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

    /** Records that the action runs now, which restarts the interval. */
    public void recordRun() {
        next = context.now().plusMs(intervalMs);
    }
}
