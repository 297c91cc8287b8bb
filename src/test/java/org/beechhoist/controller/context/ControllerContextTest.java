package org.beechhoist.controller.context;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.ServiceCalls;
import org.junit.jupiter.api.Test;

/** Guards against one failing timer or callback that keeps the others of the same input from running. */
class ControllerContextTest {
    private final ControllerContext context = new ControllerContext();
    private final List<String> ran = new ArrayList<>();

    private void advanceTo(long ms) {
        context.beginInput(new MonotonicTime(ms), 0);
        context.runDueTimers();
    }

    private void fail() {
        throw new IllegalStateException("an expected failure");
    }

    private void runRepeatedly() {
        context.runGuarded(this::fail);
        ran.add("repeated");
        context.schedule(500, this::runRepeatedly);
    }

    /** Guards against due timers that are lost behind one that fails. */
    @Test
    void failureOfATimerDoesNotKeepTheOthersFromRunning() {
        advanceTo(1);
        context.schedule(10, this::fail);
        context.schedule(10, () -> ran.add("same time"));
        context.schedule(20, () -> ran.add("later"));
        advanceTo(30);
        assertEquals(List.of("same time", "later"), ran);
        assertEquals(1, context.drainFailures().size());
    }

    /** Guards against periodic work that ends for good with one failure: the leader then holds its lease and does nothing. */
    @Test
    void periodicWorkGoesOnAfterAFailure() {
        advanceTo(1);
        runRepeatedly();
        advanceTo(600);
        advanceTo(1200);
        assertEquals(List.of("repeated", "repeated", "repeated"), ran);
    }

    /** Guards against an input that is given up because the callback of its call fails. */
    @Test
    void failureOfACallbackIsRecorded() {
        context.onFailure(() -> ran.add("handled"));
        context.call(ServiceCalls.Target.STATE, null, "GET", "/store/a", null, 1000, result -> fail());
        long call = ((Effect.Call) context.drainEffects().get(0)).id();
        context.completeCall(call, CallResult.UNKNOWN);
        assertEquals(List.of("handled"), ran);
        assertEquals(1, context.drainFailures().size());
        assertEquals(List.of(), context.drainFailures());
    }

    /** Guards against a handler of failures that fails in turn and is called for that again. */
    @Test
    void failureOfTheHandlerIsRecordedToo() {
        context.onFailure(this::fail);
        context.runGuarded(this::fail);
        assertEquals(2, context.drainFailures().size());
    }
}
