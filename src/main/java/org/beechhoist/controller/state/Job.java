package org.beechhoist.controller.state;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.beechhoist.elastic.Ending;
import org.beechhoist.keyset.Verdict;
import org.beechhoist.release.Release;
import org.beechhoist.store.CommittedTasks;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.Placement;
import org.beechhoist.store.StoreClient;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.Revision;

/** An open job in the leader's book. */
public final class Job {
    private static final int SUSPECT_MACHINES = 2;
    private static final int SUSPECT_FAILURES = 3;
    /** Failures that an earlier leader counted, on machines that nobody knows any more. */
    private static final int SUSPECT_BEFORE = 8;

    public final JobRecord record;
    Revision version;
    /** Chunks as last committed, to write only what changed. */
    Map<String, ArrayNode> chunks = new HashMap<>();

    boolean dirty;
    MonotonicTime dirtySince = MonotonicTime.ZERO;
    public boolean inFlight;
    /** What the watch brought of the record while a commit of the job was on its way, or null. */
    StoreClient.KeyValue pendingChange;
    /** When its cancellation was committed, where that was heard before the record told; 0: it was not. */
    public long cancelHeardAtMs;
    /** Placements that no transaction holds yet: their launches wait for one. */
    public int uncommittedPlacements;
    /** Chosen from the time of day the job was accepted. */
    public final MonotonicTime submittedAt;

    public MonotonicTime notBefore = MonotonicTime.ZERO;
    public MonotonicTime nextPreemption = MonotonicTime.ZERO;
    public MonotonicTime nextWidthReduction = MonotonicTime.ZERO;
    /** Tasks that are to go, and how; most are not stopped yet. */
    public final Map<Placement, Ending> endings = new LinkedHashMap<>();
    /** The width that the state service holds. */
    public int committedWidth;
    /** Failures that the record in the state service counts. */
    int committedFailures;
    /** Its tasks as the state service holds them, by record and log. */
    CommittedTasks committedTasks;
    /** The same by the record alone. */
    CommittedTasks recordedTasks;

    public final Set<MachineId> failedOnMachines = new HashSet<>();
    /** Failures since it was first thought to be submitted with a mistake. */
    public int failureBackoffs;

    public MonotonicTime lastProgress;
    /** Whether it fits into its team's guarantee together with the team's earlier open jobs. */
    public boolean withinQuota;
    /** Whether it goes first, for its class, its team or its class's largest are below their half. */
    public boolean prioritized;
    /** So many of its tasks are to begin before others' do, for nothing of it has begun for long; none is to be stopped while it is {@link #aged}. */
    public int expeditedUpTo;

    public boolean starving;
    /** Why nothing of it may start, and perhaps nothing run: its key set; null: nothing stands against it. */
    public Verdict keySetHold;

    public long heldSinceMs;
    /** What of the release calendar it counts for, as of the last plan, or null. */
    public Release release;
    /** What it counts for: its class, its team, and its class's largest; null until it is first asked. */
    public Set<String> shareGroups;
    /** Whether it is left behind under overload, so that others are in time. */
    public boolean shed;

    Job(JobRecord record, Revision version, MonotonicTime submitted) {
        this.record = record;
        this.version = version;
        this.submittedAt = submitted;
        this.lastProgress = submitted;
        this.committedWidth = width();
        this.committedFailures = record.failures;
        this.committedTasks = CommittedTasks.of(record);
        this.recordedTasks = CommittedTasks.of(record);
        this.keySetHold = record.spec.keySetBinding() == null ? null : Verdict.NOT_KNOWN;
    }

    public JobId id() {
        return record.spec.id();
    }

    public JobSpec spec() {
        return record.spec;
    }

    /** The width that was decided; without one, any number of its tasks may be live. */
    public int width() {
        return record.width == null ? Integer.MAX_VALUE : record.width.target();
    }

    /** Whether its tasks may have the other job's stopped. */
    public boolean mayPreempt(Job other) {
        if (other.prioritized || other.starving) {
            return false; // it would be lifted again, and stopped again
        }
        int urgency = spec().priority().compareTo(other.spec().priority());
        boolean borrowed = !other.withinQuota && !other.spec().team().equals(spec().team());
        // A guarantee could take back borrowed machines from more urgent work too, but that work waits worst.
        return urgency < 0 || (urgency == 0 && withinQuota && borrowed);
    }

    /**
     * Whether it may have been submitted with a mistake: several tasks failed, on more than one machine as far as this leader
     * saw them, and none is done. It is tried with one task at a time then, and nobody makes room or rents for it.
     */
    public boolean isSuspect() {
        return record.done.size() == 0
                && (failedOnMachines.size() >= SUSPECT_MACHINES && record.failures >= SUSPECT_FAILURES
                        || record.failures >= SUSPECT_BEFORE);
    }

    /** Whether it is held: nothing of it may run. */
    public boolean isHeld() {
        return keySetHold != null && keySetHold.held();
    }

    /** Tasks of it that go first now. */
    public int expeditedTasks() {
        return Math.max(0, expeditedUpTo - record.live.size() - record.done.size());
    }

    /** Whether something of it has begun. */
    public boolean hasBegun() {
        return !record.live.isEmpty() || record.done.size() > 0;
    }

    /** How many of its tasks may be placed now beside those that are. */
    public int maxPlaceable(int waiting) {
        return isSuspect() ? Math.min(waiting, record.live.isEmpty() ? 1 : 0) : waiting;
    }

    /** Whether its cancellation is committed, as far as is known: by its record, or by who heard of it first. */
    public boolean isCancelled() {
        return record.isCancelled() || cancelHeardAtMs > 0;
    }

    /** When that was, by the time of day. */
    public long cancelledAtMs() {
        return record.isCancelled() ? record.cancelledAtWallMs : cancelHeardAtMs;
    }

    /** Whether its record has changed since it was read, as is known: a commit under the version that was read would fail. */
    boolean isRecordOutdated() {
        return cancelHeardAtMs > 0 && !record.isCancelled();
    }

    /** What it is called once nothing of it is live. */
    String finalState() {
        return record.isCancelled() ? "cancelled" : "done";
    }

    /** Whether what the leader holds of it is what the state service holds. */
    public boolean isSettled() {
        return !dirty && !inFlight;
    }
}
