package org.beechhoist.wire;

/** A machine's id, as the cloud gave it. */
public record MachineId(String text) implements Comparable<MachineId> {
    @Override
    public int compareTo(MachineId other) {
        return text.compareTo(other.text);
    }

    @Override
    public String toString() {
        return text;
    }
}
