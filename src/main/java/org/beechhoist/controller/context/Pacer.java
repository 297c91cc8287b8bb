package org.beechhoist.core;

import org.beechhoist.wire.Tick;

/** Something that is done at once after a quiet while, and then no more often than every so long: what comes in between shares one. */
final class Paced {
    private final Turn turn;
    private final long everyMs;
    private Tick next = Tick.ZERO;
    private boolean timed;

    Paced(Turn turn, long everyMs) {
        this.turn = turn;
        this.everyMs = everyMs;
    }

    /** Whether it is too soon; {@code again} is called when it is not any more. */
    boolean tooSoon(Runnable again) {
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
    void done() {
        next = turn.now().plusMs(everyMs);
    }
}
