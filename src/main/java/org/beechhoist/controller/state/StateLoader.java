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
import org.beechhoist.elastic.TaskTermination;
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
 * Loads the open records into the cluster state: all of them when a term begins or the state is in doubt, then their watched
 * changes.
 */
public final class StateLoader {
    private static final Logger LOG = LoggerFactory.getLogger(StateLoader.class);
    /** A placement with an older recorded time is treated as being of this age. */
    private static final long MAX_PLACEMENT_AGE_MS = 24L * 3600 * 1000;

    private static final long LOG_RETRY_INTERVAL_MS = 5000;
    private static final long PAGE_RETRY_INTERVAL_MS = 250;
    private static final long WATCH_RETRY_INTERVAL_MS = 300;
    /** The leader's own commits are watched too; this pause keeps a busy day from using up the request limit on them. */
    private static final long CHANGE_PAUSE_MS = 40;

    /** A watch that can't be read is repeated so often before this node stops leading. */
    private static final int MAX_MALFORMED_WATCHES = 3;

    private static final int PAGE_SIZE = 200;
    private static final int STATUS_OK = 200;
    private static final int STATUS_GONE = 410;

    private enum Phase {
        IDLE,
        LOADING,
        ACTIVE
    }

    /** Receives events about the records. */
    public interface Listener {
        /** Called when all open records are loaded, as of a revision after the term began or the state became doubtful. */
        void stateLoaded();

        /** Called when any node has committed a job's cancellation; the change of its record is applied before or after this call. */
        void jobCancelled(JobId jobId);

        /** Called when the user of a job has changed its allowed width. */
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
    /** Changes whenever the state is reloaded or invalidated, and when a term ends. */
    private long loadEpoch;
    /** Changes with each completed load, which begins a new watch, and when a term ends; earlier watches stop. */
    private long watchEpoch;
    /** The number of consecutive answers to the watch that could not be read. */
    private int malformedWatches;

    /**
     * Creates the loader; nothing is read before {@link #reload}.
     *
     * @param services the services of the controller
     * @param clusterState the state to load into
     * @param estimates expected task durations
     * @param changeLog the segments of the change log that are in use
     * @param cancellations known committed cancellations
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
        this.requests = services.requestTokens();
        this.clusterState = clusterState;
        this.estimates = estimates;
        this.changeLog = changeLog;
        this.cancellations = cancellations;
        this.listener = listener;
        this.reader = new JobRecordReader(context, services.recordSizes(), cancellations);
        this.logReplay = new ChangeLogReplay(clusterState, changeLog);
        this.changeApplier = new WatchedChangeApplier(clusterState, reader, cancellations, listener);
    }

    /** Returns the final states stored under keys of open records; they are to be moved to keys of their own. */
    Collection<StoreClient.KeyValue> misplacedFinalStates() {
        return misplacedFinalStates;
    }

    void addMisplacedFinalState(StoreClient.KeyValue item) {
        misplacedFinalStates.add(item);
    }

    /** Returns a number that changes whenever the state is reloaded or invalidated; results of calls from an earlier epoch are ignored. */
    long loadEpoch() {
        return loadEpoch;
    }

    /** Returns whether the cluster state holds all open records. */
    public boolean isLoaded() {
        return phase == Phase.ACTIVE;
    }

    /** Returns whether commands may be sent: the cluster state holds all open records and this node still holds the lease. */
    public boolean isActive() {
        return isLoaded() && election.holdsLease();
    }

    /** Reads all open records again; pages of an earlier load that still arrive are ignored. */
    public void reload() {
        loadEpoch++;
        load();
    }

    /** Marks the cluster state as in doubt until it is reloaded. */
    void invalidate() {
        loadEpoch++;
        phase = Phase.LOADING;
    }

    /** Stops loading and watching because the term has ended. */
    public void stop() {
        loadEpoch++;
        watchEpoch++;
        phase = Phase.IDLE;
    }

    private void load() {
        phase = Phase.LOADING;
        List<StoreClient.KeyValue> records = new ArrayList<>();
        MonotonicTime requestedAt = context.now();
        // Records are read before the log: a job added in between has no changes in the log yet.
        loadPrefix(JobRecord.OPEN_PREFIX, records, null, start -> loadSegments(records, start, requestedAt));
    }

    private void loadSegments(List<StoreClient.KeyValue> records, Revision start, MonotonicTime requestedAt) {
        List<StoreClient.KeyValue> segments = new ArrayList<>();
        loadPrefix(
                ChangeLogSegment.PREFIX, segments, start, ignored -> finishLoad(records, segments, start, requestedAt));
    }

