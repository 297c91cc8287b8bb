package org.beechhoist.wire;

/** A moment on this process's steady clock, in milliseconds. Never compared across processes. */
public record Tick(long ms) implements Comparable<Tick> {
    public static final Tick ZERO = new Tick(0);

    public Tick plusMs(long delta) {
        return new Tick(ms + delta);
    }

    public long since(Tick earlier) {
        return ms - earlier.ms;
    }

    public boolean before(Tick other) {
        return ms < other.ms;
    }

    @Override
    public int compareTo(Tick other) {
        return Long.compare(ms, other.ms);
    }
}
