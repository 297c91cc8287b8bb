package org.beechhoist.controller.context;

import com.fasterxml.jackson.databind.JsonNode;
import org.beechhoist.peer.PeerState;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.ServiceCalls;

/**
 * What the core wants done after an input. Commands carry the time until which the leader's lease vouches for them: a
 * process may stand still between a decision and the system call that carries it out, and whoever carries it out looks
 * at the clock once more.
 */
public sealed interface Effect {
    /** Answer a request; from {@code until} on (null: no bound) with 421 instead. */
    record Answer(long request, int status, JsonNode body, int retryAfterS, MonotonicTime until) implements Effect {
        public Answer(long request, int status, JsonNode body, int retryAfterS) {
            this(request, status, body, retryAfterS, null);
        }

        /** What is to be answered at that moment. */
        public Answer asOf(MonotonicTime now) {
            return until == null || now.isBefore(until) ? this : new Answer(request, 421, Codec.map(), 0);
        }
    }

    /** Tell the other controllers; nobody waits for an answer. */
    record PublishToPeers(PeerState state) implements Effect {}

    /** Call another service and report the outcome under {@code id}; from {@code until} on it is not sent any more. */
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
        public boolean isExpired(MonotonicTime now) {
            return until != null && !now.isBefore(until);
        }
    }
}
