package org.beechhoist.wire;

/** A message that breaks the protocol; the text is a short reason fit for the sender. */
public final class Malformed extends Exception {
    public Malformed(String reason) {
        super(reason, null, false, false);
    }
}
