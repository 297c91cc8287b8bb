package org.beechhoist.controller.worker;

import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.wire.FencingToken;

/**
 * Limits how long and how many exited attempts workers must keep: requests a newer fencing token, after which they may forget
 * those launched before.
 */
final class ExitedAttemptRetention {
    /** Each token costs two more heartbeats per worker, so many attempts share one. */
    private static final long MAX_RETENTION_MS = 60_000;
    /** About an eighth of what fits into a heartbeat. */
    private static final int MAX_ATTEMPTS_PER_WORKER = 100;

    private final ControllerContext context;
    private final CommandDispatcher dispatcher;
    /** The token that a scheduled request replaces. */
    private FencingToken scheduledFor = FencingToken.NONE;

    ExitedAttemptRetention(ControllerContext context, CommandDispatcher dispatcher) {
        this.context = context;
        this.dispatcher = dispatcher;
    }

    /** Requests a newer token, at once or later, if the worker can't forget some of its exited attempts without it. */
    void limit(Machine machine) {
        FencingToken current = dispatcher.fencingToken();
        int awaiting = machine.exitedAttempts.countAwaitingTokenAfter(current);
        if (awaiting >= MAX_ATTEMPTS_PER_WORKER) {
            dispatcher.requestTokenRotation();
        } else if (awaiting > 0 && !scheduledFor.equals(current)) {
            scheduledFor = current;
            context.schedule(MAX_RETENTION_MS, () -> rotate(current));
        }
    }

    private void rotate(FencingToken replaced) {
        if (dispatcher.fencingToken().equals(replaced)) {
            dispatcher.requestTokenRotation();
        }
    }
}
