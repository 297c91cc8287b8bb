package org.beechhoist.controller.state;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.ControllerServices;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.elastic.Ending;
import org.beechhoist.store.ChangeLogSegment;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.Placement;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.Revision;
import org.beechhoist.wire.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the open records into the cluster state: all of them when a term begins or the state is in doubt, then their changes as
 * they are watched.
 */
public final class StateLoader {
    private static final Logger LOG = LoggerFactory.getLogger(StateLoader.class);
    /** A placement that is recorded as older is taken to be of this age. */
    private static final long MAX_PLACEMENT_AGE_MS = 24L * 3600 * 1000;

    private static final long LOG_RETRY_INTERVAL_MS = 5000;

    private enum Phase {
        IDLE,
        LOADING,
        ACTIVE
    }

    /** Is notified of what the records hold. */
    public interface Listener {
        /** All open records are known, as of a revision after the term began or the state came into doubt. */
        void stateLoaded();

        /** A job's cancellation is committed, by any node; the change of its record is applied before or after this call. */
        void jobCancelled(JobId jobId);

        /** The user of a job has allowed another width. */
        void jobResized(Job job);
    }

    private final ControllerContext context;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final DurationEstimates estimates;
    private final ClusterState clusterState;
    private final ChangeLog changeLog;
    private final CancellationRegistry cancellations;
    private final Listener listener;
    private final JobRecordReader reader;
    private final ChangeLogReplay logReplay;
    private final WatchedChangeApplier changeApplier;
    private final Set<StoreClient.KeyValue> misplacedFinalStates = new LinkedHashSet<>();
    private Phase phase = Phase.IDLE;
    /** Changes whenever the state is read anew or becomes invalid, and when a term ends. */
    private long loadEpoch;
    /** Changes with each completed reading, which begins a watch of its own, and when a term ends: an earlier watch stops. */
    private long watchEpoch;

    /**
     * Creates the loader, which reads nothing until {@link #reload}.
     *
     * @param services the services of the controller
     * @param clusterState the state that is loaded
     * @param estimates how long tasks are expected to run
     * @param changeLog the segments of the change log that are in use
     * @param cancellations committed cancellations
     */
    public StateLoader(
            ControllerServices services,
            ClusterState clusterState,
            DurationEstimates estimates,
            ChangeLog changeLog,
            CancellationRegistry cancellations,
            Listener listener) {
        this.context = services.context();
        this.store = services.store();
        this.election = services.election();
        this.requests = services.requests();
        this.clusterState = clusterState;
        this.estimates = estimates;
        this.changeLog = changeLog;
        this.cancellations = cancellations;
        this.listener = listener;
        this.reader = new JobRecordReader(context, services.recordSizes(), cancellations);
        this.logReplay = new ChangeLogReplay(clusterState, changeLog);
        this.changeApplier = new WatchedChangeApplier(clusterState, reader, cancellations, listener);
    }

    /** Final states that are stored under the keys of open records, to be moved to keys of their own. */
    Collection<StoreClient.KeyValue> misplacedFinalStates() {
        return misplacedFinalStates;
    }

    void addMisplacedFinalState(StoreClient.KeyValue item) {
        misplacedFinalStates.add(item);
    }

    /** Changes whenever the state is read anew or becomes invalid: results of calls of an earlier epoch are ignored. */
    long loadEpoch() {
        return loadEpoch;
    }

    /** Whether the cluster state holds all open records. */
    public boolean isLoaded() {
        return phase == Phase.ACTIVE;
    }

    /** Whether commands may be sent: the cluster state holds all open records and this node still holds the lease. */
    public boolean isActive() {
        return isLoaded() && election.holdsLease();
    }

    /** Reads all open records anew; pages of an earlier reading that still arrive are ignored. */
    public void reload() {
        loadEpoch++;
        load();
    }

    /** Marks the cluster state as in doubt until it is read again. */
    void invalidate() {
        loadEpoch++;
        phase = Phase.LOADING;
    }

