package org.beechhoist.controller.state;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.ControllerServices;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.elastic.Ending;
import org.beechhoist.store.ChangeLogSegment;
import org.beechhoist.store.CommittedTasks;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.Placement;
import org.beechhoist.store.RecordSizes;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.WidthRecord;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.Revision;
import org.beechhoist.wire.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the open records into the book, all of them after winning or when in doubt, then the changes as they come. */
public final class StateLoader {
    private static final Logger LOG = LoggerFactory.getLogger(StateLoader.class);
    /** The oldest placement taken at its word. */
    private static final long MAX_PLACEMENT_AGE_MS = 24L * 3600 * 1000;

    private static final long LOG_RETRY_MS = 5000;

    private enum Phase {
        IDLE,
        LOADING,
        ACTIVE
    }

    /** What others do when the records say so. */
    public interface Listener {
        /** All open records are known, as of a revision after the last win or doubt. */
        void stateLoaded();

        /** A job's cancellation is committed, on whatever node; its record is taken up before or after that. */
        void jobCancelled(JobId jobId);

        /** Its user allows a job another width. */
        void jobResized(Job job);
    }

    private final ControllerContext context;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final DurationEstimates estimates;
    private final ClusterState clusterState;
    private final ChangeLog changeLog;
    private final RecordSizes sizes;
    private final CancellationRegistry cancellations;
    private final Listener listener;
    private final Set<StoreClient.KeyValue> misplacedFinalStates = new LinkedHashSet<>();
    private Phase phase = Phase.IDLE;
    /** Changes whenever the book is read anew, and with leadership. */
    private long loadEpoch;
    /** Changes with each reading that is followed by a watch of its own, and with leadership: an earlier watch ends. */
    private long watchRound;

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
        this.sizes = services.recordSizes();
        this.clusterState = clusterState;
        this.estimates = estimates;
        this.changeLog = changeLog;
        this.cancellations = cancellations;
        this.listener = listener;
    }

    /** Final states that stand where open records do, to be moved to their own keys. */
    Collection<StoreClient.KeyValue> misplacedFinalStates() {
        return misplacedFinalStates;
    }

    void addMisplacedFinalState(StoreClient.KeyValue item) {
        misplacedFinalStates.add(item);
    }

    long loadEpoch() {
        return loadEpoch;
    }

    /** Whether the book holds all open records. */
    public boolean isComplete() {
        return phase == Phase.ACTIVE;
    }

    /** Whether commands may be given: the book holds all open records and this node still leads. */
    public boolean isActive() {
        return isComplete() && election.holdsLease();
    }

    /** Reads the book, all of it; what an earlier reading still brings is left alone. */
    public void reload() {
        loadEpoch++;
        load();
    }

    /** The book is not to be trusted until it is read again. */
    void invalidate() {
        loadEpoch++;
        phase = Phase.LOADING;
    }

    public void stop() {
        loadEpoch++;
        watchRound++;
        phase = Phase.IDLE;
    }

    private void load() {
        phase = Phase.LOADING;
        List<StoreClient.KeyValue> records = new ArrayList<>();
        List<StoreClient.KeyValue> segments = new ArrayList<>();
        MonotonicTime asked = context.now();
        // Records before the log: a job that enters in between has nothing in the log yet.
        loadPage(
                loadEpoch,
                JobRecord.OPEN_PREFIX,
                null,
                records,
                null,
                start -> loadPage(
                        loadEpoch,
                        ChangeLogSegment.PREFIX,
                        null,
                        segments,
                        start,
                        ignored -> finishLoad(records, segments, start, asked)));
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
        Map<TaskId, Placement> before = new HashMap<>();
        for (Machine machine : clusterState.machines()) {
            before.putAll(machine.placements);
            machine.placements.clear();
        }
        Map<JobId, Job> old = clusterState.takeAllJobs();
        misplacedFinalStates.clear();
        for (StoreClient.KeyValue item : items) {
            try {
                addRecord(item, old);
            } catch (MalformedMessageException e) {
                LOG.error(
                        "record {} can't be read, the job and its tasks are left alone: {}",
                        item.key(),
                        e.getMessage());
                clusterState.ignoreUnreadable(jobIdOf(item.key()));
            }
        }
        if (!applyLog(segments)) {
            retryLater(LOG_RETRY_MS);
            return;
        }
        for (Job job : clusterState.jobs()) {
            Job known = old.get(job.id());
            for (Map.Entry<Integer, Placement> live : job.record.live.entrySet()) {
                Placement placement = live.getValue();
                Placement kept = before.get(placement.task);
                if (kept != null
                        && kept.attempt == placement.attempt
                        && kept.machine.equals(placement.machine)
                        && kept.committed) {
                    live.setValue(kept);
                    placement = kept;
                } else {
                    // Some leader, perhaps this one, may have launched it: only a worker that has seen this
                    // leadership's newest token can prove that it isn't there.
                    placement.committed = true;
                    placement.launchSent = true;
                    placement.evidenceFrom = election.fencingToken();
                    placement.recovered = true;
                    long ago = context.wallMs() - job.record.submittedWallMs - 1000L * placement.placedS;
                    placement.placedAt = context.now().plusMs(-Math.max(0, Math.min(ago, MAX_PLACEMENT_AGE_MS)));
                    placement.expectedDurationMs = estimates.expectedMs(job.spec());
                }
                clusterState.machine(placement.machine).placements.put(placement.task, placement);
                Ending leaves = known == null ? null : known.endings.get(placement);
                if (leaves != null) {
                    job.endings.put(placement, leaves);
                }
            }
            if (known == null && !job.record.live.isEmpty()) {
                job.lastProgress =
                        context.now(); // when it last moved is not in the records; each take-over called all jobs
                // stalled
            }
            if (job.record.isCancelled() || job.record.isComplete()) {
                clusterState.markDirty(job);
            }
        }
        phase = Phase.ACTIVE;
        clusterState.requestReplan();
        LOG.info(
                "book loaded: {} open jobs, {} log segments, at revision {}",
                clusterState.jobs().size(),
                changeLog.segmentCount(),
                start.value());
        cancellations.markCompleteAsOf(asked);
        watch(++watchRound, start);
        listener.stateLoaded();
    }

    /** Brings the records up to what the log says; false where a segment can't be read, and nothing is certain. */
    private boolean applyLog(List<StoreClient.KeyValue> items) {
        changeLog.reset();
        clusterState.jobs().forEach(j -> j.recordedTasks = CommittedTasks.of(j.record));
        Map<ChangeLogSegment, Integer> segments = new TreeMap<>(Comparator.comparingLong(ChangeLogSegment::number));
        Set<JobId> unreadable = new HashSet<>();
        for (StoreClient.KeyValue item : items) {
            try {
                segments.put(
                        ChangeLogSegment.parse(
                                item.value(),
                                r -> clusterState.job(r) == null
                                        ? -1
                                        : clusterState.job(r).spec().tasks(),
                                unreadable),
                        Integer.parseInt(item.key().substring(ChangeLogSegment.PREFIX.length())));
            } catch (MalformedMessageException | NumberFormatException e) {
                LOG.error("log segment {} can't be read, so nothing is started: {}", item.key(), e.getMessage());
                return false;
            }
        }
        for (JobId jobId : unreadable) {
            LOG.error("what the log says of {} can't be read, the job and its tasks are left alone", jobId);
            clusterState.ignoreUnreadable(jobId);
        }
        Map<JobId, Long> from = new HashMap<>();
        segments.forEach((segment, slot) -> segment.jobs().forEach((jobId, delta) -> {
            if (delta.replacesEarlier()) {
                from.put(jobId, segment.number());
            }
        }));
        segments.forEach((segment, slot) -> {
            changeLog.noteNumber(segment.number());
            Set<JobId> holds = new HashSet<>();
            segment.jobs().forEach((jobId, delta) -> {
                Job job = clusterState.job(jobId);
                if (job != null
                        && segment.number() > job.record.foldedSegment
                        && segment.number() >= from.getOrDefault(jobId, 0L)) {
                    delta.apply(job.record);
                    holds.add(jobId);
                }
            });
            changeLog.recordSegment(segment.number(), slot, holds);
        });
        for (Job job : clusterState.jobs()) {
            changeLog.noteNumber(job.record.foldedSegment);
            job.committedTasks = CommittedTasks.of(job.record);
        }
        return true;
    }

    private static JobId jobIdOf(String key) {
        int slash = key.indexOf('/', JobRecord.OPEN_PREFIX.length());
        return new JobId(key.substring(JobRecord.OPEN_PREFIX.length(), slash < 0 ? key.length() : slash));
    }

    private void addRecord(StoreClient.KeyValue item, Map<JobId, Job> old) throws MalformedMessageException {
        String rest = item.key().substring(JobRecord.OPEN_PREFIX.length());
        int slash = rest.indexOf('/');
        if (slash >= 0) {
            Job job = clusterState.job(new JobId(rest.substring(0, slash)));
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
        JobRecord record = parseRecord(item);
        Job job = newJob(record, item.version());
        Job known = old.get(job.id());
        if (known != null) {
            job.notBefore = known.notBefore;
            job.failedOnMachines.addAll(known.failedOnMachines);
            job.lastProgress = known.lastProgress;
        }
        clusterState.addJob(job);
    }

    private Job newJob(JobRecord record, Revision version) {
        Job job =
                new Job(record, version, context.now().plusMs(Math.min(0, record.submittedWallMs - context.wallMs())));
        if (record.isCancelled()) {
            cancellations.record(job.id(), record.cancelledAtWallMs);
        } else {
            job.cancelHeardAtMs = cancellations.cancelledAtWallMs(job.id());
        }
        return job;
    }

    private JobRecord parseRecord(StoreClient.KeyValue item) throws MalformedMessageException {
        JobRecord record = JobRecord.parse(item.value());
        record.sizes = sizes;
        return record;
    }

    /**
     * Follows the changes of open records. It goes on while the book is not to be trusted, for cancellations alone: a commit without
     * an answer may take long to settle, and nothing of what is cancelled may wait for that.
     */
    private void watch(long expectedWatch, Revision after) {
        requests.takeOrOverdraw(context.now(), 1);
        MonotonicTime asked = context.now();
        store.watch(JobRecord.OPEN_PREFIX, after, cancellations.watchHoldMs(), changes -> {
            if (expectedWatch != watchRound) {
                return;
            }
            if (changes.status() == 410 && phase == Phase.ACTIVE) {
                reload();
            }
            if (changes.status() != 200) {
                retryLater(expectedWatch, 300, after);
                return;
            }
            changes.changes().forEach(this::noteCancellation);
            if (phase == Phase.ACTIVE) {
                changes.changes().forEach(this::applyChange);
            }
            cancellations.markCompleteAsOf(asked);
            // Own commits come back here too; a short pause keeps a busy day from spending the request limit on it.
            retryLater(expectedWatch, changes.changes().isEmpty() ? 0 : 40, changes.revision());
        });
    }

    private void retryLater(long expectedWatch, long ms, Revision after) {
        context.schedule(ms, () -> {
            if (expectedWatch == watchRound) {
                watch(expectedWatch, after);
            }
        });
    }

    /** A change says that a job is cancelled: that counts at once, whatever is on its way of the job. */
    private void noteCancellation(StoreClient.KeyValue item) {
        long at = item.value() == null || JobRecord.isFinalState(item.value())
                ? 0
                : item.value().path("cancel").longValue();
        if (at > 0 && item.key().indexOf('/', JobRecord.OPEN_PREFIX.length()) < 0) {
            JobId jobId = new JobId(item.key().substring(JobRecord.OPEN_PREFIX.length()));
            if (cancellations.record(jobId, at)) {
                listener.jobCancelled(jobId);
            }
        }
    }

    /** The job's commit is over: what came of its record meanwhile counts now, if it is not our own. */
    void applyPendingChange(Job job) {
        StoreClient.KeyValue item = job.pendingChange;
        job.pendingChange = null;
        if (item != null && clusterState.job(job.id()) == job) {
            applyChange(item);
        }
    }

    private void applyChange(StoreClient.KeyValue item) {
        if (item.value() == null
                || JobRecord.isFinalState(item.value())
                || item.key().indexOf('/', JobRecord.OPEN_PREFIX.length()) >= 0) {
            return;
        }
        JobId jobId = new JobId(item.key().substring(JobRecord.OPEN_PREFIX.length()));
        Job job = clusterState.job(jobId);
        if (job == null ? clusterState.hasEnded(jobId) : item.version().compareTo(job.version) <= 0) {
            return; // our own
        }
        if (job != null && job.inFlight) {
            // Either our own, or our commit will conflict, or it was made just before this. In the last case nothing
            // else
            // would tell. Only the record waits: what is cancelled is pursued already.
            job.pendingChange = item;
            return;
        }
        try {
            if (job == null) {
                JobRecord record = parseRecord(item);
                if (record.live.isEmpty() && record.done.size() == 0) { // else it is our own ended job's echo
                    job = newJob(record, item.version());
                    clusterState.addJob(job);
                    LOG.info(
                            "{} enters: {} {} x {}",
                            job.id(),
                            job.spec().jobClass(),
                            job.spec().tasks(),
                            job.spec().cpus());
                    if (record.isCancelled()) {
                        clusterState.markDirty(job);
                    }
                }
            } else {
                // Other nodes change nothing but the cancellation and what width the user allows.
                job.version = item.version();
                WidthRecord width = Codec.isAbsent(item.value(), "width")
                        ? null
                        : WidthRecord.parse(item.value().get("width"));
                if (width != null && (job.record.width == null || width.number() > job.record.width.number())) {
                    job.record.width = width.withTarget(job.record.width == null ? width.target() : job.width());
                    job.committedWidth = width.target();
                    LOG.info(
                            "{} may be {} to {} wide from now on",
                            job.id(),
                            width.allowed().min(),
                            width.allowed().max());
                    listener.jobResized(job);
                }
                long cancel = item.value().path("cancel").longValue();
                if (cancel > 0 && !job.record.isCancelled()) {
                    job.record.cancelledAtWallMs = cancel;
                    LOG.info("{} is cancelled, {} tasks may be running", job.id(), job.record.live.size());
                    clusterState.markDirty(job);
                }
            }
            clusterState.requestReplan();
        } catch (MalformedMessageException e) {
            LOG.error("record {} can't be read: {}", item.key(), e.getMessage());
        }
    }
}
