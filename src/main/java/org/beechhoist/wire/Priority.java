package org.beechhoist.wire;

/** A job's priority class, most urgent first. */
public enum Priority {
    PROD("prod"),
    URGENT("urgent"),
    NORMAL("normal"),
    LOW("low");

    private final String text;

    Priority(String text) {
        this.text = text;
    }

    /** The priority's name in the protocol and in records. */
    public String text() {
        return text;
    }

    static Priority parse(String text) throws MalformedMessageException {
        for (Priority urgency : values()) {
            if (urgency.text.equals(text)) {
                return urgency;
            }
        }
        throw new MalformedMessageException("urgency: unknown value");
    }
}
