package org.beechhoist.controller.state;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.beechhoist.config.Settings;
import org.beechhoist.store.ChangeLogSegment;
import org.beechhoist.store.CommittedTasks;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.Placement;
import org.beechhoist.store.RecordSizes;
import org.beechhoist.store.TaskChanges;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.Revision;

/** A transaction of the leader under construction, and the committed state that results from it. */
final class WriteBatch {
    /** The way in which a job's changes are written. */
    enum WriteMode {
        /** Writes the final state under a key of its own and deletes the record. */
        FINAL_STATE,
        /** Writes the final state under the key of the record, with one operation instead of two; it is moved later. */
        FINAL_STATE_IN_PLACE,
        /** Writes the complete record. */
        RECORD,
        /** Writes the changes of the job's tasks to a segment of the change log, together with those of other jobs. */
        LOG,
        /** Writes all changes missing from the record to a new segment, which frees the earlier segments with them. */
        CONSOLIDATE;

        boolean isFinal() {
            return this == FINAL_STATE || this == FINAL_STATE_IN_PLACE;
        }
    }

    /** A job's part of the transaction, as of the time it was sent. */
    static final class JobWrite {
        final Job job;
        final WriteMode mode;
        Map<String, ArrayNode> chunks;
        TaskChanges changes;
        CommittedTasks committedTasks;
        CommittedTasks recordedTasks;
        int width;
        int failures;

        JobWrite(Job job, WriteMode mode) {
            this.job = job;
            this.mode = mode;
        }
    }

    private static final int MAX_TRANSACTION_BYTES = 40_000;
    private static final int RECORD_BYTES = 2500;
    private static final int CHUNK_TASK_BYTES = 30;
    private static final int INLINE_TASK_BYTES = 40;
    private static final int GUARD_BYTES = 60;

    private final Transaction transaction;
    private final RecordSizes sizes;
    private final ChangeLog changeLog;
    private final int maxOperations;
    private final int maxGuards;
    private final ChangeLogSegment.Writer writer;
    private final List<JobWrite> writes = new ArrayList<>();
    private final Map<Long, Integer> slotsByNumber = new HashMap<>();
    private final Map<Long, Set<JobId>> jobsByNumber = new HashMap<>();
    private int bytes;
    private final CommitGuards guards;
    private final Set<String> keyGuards = new HashSet<>();

    /**
     * Creates an empty batch.
     *
     * @param transaction already has the leader's guard
     * @param maxChanges the number of operations that the rate limits allow now
     */
    WriteBatch(
            Transaction transaction,
            Settings.State limits,
            RecordSizes sizes,
            ChangeLog changeLog,
            CommitGuards guards,
            int maxChanges) {
        this.guards = guards;
        this.transaction = transaction;
        this.sizes = sizes;
        this.changeLog = changeLog;
        this.maxOperations = Math.min(limits.txnOps(), maxChanges);
        this.maxGuards = 4 * limits.txnOps() - 1;
        this.writer = new ChangeLogSegment.Writer(sizes.segmentBytes());
    }

    boolean isEmpty() {
        return transaction.operationCount() == 0 && writes.isEmpty();
    }

    List<JobWrite> writes() {
        return writes;
    }

    int segmentCount() {
        return writer.segmentCount();
    }

    /** Adds the job's changes if they fit; returns false if they do not. */
    boolean add(Job job, WriteMode mode) {
        JobWrite part = new JobWrite(job, mode);
        boolean added = mode == WriteMode.LOG || mode == WriteMode.CONSOLIDATE ? addToLog(part) : addRecord(part);
        String key = added && !mode.isFinal() ? guards.guardKey(job) : null;
        if (key != null && keyGuards.add(key)) {
            guards.addGuard(transaction, job);
        }
        if (added) {
            part.width = job.width();
            part.failures = job.record.failures;
            transaction.guard(JobRecord.openKey(job.id()), job.version);
            writes.add(part);
        }
        return added;
    }

    /** Returns whether the job's changes fit in a segment that is written anyway, so that no further operation is needed. */
    boolean fitsOpenSegment(Job job) {
        return writer.segmentCount() > 0
                && writes.size() + keyGuards.size() + writer.segmentCount() < maxGuards - 1
                && writer.segmentCountWith(job.id(), job.committedTasks.changesTo(job.record)) == writer.segmentCount();
    }

    private boolean fits(int operations, int addedBytes, int segments) {
        return writes.size() + keyGuards.size() + segments < maxGuards - 1
                && transaction.operationCount() + operations + segments <= maxOperations
                && (writes.isEmpty()
                        || bytes + addedBytes + segments * (sizes.segmentBytes() + GUARD_BYTES)
                                <= MAX_TRANSACTION_BYTES);
    }

