package org.beechhoist.controller.context;

import org.beechhoist.wire.MonotonicTime;

/** Something that is done at once after a quiet while, and then no more often than every so long: what comes in between shares one. */
public final class Pacer {
    private final ControllerContext turn;
    private final long everyMs;
    private MonotonicTime next = MonotonicTime.ZERO;
    private boolean timed;

    public Pacer(ControllerContext turn, long everyMs) {
        this.turn = turn;
        this.everyMs = everyMs;
    }

    /** Whether it is too soon; {@code again} is called when it is not any more. */
    public boolean tooSoon(Runnable again) {
        if (!turn.now().before(next)) {
            return false;
        }
        if (!timed) {
            timed = true;
            turn.after(next.since(turn.now()), () -> {
                timed = false;
                again.run();
            });
        }
        return true;
    }

    /** It is done now. */
    public void done() {
        next = turn.now().plusMs(everyMs);
    }
}
