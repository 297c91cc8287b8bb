package org.beechhoist.wire;

/** A message that does not follow the protocol; its text names the field and what is expected. */
public final class MalformedMessageException extends Exception {
    /**
     * Has no stack trace: it is thrown for what others send, perhaps often.
     *
     * @param reason the field and what is expected of it, fit for the sender
     */
    public MalformedMessageException(String reason) {
        super(reason, null, false, false);
    }
}
