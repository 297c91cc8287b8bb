package org.beechhoist.wire;

/** A message that breaks the protocol; the text is a short reason fit for the sender. */
public final class MalformedMessageException extends Exception {
    public MalformedMessageException(String reason) {
        super(reason, null, false, false);
    }
}
