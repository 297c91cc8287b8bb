package org.beechhoist.controller.context;

import org.beechhoist.wire.MonotonicTime;

/** Something that is done at once after a quiet while, and then no more often than every so long: what comes in between shares one. */
public final class Pacer {
    private final ControllerContext context;
    private final long intervalMs;
    private MonotonicTime next = MonotonicTime.ZERO;
    private boolean scheduled;

    public Pacer(ControllerContext context, long everyMs) {
        this.context = context;
        this.intervalMs = everyMs;
    }

    /** Whether it is too soon; {@code again} is called when it is not any more. */
    public boolean postponeIfTooSoon(Runnable again) {
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

    /** It is done now. */
    public void markDone() {
        next = context.now().plusMs(intervalMs);
    }
}
