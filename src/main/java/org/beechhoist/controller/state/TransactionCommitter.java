package org.beechhoist.controller.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.Placement;
import org.beechhoist.store.RecordSizes;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.CommitResult;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes what the book holds and the state service does not, one transaction at a time, the most urgent first. */
public final class TransactionCommitter {
    private static final Logger LOG = LoggerFactory.getLogger(TransactionCommitter.class);
    private static final int GATHERED = 10;
    /** Finished tasks are gathered this long before their job is written for them alone. */
    private static final long GATHER_MS = 2000;
    /** The share of a second's writes that is kept for launches and ends of jobs. */
    private static final double KEPT_WRITES = 0.4;
    /** Writes that are left to this node's own users: a leader that spends all would refuse every submission. */
    private static final double USERS_WRITES = 4;

    private static final long ROTATE_EVERY_MS = 2000;
    private static final long ROTATE_SOON_MS = 300;
    private static final long STARVED_MS = 1000;
    /** On a state service with few writes, the users' part of them is a share. */
    private static final double USERS_SHARE = 0.15;
    /** Writes are to spare where this much of a full budget is left. */
    private static final double PLENTY = 0.8;
    /** Segments of the log that a full second's writes are thought to be at most; the rest is for records and ends. */
    private static final double LOG_SHARE = 4;
    /** With less of a full budget, and so many jobs that have ended at once, a job ends with one change instead of two. */
    private static final double TIGHT = 0.5;

    private static final int MANY_ENDS = 5;
    private static final int MOST_MOVED = 6;
    /** They are moved only while hardly anything else is written, and seldom: commits wait for one another. */
    private static final double QUIET = 0.95;

    private static final long MOVE_EVERY_MS = 1000;
    private static final long LONGEST_PACE_MS = 400;
    private static final long FOLD_EVERY_MS = 1000;
    /** A job that is younger will have ended before long, and is never written for the log's sake. */
    private static final long FOLD_AGE_MS = 60_000;

    private static final int MOST_RECORDS = 2;
    private static final int MOST_GATHERED = 100;
    private static final int GATHERED_SEGMENTS = 2;

    /** What may follow only once it is written. */
    public interface Listener {
        /** These placements are committed: their launches may be sent. */
        void placed(List<Placement> placed);

        /** The job's record is committed as it was sent. */
        void written(Job job);

        /** The job's final state is committed. */
        void ended(Job job, JsonNode state);
    }

    private final ControllerContext turn;
    private final Settings settings;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final ClusterState book;
    private final StateLoader loading;
    private final RecordSizes sizes;
    private final ChangeLog log;
    private final CommitGuards guards;
    private final BooleanSupplier logAllowed;
    private final Listener listener;
    private MonotonicTime nextFold = MonotonicTime.ZERO;
    private boolean commitInFlight;
    private boolean rotateWanted;
    /** Whether changes run short: what can be done later is. */
    private boolean tight;

    private MonotonicTime lastRotation = MonotonicTime.ZERO;
    private boolean rotateSoon;
    private MonotonicTime nextCommit = MonotonicTime.ZERO;
    private MonotonicTime nextMove = MonotonicTime.ZERO;

    /** @param logAllowed whether every node that may lead reads the log */
    public TransactionCommitter(
            ControllerContext turn,
            Settings settings,
            StoreClient store,
            LeaderElection election,
            TokenBucket requests,
            TokenBucket writes,
            ClusterState book,
            StateLoader loading,
            RecordSizes sizes,
            ChangeLog log,
            CommitGuards guards,
            BooleanSupplier logAllowed,
            Listener listener) {
        this.guards = guards;
        this.turn = turn;
        this.settings = settings;
        this.store = store;
        this.election = election;
        this.requests = requests;
        this.writes = writes;
        this.book = book;
        this.loading = loading;
        this.sizes = sizes;
        this.log = log;
        this.logAllowed = logAllowed;
        this.listener = listener;
    }

    public void reset() {
        commitInFlight = false;
        rotateWanted = false;
        rotateSoon = false;
    }

    /** A command may be executed late as long as no worker has seen a newer token: one is to be made. */
    public void wantRotation() {
        rotateWanted = true;
    }

    /** The same, and sooner: a cancelled job's launch may be executed late. Workers report a newer token at most twice a lease. */
    public void wantRotationSoon() {
        rotateWanted = true;
        rotateSoon = true;
    }

