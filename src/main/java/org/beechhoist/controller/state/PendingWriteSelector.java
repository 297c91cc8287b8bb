package org.beechhoist.controller.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MonotonicTime;

/** Selects the jobs to write in the next transaction and the write mode of each. */
final class PendingWriteSelector {
    /** The rank of writes without a waiting user or launch. */
    private static final int DEFERRED_RANK = 10;
    /** A job whose only changes are finished tasks is not due before they have waited this long. */
    private static final long MAX_DEFER_MS = 2000;
    /** Once a write that does not fit has waited this long, no smaller ones are written before it. */
    private static final long MAX_BYPASSED_MS = 1000;

    private static final long COMPACTION_INTERVAL_MS = 1000;
    /** The record of a younger job is not written just to shorten the log, because the job will probably end soon. */
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
    /** True if the write budget is low, so that final states are written with one operation instead of two. */
    private boolean writeBudgetLow;

    /** Creates the selector; {@code logAllowed} returns whether changes may be written to the change log. */
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

    /** Returns whether the next write of the job is its final state. */
    static boolean isEnding(Job job) {
        return job.record.live.isEmpty() && (job.record.isCancelled() || job.record.isComplete());
    }

    /**
     * Adds the due writes to the batch, highest priority first, and then those of the deferred writes that need no further
     * operation.
     *
     * @param deferredAllowed whether the write budget allows for deferred writes
     * @param budgetLow whether the write budget is low
     */
    void addDueWrites(WriteBatch batch, boolean deferredAllowed, boolean budgetLow) {
        writeBudgetLow = budgetLow;
        List<DueWrite> due = new ArrayList<>();
        List<Job> deferred = new ArrayList<>();
        for (Job job : new ArrayList<>(clusterState.dirtyJobs())) {
            classify(job, deferredAllowed, due, deferred);
        }
        due.sort(Comparator.comparingInt(DueWrite::rank).thenComparing(d -> d.job.dirtySince));
        for (DueWrite next : due) {
            if (!addToBatch(batch, next.job)
                    && next.rank < DEFERRED_RANK
                    && context.now().since(next.job.dirtySince) > MAX_BYPASSED_MS) {
                break; // let the budget grow for this write instead of spending it on smaller ones
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

    /** Adds the job to the due writes or to the deferred ones, or to neither if it can't be written now. */
    private void classify(Job job, boolean deferredAllowed, List<DueWrite> due, List<Job> deferred) {
        if (job.isRecordOutdated()) {
            return; // the stored record has a cancellation that has not been read yet; the watch will report it
        }
        if (!isEnding(job) && !guards.mayWrite(job)) {
            return; // the key set has changed; its new version decides whether the placements may be written
        }
        int rank = writeRank(job);
        // A finished task frees its machine without this write: the worker's heartbeat proves the end, to a later
        // leader as well.
        if (rank == DEFERRED_RANK && !(deferredAllowed && context.now().since(job.dirtySince) >= MAX_DEFER_MS)) {
            deferred.add(job);
        } else if (writeMode(job) == WriteBatch.WriteMode.LOG
                && job.committedTasks.changesTo(job.record).isEmpty()) {
            clusterState.markInFlight(job); // marked as dirty, but the state service already holds the same
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
     * Returns the position in the write order: jobs of higher priority first; within a priority, ended jobs, because their users
     * are waiting, before launches. Finished tasks come last. When all ended jobs came first, those of thousands of tiny jobs
     * delayed urgent launches for seconds.
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
     * Keeps the log short. If it has too many segments, the changes of open jobs in the oldest ones are consolidated into one or
     * two new segments; otherwise, if the write budget is plentiful, records of long-open jobs are written.
     */
    void compactLog(WriteBatch batch, boolean budgetPlentiful) {
        nextCompactionAt = context.now().plusMs(COMPACTION_INTERVAL_MS);
        boolean consolidate = changeLog.needsConsolidation() && logAllowed.getAsBoolean();
        if (!consolidate && !budgetPlentiful) {
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
