package org.beechhoist.controller.state;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.beechhoist.store.ChangeLogSegment;
import org.beechhoist.store.CommittedTasks;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TaskChanges;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Replays the stored segments of the change log on the job records, which are read before the segments. */
final class ChangeLogReplay {
    private static final Logger LOG = LoggerFactory.getLogger(ChangeLogReplay.class);

    private final ClusterState clusterState;
    private final ChangeLog changeLog;

    ChangeLogReplay(ClusterState clusterState, ChangeLog changeLog) {
        this.clusterState = clusterState;
        this.changeLog = changeLog;
    }

    /**
     * Brings the job records up to date with the log.
     *
     * @return false if a segment can't be read, which leaves the state unknown
     */
    boolean replay(List<StoreClient.KeyValue> items) {
        changeLog.reset();
        clusterState.jobs().forEach(j -> j.recordedTasks = CommittedTasks.of(j.record));
        Map<ChangeLogSegment, Integer> slots = new TreeMap<>(Comparator.comparingLong(ChangeLogSegment::number));
        if (!parseSegments(items, slots)) {
            return false;
        }
        Map<JobId, Long> firstNumbers = firstEffectiveNumbers(slots.keySet());
        slots.forEach((segment, slot) -> applySegment(segment, slot, firstNumbers));
        for (Job job : clusterState.jobs()) {
            changeLog.advanceLastNumber(job.record.foldedSegment);
            job.committedTasks = CommittedTasks.of(job.record);
        }
        return true;
    }

    /** Parses the segments and their slots; jobs whose changes can't be read are ignored from now on. */
    private boolean parseSegments(List<StoreClient.KeyValue> items, Map<ChangeLogSegment, Integer> slots) {
        Set<JobId> unreadable = new HashSet<>();
        for (StoreClient.KeyValue item : items) {
            try {
                ChangeLogSegment segment = ChangeLogSegment.parse(item.value(), this::taskCount, unreadable);
                int slot = Integer.parseInt(item.key().substring(ChangeLogSegment.PREFIX.length()));
                slots.put(segment, slot);
                changeLog.recordSlotVersion(slot, item.version());
            } catch (MalformedMessageException | NumberFormatException e) {
                LOG.error(
                        "change log segment unreadable, no tasks are started: key={} cause={}",
                        item.key(),
                        e.getMessage());
                return false;
            }
        }
        for (JobId jobId : unreadable) {
            LOG.error("change log entry unreadable, job and its tasks ignored: job={}", jobId);
            clusterState.ignoreUnreadable(jobId);
        }
        return true;
    }

    /** Returns the number of the job's tasks, or -1 if the job is not open. */
    private int taskCount(JobId jobId) {
        Job job = clusterState.job(jobId);
        return job == null ? -1 : job.spec().tasks();
    }

    /** Returns, for each consolidated job, the number of the last segment whose changes replace all earlier ones. */
    private static Map<JobId, Long> firstEffectiveNumbers(Set<ChangeLogSegment> segments) {
        Map<JobId, Long> out = new HashMap<>();
        for (ChangeLogSegment segment : segments) {
            segment.jobs().forEach((jobId, changes) -> {
                if (changes.replacesEarlier()) {
                    out.put(jobId, segment.number());
                }
            });
        }
        return out;
    }

    /** Applies the segment's changes to the job records that do not include them yet. */
    private void applySegment(ChangeLogSegment segment, int slot, Map<JobId, Long> firstNumbers) {
        changeLog.advanceLastNumber(segment.number());
        Set<JobId> applied = new HashSet<>();
        for (Map.Entry<JobId, TaskChanges> entry : segment.jobs().entrySet()) {
            JobId jobId = entry.getKey();
            Job job = clusterState.job(jobId);
            if (job != null
                    && segment.number() > job.record.foldedSegment
                    && segment.number() >= firstNumbers.getOrDefault(jobId, 0L)) {
                entry.getValue().apply(job.record);
                applied.add(jobId);
            }
        }
        changeLog.recordSegment(segment.number(), slot, applied);
    }
}
