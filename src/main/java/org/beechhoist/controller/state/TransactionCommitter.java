package org.beechhoist.controller.state;

import com.fasterxml.jackson.databind.JsonNode;
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
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.LeaseId;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.Revision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits pending changes of the cluster state to the state service, one transaction at a time, jobs of the highest priority
 * first.
 */
public final class TransactionCommitter {
    private static final Logger LOG = LoggerFactory.getLogger(TransactionCommitter.class);
    /** The share of one second's write limit that is reserved for launches and ended jobs. */
    private static final double RESERVED_WRITE_SHARE = 0.4;
    /** Writes reserved for this node's own users; a leader that used all writes would reject every submission. */
    private static final double MAX_USER_WRITE_COUNT = 4;

    private static final long ROTATION_INTERVAL_MS = 2000;
    private static final long URGENT_ROTATION_INTERVAL_MS = 300;
    /** If the state service allows few writes, this share of them is reserved for users instead. */
    private static final double USER_WRITE_SHARE = 0.15;
    /** The write budget is plentiful if at least this share of it is left. */
    private static final double PLENTIFUL_BUDGET_SHARE = 0.8;
    /**
     * After a commit with log segments, the next commit waits until the state service allows this many further writes, so that
     * writes remain for records and ended jobs.
     */
    private static final double LOG_COMMIT_WRITE_COUNT = 4;
    /**
     * With less than this share of the full budget, and {@link #MANY_ENDED_JOB_COUNT} ended jobs at once, a final state is written
     * with one operation instead of two.
     */
    private static final double LOW_BUDGET_SHARE = 0.5;

    private static final int MANY_ENDED_JOB_COUNT = 5;
    private static final int MAX_RELOCATED_COUNT = 6;
    /** Final states are moved rarely, and only with at least this share of the budget left: commits wait for one another. */
    private static final double IDLE_BUDGET_SHARE = 0.95;

    private static final long RELOCATION_INTERVAL_MS = 1000;
    private static final long MAX_COMMIT_DELAY_MS = 400;
    /** The pause after a transaction rejected by the state service. */
    private static final long REJECTED_DELAY_MS = 200;

    /** Receives committed changes, for actions that are allowed only after the commit. */
    public interface Listener {
        /** Called when placements are committed, so that their launches may be sent. */
        void placementsCommitted(List<Placement> placements);

        /** Called when the fencing token is a newer one. */
        void tokenRotated();

        /** Called when the changes of the job in a transaction are committed. */
        void jobCommitted(Job job);

        /** Called when the job's final state is committed. */
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
    private final Listener listener;
    private final PendingWriteSelector selector;
    private final UnknownCommitResolver unknownCommits;
    private boolean commitInFlight;
    private boolean rotationRequested;
    private MonotonicTime lastRotationAt = MonotonicTime.ZERO;
    private boolean rotationUrgent;
    private MonotonicTime nextCommitAt = MonotonicTime.ZERO;
    private MonotonicTime nextRelocationAt = MonotonicTime.ZERO;

    /**
     * Creates the committer.
     *
     * @param services the services of the controller
     * @param clusterState the state to write
     * @param loader reloads the state if the result of a commit is in doubt
     * @param changeLog the segments of the change log that are in use
     * @param guards conditions on new placements
     * @param logAllowed whether changes may be written to the change log
     */
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
        this.requests = services.requestTokens();
        this.writes = services.writeTokens();
        this.sizes = services.recordSizes();
        this.clusterState = clusterState;
        this.loader = loader;
        this.changeLog = changeLog;
        this.guards = guards;
        this.listener = listener;
        this.selector = new PendingWriteSelector(context, clusterState, changeLog, guards, logAllowed);
        this.unknownCommits = new UnknownCommitResolver(services, loader);
    }

    /** Discards the transaction in flight and requested rotations; called when a term begins or ends. */
    public void reset() {
        commitInFlight = false;
        rotationRequested = false;
        rotationUrgent = false;
    }

    /** Requests a new fencing token: a command may be executed late until its worker has seen a newer token. */
    public void requestTokenRotation() {
        rotationRequested = true;
    }

    /**
     * Requests a new fencing token soon, because the launch of a cancelled job may be executed late. Workers report a newer token
     * at most twice per lease.
     */
    public void requestUrgentTokenRotation() {
        rotationRequested = true;
        rotationUrgent = true;
    }

