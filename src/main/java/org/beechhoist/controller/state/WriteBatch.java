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

/** One transaction of the leader under construction, and what the state service holds once it is done. */
final class WriteBatch {
    /** How a job's news are written. */
    enum WriteMode {
        /** Its final state, under a key of its own; its record goes. */
        FINAL_STATE,
        /** Its final state where its record stood: one change instead of two, moved later. */
        FINAL_STATE_IN_PLACE,
        /** Its record, whole. */
        RECORD,
        /** What changed of its tasks, beside other jobs' news. */
        LOG,
        /** All that its record lacks, so that the segments that said so before are free. */
        CONSOLIDATE;

        boolean isFinal() {
            return this == FINAL_STATE || this == FINAL_STATE_IN_PLACE;
        }
    }

    /** A job's part, as it was when it was sent. */
    static final class JobWrite {
        final Job job;
        final WriteMode mode;
        Map<String, ArrayNode> chunks;
        TaskChanges changes;
        CommittedTasks stored;
        CommittedTasks recorded;
        int width;
        int failures;

        JobWrite(Job job, WriteMode way) {
            this.job = job;
            this.mode = way;
        }
    }

    private static final int MAX_BYTES = 40_000;
    private static final int RECORD_BYTES = 2500;
    private static final int GUARD_BYTES = 60;

    private final Transaction transaction;
    private final RecordSizes sizes;
    private final ChangeLog addToLog;
    private final int maxOperations;
    private final int maxGuards;
    private final ChangeLogSegment.Writer writer;
    private final List<JobWrite> writes = new ArrayList<>();
    private final Map<Long, Integer> slots = new HashMap<>();
    private final Map<Long, Set<JobId>> writtenJobs = new HashMap<>();
    private int bytes;
    private final CommitGuards guards;
    private final Set<String> keyGuards = new HashSet<>();

    /** @param transaction with the leader's guard in it; {@code mostOps} changes may be made by now */
    WriteBatch(
            Transaction transaction,
            Settings.State limits,
            RecordSizes sizes,
            ChangeLog changeLog,
            CommitGuards guards,
            int mostOps) {
        this.guards = guards;
        this.transaction = transaction;
        this.sizes = sizes;
        this.addToLog = changeLog;
        this.maxOperations = Math.min(limits.txnOps(), mostOps);
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

    /** Takes the job's news in, if there is room; false where there is none. */
    boolean add(Job job, WriteMode way) {
        JobWrite part = new JobWrite(job, way);
        boolean fits = way == WriteMode.LOG || way == WriteMode.CONSOLIDATE ? addToLog(part) : addRecord(part);
        String key = fits && !way.isFinal() ? guards.guardKey(job) : null;
        if (key != null && keyGuards.add(key)) {
            guards.guard(transaction, job);
        }
        if (fits) {
            part.width = job.width();
            part.failures = job.record.failures;
            transaction.guard(JobRecord.openKey(job.id()), job.version);
            writes.add(part);
        }
        return fits;
    }

    /** Whether the job's news would cost no change more. */
    boolean costsNothing(Job job) {
        return writer.segmentCount() > 0
                && writes.size() + keyGuards.size() < maxGuards - 1
                && writer.segmentCountWith(job.id(), job.committedTasks.changesTo(job.record)) == writer.segmentCount();
    }

    private boolean hasRoom(int ops, int more, int segments) {
        return writes.size() + keyGuards.size() < maxGuards - 1
                && transaction.operationCount() + ops + segments <= maxOperations
                && (writes.isEmpty() || bytes + more + segments * sizes.segmentBytes() <= MAX_BYTES);
    }

    private boolean addToLog(JobWrite part) {
        part.changes = part.mode == WriteMode.LOG
                ? part.job.committedTasks.changesTo(part.job.record)
                : part.job.recordedTasks.allChangesTo(part.job.record);
        if (!hasRoom(0, GUARD_BYTES, writer.segmentCountWith(part.job.id(), part.changes))) {
            return false;
        }
        bytes += GUARD_BYTES;
        writer.add(part.job.id(), part.changes);
        part.stored = part.mode == WriteMode.LOG ? null : CommittedTasks.of(part.job.record);
        return true;
    }

    private boolean addRecord(JobWrite part) {
        Job job = part.job;
        part.chunks = job.record.chunks();
        boolean ends = part.mode == WriteMode.FINAL_STATE;
        int changed = changedChunks(job, part.chunks);
        int size = RECORD_BYTES
                + 30 * sizes.chunkTasks() * changed
                + (job.record.isChunked() ? 0 : 40 * job.record.live.size());
        if (!hasRoom(1 + (ends ? 1 : 0) + changed, size, writer.segmentCount())) {
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
            job.record.foldedSegment = addToLog.lastNumber();
            part.stored = CommittedTasks.of(job.record);
            part.recorded = CommittedTasks.of(job.record);
            transaction.put(key, job.record.toNode());
        }
        return true;
    }

    private static int changedChunks(Job job, Map<String, ArrayNode> now) {
        int count = 0;
        for (Map.Entry<String, ArrayNode> c : now.entrySet()) {
            count += c.getValue().equals(job.chunks.get(c.getKey())) ? 0 : 1;
        }
        for (String key : job.chunks.keySet()) {
            count += now.containsKey(key) ? 0 : 1;
        }
        return count;
    }

    /** The whole transaction; nothing more is taken in. */
    Transaction seal() {
        for (Map<JobId, TaskChanges> jobs : writer.segments()) {
            long number = addToLog.nextNumber();
            int slot = addToLog.reserveSlot();
            slots.put(number, slot);
            writtenJobs.put(number, jobs.keySet());
            transaction.put(ChangeLogSegment.key(slot), new ChangeLogSegment(number, jobs).toNode());
        }
        return transaction;
    }

    /** Placements that are committed with it. */
    List<Placement> newPlacements() {
        List<Placement> out = new ArrayList<>();
        for (JobWrite part : writes) {
            if (!part.mode.isFinal()) {
                part.job.record.live.values().stream().filter(l -> !l.committed).forEach(out::add);
            }
        }
        return out;
    }

    /** It was not made: its slots are free again. */
    void discard() {
        slots.values().forEach(addToLog::releaseSlot);
    }

    /** It was made: what the state service holds now. */
    void applyCommitted() {
        for (JobWrite part : writes) {
            if (part.mode == WriteMode.LOG) {
                part.job.committedTasks.apply(part.changes);
            } else if (part.mode == WriteMode.CONSOLIDATE) {
                addToLog.forgetJob(part.job.id());
                part.job.committedTasks = part.stored;
            } else {
                addToLog.forgetJob(part.job.id());
                part.job.committedTasks = part.stored;
                part.job.recordedTasks = part.recorded;
                part.job.chunks = part.chunks;
                part.job.committedWidth = part.width;
                part.job.committedFailures = part.failures;
            }
        }
        slots.forEach((number, slot) -> addToLog.recordSegment(number, slot, writtenJobs.get(number)));
    }
}
