package org.beechhoist.wire;

/** A time on this process's monotonic clock, in milliseconds. Times of two processes can't be compared. */
public record MonotonicTime(long ms) implements Comparable<MonotonicTime> {
    /** Before every time of the clock; stands for "never". */
    public static final MonotonicTime ZERO = new MonotonicTime(0);

    /** The time so many milliseconds later. */
    public MonotonicTime plusMs(long duration) {
        return new MonotonicTime(ms + duration);
    }

    /** The milliseconds from the earlier time to this one. */
    public long since(MonotonicTime earlier) {
        return ms - earlier.ms;
    }

    /** Whether this time comes before the other. */
    public boolean isBefore(MonotonicTime other) {
        return ms < other.ms;
    }

    @Override
    public int compareTo(MonotonicTime other) {
        return Long.compare(ms, other.ms);
    }
}
