package org.beechhoist.controller.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MonotonicTime;

/** Selects which jobs are written in the next transaction, and how each of them is written. */
final class PendingWriteSelector {
    /** The rank of writes that nobody waits for. */
    private static final int DEFERRED_RANK = 10;
    /** Finished tasks are gathered this long before their job is written for them alone. */
    private static final long MAX_DEFER_MS = 2000;
    /** A write that has waited this long is not overtaken by smaller ones any more. */
    private static final long MAX_OVERTAKEN_MS = 1000;

    private static final long COMPACTION_INTERVAL_MS = 1000;
    /** A younger job will end before long, so its record is not written only to shorten the log. */
    private static final long MIN_COMPACTION_AGE_MS = 60_000;

    private static final int MAX_COMPACTED_RECORD_COUNT = 2;
    private static final int MAX_CONSOLIDATED_JOB_COUNT = 100;
    private static final int MAX_CONSOLIDATED_SEGMENT_COUNT = 2;

    private record DueWrite(Job job, int rank) {}

    private final ControllerContext context;
    private final ClusterState clusterState;
    private final ChangeLog changeLog;
    private final CommitGuards guards;
    private final BooleanSupplier logAllowed;
    private MonotonicTime nextCompactionAt = MonotonicTime.ZERO;
    /** Whether changes run short, so that ends of jobs are written with one change instead of two. */
    private boolean writeBudgetLow;

    /** Creates the selector; {@code logAllowed} says whether changes may be written to the change log. */
    PendingWriteSelector(
            ControllerContext context,
            ClusterState clusterState,
            ChangeLog changeLog,
            CommitGuards guards,
            BooleanSupplier logAllowed) {
        this.context = context;
        this.clusterState = clusterState;
        this.changeLog = changeLog;
        this.guards = guards;
        this.logAllowed = logAllowed;
    }

    /** Whether the job's final state is what is written next. */
    static boolean isEnding(Job job) {
        return job.record.live.isEmpty() && (job.record.isCancelled() || job.record.isComplete());
    }

    /**
     * Adds the writes that are due to the batch, those of the highest priority first, and of the deferred ones those that cost no
     * further change.
     *
     * @param spare whether there are changes to spare for deferred writes
     * @param scarce whether changes run short
     */
    void addDueWrites(WriteBatch batch, boolean spare, boolean scarce) {
        writeBudgetLow = scarce;
        List<DueWrite> due = new ArrayList<>();
        List<Job> deferred = new ArrayList<>();
        for (Job job : new ArrayList<>(clusterState.dirtyJobs())) {
            classify(job, spare, due, deferred);
        }
        due.sort(Comparator.comparingInt(DueWrite::rank).thenComparing(d -> d.job.dirtySince));
        for (DueWrite next : due) {
            if (!addToBatch(batch, next.job)
                    && next.rank < DEFERRED_RANK
                    && context.now().since(next.job.dirtySince) > MAX_OVERTAKEN_MS) {
                break; // let the budget fill up for it instead of always spending it on smaller writes
            }
        }
        if (batch.segmentCount() == 0) {
            return;
        }
        for (Job job : deferred) {
            if (writeMode(job) == WriteBatch.WriteMode.LOG && batch.fitsOpenSegment(job)) {
                addToBatch(batch, job);
            }
        }
    }

    /** Adds the job to the writes that are due or to those that are deferred, or to neither where it can't be written now. */
    private void classify(Job job, boolean spare, List<DueWrite> due, List<Job> deferred) {
        if (job.isRecordOutdated()) {
            return; // its record holds a cancellation that has not been read yet; the watch brings it
        }
        if (!isEnding(job) && !guards.mayWrite(job)) {
            return; // its key set has changed: whether its placements are written is decided once the new version is
            // known
        }
        int rank = writeRank(job);
        // A finished task frees its machine without this write: the worker's heartbeat proves the end, to a later
        // leader too.
        if (rank == DEFERRED_RANK && !(spare && context.now().since(job.dirtySince) >= MAX_DEFER_MS)) {
            deferred.add(job);
        } else if (writeMode(job) == WriteBatch.WriteMode.LOG
                && job.committedTasks.changesTo(job.record).isEmpty()) {
            clusterState.markInFlight(job); // it was marked as dirty, but is as the state service holds it
            job.inFlight = false;
        } else {
            due.add(new DueWrite(job, rank));
        }
    }

    private boolean addToBatch(WriteBatch batch, Job job) {
        boolean added = (isEnding(job) || guards.mayWrite(job)) && batch.add(job, writeMode(job));
        if (added) {
            clusterState.markInFlight(job);
        }
        return added;
    }

    private WriteBatch.WriteMode writeMode(Job job) {
        if (isEnding(job)) {
            return writeBudgetLow && logAllowed.getAsBoolean()
                    ? WriteBatch.WriteMode.FINAL_STATE_IN_PLACE
                    : WriteBatch.WriteMode.FINAL_STATE;
        }
        boolean recordNeeded = !logAllowed.getAsBoolean()
                || job.width() != job.committedWidth
                || job.record.failures != job.committedFailures;
        return recordNeeded ? WriteBatch.WriteMode.RECORD : WriteBatch.WriteMode.LOG;
    }

    /**
     * The order of the writes: jobs of higher priority first; within a priority jobs that have ended, for their users wait, then
     * launches. Ended tasks come last. With all ends first, the ends of thousands of tiny jobs delayed urgent launches for
     * seconds.
     */
    private static int writeRank(Job job) {
        if (isEnding(job)) {
            return 2 * job.spec().priority().ordinal();
        }
        return job.uncommittedPlacements > 0 || job.width() < job.committedWidth
                ? 1 + 2 * job.spec().priority().ordinal()
                : DEFERRED_RANK;
    }

    boolean isCompactionDue() {
        return changeLog.segmentCount() > 0 && !context.now().isBefore(nextCompactionAt);
    }

    /**
     * Keeps the log short. Where it is crowded, what the oldest segments hold of open jobs is consolidated in new segments, one or
     * two each time; where there are changes to spare, the record of a job that has been open for long is written.
     */
    void compactLog(WriteBatch batch, boolean plentiful) {
        nextCompactionAt = context.now().plusMs(COMPACTION_INTERVAL_MS);
        boolean consolidate = changeLog.needsConsolidation() && logAllowed.getAsBoolean();
        if (!consolidate && !plentiful) {
            return;
        }
        int segmentsBefore = batch.segmentCount();
        int records = 0;
        for (JobId jobId :
                changeLog.jobsInOldestSegments(consolidate ? MAX_CONSOLIDATED_JOB_COUNT : MAX_COMPACTED_RECORD_COUNT)) {
            Job job = clusterState.job(jobId);
            if (job == null || !isCompactable(job, consolidate)) {
                continue;
            }
            if (batch.segmentCount() - segmentsBefore > MAX_CONSOLIDATED_SEGMENT_COUNT
                    || records == MAX_COMPACTED_RECORD_COUNT
                    || !batch.add(job, consolidate ? WriteBatch.WriteMode.CONSOLIDATE : WriteBatch.WriteMode.RECORD)) {
                return;
            }
            clusterState.markInFlight(job);
            records += consolidate ? 0 : 1;
        }
    }

    private boolean isCompactable(Job job, boolean consolidate) {
        return !job.inFlight
                && !job.isRecordOutdated()
                && !isEnding(job)
                && guards.mayWrite(job)
                && (consolidate || context.now().since(job.submittedAt) >= MIN_COMPACTION_AGE_MS);
    }
}
