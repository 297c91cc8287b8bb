package org.beechhoist.controller.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.ControllerServices;
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
    private static final int DEFERRED_RANK = 10;
    /** Finished tasks are gathered this long before their job is written for them alone. */
    private static final long DEFER_MS = 2000;
    /** The share of a second's writes that is kept for launches and ends of jobs. */
    private static final double RESERVED_WRITES = 0.4;
    /** Writes that are left to this node's own users: a leader that spends all would refuse every submission. */
    private static final double USERS_WRITES = 4;

    private static final long ROTATE_EVERY_MS = 2000;
    private static final long ROTATE_SOON_MS = 300;
    private static final long STARVED_MS = 1000;
    /** On a state service with few writes, the users' part of them is a share. */
    private static final double USERS_SHARE = 0.15;
    /** Writes are to spare where this much of a full budget is left. */
    private static final double PLENTIFUL = 0.8;
    /** Segments of the log that a full second's writes are thought to be at most; the rest is for records and ends. */
    private static final double LOG_SHARE = 4;
    /** With less of a full budget, and so many jobs that have ended at once, a job ends with one change instead of two. */
    private static final double SCARCE = 0.5;

    private static final int MANY_ENDED_JOBS = 5;
    private static final int MAX_RELOCATED = 6;
    /** They are moved only while hardly anything else is written, and seldom: commits wait for one another. */
    private static final double IDLE = 0.95;

    private static final long RELOCATE_EVERY_MS = 1000;
    private static final long MAX_PACE_MS = 400;
    private static final long FOLD_EVERY_MS = 1000;
    /** A job that is younger will have ended before long, and is never written for the log's sake. */
    private static final long FOLD_AGE_MS = 60_000;

    private static final int MAX_FOLDED_RECORDS = 2;
    private static final int MAX_CONSOLIDATED_JOBS = 100;
    private static final int MAX_CONSOLIDATED_SEGMENTS = 2;

    /** What may follow only once it is written. */
    public interface Listener {
        /** These placements are committed: their launches may be sent. */
        void placementsCommitted(List<Placement> placed);

        /** The job's record is committed as it was sent. */
        void jobWritten(Job job);

        /** The job's final state is committed. */
        void jobEnded(Job job, JsonNode state);
    }

    private final ControllerContext context;
    private final Settings settings;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final ClusterState clusterState;
    private final StateLoader loader;
    private final RecordSizes sizes;
    private final ChangeLog changeLog;
    private final CommitGuards guards;
    private final BooleanSupplier logAllowed;
    private final Listener listener;
    private MonotonicTime nextFold = MonotonicTime.ZERO;
    private boolean commitInFlight;
    private boolean rotationRequested;
    /** Whether changes run short: what can be done later is. */
    private boolean writesScarce;

    private MonotonicTime lastRotation = MonotonicTime.ZERO;
    private boolean rotationUrgent;
    private MonotonicTime nextCommit = MonotonicTime.ZERO;
    private MonotonicTime nextRelocation = MonotonicTime.ZERO;

    public TransactionCommitter(
            ControllerServices services,
            ClusterState clusterState,
            StateLoader loader,
            ChangeLog changeLog,
            CommitGuards guards,
            BooleanSupplier logAllowed,
            Listener listener) {
        this.context = services.context();
        this.settings = services.settings();
        this.store = services.store();
        this.election = services.election();
        this.requests = services.requests();
        this.writes = services.writes();
        this.sizes = services.recordSizes();
        this.clusterState = clusterState;
        this.loader = loader;
        this.changeLog = changeLog;
        this.guards = guards;
        this.logAllowed = logAllowed;
        this.listener = listener;
    }

    public void reset() {
        commitInFlight = false;
        rotationRequested = false;
        rotationUrgent = false;
    }

    /** A command may be executed late as long as no worker has seen a newer token: one is to be made. */
    public void requestTokenRotation() {
        rotationRequested = true;
    }

    /** The same, and sooner: a cancelled job's launch may be executed late. Workers report a newer token at most twice a lease. */
    public void requestUrgentTokenRotation() {
        rotationRequested = true;
        rotationUrgent = true;
    }

    /** Writes what changed, one transaction at a time. */
    public void commitPending() {
        if (!loader.isActive() || commitInFlight || context.now().isBefore(nextCommit)) {
            return;
        }
        // Each new fencing token makes every worker report once more, so that many lost orders share one.
        boolean rotating = rotationRequested
                && context.now().since(lastRotation) >= (rotationUrgent ? ROTATE_SOON_MS : ROTATE_EVERY_MS);
        boolean foldDue = changeLog.segmentCount() > 0 && !context.now().isBefore(nextFold);
        if (clusterState.dirtyJobs().isEmpty() && !rotating && !foldDue && !isRelocationDue()) {
            return;
        }
        double budget = writes.available(context.now()) - Math.min(USERS_WRITES, USERS_SHARE * writes.capacity());
        if (budget < 1) {
            return;
        }
        writesScarce = budget < SCARCE * writes.capacity()
                && clusterState.dirtyJobs().stream()
                                .filter(TransactionCommitter::isEnding)
                                .limit(MANY_ENDED_JOBS)
                                .count()
                        == MANY_ENDED_JOBS;
        Transaction transaction = election.guardedTransaction();
        if (rotating) {
            election.addTokenRotation(transaction);
        }
        WriteBatch batch =
                new WriteBatch(transaction, settings.stateLimits(), sizes, changeLog, guards, (int) Math.floor(budget));
        collectDueWrites(batch, budget > RESERVED_WRITES * writes.rate());
        if (foldDue) {
            foldLog(batch, budget > PLENTIFUL * writes.capacity());
        }
        if (batch.isEmpty()) {
            relocateFinalStates(budget);
            return;
        }
        if (rotating) {
            rotationRequested = false;
            rotationUrgent = false;
            lastRotation = context.now();
        }
        List<Placement> placed = batch.newPlacements();
        batch.seal();
        if (batch.segmentCount() > 0 && budget < PLENTIFUL * writes.capacity()) {
            // What comes next shares a segment with what comes a moment later.
            nextCommit = context.now().plusMs(Math.min(MAX_PACE_MS, Math.round(1000 * LOG_SHARE / writes.rate())));
        }
        send(transaction, c -> completeCommit(c, rotating, batch, placed));
    }

    /** Sends the one transaction that is on its way at a time; its outcome is handed over if it is still the book's matter. */
    private void send(Transaction transaction, Consumer<CommitResult> then) {
        commitInFlight = true;
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), transaction.operationCount());
        long expectedEpoch = loader.loadEpoch();
        long term = clusterState.term();
        store.commit(transaction, commit -> {
            if (term != clusterState.term()) {
                return;
            }
            commitInFlight = false;
            if (expectedEpoch == loader.loadEpoch()) {
                then.accept(commit);
            } else {
                // The book was read anew meanwhile, perhaps without this commit: make sure of its fate. Left alone,
                // it would be taken for one that never ends, and nothing would be written any more.
                settleUnknownCommit();
            }
        });
    }

    private boolean isRelocationDue() {
        return !loader.misplacedFinalStates().isEmpty() && !context.now().isBefore(nextRelocation);
    }

    /**
     * Final states that stand where open records do go to their own keys, so that the next leader need not read them. Of a job
     * there is one key at any moment: both changes are one transaction, guarded by the version of the one that goes.
     */
    private void relocateFinalStates(double budget) {
        int most = Math.min(MAX_RELOCATED, Math.min(settings.stateLimits().txnOps(), (int) budget) / 2);
        if (most < 1
                || !isRelocationDue()
                || budget < IDLE * writes.capacity() - Math.min(USERS_WRITES, USERS_SHARE * writes.capacity())) {
            return;
        }
        nextRelocation = context.now().plusMs(RELOCATE_EVERY_MS);
        Transaction transaction = election.guardedTransaction();
        List<StoreClient.KeyValue> moved =
                loader.misplacedFinalStates().stream().limit(most).toList();
        for (StoreClient.KeyValue item : moved) {
            JobId jobId = new JobId(item.key().substring(JobRecord.OPEN_PREFIX.length()));
            transaction
                    .guard(item.key(), item.version())
                    .delete(item.key())
                    .put(JobRecord.endedKey(jobId), item.value());
        }
        send(transaction, commit -> {
            switch (commit.outcome()) {
                case COMMITTED -> loader.misplacedFinalStates().removeAll(moved);
                case CONFLICT -> {
                    if (commit.failedKeys().contains(LeaderElection.KEY)) {
                        election.loseLeadership("the key was rewritten");
                    } else {
                        loader.reload();
                    }
                }
                case LEASE_EXPIRED -> election.loseLeadership("the lease ended");
                case UNKNOWN -> settleUnknownCommit();
                case REJECTED -> nextCommit = context.now().plusMs(200);
                default -> throw new IllegalStateException("commit ended with " + commit.outcome());
            }
        });
    }

    private record DueWrite(Job job, int rank) {}

    /** Takes in what is due, the most urgent first, and of the rest what costs no more. */
    private void collectDueWrites(WriteBatch batch, boolean spare) {
        List<DueWrite> due = new ArrayList<>();
        List<Job> rest = new ArrayList<>();
        for (Job job : new ArrayList<>(clusterState.dirtyJobs())) {
            if (job.isRecordOutdated()) {
                continue; // its record says that it is cancelled, and has not been read: that comes by itself
            }
            if (!isEnding(job) && !guards.mayWrite(job)) {
                continue; // its key set has changed: what is placed of it is written, or not, once that is known
            }
            int rank = writeRank(job);
            // A finished task frees its machine without this: the worker's report proves it, to a later leader too.
            if (rank == DEFERRED_RANK && !(spare && context.now().since(job.dirtySince) >= DEFER_MS)) {
                rest.add(job);
            } else if (writeMode(job) == WriteBatch.WriteMode.LOG
                    && job.committedTasks.changesTo(job.record).isEmpty()) {
                clusterState.markInFlight(job); // it was touched, and is as the state service holds it
                job.inFlight = false;
            } else {
                due.add(new DueWrite(job, rank));
            }
        }
        due.sort(Comparator.comparingInt(DueWrite::rank).thenComparing(d -> d.job.dirtySince));
        for (DueWrite next : due) {
            if (!addToBatch(batch, next.job)
                    && next.rank < DEFERRED_RANK
                    && context.now().since(next.job.dirtySince) > STARVED_MS) {
                break; // let the budget fill up for it instead of spending it on smaller ones for ever
            }
        }
        for (Job job : batch.segmentCount() == 0 ? List.<Job>of() : rest) {
            if (writeMode(job) == WriteBatch.WriteMode.LOG && batch.costsNothing(job)) {
                addToBatch(batch, job);
            }
        }
    }

    private boolean addToBatch(WriteBatch batch, Job job) {
        boolean taken = (isEnding(job) || guards.mayWrite(job)) && batch.add(job, writeMode(job));
        if (taken) {
            clusterState.markInFlight(job);
        }
        return taken;
    }

    private WriteBatch.WriteMode writeMode(Job job) {
        return isEnding(job)
                ? writesScarce && logAllowed.getAsBoolean()
                        ? WriteBatch.WriteMode.FINAL_STATE_IN_PLACE
                        : WriteBatch.WriteMode.FINAL_STATE
                : !logAllowed.getAsBoolean()
                                || job.width() != job.committedWidth
                                || job.record.failures != job.committedFailures
                        ? WriteBatch.WriteMode.RECORD
                        : WriteBatch.WriteMode.LOG;
    }

    /**
     * Keeps the log short. Where it is long, what the oldest segments say of jobs that are still open is gathered in new
     * ones, a segment or two each time; where writes are to spare, a job that has been open for long has its record written.
     */
    private void foldLog(WriteBatch batch, boolean plenty) {
        nextFold = context.now().plusMs(FOLD_EVERY_MS);
        boolean gather = changeLog.isCrowded() && logAllowed.getAsBoolean();
        if (!gather && !plenty) {
            return;
        }
        int before = batch.segmentCount();
        int records = 0;
        for (JobId jobId : changeLog.oldestJobs(gather ? MAX_CONSOLIDATED_JOBS : MAX_FOLDED_RECORDS)) {
            Job job = clusterState.job(jobId);
            if (job == null
                    || job.inFlight
                    || job.isRecordOutdated()
                    || isEnding(job)
                    || !guards.mayWrite(job)
                    || (!gather && context.now().since(job.submittedAt) < FOLD_AGE_MS)) {
                continue;
            }
            if (batch.segmentCount() - before > MAX_CONSOLIDATED_SEGMENTS
                    || records == MAX_FOLDED_RECORDS
                    || !batch.add(job, gather ? WriteBatch.WriteMode.CONSOLIDATE : WriteBatch.WriteMode.RECORD)) {
                return;
            }
            clusterState.markInFlight(job);
            records += gather ? 0 : 1;
        }
    }

    private static boolean isEnding(Job job) {
        return job.record.live.isEmpty() && (job.record.isCancelled() || job.record.isComplete());
    }

    /**
     * More urgent jobs first; of one urgency those that have ended, for their users wait, then launches. Ended tasks come last. With
     * all ends first, thousands of tiny jobs' ends kept urgent launches waiting for seconds.
     */
    private static int writeRank(Job job) {
        if (isEnding(job)) {
            return 2 * job.spec().priority().ordinal();
        }
        return job.uncommittedPlacements > 0 || job.width() < job.committedWidth
                ? 1 + 2 * job.spec().priority().ordinal()
                : DEFERRED_RANK;
    }

    /** Jobs that wait to be written, for whoever shares out the state service's limits. */
    public int pendingWrites() {
        return loader.isActive() ? clusterState.dirtyJobs().size() : 0;
    }

    private void completeCommit(CommitResult commit, boolean rotating, WriteBatch batch, List<Placement> placed) {
        batch.writes().forEach(p -> p.job.inFlight = false);
        applyOutcome(commit, rotating, batch, placed);
        if (loader.isComplete()) {
            batch.writes().forEach(p -> loader.applyPendingChange(p.job));
        }
    }

    private void applyOutcome(CommitResult commit, boolean rotating, WriteBatch batch, List<Placement> placed) {
        switch (commit.outcome()) {
            case COMMITTED -> {
                if (rotating) {
                    election.adoptToken(commit.revision());
                    LOG.info("baton rewritten: {}", election.fencingToken().value());
                }
                batch.applyCommitted();
                for (WriteBatch.JobWrite part : batch.writes()) {
                    if (part.mode == WriteBatch.WriteMode.RECORD) {
                        part.job.version = commit.revision();
                    } else if (part.mode.isFinal()) {
                        JsonNode state = part.job.record.finalStateNode(part.job.finalState());
                        if (part.mode == WriteBatch.WriteMode.FINAL_STATE_IN_PLACE) {
                            loader.addMisplacedFinalState(new StoreClient.KeyValue(
                                    JobRecord.openKey(part.job.id()), state, commit.revision(), 0));
                        }
                        clusterState.markEnded(part.job);
                        listener.jobEnded(part.job, state);
                        LOG.info("{} ended: {}", part.job.id(), part.job.finalState());
                    }
                    if (!part.mode.isFinal() && isEnding(part.job)) {
                        clusterState.markDirty(
                                part.job); // gathered for the log's sake; written off as clean, it once never ended
                    }
                }
                for (Placement placement : placed) {
                    placement.committed = true;
                    Job job = clusterState.job(placement.task.job());
                    if (job != null && job.record.live.get(placement.task.index()) == placement) {
                        job.uncommittedPlacements--;
                    }
                }
                listener.placementsCommitted(placed);
                batch.writes().forEach(p -> listener.jobWritten(p.job));
            }
            case CONFLICT -> {
                if (commit.failedKeys().contains(LeaderElection.KEY)) {
                    election.loseLeadership("the key was rewritten");
                } else if (guards.overtaken(commit.failedKeys())) {
                    restorePending(batch, rotating);
                } else {
                    // A cancellation came first, most likely: read the book again and go on from there.
                    LOG.info("commit overtaken on {}", commit.failedKeys());
                    loader.reload();
                }
            }
            case LEASE_EXPIRED -> election.loseLeadership("the lease ended");
            case UNKNOWN -> {
                LOG.info("a commit's fate is unknown; rewriting the baton");
                settleUnknownCommit();
            }
            case REJECTED -> {
                restorePending(batch, rotating);
                nextCommit = context.now().plusMs(200);
            }
            default -> throw new IllegalStateException("commit ended with " + commit.outcome());
        }
    }

    private void restorePending(WriteBatch batch, boolean rotating) {
        batch.discard();
        rotationRequested |= rotating;
        batch.writes().forEach(p -> clusterState.markDirty(p.job));
    }

    /**
     * After a transaction without an answer: rewriting the key under its guard makes sure that it was applied before
     * or never will be; then the book is read again.
     */
    private void settleUnknownCommit() {
        loader.invalidate();
        long expectedEpoch = loader.loadEpoch();
        Transaction transaction = election.guardedTransaction();
        election.addTokenRotation(transaction);
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), 1);
        store.commit(transaction, commit -> {
            if (expectedEpoch != loader.loadEpoch()) {
                return;
            }
            switch (commit.outcome()) {
                case COMMITTED -> {
                    election.adoptToken(commit.revision());
                    loader.reload();
                }
                case CONFLICT -> resolveRewrittenKey(expectedEpoch);
                case LEASE_EXPIRED -> election.loseLeadership("the lease ended");
                default -> retryLater(expectedEpoch, this::settleUnknownCommit);
            }
        });
    }

    private void retryLater(long expectedEpoch, Runnable then) {
        context.schedule(300, () -> {
            if (expectedEpoch == loader.loadEpoch()) {
                then.run();
            }
        });
    }

    /**
     * The key is not as this leader knows it: an earlier rewriting of its own was made and only its answer was lost, or another node's.
     * Its own settles the matter as well, for whatever was guarded by the older revision can't be made any more.
     */
    private void resolveRewrittenKey(long expectedEpoch) {
        election.readKeyOwnership(own -> {
            if (expectedEpoch != loader.loadEpoch()) {
                return;
            }
            switch (own) {
                case HELD -> loader.reload();
                case LOST -> election.loseLeadership("the key was rewritten");
                default -> retryLater(expectedEpoch, () -> resolveRewrittenKey(expectedEpoch));
            }
        });
    }
}
