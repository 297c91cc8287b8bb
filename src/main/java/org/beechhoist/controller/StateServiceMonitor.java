package org.beechhoist.controller;

import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.store.StoreClient;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.MonotonicTime;

/** Records when and how the state service answered this node. */
final class StateServiceMonitor {
    private static final int SERVER_ERROR = 500;

    private final ControllerContext context;
    private boolean hasEverServed;
    private MonotonicTime lastServedAt = MonotonicTime.ZERO;
    private MonotonicTime lastAnsweredAt = MonotonicTime.ZERO;
    private int consecutiveUnansweredCalls;

    StateServiceMonitor(ControllerContext context) {
        this.context = context;
    }

    /** Returns a client of the state service whose calls are recorded here. */
    StoreClient client() {
        return new StoreClient((target, address, method, path, body, timeoutMs, then) ->
                context.call(target, address, method, path, body, timeoutMs, result -> {
                    record(result);
                    then.accept(result);
                }));
    }

    private void record(CallResult result) {
        if (result.kind() != CallResult.Kind.ANSWERED) {
            consecutiveUnansweredCalls++;
            return;
        }
        consecutiveUnansweredCalls = 0;
        lastAnsweredAt = context.now();
        if (result.status() < SERVER_ERROR) {
            hasEverServed = true;
            lastServedAt = context.now();
        }
    }

    /** Returns whether the state service has ever answered other than by a server error. */
    boolean hasEverServed() {
        return hasEverServed;
    }

    /** Returns the time since it last answered other than by a server error, in ms. */
    long msSinceServed() {
        return context.now().since(lastServedAt);
    }

    /** Returns the time since its last answer of any kind, in ms. */
    long msSinceAnswered() {
        return context.now().since(lastAnsweredAt);
    }

    /** Returns the number of consecutive calls without an answer of any kind. */
    int consecutiveUnansweredCalls() {
        return consecutiveUnansweredCalls;
    }
}
