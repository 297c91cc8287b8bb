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
        END,
        /** Its final state where its record stood: one change instead of two, moved later. */
        END_HERE,
        /** Its record, whole. */
        RECORD,
        /** What changed of its tasks, beside other jobs' news. */
        LOG,
        /** All that its record lacks, so that the segments that said so before are free. */
        GATHER;

        boolean ends() {
            return this == END || this == END_HERE;
        }
    }

    /** A job's part, as it was when it was sent. */
    static final class JobWrite {
        final Job job;
        final WriteMode way;
        Map<String, ArrayNode> chunks;
        TaskChanges delta;
        CommittedTasks stored;
        CommittedTasks recorded;
        int width;
        int failures;

        JobWrite(Job job, WriteMode way) {
            this.job = job;
            this.way = way;
        }
    }

    private static final int MOST_BYTES = 40_000;
    private static final int RECORD_BYTES = 2500;
    private static final int GUARD_BYTES = 60;

    private final Transaction txn;
    private final RecordSizes sizes;
    private final ChangeLog log;
    private final int mostOps;
    private final int mostGuards;
    private final ChangeLogSegment.Writer writer;
    private final List<JobWrite> parts = new ArrayList<>();
    private final Map<Long, Integer> slots = new HashMap<>();
    private final Map<Long, Set<JobId>> written = new HashMap<>();
    private int bytes;
    private final CommitGuards guards;
    private final Set<String> keyGuards = new HashSet<>();

    /** @param txn with the leader's guard in it; {@code mostOps} changes may be made by now */
    WriteBatch(
            Transaction txn,
            Settings.State limits,
            RecordSizes sizes,
            ChangeLog log,
            CommitGuards guards,
            int mostOps) {
        this.guards = guards;
        this.txn = txn;
        this.sizes = sizes;
        this.log = log;
        this.mostOps = Math.min(limits.txnOps(), mostOps);
        this.mostGuards = 4 * limits.txnOps() - 1;
        this.writer = new ChangeLogSegment.Writer(sizes.segmentBytes());
    }

    boolean isEmpty() {
        return txn.ops() == 0 && parts.isEmpty();
    }

    List<JobWrite> parts() {
        return parts;
    }

    int logged() {
        return writer.size();
    }

    /** Takes the job's news in, if there is room; false where there is none. */
    boolean take(Job job, WriteMode way) {
        JobWrite part = new JobWrite(job, way);
        boolean fits = way == WriteMode.LOG || way == WriteMode.GATHER ? log(part) : record(part);
        String key = fits && !way.ends() ? guards.guardKey(job) : null;
        if (key != null && keyGuards.add(key)) {
            guards.guard(txn, job);
        }
        if (fits) {
            part.width = job.width();
            part.failures = job.record.failures;
            txn.guard(JobRecord.openKey(job.ref()), job.version);
            parts.add(part);
        }
        return fits;
    }

    /** Whether the job's news would cost no change more. */
    boolean free(Job job) {
        return writer.size() > 0
                && parts.size() + keyGuards.size() < mostGuards - 1
                && writer.with(job.ref(), job.stored.until(job.record)) == writer.size();
    }

    private boolean room(int ops, int more, int segments) {
        return parts.size() + keyGuards.size() < mostGuards - 1
                && txn.ops() + ops + segments <= mostOps
                && (parts.isEmpty() || bytes + more + segments * sizes.segmentBytes() <= MOST_BYTES);
    }

    private boolean log(JobWrite part) {
        part.delta = part.way == WriteMode.LOG
                ? part.job.stored.until(part.job.record)
                : part.job.recorded.allUntil(part.job.record);
        if (!room(0, GUARD_BYTES, writer.with(part.job.ref(), part.delta))) {
            return false;
        }
        bytes += GUARD_BYTES;
        writer.add(part.job.ref(), part.delta);
        part.stored = part.way == WriteMode.LOG ? null : CommittedTasks.of(part.job.record);
        return true;
    }

    private boolean record(JobWrite part) {
        Job job = part.job;
        part.chunks = job.record.chunks();
        boolean ends = part.way == WriteMode.END;
        int changed = changedChunks(job, part.chunks);
        int size =
                RECORD_BYTES + 30 * sizes.chunk() * changed + (job.record.chunked() ? 0 : 40 * job.record.live.size());
        if (!room(1 + (ends ? 1 : 0) + changed, size, writer.size())) {
            return false;
        }
        bytes += size;
        part.chunks.forEach((key, array) -> {
            if (!array.equals(job.chunks.get(key))) {
                txn.put(key, array);
            }
        });
        for (String key : job.chunks.keySet()) {
            if (!part.chunks.containsKey(key)) {
                txn.delete(key);
            }
        }
        String key = JobRecord.openKey(job.ref());
        if (part.way == WriteMode.END_HERE) {
            txn.put(key, job.record.endedNode(job.finalState()));
        } else if (ends) {
            txn.delete(key).put(JobRecord.endedKey(job.ref()), job.record.endedNode(job.finalState()));
        } else {
            job.record.folded = log.lastNumber();
            part.stored = CommittedTasks.of(job.record);
            part.recorded = CommittedTasks.of(job.record);
            txn.put(key, job.record.toNode());
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
    Transaction close() {
        for (Map<JobId, TaskChanges> jobs : writer.segments()) {
            long number = log.nextNumber();
            int slot = log.reserve();
            slots.put(number, slot);
            written.put(number, jobs.keySet());
            txn.put(ChangeLogSegment.key(slot), new ChangeLogSegment(number, jobs).toNode());
        }
        return txn;
    }

    /** Placements that are committed with it. */
    List<Placement> placed() {
        List<Placement> out = new ArrayList<>();
        for (JobWrite part : parts) {
            if (!part.way.ends()) {
                part.job.record.live.values().stream().filter(l -> !l.committed).forEach(out::add);
            }
        }
        return out;
    }

    /** It was not made: its slots are free again. */
    void dropped() {
        slots.values().forEach(log::release);
    }

    /** It was made: what the state service holds now. */
    void made() {
        for (JobWrite part : parts) {
            if (part.way == WriteMode.LOG) {
                part.job.stored.apply(part.delta);
            } else if (part.way == WriteMode.GATHER) {
                log.settled(part.job.ref());
                part.job.stored = part.stored;
            } else {
                log.settled(part.job.ref());
                part.job.stored = part.stored;
                part.job.recorded = part.recorded;
                part.job.chunks = part.chunks;
                part.job.committedWidth = part.width;
                part.job.storedFailures = part.failures;
            }
        }
        slots.forEach((number, slot) -> log.holds(number, slot, written.get(number)));
    }
}