    /** Writes what changed, one transaction at a time. */
    public void pump() {
        if (!loading.active() || commitInFlight || turn.now().before(nextCommit)) {
            return;
        }
        // Each new fencing token makes every worker report once more, so that many lost orders share one.
        boolean rotating =
                rotateWanted && turn.now().since(lastRotation) >= (rotateSoon ? ROTATE_SOON_MS : ROTATE_EVERY_MS);
        boolean foldDue = log.segments() > 0 && !turn.now().before(nextFold);
        if (book.dirty().isEmpty() && !rotating && !foldDue && !moveDue()) {
            return;
        }
        double budget = writes.available(turn.now()) - Math.min(USERS_WRITES, USERS_SHARE * writes.most());
        if (budget < 1) {
            return;
        }
        tight = budget < TIGHT * writes.most()
                && book.dirty().stream()
                                .filter(TransactionCommitter::ends)
                                .limit(MANY_ENDS)
                                .count()
                        == MANY_ENDS;
        Transaction txn = election.guarded();
        if (rotating) {
            election.rotateIn(txn);
        }
        WriteBatch batch = new WriteBatch(txn, settings.stateLimits(), sizes, log, guards, (int) Math.floor(budget));
        gather(batch, budget > KEPT_WRITES * writes.rate());
        if (foldDue) {
            fold(batch, budget > PLENTY * writes.most());
        }
        if (batch.isEmpty()) {
            move(budget);
            return;
        }
        if (rotating) {
            rotateWanted = false;
            rotateSoon = false;
            lastRotation = turn.now();
        }
        List<Placement> placed = batch.placed();
        batch.close();
        if (batch.logged() > 0 && budget < PLENTY * writes.most()) {
            // What comes next shares a segment with what comes a moment later.
            nextCommit = turn.now().plusMs(Math.min(LONGEST_PACE_MS, Math.round(1000 * LOG_SHARE / writes.rate())));
        }
        send(txn, c -> committed(c, rotating, batch, placed));
    }

    /** Sends the one transaction that is on its way at a time; its outcome is handed over if it is still the book's matter. */
    private void send(Transaction txn, Consumer<CommitResult> then) {
        commitInFlight = true;
        requests.take(turn.now(), 1);
        writes.take(turn.now(), txn.ops());
        long expectedEpoch = loading.epoch();
        long term = book.reign();
        store.commit(txn, commit -> {
            if (term != book.reign()) {
                return;
            }
            commitInFlight = false;
            if (expectedEpoch == loading.epoch()) {
                then.accept(commit);
            } else {
                // The book was read anew meanwhile, perhaps without this commit: make sure of its fate. Left alone,
                // it would be taken for one that never ends, and nothing would be written any more.
                settle();
            }
        });
    }

    private boolean moveDue() {
        return !loading.over().isEmpty() && !turn.now().before(nextMove);
    }

    /**
     * Final states that stand where open records do go to their own keys, so that the next leader need not read them. Of a job
     * there is one key at any moment: both changes are one transaction, guarded by the version of the one that goes.
     */
    private void move(double budget) {
        int most = Math.min(MOST_MOVED, Math.min(settings.stateLimits().txnOps(), (int) budget) / 2);
        if (most < 1
                || !moveDue()
                || budget < QUIET * writes.most() - Math.min(USERS_WRITES, USERS_SHARE * writes.most())) {
            return;
        }
        nextMove = turn.now().plusMs(MOVE_EVERY_MS);
        Transaction txn = election.guarded();
        List<StoreClient.KeyValue> moved = loading.over().stream().limit(most).toList();
        for (StoreClient.KeyValue item : moved) {
            JobId ref = new JobId(item.key().substring(JobRecord.OPEN.length()));
            txn.guard(item.key(), item.version()).delete(item.key()).put(JobRecord.endedKey(ref), item.value());
        }
        send(txn, commit -> {
            switch (commit.result()) {
                case DONE -> loading.over().removeAll(moved);
                case CONFLICT -> {
                    if (commit.failed().contains(LeaderElection.KEY)) {
                        election.lose("the key was rewritten");
                    } else {
                        loading.reload();
                    }
                }
                case NO_LEASE -> election.lose("the lease ended");
                case UNCERTAIN -> settle();
                case REFUSED -> nextCommit = turn.now().plusMs(200);
                default -> throw new IllegalStateException("commit ended with " + commit.result());
            }
        });
    }

