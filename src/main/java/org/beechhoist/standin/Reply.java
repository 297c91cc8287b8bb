package org.beechhoist.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.beechhoist.wire.Codec;

/** A stand-in's answer. */
public record Reply(int status, ObjectNode body) {
    static Reply error(int status, String text) {
        return new Reply(status, Codec.map().put("error", text));
    }
}
