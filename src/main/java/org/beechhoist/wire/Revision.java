package org.beechhoist.wire;

/** A revision of the state service; 0 stands for "the key does not exist". */
public record Revision(long value) implements Comparable<Revision> {
    /** The version of a key that does not exist. */
    public static final Revision ABSENT = new Revision(0);

    @Override
    public int compareTo(Revision other) {
        return Long.compare(value, other.value);
    }
}
