package org.beechhoist.controller;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.context.Effect;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.MonotonicTime;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a leader that goes on with a memory that an unexpected exception has left half changed. */
class FailureRecoveryTest {
    private static final long STEP_MS = 100;
    private static final long MINUTE_MS = 60_000;

    private final ControllerContext context = new ControllerContext();
    private long nowMs = 1_000_000;
    private LeaderElection election;
    private boolean keyHeld;
    private int leasesRevoked;

    @BeforeEach
    void becomeLeader() {
        context.beginInput(new MonotonicTime(nowMs), nowMs);
        election = new LeaderElection(
                context,
                new StoreClient(context),
                new TokenBucket(1000),
                "node-0",
                9000,
                new LeaderElection.Listener() {
                    @Override
                    public void leadershipWon(FencingToken fencingToken) {}

                    @Override
                    public void leadershipLost() {}
                });
        context.onFailure(new FailureRecovery(context, election)::handleFailure);
        election.start();
        advance(5000);
        assertTrue(election.holdsLease());
    }

    /** Lets time pass and answers each call as a state service would. */
    private void advance(long ms) {
        for (long untilMs = nowMs + ms; nowMs < untilMs; nowMs += STEP_MS) {
            context.beginInput(new MonotonicTime(nowMs), nowMs);
            context.runDueTimers();
            Deque<Effect> effects = new ArrayDeque<>(context.drainEffects());
            while (!effects.isEmpty()) {
                Effect.Call call = (Effect.Call) effects.poll();
                context.completeCall(call.id(), CallResult.answered(200, answer(call)));
                effects.addAll(context.drainEffects());
            }
        }
    }

    private JsonNode answer(Effect.Call call) {
        ObjectNode body = Codec.map().put("ledgerRev", 7);
        if (call.method().equals("DELETE")) {
            leasesRevoked++;
            keyHeld = false;
        } else if (call.path().equals("/leases")) {
            body.put("hold", 3);
        } else if (call.path().equals("/commit")) {
            keyHeld = true;
        } else if (call.path().startsWith("/store")) {
            assertFalse(keyHeld, "the key is read while this node holds it");
            body.put("more", false).putArray("items");
        }
        return body;
    }

    private void fail() {
        context.runGuarded(() -> {
            throw new IllegalStateException("an expected failure");
        });
    }

    /** Guards against the memory of a failed input being used further: the lead is given up, and taken again from the records. */
    @Test
    void leaderGivesUpTheLeadAndMayWinItAgain() {
        fail();
        assertFalse(election.isLeading());
        advance(1000);
        assertTrue(leasesRevoked == 1 && !election.isLeading(), "no other node has the time to win");
        advance(5000);
        assertTrue(election.holdsLease());
    }

    /** Guards against a cluster without a leader where each one fails for the same reason. */
    @Test
    void failureThatRecursDoesNotTakeTheLeadEachTime() {
        fail();
        advance(10_000);
        for (int i = 0; i < 20; i++) {
            fail();
            advance(1000);
        }
        assertTrue(leasesRevoked == 1 && election.holdsLease());
        advance(5 * MINUTE_MS);
        fail();
        assertFalse(election.isLeading());
    }
}
