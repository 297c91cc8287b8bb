package org.beechhoist.controller.state;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.beechhoist.elastic.TaskTermination;
import org.beechhoist.keyset.RunDecision;
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

/** An open job as the leader holds it in memory: its record, what of it is committed, and what decisions about it need. */
public final class Job {
    /** Failed tasks on this many machines, and this many failures, make a job suspect. */
    private static final int SUSPECT_MACHINES = 2;

    private static final int SUSPECT_FAILURES = 3;
    /** This many failures alone make it suspect: an earlier leader counted them, and on which machines is not stored. */
    private static final int SUSPECT_BEFORE = 8;

    /** The record, with changes that are not written yet. */
    public final JobRecord record;

    /** The version of the stored record. */
    Revision version;
    /** The record's chunks as last committed, so that only changed ones are written. */
    Map<String, ArrayNode> chunks = new HashMap<>();

    /** Whether it has changes that are to be written, and since when. */
    boolean dirty;

    MonotonicTime dirtySince = MonotonicTime.ZERO;
    /** Whether a transaction with its changes is in flight. */
    public boolean inFlight;
    /** The watched change of the record that arrived while a commit of the job was in flight, or null. */
    StoreClient.KeyValue pendingChange;
    /** The time of day at which its cancellation was committed, where that became known before the record was read; else 0. */
    public long outOfBandCancelledAtMs;
    /** The number of placements that are not committed yet: their launches wait for that. */
    public int uncommittedPlacements;
    /** When the job was accepted, computed from the time of day in its record. */
    public final MonotonicTime submittedAt;

    /** No task of it is placed before this time. */
    public MonotonicTime notBefore = MonotonicTime.ZERO;
    /** No other task is preempted for it before this time. */
    public MonotonicTime nextPreemptionAt = MonotonicTime.ZERO;
    /** No other job's width is reduced, and no other task preempted, for it before this time. */
    public MonotonicTime nextWidthReductionAt = MonotonicTime.ZERO;
    /** Tasks that are to be ended, and how; most are not stopped yet. */
    public final Map<Placement, TaskTermination> endings = new LinkedHashMap<>();
    /** The width that the state service holds. */
    public int committedWidth;
    /** The number of failures in the stored record. */
    int committedFailures;
    /** Its tasks as the state service holds them in the record and the change log. */
    CommittedTasks committedTasks;
    /** Its tasks as the state service holds them in the record alone. */
    CommittedTasks recordedTasks;

    /** The machines on which tasks of it have failed, as far as this leader knows. */
    public final Set<MachineId> failedOnMachines = new HashSet<>();
    /** The number of back-offs after failures for which the job itself was found to be at fault. */
    public int failureBackoffs;

    /** When it last made progress, was released from a hold or was reported as stalled, as far as is known. */
    public MonotonicTime lastProgressAt;
    /** Whether it fits its team's guarantee together with the team's earlier open jobs. */
    public boolean withinGuarantee;
    /** Whether it is prioritized, for the share of its class, its team or its class's largest jobs is below the minimum. */
    public boolean prioritized;
    /**
     * How many of its tasks are to begin before those of other jobs, for nothing of it has begun for long; none of its tasks is
     * to be stopped while it is {@link #starving}.
     */
    public int expeditedLimit;

    /** Whether nothing of it has begun for so long that it goes first. */
    public boolean starving;
    /** Why its key set forbids that tasks start, and perhaps that they run; null: it does not. */
    public RunDecision keySetHold;

    /** Since when the key set holds it, by the time of day. */
    public long heldSinceMs;
    /** The release that it counts for, as of the last plan, or null. */
    public Release release;
    /** The groups whose service share it counts for: its class, its team and its class's largest jobs; null until computed. */
    public Set<String> shareGroups;
    /** Whether it is shed under overload, so that other jobs meet their deadlines. */
    public boolean shed;

    Job(JobRecord record, Revision version, MonotonicTime submitted) {
        this.record = record;
        this.version = version;
        this.submittedAt = submitted;
        this.lastProgressAt = submitted;
        this.committedWidth = width();
        this.committedFailures = record.failures;
        this.committedTasks = CommittedTasks.of(record);
        this.recordedTasks = CommittedTasks.of(record);
        this.keySetHold = record.spec.keySetBinding() == null ? null : RunDecision.UNKNOWN;
    }

    /** The job's id. */
    public JobId id() {
        return record.spec.id();
    }

    /** What was submitted. */
    public JobSpec spec() {
        return record.spec;
    }

    /** The width that was decided for it; without one, any number of its tasks may be live. */
    public int width() {
        return record.width == null ? Integer.MAX_VALUE : record.width.target();
    }

    /** Whether tasks of the other job may be stopped for tasks of this one. */
    public boolean mayPreempt(Job other) {
        if (other.prioritized || other.starving) {
            return false; // it would be prioritized again, and stopped again
        }
        int comparison = spec().priority().compareTo(other.spec().priority());
        boolean borrowed = !other.withinGuarantee && !other.spec().team().equals(spec().team());
        // A guarantee could take back borrowed machines from jobs of higher priority too, but these suffer most from
        // waiting.
        return comparison < 0 || (comparison == 0 && withinGuarantee && borrowed);
    }

    /**
     * Whether it may have been submitted with a mistake: several tasks failed, on more than one machine as far as this leader
     * knows, and none is done. One task of it at a time is tried then, and no task is stopped and no machine rented for it.
     */
    public boolean isSuspect() {
        return record.done.size() == 0
                && (failedOnMachines.size() >= SUSPECT_MACHINES && record.failures >= SUSPECT_FAILURES
                        || record.failures >= SUSPECT_BEFORE);
    }

    /** Whether its key set holds it: no task of it may run. */
    public boolean isHeld() {
        return keySetHold != null && keySetHold.isHeld();
    }

    /** How many more of its tasks go first now. */
    public int expeditedTasks() {
        return Math.max(0, expeditedLimit - record.live.size() - record.done.size());
    }

    /** Whether a task of it is live or done. */
    public boolean hasStarted() {
        return !record.live.isEmpty() || record.done.size() > 0;
    }

    /** How many of its waiting tasks may be placed now. */
    public int maxPlaceable(int waiting) {
        return isSuspect() ? Math.min(waiting, record.live.isEmpty() ? 1 : 0) : waiting;
    }

    /** Whether its cancellation is known to be committed, from its record or from another source. */
    public boolean isCancelled() {
        return record.isCancelled() || outOfBandCancelledAtMs > 0;
    }

    /** The time of day at which its cancellation was committed. */
    public long cancelledAtMs() {
        return record.isCancelled() ? record.cancelledAtWallMs : outOfBandCancelledAtMs;
    }

    /** Whether its stored record is known to have changed since it was read: a commit under that version would fail. */
    boolean isRecordOutdated() {
        return outOfBandCancelledAtMs > 0 && !record.isCancelled();
    }

    /** Its final state once no task of it is live. */
    String finalState() {
        return record.isCancelled() ? "cancelled" : "done";
    }

    /** Whether the state service holds it as the leader does. */
    public boolean isPersisted() {
        return !dirty && !inFlight;
    }
}