    private record DueWrite(Job job, int rank) {}

    /** Takes in what is due, the most urgent first, and of the rest what costs no more. */
    private void gather(WriteBatch batch, boolean spare) {
        List<DueWrite> due = new ArrayList<>();
        List<Job> rest = new ArrayList<>();
        for (Job job : new ArrayList<>(book.dirty())) {
            if (job.overtaken()) {
                continue; // its record says that it is cancelled, and has not been read: that comes by itself
            }
            if (!ends(job) && !guards.mayWrite(job)) {
                continue; // its key set has changed: what is placed of it is written, or not, once that is known
            }
            int rank = commitRank(job);
            // A finished task frees its machine without this: the worker's report proves it, to a later leader too.
            if (rank == GATHERED && !(spare && turn.now().since(job.dirtySince) >= GATHER_MS)) {
                rest.add(job);
            } else if (way(job) == WriteBatch.WriteMode.LOG
                    && job.stored.until(job.record).isEmpty()) {
                book.sent(job); // it was touched, and is as the state service holds it
                job.inFlight = false;
            } else {
                due.add(new DueWrite(job, rank));
            }
        }
        due.sort(Comparator.comparingInt(DueWrite::rank).thenComparing(d -> d.job.dirtySince));
        for (DueWrite next : due) {
            if (!take(batch, next.job) && next.rank < GATHERED && turn.now().since(next.job.dirtySince) > STARVED_MS) {
                break; // let the budget fill up for it instead of spending it on smaller ones for ever
            }
        }
        for (Job job : batch.logged() == 0 ? List.<Job>of() : rest) {
            if (way(job) == WriteBatch.WriteMode.LOG && batch.free(job)) {
                take(batch, job);
            }
        }
    }

    private boolean take(WriteBatch batch, Job job) {
        boolean taken = (ends(job) || guards.mayWrite(job)) && batch.take(job, way(job));
        if (taken) {
            book.sent(job);
        }
        return taken;
    }

    private WriteBatch.WriteMode way(Job job) {
        return ends(job)
                ? tight && logAllowed.getAsBoolean() ? WriteBatch.WriteMode.END_HERE : WriteBatch.WriteMode.END
                : !logAllowed.getAsBoolean()
                                || job.width() != job.committedWidth
                                || job.record.failures != job.storedFailures
                        ? WriteBatch.WriteMode.RECORD
                        : WriteBatch.WriteMode.LOG;
    }

    /**
     * Keeps the log short. Where it is long, what the oldest segments say of jobs that are still open is gathered in new
     * ones, a segment or two each time; where writes are to spare, a job that has been open for long has its record written.
     */
    private void fold(WriteBatch batch, boolean plenty) {
        nextFold = turn.now().plusMs(FOLD_EVERY_MS);
        boolean gather = log.crowded() && logAllowed.getAsBoolean();
        if (!gather && !plenty) {
            return;
        }
        int before = batch.logged();
        int records = 0;
        for (JobId ref : log.oldest(gather ? MOST_GATHERED : MOST_RECORDS)) {
            Job job = book.job(ref);
            if (job == null
                    || job.inFlight
                    || job.overtaken()
                    || ends(job)
                    || !guards.mayWrite(job)
                    || (!gather && turn.now().since(job.submitted) < FOLD_AGE_MS)) {
                continue;
            }
            if (batch.logged() - before > GATHERED_SEGMENTS
                    || records == MOST_RECORDS
                    || !batch.take(job, gather ? WriteBatch.WriteMode.GATHER : WriteBatch.WriteMode.RECORD)) {
                return;
            }
            book.sent(job);
            records += gather ? 0 : 1;
        }
    }

    private static boolean ends(Job job) {
        return job.record.live.isEmpty() && (job.record.cancelled() || job.record.complete());
    }

    /**
     * More urgent jobs first; of one urgency those that have ended, for their users wait, then launches. Ended tasks come last. With
     * all ends first, thousands of tiny jobs' ends kept urgent launches waiting for seconds.
     */
    private static int commitRank(Job job) {
        if (ends(job)) {
            return 2 * job.spec().urgency().ordinal();
        }
        return job.uncommitted > 0 || job.width() < job.committedWidth
                ? 1 + 2 * job.spec().urgency().ordinal()
                : GATHERED;
    }

    /** Jobs that wait to be written, for whoever shares out the state service's limits. */
    public int backlog() {
        return loading.active() ? book.dirty().size() : 0;
    }

