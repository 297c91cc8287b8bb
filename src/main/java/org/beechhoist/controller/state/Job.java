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
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.Revision;

/** An open job in the leader's memory: its record, the committed part of it, and the inputs of scheduling decisions. */
public final class Job {
    /** A job is suspect if its tasks failed on this many machines and its failures reach {@link #SUSPECT_FAILURE_COUNT}. */
    private static final int SUSPECT_MACHINE_COUNT = 2;

    private static final int SUSPECT_FAILURE_COUNT = 3;
    /** This many failures alone make a job suspect: an earlier leader may have counted them, and the machines are not stored. */
    private static final int SUSPECT_TOTAL_FAILURE_COUNT = 8;

    /** The record, including changes that are not written yet. */
    public final JobRecord record;

    /** The version of the stored record. */
    Revision version;
    /** The record's chunks as last committed; only chunks that differ are written. */
    Map<String, ArrayNode> chunks = new HashMap<>();

    /** True if the job has changes to be written. */
    boolean dirty;

    /** The time at which the job became dirty. */
    MonotonicTime dirtySince = MonotonicTime.ZERO;
    /** True while a transaction with changes of the job is in flight. */
    public boolean inFlight;
    /** The watched change of the record that arrived during a commit of the job, or null. */
    StoreClient.KeyValue pendingChange;
    /** The commit time (time of day) of a cancellation that became known before the record with it was read; otherwise 0. */
    public long outOfBandCancelledAtMs;
    /** The newest token that launched an attempt which ended without completing its task; copies of that launch may still arrive. */
    FencingToken unfinishedLaunchToken = FencingToken.NONE;
    /** The number of placements that are not committed yet; their launches wait for the commit. */
    public int uncommittedPlacements;
    /** The time at which the job was accepted, computed from the time of day in its record. */
    public final MonotonicTime submittedAt;

    /** No task of the job is placed before this time. */
    public MonotonicTime notBefore = MonotonicTime.ZERO;
    /** No other task is preempted for the job before this time. */
    public MonotonicTime nextPreemptionAt = MonotonicTime.ZERO;
    /** No other job's width is reduced, and no other task preempted, for the job before this time. */
    public MonotonicTime nextWidthReductionAt = MonotonicTime.ZERO;
    /** The decided termination of each placement whose task is to be stopped; most are not stopped yet. */
    public final Map<Placement, TaskTermination> terminations = new LinkedHashMap<>();
    /** The width stored in the state service. */
    public int committedWidth;
    /** The number of failures in the stored record. */
    int committedFailures;
    /** The job's tasks as stored in the record and the change log together. */
    CommittedTasks committedTasks;
    /** The job's tasks as stored in the record alone. */
    CommittedTasks recordedTasks;

    /** The machines on which tasks of the job have failed, as far as this leader knows. */
    public final Set<MachineId> failedOnMachines = new HashSet<>();
    /** The number of back-offs after failures that were attributed to the job itself. */
    public int failureBackoffs;

    /** The last known time at which the job made progress, was released from a hold or was reported as stalled. */
    public MonotonicTime lastProgressAt;
    /** True if the job fits its team's guaranteed quota together with the team's earlier open jobs. */
    public boolean withinGuarantee;
    /** True if the job is prioritized because the service share of its class, its team or its class's largest jobs is below the minimum. */
    public boolean prioritized;
    /**
     * The number of live and done tasks up to which the job's tasks start before those of other jobs. It is set because no task of
     * the job has started for long; none of its tasks is stopped while the job is {@link #starving}.
     */
    public int expeditedLimit;

    /** True if no task of the job has started for so long that the job takes precedence. */
    public boolean starving;
    /** The key set verdict that prevents tasks from starting, and possibly from running; null if there is none. */
    public RunDecision keySetHold;

    /** The time of day since which the key set holds the job. */
    public long heldSinceMs;
    /** The release that the job belongs to as of the last plan, or null. */
    public Release release;
    /** The groups whose service share includes the job: its class, its team and its class's largest jobs; null until computed. */
    public Set<String> shareGroups;
    /** True if the job is shed under overload so that other jobs meet their deadlines. */
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

