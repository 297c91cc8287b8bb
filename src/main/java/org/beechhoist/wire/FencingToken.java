package org.beechhoist.wire;

/**
 * The fencing token that workers check: the revision of the commit that made somebody leader. Workers refuse commands
 * with a token older than the newest they have seen.
 *
 * @param value the bits of an unsigned integer
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
    /** Older than every token. */
    public static final FencingToken NONE = new FencingToken(0);

    /** Returns the oldest token that is newer than this one. */
    public FencingToken next() {
        return new FencingToken(value + 1);
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compareUnsigned(value, other.value);
    }

    /** Returns the number in digits. */
    public String text() {
        return Long.toUnsignedString(value);
    }
}
