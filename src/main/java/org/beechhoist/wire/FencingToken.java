package org.beechhoist.wire;

/** The fencing token workers check: the revision of the commit that made somebody leader. */
public record FencingToken(long value) implements Comparable<FencingToken> {
    public static final FencingToken NONE = new FencingToken(0);

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(value, other.value);
    }
}
