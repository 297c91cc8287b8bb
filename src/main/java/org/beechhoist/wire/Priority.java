package org.beechhoist.wire;

/** A job's priority class, most urgent first. */
public enum Urgency {
    PROD("prod"),
    URGENT("urgent"),
    NORMAL("normal"),
    LOW("low");

    private final String text;

    Urgency(String text) {
        this.text = text;
    }

    public String text() {
        return text;
    }

    static Urgency parse(String text) throws Malformed {
        for (Urgency urgency : values()) {
            if (urgency.text.equals(text)) {
                return urgency;
            }
        }
        throw new Malformed("urgency: unknown value");
    }
}
