package org.beechhoist.controller.state;

import org.beechhoist.store.JobRecord;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.WidthRecord;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies the watched changes of open records to the cluster state: new jobs, cancellations and changed widths. */
final class WatchedChangeApplier {
    private static final Logger LOG = LoggerFactory.getLogger(WatchedChangeApplier.class);

    private final ClusterState clusterState;
    private final JobRecordReader reader;
    private final CancellationRegistry cancellations;
    private final StateLoader.Listener listener;

    WatchedChangeApplier(
            ClusterState clusterState,
            JobRecordReader reader,
            CancellationRegistry cancellations,
            StateLoader.Listener listener) {
        this.clusterState = clusterState;
        this.reader = reader;
        this.cancellations = cancellations;
        this.listener = listener;
    }

    /** Records the cancellation of a job if the change has one; it takes effect at once, even while a commit of the job is in flight. */
    void recordCancellation(StoreClient.KeyValue item) {
        long cancelledAtMs = item.value() == null || JobRecord.isFinalState(item.value())
                ? 0
                : JobRecord.cancelledAtWallMs(item.value());
        if (cancelledAtMs > 0 && !JobRecordReader.isChunkKey(item.key())) {
            JobId jobId = JobRecordReader.jobIdOf(item.key());
            if (cancellations.record(jobId, cancelledAtMs)) {
                listener.jobCancelled(jobId);
            }
        }
    }

    /** Applies the change that arrived during a commit of the job, unless it is the commit itself. */
    void applyPending(Job job) {
        StoreClient.KeyValue item = job.pendingChange;
        job.pendingChange = null;
        if (item != null && clusterState.job(job.id()) == job) {
            apply(item);
        }
    }

    /** Applies a change of an open record; ignores this leader's own changes and chunks of records. */
    void apply(StoreClient.KeyValue item) {
        if (item.value() == null || JobRecord.isFinalState(item.value()) || JobRecordReader.isChunkKey(item.key())) {
            return;
        }
        JobId jobId = JobRecordReader.jobIdOf(item.key());
        Job job = clusterState.job(jobId);
        if (job == null ? clusterState.hasRecentlyEnded(jobId) : item.version().compareTo(job.version) <= 0) {
            return; // this leader's own commit
        }
        if (job != null && job.inFlight) {
            // The change is this leader's own commit, or will make that commit conflict, or was made just before it;
            // in the last case nothing else would report it. Only the record waits: a cancellation is already enforced.
            job.pendingChange = item;
            return;
        }
        try {
            if (job == null) {
                addNewJob(item);
            } else {
                updateJob(job, item);
            }
            clusterState.requestReplan();
        } catch (MalformedMessageException e) {
            LOG.error("record unreadable: key={} cause={}", item.key(), e.getMessage());
        }
    }

    private void addNewJob(StoreClient.KeyValue item) throws MalformedMessageException {
        JobRecord record = reader.parseRecord(item);
        if (!record.live.isEmpty() || record.done.size() != 0) {
            return; // an earlier commit of this leader for a job that has ended since
        }
        Job job = reader.newJob(record, item.version());
        clusterState.addJob(job);
        LOG.info(
                "job added: job={} class={} tasks={} cpus={}",
                job.id(),
                job.spec().jobClass(),
                job.spec().tasks(),
                job.spec().cpus());
        if (record.isCancelled()) {
            clusterState.markDirty(job);
        }
    }

    /** Applies the only changes that other nodes make to a record: the cancellation and the allowed width. */
    private void updateJob(Job job, StoreClient.KeyValue item) throws MalformedMessageException {
        job.version = item.version();
        WidthRecord width = JobRecord.width(item.value());
        if (width != null && (job.record.width == null || width.number() > job.record.width.number())) {
            job.record.width = width.withTarget(job.record.width == null ? width.target() : job.width());
            job.committedWidth = width.target();
            LOG.info(
                    "job resized: job={} minWidth={} maxWidth={}",
                    job.id(),
                    width.allowed().min(),
                    width.allowed().max());
            listener.jobResized(job);
        }
        long cancelledAtMs = JobRecord.cancelledAtWallMs(item.value());
        if (cancelledAtMs > 0 && !job.record.isCancelled()) {
            job.record.cancelledAtWallMs = cancelledAtMs;
            LOG.info("job cancelled: job={} liveTasks={}", job.id(), job.record.live.size());
            clusterState.markDirty(job);
        }
    }
}