    private boolean addToLog(JobWrite part) {
        part.changes = part.mode == WriteMode.LOG
                ? part.job.committedTasks.changesTo(part.job.record)
                : part.job.recordedTasks.allChangesTo(part.job.record);
        if (!fits(0, GUARD_BYTES, writer.segmentCountWith(part.job.id(), part.changes))) {
            return false;
        }
        bytes += GUARD_BYTES;
        writer.add(part.job.id(), part.changes);
        part.committedTasks = part.mode == WriteMode.LOG ? null : CommittedTasks.of(part.job.record);
        return true;
    }

    private boolean addRecord(JobWrite part) {
        Job job = part.job;
        part.chunks = job.record.chunks();
        boolean ends = part.mode == WriteMode.FINAL_STATE;
        int changed = countChangedChunks(job, part.chunks);
        int size = RECORD_BYTES
                + CHUNK_TASK_BYTES * sizes.chunkTasks() * changed
                + (job.record.isChunked() ? 0 : INLINE_TASK_BYTES * job.record.live.size());
        if (!fits(1 + (ends ? 1 : 0) + changed, size, writer.segmentCount())) {
            return false;
        }
        bytes += size;
        part.chunks.forEach((key, array) -> {
            if (!array.equals(job.chunks.get(key))) {
                transaction.put(key, array);
            }
        });
        for (String key : job.chunks.keySet()) {
            if (!part.chunks.containsKey(key)) {
                transaction.delete(key);
            }
        }
        String key = JobRecord.openKey(job.id());
        if (part.mode == WriteMode.FINAL_STATE_IN_PLACE) {
            transaction.put(key, job.record.finalStateNode(job.finalState()));
        } else if (ends) {
            transaction.delete(key).put(JobRecord.endedKey(job.id()), job.record.finalStateNode(job.finalState()));
        } else {
            job.record.foldedSegment = changeLog.lastNumber();
            part.committedTasks = CommittedTasks.of(job.record);
            part.recordedTasks = CommittedTasks.of(job.record);
            transaction.put(key, job.record.toNode());
        }
        return true;
    }

    private static int countChangedChunks(Job job, Map<String, ArrayNode> now) {
        int count = 0;
        for (Map.Entry<String, ArrayNode> chunk : now.entrySet()) {
            count += chunk.getValue().equals(job.chunks.get(chunk.getKey())) ? 0 : 1;
        }
        for (String key : job.chunks.keySet()) {
            count += now.containsKey(key) ? 0 : 1;
        }
        return count;
    }

    /** Adds the segments to the transaction and returns it; nothing can be added afterwards. */
    Transaction seal() {
        for (Map<JobId, TaskChanges> jobs : writer.segments()) {
            long number = changeLog.nextNumber();
            int slot = changeLog.reserveSlot();
            slotsByNumber.put(number, slot);
            jobsByNumber.put(number, jobs.keySet());
            transaction
                    .guard(ChangeLogSegment.key(slot), changeLog.slotVersion(slot))
                    .put(ChangeLogSegment.key(slot), new ChangeLogSegment(number, jobs).toNode());
        }
        return transaction;
    }

    /** Returns the placements that the transaction commits. */
    List<Placement> newPlacements() {
        List<Placement> out = new ArrayList<>();
        for (JobWrite part : writes) {
            if (!part.mode.isFinal()) {
                part.job.record.live.values().stream().filter(p -> !p.committed).forEach(out::add);
            }
        }
        return out;
    }

    /** Frees the reserved slots because the transaction was not applied. */
    void discard() {
        slotsByNumber.values().forEach(changeLog::releaseSlot);
    }

    /** Updates the committed state because the transaction was applied, at this revision. */
    void applyCommitted(Revision revision) {
        for (JobWrite part : writes) {
            if (part.mode == WriteMode.LOG) {
                part.job.committedTasks.apply(part.changes);
            } else if (part.mode == WriteMode.CONSOLIDATE) {
                changeLog.removeJob(part.job.id());
                part.job.committedTasks = part.committedTasks;
            } else {
                changeLog.removeJob(part.job.id());
                part.job.committedTasks = part.committedTasks;
                part.job.recordedTasks = part.recordedTasks;
                part.job.chunks = part.chunks;
                part.job.committedWidth = part.width;
                part.job.committedFailures = part.failures;
            }
        }
        slotsByNumber.forEach((number, slot) -> {
            changeLog.recordSegment(number, slot, jobsByNumber.get(number));
            changeLog.recordSlotVersion(slot, revision);
        });
    }
}
