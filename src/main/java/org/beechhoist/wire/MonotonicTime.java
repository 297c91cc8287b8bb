package org.beechhoist.wire;

/** A moment on this process's steady clock, in milliseconds. Never compared across processes. */
public record MonotonicTime(long ms) implements Comparable<MonotonicTime> {
    public static final MonotonicTime ZERO = new MonotonicTime(0);

    public MonotonicTime plusMs(long delta) {
        return new MonotonicTime(ms + delta);
    }

    public long since(MonotonicTime earlier) {
        return ms - earlier.ms;
    }

    public boolean isBefore(MonotonicTime other) {
        return ms < other.ms;
    }

    @Override
    public int compareTo(MonotonicTime other) {
        return Long.compare(ms, other.ms);
    }
}