    /** Stops reading and watching, for the term has ended. */
    public void stop() {
        loadEpoch++;
        watchEpoch++;
        phase = Phase.IDLE;
    }

    private void load() {
        phase = Phase.LOADING;
        List<StoreClient.KeyValue> records = new ArrayList<>();
        MonotonicTime asked = context.now();
        // Records before the log: a job that is added in between has nothing in the log yet.
        loadPrefix(JobRecord.OPEN_PREFIX, records, null, start -> loadSegments(records, start, asked));
    }

    private void loadSegments(List<StoreClient.KeyValue> records, Revision start, MonotonicTime asked) {
        List<StoreClient.KeyValue> segments = new ArrayList<>();
        loadPrefix(ChangeLogSegment.PREFIX, segments, start, ignored -> finishLoad(records, segments, start, asked));
    }

    /** Reads all of a prefix into {@code items}; {@code first} is the revision from which changes are watched, if known. */
    private void loadPrefix(String prefix, List<StoreClient.KeyValue> items, Revision first, Consumer<Revision> then) {
        loadPage(loadEpoch, prefix, null, items, first, then);
    }

    private void loadPage(
            long expectedEpoch,
            String prefix,
            String after,
            List<StoreClient.KeyValue> items,
            Revision first,
            Consumer<Revision> then) {
        requests.takeOrOverdraw(context.now(), 1);
        store.list(prefix, after, 200, page -> {
            if (expectedEpoch != loadEpoch) {
                return;
            }
            if (!page.isOk()) {
                retryLater(250);
                return;
            }
            items.addAll(page.items());
            Revision start = first == null ? page.revision() : first;
            if (page.more() && !page.items().isEmpty()) {
                loadPage(expectedEpoch, prefix, items.get(items.size() - 1).key(), items, start, then);
            } else {
                then.accept(start);
            }
        });
    }

    private void retryLater(long ms) {
        long expectedEpoch = loadEpoch;
        context.schedule(ms, () -> {
            if (expectedEpoch == loadEpoch) {
                load();
            }
        });
    }

    private void finishLoad(
            List<StoreClient.KeyValue> items,
            List<StoreClient.KeyValue> segments,
            Revision start,
            MonotonicTime asked) {
        Map<TaskId, Placement> before = takeAllPlacements();
        Map<JobId, Job> old = clusterState.removeAllJobs();
        misplacedFinalStates.clear();
        items.forEach(item -> addReadableRecord(item, old));
        if (!logReplay.replay(segments)) {
            retryLater(LOG_RETRY_INTERVAL_MS);
            return;
        }
        for (Job job : clusterState.jobs()) {
            restoreJob(job, old.get(job.id()), before);
        }
        phase = Phase.ACTIVE;
        clusterState.requestReplan();
        LOG.info(
                "state loaded: openJobs={} logSegments={} revision={}",
                clusterState.jobs().size(),
                changeLog.segmentCount(),
                start.value());
        cancellations.markCompleteAsOf(asked);
        watch(++watchEpoch, start);
        listener.stateLoaded();
    }

    /** Removes all placements from the machines and returns them. */
    private Map<TaskId, Placement> takeAllPlacements() {
        Map<TaskId, Placement> out = new HashMap<>();
        for (Machine machine : clusterState.machines()) {
            out.putAll(machine.placements);
            machine.placements.clear();
        }
        return out;
    }

    private void addReadableRecord(StoreClient.KeyValue item, Map<JobId, Job> old) {
        try {
            addRecord(item, old);
        } catch (MalformedMessageException e) {
            LOG.error("record unreadable, job and its tasks ignored: key={} cause={}", item.key(), e.getMessage());
            clusterState.ignoreUnreadable(JobRecordReader.jobIdOf(item.key()));
        }
    }

