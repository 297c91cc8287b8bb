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
import org.beechhoist.wire.Revision;

/**
 * Index of the used slots of the change log and of the jobs whose changes they hold. A slot becomes free once every job in it has
 * ended or has a record that includes the changes; free slots are overwritten, so the log needs no deletions.
 */
public final class ChangeLog {
    /** Above this count the oldest segments are consolidated into new ones, because the next leader has to read all segments. */
    private static final int MAX_SEGMENT_COUNT = 40;

    private record Segment(long number, int slot, Set<JobId> jobs) {}

    private final TreeMap<Long, Segment> segmentsByNumber = new TreeMap<>();
    private final Map<JobId, Deque<Segment>> segmentsByJob = new HashMap<>();
    /** The version of each slot's key, so that a copy of an earlier transaction can't overwrite a newer segment. */
    private final Map<Integer, Revision> slotVersions = new HashMap<>();

    private final BitSet usedSlots = new BitSet();
    private long lastNumber;

    void reset() {
        segmentsByNumber.clear();
        segmentsByJob.clear();
        usedSlots.clear();
        slotVersions.clear();
        lastNumber = 0;
    }

    /** Returns the number of the newest segment that was written or attempted. */
    long lastNumber() {
        return lastNumber;
    }

    void advanceLastNumber(long number) {
        lastNumber = Math.max(lastNumber, number);
    }

    long nextNumber() {
        return ++lastNumber;
    }

    /** Reserves a free slot; it stays in use until {@link #releaseSlot}, or until all jobs of its segment are removed. */
    int reserveSlot() {
        int slot = usedSlots.nextClearBit(0);
        usedSlots.set(slot);
        return slot;
    }

    /** Returns the version of the slot's key. */
    Revision slotVersion(int slot) {
        return slotVersions.getOrDefault(slot, Revision.ABSENT);
    }

    void recordSlotVersion(int slot, Revision version) {
        slotVersions.put(slot, version);
    }

    /** Frees a reserved slot that was not written. */
    void releaseSlot(int slot) {
        usedSlots.clear(slot);
    }

    /** Records that the state service holds a segment with changes of these jobs. */
    void recordSegment(long number, int slot, Collection<JobId> jobs) {
        if (jobs.isEmpty()) {
            usedSlots.clear(slot);
            return;
        }
        usedSlots.set(slot);
        Segment segment = new Segment(number, slot, new HashSet<>(jobs));
        segmentsByNumber.put(number, segment);
        jobs.forEach(
                j -> segmentsByJob.computeIfAbsent(j, k -> new ArrayDeque<>(2)).add(segment));
    }

    /** Removes the job from all segments, because it has ended or its record includes all its changes. */
    void removeJob(JobId job) {
        Deque<Segment> segments = segmentsByJob.remove(job);
        if (segments == null) {
            return;
        }
        for (Segment segment : segments) {
            segment.jobs.remove(job);
            if (segment.jobs.isEmpty()) {
                segmentsByNumber.remove(segment.number);
                usedSlots.clear(segment.slot);
            }
        }
    }

    /** Returns whether the log holds changes that are missing from the job's record. */
    boolean hasChangesOf(JobId job) {
        return segmentsByJob.containsKey(job);
    }

    /** Returns whether the oldest segments should be consolidated. */
    boolean needsConsolidation() {
        return segmentsByNumber.size() > MAX_SEGMENT_COUNT;
    }

    int segmentCount() {
        return segmentsByNumber.size();
    }

    /** Returns the jobs of the oldest segments, segment by segment, until there are {@code minCount} or more. */
    Set<JobId> jobsInOldestSegments(int minCount) {
        Set<JobId> out = new LinkedHashSet<>();
        for (Segment segment : segmentsByNumber.values()) {
            if (out.size() >= minCount) {
                break;
            }
            out.addAll(segment.jobs);
        }
        return out;
    }
}
