package org.beechhoist.controller.state;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.beechhoist.wire.JobId;

/**
 * Which slots of the change log are in use, and which jobs' changes they hold. A slot is free once every job in it has ended or
 * has a record that holds the same; it is then overwritten, so the log needs no deletions.
 */
public final class ChangeLog {
    /** Beyond this many segments the oldest are consolidated in new ones, for the next leader has to read them all. */
    private static final int CROWDED_SEGMENTS = 40;

    private record Segment(long number, int slot, Set<JobId> jobs) {}

    private final TreeMap<Long, Segment> inUse = new TreeMap<>();
    private final Map<JobId, Deque<Segment>> byJob = new HashMap<>();
    private final BitSet slots = new BitSet();
    private long lastNumber;

    void reset() {
        inUse.clear();
        byJob.clear();
        slots.clear();
        lastNumber = 0;
    }

    /** The number of the newest segment that was written or attempted. */
    long lastNumber() {
        return lastNumber;
    }

    void advanceLastNumber(long number) {
        lastNumber = Math.max(lastNumber, number);
    }

    long nextNumber() {
        return ++lastNumber;
    }

    /** Reserves a free slot; it is in use until {@link #releaseSlot}, or until all jobs of its segment are forgotten. */
    int reserveSlot() {
        int slot = slots.nextClearBit(0);
        slots.set(slot);
        return slot;
    }

    /** Frees a reserved slot that was not written. */
    void releaseSlot(int slot) {
        slots.clear(slot);
    }

    /** Records that the state service holds a segment with changes of these jobs. */
    void recordSegment(long number, int slot, Collection<JobId> jobs) {
        if (jobs.isEmpty()) {
            slots.clear(slot);
            return;
        }
        slots.set(slot);
        Segment segment = new Segment(number, slot, new HashSet<>(jobs));
        inUse.put(number, segment);
        jobs.forEach(j -> byJob.computeIfAbsent(j, k -> new ArrayDeque<>(2)).add(segment));
    }

    /** Forgets the job's changes, for it has ended or its record holds them all. */
    void removeJob(JobId job) {
        Deque<Segment> of = byJob.remove(job);
        if (of == null) {
            return;
        }
        for (Segment segment : of) {
            segment.jobs.remove(job);
            if (segment.jobs.isEmpty()) {
                inUse.remove(segment.number);
                slots.clear(segment.slot);
            }
        }
    }

    /** Whether the log holds changes that the job's record lacks. */
    boolean hasChangesOf(JobId job) {
        return byJob.containsKey(job);
    }

    /** Whether there are so many segments that the oldest should be consolidated. */
    boolean needsConsolidation() {
        return inUse.size() > CROWDED_SEGMENTS;
    }

    int segmentCount() {
        return inUse.size();
    }

    /** The jobs that keep the oldest segments in use: those of whole segments, until there are {@code most} or more. */
    Set<JobId> jobsInOldestSegments(int most) {
        Set<JobId> out = new LinkedHashSet<>();
        for (Segment segment : inUse.values()) {
            if (out.size() >= most) {
                break;
            }
            out.addAll(segment.jobs);
        }
        return out;
    }
}
