package org.beechhoist.core;

import com.fasterxml.jackson.databind.JsonNode;
import org.beechhoist.peer.PeerState;
import org.beechhoist.wire.Calls;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.Tick;

/**
 * What the core wants done after an input. Commands carry the time until which the leader's lease vouches for them: a
 * process may stand still between a decision and the system call that carries it out, and whoever carries it out looks
 * at the clock once more.
 */
public sealed interface Effect {
    /** Answer a request; from {@code until} on (null: no bound) with 421 instead. */
    record Answer(long request, int status, JsonNode body, int retryAfterS, Tick until) implements Effect {
        public Answer(long request, int status, JsonNode body, int retryAfterS) {
            this(request, status, body, retryAfterS, null);
        }

        /** What is to be answered at that moment. */
        public Answer at(Tick now) {
            return until == null || now.before(until) ? this : new Answer(request, 421, Codec.map(), 0);
        }
    }

    /** Tell the other controllers; nobody waits for an answer. */
    record Tell(PeerState state) implements Effect {}

    /** Call another service and report the outcome under {@code id}; from {@code until} on it is not sent any more. */
    record Call(
            long id,
            Calls.Target target,
            String address,
            String method,
            String path,
            JsonNode body,
            long timeoutMs,
            Tick until)
            implements Effect {
        public boolean expired(Tick now) {
            return until != null && !now.before(until);
        }
    }
}