    /**
     * Restores what is not in the records of a job that was just read.
     *
     * @param known the job as it was before, or null
     * @param before all placements as they were before
     */
    private void restoreJob(Job job, Job known, Map<TaskId, Placement> before) {
        for (Map.Entry<Integer, Placement> live : job.record.live.entrySet()) {
            Placement placement = live.getValue();
            Placement kept = before.get(placement.task);
            if (isCommittedAs(kept, placement)) {
                live.setValue(kept);
                placement = kept;
            } else {
                markRecovered(job, placement);
            }
            clusterState.machine(placement.machine).placements.put(placement.task, placement);
            Ending ending = known == null ? null : known.endings.get(placement);
            if (ending != null) {
                job.endings.put(placement, ending);
            }
        }
        if (known == null && !job.record.live.isEmpty()) {
            // The records do not hold the last progress; without this, each new leader took all jobs for stalled.
            job.lastProgressAt = context.now();
        }
        if (job.record.isCancelled() || job.record.isComplete()) {
            clusterState.markDirty(job);
        }
    }

    /** Whether the placement that was known is the one that was read, and known to be committed. */
    private static boolean isCommittedAs(Placement known, Placement read) {
        return known != null && known.attempt == read.attempt && known.machine.equals(read.machine) && known.committed;
    }

    /**
     * Prepares a placement that is known from the records alone. Some leader, perhaps this one, may have launched it: only a
     * worker that has seen this term's newest fencing token can prove that the task is not there.
     */
    private void markRecovered(Job job, Placement placement) {
        placement.committed = true;
        placement.launchSent = true;
        placement.evidenceFrom = election.fencingToken();
        placement.recovered = true;
        long ago = context.wallMs() - job.record.submittedWallMs - 1000L * placement.placedS;
        placement.placedAt = context.now().plusMs(-Math.max(0, Math.min(ago, MAX_PLACEMENT_AGE_MS)));
        placement.expectedDurationMs = estimates.expectedMs(job.spec());
    }

    private void addRecord(StoreClient.KeyValue item, Map<JobId, Job> old) throws MalformedMessageException {
        if (JobRecordReader.isChunkKey(item.key())) {
            Job job = clusterState.job(JobRecordReader.jobIdOf(item.key()));
            if (job != null) {
                job.record.addLiveTasks(item.value());
                job.chunks.put(item.key(), (ArrayNode) item.value());
            }
            return;
        }
        if (JobRecord.isFinalState(item.value())) {
            misplacedFinalStates.add(item);
            return;
        }
        Job job = reader.newJob(reader.parseRecord(item), item.version());
        Job known = old.get(job.id());
        if (known != null) {
            job.notBefore = known.notBefore;
            job.failedOnMachines.addAll(known.failedOnMachines);
            job.lastProgressAt = known.lastProgressAt;
        }
        clusterState.addJob(job);
    }

    /**
     * Watches the changes of open records. While the cluster state is in doubt the watch continues for cancellations alone: a
     * commit without an answer may take long to resolve, and no cancellation may wait for that.
     */
    private void watch(long expectedWatch, Revision after) {
        requests.takeOrOverdraw(context.now(), 1);
        MonotonicTime asked = context.now();
        store.watch(JobRecord.OPEN_PREFIX, after, cancellations.watchHoldMs(), changes -> {
            if (expectedWatch != watchEpoch) {
                return;
            }
            if (changes.status() == 410 && phase == Phase.ACTIVE) {
                reload();
            }
            if (changes.status() != 200) {
                watchLater(expectedWatch, 300, after);
                return;
            }
            changes.changes().forEach(changeApplier::recordCancellation);
            if (phase == Phase.ACTIVE) {
                changes.changes().forEach(changeApplier::apply);
            }
            cancellations.markCompleteAsOf(asked);
            // This leader's own commits are watched too; a short pause keeps a busy day from spending the request limit
            // on them.
            watchLater(expectedWatch, changes.changes().isEmpty() ? 0 : 40, changes.revision());
        });
    }

    private void watchLater(long expectedWatch, long ms, Revision after) {
        context.schedule(ms, () -> {
            if (expectedWatch == watchEpoch) {
                watch(expectedWatch, after);
            }
        });
    }

    /** Applies the change of the job's record that arrived while a commit of the job was in flight, if there is one. */
    void applyPendingChange(Job job) {
        changeApplier.applyPending(job);
    }
}