    /** Reads all items of a prefix; {@code first} is the revision from which changes are watched, or null if not known. */
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
        store.list(prefix, after, PAGE_SIZE, page -> {
            if (expectedEpoch != loadEpoch) {
                return;
            }
            if (page.malformed() != null) {
                election.stepDownUnreadable(prefix, page.malformed());
                return;
            }
            if (!page.isOk()) {
                retryLater(PAGE_RETRY_INTERVAL_MS);
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
            MonotonicTime requestedAt) {
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
                start.text());
        cancellations.markCompleteAsOf(requestedAt);
        watch(++watchEpoch, start);
        listener.stateLoaded();
    }

    /** Removes all placements from the machines and returns them by task. */
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
     * Restores the state of a job that is not stored in its record, after the record was read.
     *
     * @param known the job before the load, or null
     * @param before all placements before the load
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
            TaskTermination termination = known == null ? null : known.terminations.get(placement);
            if (termination != null) {
                job.terminations.put(placement, termination);
            }
        }
        if (known == null && !job.record.live.isEmpty()) {
            // The records do not include the last progress; without this, each new leader treated all jobs as stalled.
            job.lastProgressAt = context.now();
        }
        if (job.record.isCancelled() || job.record.isComplete()) {
            clusterState.markDirty(job);
        }
    }

    /** Returns whether the known placement is the one that was read and is known to be committed. */
    private static boolean isCommittedAs(Placement known, Placement read) {
        return known != null && known.attempt == read.attempt && known.machine.equals(read.machine) && known.committed;
    }

    /**
     * Initializes a placement that is known only from the records. A leader, possibly this one, may have launched it: only a worker
     * that has seen this term's newest fencing token can prove that the task is absent.
     */
    private void markRecovered(Job job, Placement placement) {
        placement.committed = true;
        placement.launchSent = true;
        placement.evidenceFrom = election.fencingToken();
        placement.recovered = true;
        long ageMs = context.wallMs() - job.record.submittedWallMs - 1000L * placement.placedS;
        placement.placedAt = context.now().plusMs(-Math.max(0, Math.min(ageMs, MAX_PLACEMENT_AGE_MS)));
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
            job.unfinishedLaunchToken = known.unfinishedLaunchToken;
            job.failedOnMachines.addAll(known.failedOnMachines);
            job.lastProgressAt = known.lastProgressAt;
        }
        clusterState.addJob(job);
    }

    /**
     * Watches the changes of open records. While the cluster state is in doubt, the watch continues for cancellations only: an
     * unknown commit result may take long to resolve, and cancellations must not wait for it.
     */
    private void watch(long expectedWatchEpoch, Revision after) {
        requests.takeOrOverdraw(context.now(), 1);
        MonotonicTime requestedAt = context.now();
        store.watch(JobRecord.OPEN_PREFIX, after, cancellations.watchHoldMs(), changes -> {
            if (expectedWatchEpoch != watchEpoch) {
                return;
            }
            malformedWatches = changes.malformed() == null ? 0 : malformedWatches + 1;
            if (malformedWatches > MAX_MALFORMED_WATCHES) {
                election.stepDownUnreadable(JobRecord.OPEN_PREFIX, changes.malformed());
                return;
            }
            if (changes.status() == STATUS_GONE && phase == Phase.ACTIVE) {
                reload();
            }
            if (changes.status() != STATUS_OK) {
                watchLater(expectedWatchEpoch, WATCH_RETRY_INTERVAL_MS, after);
                return;
            }
            changes.changes().forEach(changeApplier::recordCancellation);
            if (phase == Phase.ACTIVE) {
                changes.changes().forEach(changeApplier::apply);
            }
            cancellations.markCompleteAsOf(requestedAt);
            watchLater(expectedWatchEpoch, changes.changes().isEmpty() ? 0 : CHANGE_PAUSE_MS, changes.revision());
        });
    }

    private void watchLater(long expectedWatchEpoch, long ms, Revision after) {
        context.schedule(ms, () -> {
            if (expectedWatchEpoch == watchEpoch) {
                watch(expectedWatchEpoch, after);
            }
        });
    }

    /** Applies the change of the job's record that arrived during a commit of the job, if any. */
    void applyPendingChange(Job job) {
        changeApplier.applyPending(job);
    }
}
