package org.beechhoist.wire;

/** The fencing token workers check: the revision of the commit that made somebody leader. */
public record Baton(long value) implements Comparable<Baton> {
    public static final Baton NONE = new Baton(0);

    @Override
    public int compareTo(Baton other) {
        return Long.compare(value, other.value);
    }
}