    private void committed(CommitResult commit, boolean rotating, WriteBatch batch, List<Placement> placed) {
        batch.parts().forEach(p -> p.job.inFlight = false);
        result(commit, rotating, batch, placed);
        if (loading.complete()) {
            batch.parts().forEach(p -> loading.takeUp(p.job));
        }
    }

    private void result(CommitResult commit, boolean rotating, WriteBatch batch, List<Placement> placed) {
        switch (commit.result()) {
            case DONE -> {
                if (rotating) {
                    election.rotated(commit.revision());
                    LOG.info("baton rewritten: {}", election.baton().value());
                }
                batch.made();
                for (WriteBatch.JobWrite part : batch.parts()) {
                    if (part.way == WriteBatch.WriteMode.RECORD) {
                        part.job.version = commit.revision();
                    } else if (part.way.ends()) {
                        JsonNode state = part.job.record.endedNode(part.job.finalState());
                        if (part.way == WriteBatch.WriteMode.END_HERE) {
                            loading.standsOver(new StoreClient.KeyValue(
                                    JobRecord.openKey(part.job.ref()), state, commit.revision(), 0));
                        }
                        book.ended(part.job);
                        listener.ended(part.job, state);
                        LOG.info("{} ended: {}", part.job.ref(), part.job.finalState());
                    }
                    if (!part.way.ends() && ends(part.job)) {
                        book.touch(part.job); // gathered for the log's sake; written off as clean, it once never ended
                    }
                }
                for (Placement placement : placed) {
                    placement.committed = true;
                    Job job = book.job(placement.task.job());
                    if (job != null && job.record.live.get(placement.task.index()) == placement) {
                        job.uncommitted--;
                    }
                }
                listener.placed(placed);
                batch.parts().forEach(p -> listener.written(p.job));
            }
            case CONFLICT -> {
                if (commit.failed().contains(LeaderElection.KEY)) {
                    election.lose("the key was rewritten");
                } else if (guards.overtaken(commit.failed())) {
                    notMade(batch, rotating);
                } else {
                    // A cancellation came first, most likely: read the book again and go on from there.
                    LOG.info("commit overtaken on {}", commit.failed());
                    loading.reload();
                }
            }
            case NO_LEASE -> election.lose("the lease ended");
            case UNCERTAIN -> {
                LOG.info("a commit's fate is unknown; rewriting the baton");
                settle();
            }
            case REFUSED -> {
                notMade(batch, rotating);
                nextCommit = turn.now().plusMs(200);
            }
            default -> throw new IllegalStateException("commit ended with " + commit.result());
        }
    }

    private void notMade(WriteBatch batch, boolean rotating) {
        batch.dropped();
        rotateWanted |= rotating;
        batch.parts().forEach(p -> book.touch(p.job));
    }

    /**
     * After a transaction without an answer: rewriting the key under its guard makes sure that it was applied before
     * or never will be; then the book is read again.
     */
    private void settle() {
        loading.suspend();
        long expectedEpoch = loading.epoch();
        Transaction txn = election.guarded();
        election.rotateIn(txn);
        requests.take(turn.now(), 1);
        writes.take(turn.now(), 1);
        store.commit(txn, commit -> {
            if (expectedEpoch != loading.epoch()) {
                return;
            }
            switch (commit.result()) {
                case DONE -> {
                    election.rotated(commit.revision());
                    loading.reload();
                }
                case CONFLICT -> rewritten(expectedEpoch);
                case NO_LEASE -> election.lose("the lease ended");
                default -> again(expectedEpoch, this::settle);
            }
        });
    }

    private void again(long expectedEpoch, Runnable then) {
        turn.after(300, () -> {
            if (expectedEpoch == loading.epoch()) {
                then.run();
            }
        });
    }

    /**
     * The key is not as this leader knows it: an earlier rewriting of its own was made and only its answer was lost, or another node's.
     * Its own settles the matter as well, for whatever was guarded by the older revision can't be made any more.
     */
    private void rewritten(long expectedEpoch) {
        election.readOwn(own -> {
            if (expectedEpoch != loading.epoch()) {
                return;
            }
            switch (own) {
                case STILL -> loading.reload();
                case GONE -> election.lose("the key was rewritten");
                default -> again(expectedEpoch, () -> rewritten(expectedEpoch));
            }
        });
    }
}