    /** Writes pending changes if no transaction is in flight and the rate limits allow another. */
    public void commitPending() {
        if (!loader.isActive() || commitInFlight || context.now().isBefore(nextCommitAt)) {
            return;
        }
        boolean rotating = isRotationDue() || isRotationRequiredByPlacements();
        boolean foldDue = selector.isCompactionDue();
        if (clusterState.dirtyJobs().isEmpty() && !rotating && !foldDue && !isRelocationDue()) {
            return;
        }
        double budget = writes.available(context.now()) - userReserve();
        if (budget < 1) {
            return;
        }
        WriteBatch batch = collectBatch(budget, rotating, foldDue);
        if (batch.isEmpty()) {
            relocateFinalStates(budget);
            return;
        }
        if (rotating) {
            rotationRequested = false;
            rotationUrgent = false;
            lastRotationAt = context.now();
        }
        List<Placement> placements = batch.newPlacements();
        Transaction transaction = batch.seal();
        if (batch.segmentCount() > 0 && budget < PLENTIFUL_BUDGET_SHARE * writes.capacity()) {
            // Changes during the delay share a segment.
            long delayMs = Math.min(MAX_COMMIT_DELAY_MS, Math.round(1000 * LOG_COMMIT_WRITE_COUNT / writes.rate()));
            nextCommitAt = context.now().plusMs(delayMs);
        }
        send(transaction, c -> completeCommit(c, rotating, batch, placements));
    }

    /** Returns whether to rotate the token. Each new token causes one extra heartbeat per worker, so lost commands share a rotation. */
    private boolean isRotationDue() {
        return rotationRequested
                && context.now().since(lastRotationAt)
                        >= (rotationUrgent ? URGENT_ROTATION_INTERVAL_MS : ROTATION_INTERVAL_MS);
    }

    /** Returns whether the token has to be rotated with the placements to be committed, which are launched with the new one. */
    private boolean isRotationRequiredByPlacements() {
        FencingToken current = election.fencingToken();
        return clusterState.dirtyJobs().stream().anyMatch(job -> job.needsNewerToken(current));
    }

    /** Returns the number of writes reserved for users of this node. */
    private double userReserve() {
        return Math.min(MAX_USER_WRITE_COUNT, USER_WRITE_SHARE * writes.capacity());
    }

    private WriteBatch collectBatch(double budget, boolean rotating, boolean foldDue) {
        boolean budgetLow = budget < LOW_BUDGET_SHARE * writes.capacity() && haveManyJobsEnded();
        Transaction transaction = election.guardedTransaction();
        if (rotating) {
            election.addTokenRotation(transaction);
        }
        WriteBatch batch =
                new WriteBatch(transaction, settings.stateLimits(), sizes, changeLog, guards, (int) Math.floor(budget));
        selector.addDueWrites(batch, budget > RESERVED_WRITE_SHARE * writes.rate(), budgetLow);
        if (foldDue) {
            selector.compactLog(batch, budget > PLENTIFUL_BUDGET_SHARE * writes.capacity());
        }
        return batch;
    }

    private boolean haveManyJobsEnded() {
        long ended = clusterState.dirtyJobs().stream()
                .filter(PendingWriteSelector::isEnding)
                .limit(MANY_ENDED_JOB_COUNT)
                .count();
        return ended == MANY_ENDED_JOB_COUNT;
    }

