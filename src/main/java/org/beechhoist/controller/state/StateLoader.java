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
    private static final long LONGEST_AGO_MS = 24L * 3600 * 1000;

    private static final long LOG_AGAIN_MS = 5000;

    private enum Phase {
        IDLE,
        LOADING,
        ACTIVE
    }

    /** What others do when the records say so. */
    public interface Listener {
        /** All open records are known, as of a revision after the last win or doubt. */
        void loaded();

        /** A job's cancellation is committed, on whatever node; its record is taken up before or after that. */
        void cancelled(JobId ref);

        /** Its user allows a job another width. */
        void resized(Job job);
    }

    private final ControllerContext turn;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final DurationEstimates estimates;
    private final ClusterState book;
    private final ChangeLog log;
    private final RecordSizes sizes;
    private final CancellationRegistry cancellations;
    private final Listener listener;
    private final Set<StoreClient.KeyValue> over = new LinkedHashSet<>();
    private Phase phase = Phase.IDLE;
    /** Changes whenever the book is read anew, and with leadership. */
    private long epoch;
    /** Changes with each reading that is followed by a watch of its own, and with leadership: an earlier watch ends. */
    private long watching;

    public StateLoader(
            ControllerContext turn,
            StoreClient store,
            LeaderElection election,
            TokenBucket requests,
            DurationEstimates estimates,
            ClusterState book,
            ChangeLog log,
            RecordSizes sizes,
            CancellationRegistry cancellations,
            Listener listener) {
        this.cancellations = cancellations;
        this.log = log;
        this.sizes = sizes;
        this.turn = turn;
        this.store = store;
        this.election = election;
        this.requests = requests;
        this.estimates = estimates;
        this.book = book;
        this.listener = listener;
    }

    /** Final states that stand where open records do, to be moved to their own keys. */
    Collection<StoreClient.KeyValue> over() {
        return over;
    }

    void standsOver(StoreClient.KeyValue item) {
        over.add(item);
    }

    long epoch() {
        return epoch;
    }

    /** Whether the book holds all open records. */
    public boolean complete() {
        return phase == Phase.ACTIVE;
    }

    /** Whether commands may be given: the book holds all open records and this node still leads. */
    public boolean active() {
        return complete() && election.valid();
    }

    /** Reads the book, all of it; what an earlier reading still brings is left alone. */
    public void reload() {
        epoch++;
        load();
    }

    /** The book is not to be trusted until it is read again. */
    void suspend() {
        epoch++;
        phase = Phase.LOADING;
    }

    public void end() {
        epoch++;
        watching++;
        phase = Phase.IDLE;
    }

    private void load() {
        phase = Phase.LOADING;
        List<StoreClient.KeyValue> records = new ArrayList<>();
        List<StoreClient.KeyValue> segments = new ArrayList<>();
        MonotonicTime asked = turn.now();
        // Records before the log: a job that enters in between has nothing in the log yet.
        loadPage(
                epoch,
                JobRecord.OPEN,
                null,
                records,
                null,
                start -> loadPage(
                        epoch,
                        ChangeLogSegment.PREFIX,
                        null,
                        segments,
                        start,
                        ignored -> loaded(records, segments, start, asked)));
    }

    private void loadPage(
            long expectedEpoch,
            String prefix,
            String after,
            List<StoreClient.KeyValue> items,
            Revision first,
            Consumer<Revision> then) {
        requests.take(turn.now(), 1);
        store.list(prefix, after, 200, page -> {
            if (expectedEpoch != epoch) {
                return;
            }
            if (!page.ok()) {
                again(250);
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

    private void again(long ms) {
        long expectedEpoch = epoch;
        turn.after(ms, () -> {
            if (expectedEpoch == epoch) {
                load();
            }
        });
    }

    private void loaded(
            List<StoreClient.KeyValue> items,
            List<StoreClient.KeyValue> segments,
            Revision start,
            MonotonicTime asked) {
        Map<TaskId, Placement> before = new HashMap<>();
        for (Machine machine : book.hosts()) {
            before.putAll(machine.placements);
            machine.placements.clear();
        }
        Map<JobId, Job> old = book.dropJobs();
        over.clear();
        for (StoreClient.KeyValue item : items) {
            try {
                takeRecord(item, old);
            } catch (MalformedMessageException e) {
                LOG.error(
                        "record {} can't be read, the job and its tasks are left alone: {}",
                        item.key(),
                        e.getMessage());
                book.leaveAlone(jobOf(item.key()));
            }
        }
        if (!takeLog(segments)) {
            again(LOG_AGAIN_MS);
            return;
        }
        for (Job job : book.jobs()) {
            Job known = old.get(job.ref());
            for (Map.Entry<Integer, Placement> live : job.record.live.entrySet()) {
                Placement placement = live.getValue();
                Placement kept = before.get(placement.task);
                if (kept != null
                        && kept.attempt == placement.attempt
                        && kept.host.equals(placement.host)
                        && kept.committed) {
                    live.setValue(kept);
                    placement = kept;
                } else {
                    // Some leader, perhaps this one, may have launched it: only a worker that has seen this
                    // leadership's newest token can prove that it isn't there.
                    placement.committed = true;
                    placement.sent = true;
                    placement.provenFrom = election.baton();
                    placement.recovered = true;
                    long ago = turn.wallMs() - job.record.submittedWallMs - 1000L * placement.placedS;
                    placement.since = turn.now().plusMs(-Math.max(0, Math.min(ago, LONGEST_AGO_MS)));
                    placement.expectedMs = estimates.lengthMs(job.spec());
                }
                book.host(placement.host).placements.put(placement.task, placement);
                Ending leaves = known == null ? null : known.leaving.get(placement);
                if (leaves != null) {
                    job.leaving.put(placement, leaves);
                }
            }
            if (known == null && !job.record.live.isEmpty()) {
                job.lastProgress =
                        turn.now(); // when it last moved is not in the records; each take-over called all jobs stalled
            }
            if (job.record.cancelled() || job.record.complete()) {
                book.touch(job);
            }
        }
        phase = Phase.ACTIVE;
        book.replan();
        LOG.info(
                "book loaded: {} open jobs, {} log segments, at revision {}",
                book.jobs().size(),
                log.segments(),
                start.value());
        cancellations.knownAsOf(asked);
        watch(++watching, start);
        listener.loaded();
    }

    /** Brings the records up to what the log says; false where a segment can't be read, and nothing is certain. */
    private boolean takeLog(List<StoreClient.KeyValue> items) {
        log.reset();
        book.jobs().forEach(j -> j.recorded = CommittedTasks.of(j.record));
        Map<ChangeLogSegment, Integer> segments = new TreeMap<>(Comparator.comparingLong(ChangeLogSegment::number));
        Set<JobId> unreadable = new HashSet<>();
        for (StoreClient.KeyValue item : items) {
            try {
                segments.put(
                        ChangeLogSegment.parse(
                                item.value(),
                                r -> book.job(r) == null
                                        ? -1
                                        : book.job(r).spec().tasks(),
                                unreadable),
                        Integer.parseInt(item.key().substring(ChangeLogSegment.PREFIX.length())));
            } catch (MalformedMessageException | NumberFormatException e) {
                LOG.error("log segment {} can't be read, so nothing is started: {}", item.key(), e.getMessage());
                return false;
            }
        }
        for (JobId ref : unreadable) {
            LOG.error("what the log says of {} can't be read, the job and its tasks are left alone", ref);
            book.leaveAlone(ref);
        }
        Map<JobId, Long> from = new HashMap<>();
        segments.forEach((segment, slot) -> segment.jobs().forEach((ref, delta) -> {
            if (delta.begins()) {
                from.put(ref, segment.number());
            }
        }));
        segments.forEach((segment, slot) -> {
            log.numbered(segment.number());
            Set<JobId> holds = new HashSet<>();
            segment.jobs().forEach((ref, delta) -> {
                Job job = book.job(ref);
                if (job != null
                        && segment.number() > job.record.folded
                        && segment.number() >= from.getOrDefault(ref, 0L)) {
                    delta.apply(job.record);
                    holds.add(ref);
                }
            });
            log.holds(segment.number(), slot, holds);
        });
        for (Job job : book.jobs()) {
            log.numbered(job.record.folded);
            job.stored = CommittedTasks.of(job.record);
        }
        return true;
    }

    private static JobId jobOf(String key) {
        int slash = key.indexOf('/', JobRecord.OPEN.length());
        return new JobId(key.substring(JobRecord.OPEN.length(), slash < 0 ? key.length() : slash));
    }

    private void takeRecord(StoreClient.KeyValue item, Map<JobId, Job> old) throws MalformedMessageException {
        String rest = item.key().substring(JobRecord.OPEN.length());
        int slash = rest.indexOf('/');
        if (slash >= 0) {
            Job job = book.job(new JobId(rest.substring(0, slash)));
            if (job != null) {
                job.record.addLive(item.value());
                job.chunks.put(item.key(), (ArrayNode) item.value());
            }
            return;
        }
        if (JobRecord.isOver(item.value())) {
            over.add(item);
            return;
        }
        JobRecord record = record(item);
        Job job = entered(record, item.version());
        Job known = old.get(job.ref());
        if (known != null) {
            job.notBefore = known.notBefore;
            job.failedOn.addAll(known.failedOn);
            job.lastProgress = known.lastProgress;
        }
        book.add(job);
    }

    private Job entered(JobRecord record, Revision version) {
        Job job = new Job(record, version, turn.now().plusMs(Math.min(0, record.submittedWallMs - turn.wallMs())));
        if (record.cancelled()) {
            cancellations.heard(job.ref(), record.cancelWallMs);
        } else {
            job.cancelHeardMs = cancellations.at(job.ref());
        }
        return job;
    }

    private JobRecord record(StoreClient.KeyValue item) throws MalformedMessageException {
        JobRecord record = JobRecord.parse(item.value());
        record.sizes = sizes;
        return record;
    }

    /**
     * Follows the changes of open records. It goes on while the book is not to be trusted, for cancellations alone: a commit without
     * an answer may take long to settle, and nothing of what is cancelled may wait for that.
     */
    private void watch(long expectedWatch, Revision after) {
        requests.take(turn.now(), 1);
        MonotonicTime asked = turn.now();
        store.changes(JobRecord.OPEN, after, cancellations.holdMs(), changes -> {
            if (expectedWatch != watching) {
                return;
            }
            if (changes.status() == 410 && phase == Phase.ACTIVE) {
                reload();
            }
            if (changes.status() != 200) {
                again(expectedWatch, 300, after);
                return;
            }
            changes.log().forEach(this::cancelled);
            if (phase == Phase.ACTIVE) {
                changes.log().forEach(this::changed);
            }
            cancellations.knownAsOf(asked);
            // Own commits come back here too; a short pause keeps a busy day from spending the request limit on it.
            again(expectedWatch, changes.log().isEmpty() ? 0 : 40, changes.revision());
        });
    }

    private void again(long expectedWatch, long ms, Revision after) {
        turn.after(ms, () -> {
            if (expectedWatch == watching) {
                watch(expectedWatch, after);
            }
        });
    }

    /** A change says that a job is cancelled: that counts at once, whatever is on its way of the job. */
    private void cancelled(StoreClient.KeyValue item) {
        long at = item.value() == null || JobRecord.isOver(item.value())
                ? 0
                : item.value().path("cancel").longValue();
        if (at > 0 && item.key().indexOf('/', JobRecord.OPEN.length()) < 0) {
            JobId ref = new JobId(item.key().substring(JobRecord.OPEN.length()));
            if (cancellations.heard(ref, at)) {
                listener.cancelled(ref);
            }
        }
    }

    /** The job's commit is over: what came of its record meanwhile counts now, if it is not our own. */
    void takeUp(Job job) {
        StoreClient.KeyValue item = job.news;
        job.news = null;
        if (item != null && book.job(job.ref()) == job) {
            changed(item);
        }
    }

    private void changed(StoreClient.KeyValue item) {
        if (item.value() == null
                || JobRecord.isOver(item.value())
                || item.key().indexOf('/', JobRecord.OPEN.length()) >= 0) {
            return;
        }
        JobId ref = new JobId(item.key().substring(JobRecord.OPEN.length()));
        Job job = book.job(ref);
        if (job == null ? book.hasEnded(ref) : item.version().compareTo(job.version) <= 0) {
            return; // our own
        }
        if (job != null && job.inFlight) {
            // Either our own, or our commit will conflict, or it was made just before this. In the last case nothing
            // else
            // would tell. Only the record waits: what is cancelled is pursued already.
            job.news = item;
            return;
        }
        try {
            if (job == null) {
                JobRecord record = record(item);
                if (record.live.isEmpty() && record.done.size() == 0) { // else it is our own ended job's echo
                    job = entered(record, item.version());
                    book.add(job);
                    LOG.info(
                            "{} enters: {} {} x {}",
                            job.ref(),
                            job.spec().jobClass(),
                            job.spec().tasks(),
                            job.spec().cpus());
                    if (record.cancelled()) {
                        book.touch(job);
                    }
                }
            } else {
                // Other nodes change nothing but the cancellation and what width the user allows.
                job.version = item.version();
                WidthRecord width = Codec.absent(item.value(), "width")
                        ? null
                        : WidthRecord.parse(item.value().get("width"));
                if (width != null && (job.record.width == null || width.number() > job.record.width.number())) {
                    job.record.width = width.withTarget(job.record.width == null ? width.target() : job.width());
                    job.committedWidth = width.target();
                    LOG.info(
                            "{} may be {} to {} wide from now on",
                            job.ref(),
                            width.allowed().least(),
                            width.allowed().most());
                    listener.resized(job);
                }
                long cancel = item.value().path("cancel").longValue();
                if (cancel > 0 && !job.record.cancelled()) {
                    job.record.cancelWallMs = cancel;
                    LOG.info("{} is cancelled, {} tasks may be running", job.ref(), job.record.live.size());
                    book.touch(job);
                }
            }
            book.replan();
        } catch (MalformedMessageException e) {
            LOG.error("record {} can't be read: {}", item.key(), e.getMessage());
        }
    }
}
