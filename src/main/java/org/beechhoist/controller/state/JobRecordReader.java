package org.beechhoist.controller.state;

import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.RecordSizes;
import org.beechhoist.store.StoreClient;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.Revision;

/** Creates in-memory jobs from the stored records of open jobs. */
final class JobRecordReader {
    private final ControllerContext context;
    private final RecordSizes sizes;
    private final CancellationRegistry cancellations;

    JobRecordReader(ControllerContext context, RecordSizes sizes, CancellationRegistry cancellations) {
        this.context = context;
        this.sizes = sizes;
        this.cancellations = cancellations;
    }

    /** Returns whether the key is that of a record chunk, which holds some of the job's tasks. */
    static boolean isChunkKey(String key) {
        return key.indexOf('/', JobRecord.OPEN_PREFIX.length()) >= 0;
    }

    /** Returns the id of the job from the key of its record or record chunk. */
    static JobId jobIdOf(String key) {
        int slash = key.indexOf('/', JobRecord.OPEN_PREFIX.length());
        return new JobId(key.substring(JobRecord.OPEN_PREFIX.length(), slash < 0 ? key.length() : slash));
    }

    JobRecord parseRecord(StoreClient.KeyValue item) throws MalformedMessageException {
        JobRecord record = JobRecord.parse(item.value());
        record.sizes = sizes;
        return record;
    }

    /** Creates the job of a record; a cancellation known to the record or to the registry is copied to the other. */
    Job newJob(JobRecord record, Revision version) {
        MonotonicTime submitted = context.now().plusMs(Math.min(0, record.submittedWallMs - context.wallMs()));
        Job job = new Job(record, version, submitted);
        if (record.isCancelled()) {
            cancellations.record(job.id(), record.cancelledAtWallMs);
        } else {
            job.outOfBandCancelledAtMs = cancellations.cancelledAtWallMs(job.id());
        }
        return job;
    }
}
