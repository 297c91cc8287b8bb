package org.beechhoist.controller.context;

import com.fasterxml.jackson.databind.JsonNode;
import org.beechhoist.peer.PeerState;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.ServiceCalls;

/**
 * What the core wants done after an input. Commands carry the time until which the leader's lease is certain to be valid: a
 * process may be suspended between a decision and the system call that carries it out, so whoever carries it out checks the
 * clock once more.
 */
public sealed interface Effect {
    /** Answer a request; from {@code until} on (null: no bound) the answer is status 421 instead. */
    record Respond(long request, int status, JsonNode body, int retryAfterS, MonotonicTime until) implements Effect {
        /** Creates an answer that is valid without a time bound. */
        public Respond(long request, int status, JsonNode body, int retryAfterS) {
            this(request, status, body, retryAfterS, null);
        }

        /** Returns the answer to send at time {@code now}: this one, or status 421 once it has expired. */
        public Respond asOf(MonotonicTime now) {
            return until == null || now.isBefore(until) ? this : new Respond(request, 421, Codec.map(), 0);
        }
    }

    /** Send this node's state to the other controllers; no answer is awaited. */
    record PublishToPeers(PeerState state) implements Effect {}

    /** Call another service and report the result under {@code id}; from {@code until} on (null: no bound) it is not sent. */
    record Call(
            long id,
            ServiceCalls.Target target,
            String address,
            String method,
            String path,
            JsonNode body,
            long timeoutMs,
            MonotonicTime until)
            implements Effect {
        /** Whether the call may no longer be sent. */
        public boolean isExpired(MonotonicTime now) {
            return until != null && !now.isBefore(until);
        }
    }
}