    /** Sends a transaction; {@code onResult} receives its result unless the state was reloaded or the term ended before. */
    private void send(Transaction transaction, Consumer<CommitResult> onResult) {
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
                onResult.accept(commit);
            } else {
                // The state was reloaded before the result arrived, possibly without this commit, so the result must be
                // resolved. Otherwise the commit would be treated as never ending, and nothing would be written any
                // more.
                unknownCommits.resolve();
            }
        });
    }

    private boolean isRelocationDue() {
        return !loader.misplacedFinalStates().isEmpty() && !context.now().isBefore(nextRelocationAt);
    }

    /**
     * Moves final states stored under keys of open records to keys of their own, so that the next leader need not read them. A job
     * has exactly one of the two keys at any time: both operations are in one transaction, guarded by the version of the deleted
     * key.
     */
    private void relocateFinalStates(double budget) {
        int maxCount =
                Math.min(MAX_RELOCATED_COUNT, Math.min(settings.stateLimits().txnOps(), (int) budget) / 2);
        if (maxCount < 1 || !isRelocationDue() || budget < IDLE_BUDGET_SHARE * writes.capacity() - userReserve()) {
            return;
        }
        nextRelocationAt = context.now().plusMs(RELOCATION_INTERVAL_MS);
        Transaction transaction = election.guardedTransaction();
        List<StoreClient.KeyValue> moved =
                loader.misplacedFinalStates().stream().limit(maxCount).toList();
        for (StoreClient.KeyValue item : moved) {
            JobId jobId = new JobId(item.key().substring(JobRecord.OPEN_PREFIX.length()));
            transaction
                    .guard(item.key(), item.version())
                    .delete(item.key())
                    .put(JobRecord.endedKey(jobId), item.value());
        }
        send(transaction, commit -> completeRelocation(commit, moved));
    }

    private void completeRelocation(CommitResult commit, List<StoreClient.KeyValue> moved) {
        switch (commit.outcome()) {
            case COMMITTED -> loader.misplacedFinalStates().removeAll(moved);
            case CONFLICT -> {
                if (commit.failedKeys().contains(LeaderElection.LEADER_KEY)) {
                    election.loseLeadership("the key was rewritten");
                } else {
                    loader.reload();
                }
            }
            case LEASE_EXPIRED -> election.loseLeadership("the lease ended");
            case UNKNOWN -> unknownCommits.resolve();
            case REJECTED -> nextCommitAt = context.now().plusMs(REJECTED_DELAY_MS);
            default -> throw new IllegalStateException("unexpected commit outcome: " + commit.outcome());
        }
    }

    /** Returns the number of jobs to be written, which determines this node's demand for writes. */
    public int pendingWriteCount() {
        return loader.isActive() ? clusterState.dirtyJobs().size() : 0;
    }

    private void completeCommit(CommitResult commit, boolean rotating, WriteBatch batch, List<Placement> placements) {
        batch.writes().forEach(w -> w.job.inFlight = false);
        applyOutcome(commit, rotating, batch, placements);
        if (loader.isLoaded()) {
            batch.writes().forEach(w -> loader.applyPendingChange(w.job));
        }
    }

    private void applyOutcome(CommitResult commit, boolean rotating, WriteBatch batch, List<Placement> placements) {
        switch (commit.outcome()) {
            case COMMITTED -> applyCommitted(commit, rotating, batch, placements);
            case CONFLICT -> resolveConflict(commit, rotating, batch);
            case LEASE_EXPIRED -> election.loseLeadership("the lease ended");
            case UNKNOWN -> {
                LOG.info(
                        "commit result unknown, rewriting the leader key: token={} jobs={}",
                        election.fencingToken().text(),
                        batch.writes().size());
                unknownCommits.resolve();
            }
            case REJECTED -> {
                restorePending(batch, rotating);
                nextCommitAt = context.now().plusMs(REJECTED_DELAY_MS);
            }
            default -> throw new IllegalStateException("unexpected commit outcome: " + commit.outcome());
        }
    }

    private void applyCommitted(CommitResult commit, boolean rotating, WriteBatch batch, List<Placement> placements) {
        if (rotating) {
            election.adoptToken(commit.revision());
            LOG.info("token rotated: token={}", election.fencingToken().text());
            listener.tokenRotated();
        }
        batch.applyCommitted(commit.revision());
        for (WriteBatch.JobWrite write : batch.writes()) {
            applyCommittedWrite(write, commit.revision());
        }
        for (Placement placement : placements) {
            placement.committed = true;
            Job job = clusterState.job(placement.task.job());
            if (job != null && job.record.live.get(placement.task.index()) == placement) {
                job.uncommittedPlacements--;
            }
        }
        listener.placementsCommitted(placements);
        batch.writes().forEach(w -> listener.jobCommitted(w.job));
    }

    private void applyCommittedWrite(WriteBatch.JobWrite write, Revision revision) {
        Job job = write.job;
        if (write.mode.isFinal()) {
            JsonNode state = job.record.finalStateNode(job.finalState());
            if (write.mode == WriteBatch.WriteMode.FINAL_STATE_IN_PLACE) {
                loader.addMisplacedFinalState(
                        new StoreClient.KeyValue(JobRecord.openKey(job.id()), state, revision, LeaseId.NONE));
            }
            clusterState.markEnded(job);
            listener.jobEnded(job, state);
            LOG.info("job ended: job={} state={} revision={}", job.id(), job.finalState(), revision.text());
            return;
        }
        if (write.mode == WriteBatch.WriteMode.RECORD) {
            job.version = revision;
        }
        if (PendingWriteSelector.isEnding(job)) {
            // The job was written only to shorten the log, and all its tasks ended during the commit. Unless marked as
            // dirty, it would never end.
            clusterState.markDirty(job);
        }
    }

    private void resolveConflict(CommitResult commit, boolean rotating, WriteBatch batch) {
        if (commit.failedKeys().contains(LeaderElection.LEADER_KEY)) {
            election.loseLeadership("the key was rewritten");
        } else if (guards.handleGuardConflict(commit.failedKeys())) {
            restorePending(batch, rotating);
        } else {
            // Most likely a cancellation was committed first: reload the state and continue from there.
            LOG.info("commit conflict: keys={}", commit.failedKeys());
            loader.reload();
        }
    }

    /** Marks the jobs and the token rotation of the batch as still to be written. */
    private void restorePending(WriteBatch batch, boolean rotating) {
        batch.discard();
        rotationRequested |= rotating;
        batch.writes().forEach(w -> clusterState.markDirty(w.job));
    }
}