    /** Returns the job's id. */
    public JobId id() {
        return record.spec.id();
    }

    /** Returns the specification as submitted. */
    public JobSpec spec() {
        return record.spec;
    }

    /** Returns the target width, or the maximum integer if the number of live tasks is not limited. */
    public int width() {
        return record.width == null ? Integer.MAX_VALUE : record.width.target();
    }

    /** Returns whether tasks of the other job may be stopped in favor of tasks of this job. */
    public boolean mayPreempt(Job other) {
        if (other.prioritized || other.starving) {
            return false; // it would be prioritized and preempted over and over
        }
        int comparison = spec().priority().compareTo(other.spec().priority());
        boolean borrowed = !other.withinGuarantee && !other.spec().team().equals(spec().team());
        // A guaranteed quota doesn't reclaim borrowed machines from jobs of higher priority: these suffer most from
        // waiting.
        return comparison < 0 || (comparison == 0 && withinGuarantee && borrowed);
    }

    /**
     * Returns whether the job is probably faulty: several tasks failed, on more than one machine as far as this leader knows, and
     * none is done. Only one task of a suspect job is tried at a time, and no task is stopped and no machine rented for it.
     */
    public boolean isSuspect() {
        return record.done.size() == 0
                && (failedOnMachines.size() >= SUSPECT_MACHINE_COUNT && record.failures >= SUSPECT_FAILURE_COUNT
                        || record.failures >= SUSPECT_TOTAL_FAILURE_COUNT);
    }

    /** Returns whether the key set holds the job, so that none of its tasks may run. */
    public boolean isHeld() {
        return keySetHold != null && keySetHold.isHeld();
    }

    /** Returns how many more of the job's tasks take precedence over those of other jobs. */
    public int expeditedTasks() {
        return Math.max(0, expeditedLimit - record.live.size() - record.done.size());
    }

    /** Returns whether a task of the job is live or done. */
    public boolean hasStarted() {
        return !record.live.isEmpty() || record.done.size() > 0;
    }

    /** Returns how many of the job's waiting tasks may be placed now. */
    public int maxPlaceable(int waiting) {
        return isSuspect() ? Math.min(waiting, record.live.isEmpty() ? 1 : 0) : waiting;
    }

    /** Returns whether the job's cancellation is known to be committed, from its record or from another source. */
    public boolean isCancelled() {
        return record.isCancelled() || outOfBandCancelledAtMs > 0;
    }

    /** Returns the time of day at which the job's cancellation was committed. */
    public long cancelledAtMs() {
        return record.isCancelled() ? record.cancelledAtWallMs : outOfBandCancelledAtMs;
    }

    /** Returns whether the stored record has changed since it was read, so that a commit under the read version would fail. */
    boolean isRecordOutdated() {
        return outOfBandCancelledAtMs > 0 && !record.isCancelled();
    }

    /** Returns the final state of the job once none of its tasks is live. */
    String finalState() {
        return record.isCancelled() ? "cancelled" : "done";
    }

    /** Records that an attempt has ended without completing its task, so that the task may be placed again. */
    public void recordUnfinished(Placement placement) {
        FencingToken launched = placement.newestLaunchToken();
        unfinishedLaunchToken = launched.compareTo(unfinishedLaunchToken) > 0 ? launched : unfinishedLaunchToken;
    }

    /**
     * Returns whether the job's new placements need a newer token than the current one. A worker that has lost its state executes
     * copies of earlier launches, unless it has seen a newer token than theirs.
     */
    boolean needsNewerToken(FencingToken current) {
        return uncommittedPlacements > 0 && unfinishedLaunchToken.compareTo(current) >= 0;
    }

    /** Returns whether all changes of the job are stored in the state service. */
    public boolean isPersisted() {
        return !dirty && !inFlight;
    }
}
