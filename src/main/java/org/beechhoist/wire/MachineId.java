package org.beechhoist.wire;

/** A machine's name, as the cloud gave it. */
public record HostId(String text) implements Comparable<HostId> {
    @Override
    public int compareTo(HostId other) {
        return text.compareTo(other.text);
    }

    @Override
    public String toString() {
        return text;
    }
}
