package org.beechhoist.wire;

/**
 * A revision of the state service; 0 stands for "the key does not exist".
 *
 * @param value the bits of an unsigned integer
 */
public record Revision(long value) implements Comparable<Revision> {
    /** The version of a key that does not exist. */
    public static final Revision ABSENT = new Revision(0);

    @Override
    public int compareTo(Revision other) {
        return Long.compareUnsigned(value, other.value);
    }

    /** Returns the number in digits. */
    public String text() {
        return Long.toUnsignedString(value);
    }
}
