package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.ScheduleRegistry.ScheduleState;
import org.beechhoist.controller.ScheduleRegistry.TablePart;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.StateLoader;
import org.beechhoist.cron.CatchUpDecision;
import org.beechhoist.cron.ScheduleKeys;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.CommitResult;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.Revision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Submits the jobs of due cron schedules on the leader. One transaction creates the jobs of several occurrences and advances
 * the cursors of their schedules, guarded by the versions of the cursors, the table and the leader key. Each occurrence
 * therefore submits its job exactly once, even if messages are lost, delayed or repeated. Jobs pass the same checks as jobs
 * that users submit.
 */
final class CronController {
    private static final Logger LOG = LoggerFactory.getLogger(CronController.class);
    /** Writes of the node's rate limit that are reserved for launches and users while many schedules are due. */
    private static final double RESERVED_WRITES = 8;
    /** A schedule that stays due is logged once per this interval. */
    private static final long OVERDUE_LOG_INTERVAL_MS = 60_000;

    private static final int MAX_OPERATIONS_PER_FIRING = 3;
    private static final int MAX_TRANSACTION_BYTES = 45_000;
    private static final int ESTIMATED_JOB_RECORD_BYTES = 1500;

    private final ControllerContext context;
    private final Settings settings;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final ClusterState clusterState;
    private final StateLoader loader;
    private final UserApi users;
    private final IdempotencyKeys idempotencyKeys;
    private final ScheduleRegistry registry;
    private long firedCount;
    private long skippedCount;
    private long longestDelayMs;

    CronController(
            ControllerContext context,
            Settings settings,
            StoreClient store,
            LeaderElection election,
            TokenBucket requests,
            TokenBucket writes,
            ClusterState clusterState,
            StateLoader loader,
            UserApi users,
            IdempotencyKeys idempotencyKeys) {
        this.context = context;
        this.settings = settings;
        this.store = store;
        this.registry = new ScheduleRegistry(context, store, requests);
        this.election = election;
        this.requests = requests;
        this.writes = writes;
        this.clusterState = clusterState;
        this.loader = loader;
        this.users = users;
        this.idempotencyKeys = idempotencyKeys;
    }

    void startTerm() {
        registry.startTerm();
    }

    void endTerm() {
        registry.endTerm();
    }

    // ---- due schedules ----

    void fireDueSchedules() {
        if (!registry.isLoaded() || !loader.isActive()) {
            return;
        }
        Instant now = registry.wallTime();
        Set<TablePart> dueParts = new LinkedHashSet<>();
        registry.updateDueSchedules(now).forEach(state -> dueParts.add(state.part));
        for (TablePart part : dueParts) {
            if (!part.commitInFlight) {
                fireDueInPart(part, now);
            }
        }
        logOverdueSchedules();
    }

    /**
     * An occurrence that a transaction processes: it submits {@code job}, is linked to {@code existingJobId} that an earlier
     * submission created, or is skipped for {@code skipReason}.
     */
    private record Firing(
            ScheduleState scheduleState,
            CatchUpDecision decision,
            JobSpec job,
            JobId existingJobId,
            String skipReason) {
        JobId jobId() {
            return existingJobId != null ? existingJobId : job == null ? null : job.id();
        }
    }

    private void fireDueInPart(TablePart part, Instant now) {
        double budget = writes.available(context.now()) - RESERVED_WRITES;
        int maxOperations = (int) Math.min(settings.stateLimits().txnOps(), Math.floor(budget));
        Transaction transaction = election.guardedTransaction()
                .guard(ScheduleKeys.TABLES_PREFIX + part.table, registry.tableVersion(part.table))
                .guard(part.cursorKey, part.cursorVersion);
        List<Firing> firings = new ArrayList<>();
        Set<String> keysInTransaction = new LinkedHashSet<>();
        int bytes = 0;
        for (ScheduleState state : registry.dueSchedules()) {
            if (state.part != part) {
                continue;
            }
            if (maxOperations < MAX_OPERATIONS_PER_FIRING
                    || transaction.operationCount() + MAX_OPERATIONS_PER_FIRING > maxOperations
                    || bytes + ESTIMATED_JOB_RECORD_BYTES > MAX_TRANSACTION_BYTES) {
                state.holdReason = "the state service's writes are used up";
                writes.recordMissed(MAX_OPERATIONS_PER_FIRING);
                continue;
            }
            Firing firing = decideOccurrence(state, now);
            if (firing == null
                    || (firing.job != null
                            && firing.job.idempotencyKey() != null
                            && !keysInTransaction.add(IdempotencyKeys.recordKey(firing.job)))) {
                continue;
            }
            if (firing.job != null) {
                idempotencyKeys.addSubmission(transaction, firing.job, state.idempotencyKeyVersion, context.wallMs());
                bytes += ESTIMATED_JOB_RECORD_BYTES;
            }
            firings.add(firing);
        }
        if (!firings.isEmpty()) {
            commitFirings(part, transaction, firings);
        }
    }

    /** Decides how to process a schedule's next occurrence. Returns null if it has to wait; {@code holdReason} then gives the reason. */
    private Firing decideOccurrence(ScheduleState state, Instant now) {
        CatchUpDecision decision = CatchUpDecision.decide(
                state.schedule, registry.calendarOf(state), state.nextOccurrence, registry.firstLoadedAt(), now);
        if (decision.run() == null) {
            return new Firing(state, decision, null, null, "missed");
        }
        if (state.existingJobId != null) {
            return new Firing(state, decision, null, state.existingJobId, null);
        }
        Job last = state.lastJobId == null ? null : clusterState.job(state.lastJobId);
        if (last != null && !last.isCancelled()) {
            switch (state.schedule.overlap()) {
                case SKIP -> {
                    return new Firing(state, decision, null, null, "skipped: " + state.lastJobId + " is not over");
                }
                case QUEUE -> {
                    state.holdReason = "it waits for " + state.lastJobId;
                    return null;
                }
                default -> {
                    state.holdReason = "it replaces " + state.lastJobId;
                    if (!state.cancellingPrevious) {
                        state.cancellingPrevious = true;
                        users.cancelReplaced(state.lastJobId, gone -> state.cancellingPrevious = false);
                    }
                    return null;
                }
            }
        }
        try {
            JobSpec job = state.schedule.job(decision.run());
            String refusal = users.refusal(job);
            if (SubmissionRules.isTemporaryRefusal(refusal)) {
                state.holdReason = refusal;
                return null;
            }
            return refusal == null
                    ? new Firing(state, decision, users.bindToKeySet(job), null, null)
                    : new Firing(state, decision, null, null, "refused: " + refusal);
        } catch (MalformedMessageException m) {
            return new Firing(state, decision, null, null, "refused: " + m.getMessage());
        }
    }

    private void commitFirings(TablePart part, Transaction transaction, List<Firing> firings) {
        Map<String, Firing> byId = new HashMap<>();
        firings.forEach(f -> byId.put(f.scheduleState.schedule.id(), f));
        ObjectNode value = Codec.map();
        part.schedules.forEach((id, state) -> {
            Firing firing = byId.get(id);
            boolean runs = firing != null && firing.jobId() != null;
            ArrayNode row = Codec.list()
                    .add(
                            firing == null
                                    ? state.cursorS
                                    : firing.decision.cursor().getEpochSecond());
            JobId jobId = runs ? firing.jobId() : state.lastJobId;
            row.add(jobId == null ? "" : jobId.text()).add(runs ? context.wallMs() / 1000 : state.lastFiredS);
            value.set(
                    id,
                    row.add(state.skippedCount
                            + (firing == null ? 0 : firing.decision.skippedCount() + (runs ? 0 : 1))));
        });
        transaction.put(part.cursorKey, value);
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), transaction.operationCount());
        part.commitInFlight = true;
        long expectedEpoch = registry.epoch();
        store.commit(transaction, commit -> {
            if (expectedEpoch != registry.epoch()) {
                return;
            }
            part.commitInFlight = false;
            handleCommitResult(commit, part, firings, value);
        });
    }

    private void handleCommitResult(CommitResult commit, TablePart part, List<Firing> firings, ObjectNode value) {
        switch (commit.outcome()) {
            case COMMITTED -> {
                part.cursorVersion = commit.revision();
                for (Firing f : firings) {
                    recordCommitted(f, value.get(f.scheduleState.schedule.id()));
                }
            }
            case CONFLICT -> {
                if (commit.failedKeys().contains(LeaderElection.LEADER_KEY)) {
                    election.loseLeadership("the key was rewritten");
                } else if (resolveExistingJobs(commit, firings)) {
                    fireDueSchedules(); // the other firings of the transaction are tried again at once
                } else {
                    // An earlier commit of this node was applied late, or the table was replaced: reload both from the
                    // store.
                    LOG.info("cron transaction conflict, reloading schedules: keys={}", commit.failedKeys());
                    registry.reload();
                }
            }
            case LEASE_EXPIRED -> election.loseLeadership("the lease ended");
            // The outcome is unknown. If the transaction was applied, repeating it conflicts on the cursors that it
            // changed.
            default -> firings.forEach(f -> f.scheduleState.holdReason = "the state service does not answer");
        }
    }

    private void recordCommitted(Firing firing, JsonNode row) {
        ScheduleState state = firing.scheduleState;
        long delay = context.wallMs() - state.nextOccurrence.toEpochMilli();
        String occurrence = state.schedule.table() + ", line " + state.schedule.line() + ", "
                + state.nextOccurrence.atZone(state.schedule.zone()).toOffsetDateTime();
        if (firing.existingJobId != null) {
            state.lastJobId = firing.existingJobId;
            LOG.info("occurrence already submitted: occurrence=\"{}\" job={}", occurrence, firing.existingJobId);
        } else if (firing.job != null) {
            firedCount++;
            longestDelayMs = Math.max(longestDelayMs, firing.decision.skippedCount() > 0 ? 0 : delay);
            state.lastJobId = firing.job.id();
            state.lastFiredS = row.path(2).asLong();
            LOG.info(
                    "job submitted by cron: occurrence=\"{}\" job={} delay_ms={}{}",
                    occurrence,
                    firing.job.id(),
                    delay,
                    firing.decision.skippedCount() > 0 ? " missed=" + (firing.decision.skippedCount() + 1) : "");
        } else {
            skippedCount++;
            LOG.warn("occurrence skipped: occurrence=\"{}\" reason=\"{}\"", occurrence, firing.skipReason);
        }
        state.cursorS = row.path(0).asLong();
        state.skippedCount = row.path(3).asInt();
        registry.dueSchedules().remove(state);
        registry.scheduleNext(state);
    }

    /** Handles conflicts on the job ids or idempotency keys of firings: their jobs exist already. Returns whether there were any. */
    private boolean resolveExistingJobs(CommitResult commit, List<Firing> firings) {
        boolean found = false;
        for (Firing firing : firings) {
            if (firing.job == null) {
                continue;
            }
            boolean jobExists = commit.failedKeys().contains(JobRecord.openKey(firing.job.id()))
                    || commit.failedKeys().contains(JobRecord.endedKey(firing.job.id()));
            boolean keyTaken = firing.job.idempotencyKey() != null
                    && commit.failedKeys().contains(IdempotencyKeys.recordKey(firing.job));
            if (jobExists || keyTaken) {
                found = true;
                findExistingJob(firing, jobExists ? firing.job.id() : null);
            }
        }
        return found;
    }

    /** Finds the job that already exists for a firing. The schedule's next transaction links to it, or replaces an expired idempotency key. */
    private void findExistingJob(Firing firing, JobId knownJobId) {
        ScheduleState state = firing.scheduleState;
        if (knownJobId != null) {
            state.existingJobId = knownJobId;
            return;
        }
        registry.dueSchedules().remove(state); // added again when the key has been read
        long expectedEpoch = registry.epoch();
        requests.takeOrOverdraw(context.now(), 1);
        store.get(IdempotencyKeys.recordKey(firing.job), read -> {
            if (expectedEpoch != registry.epoch()) {
                return;
            }
            registry.dueSchedules().add(state);
            if (read.answered()) {
                state.existingJobId = read.item() == null
                        ? null
                        : IdempotencyKeys.unexpiredJobId(read.item().value(), context.wallMs());
                state.idempotencyKeyVersion =
                        read.item() == null ? Revision.ABSENT : read.item().version();
            }
            fireDueSchedules();
        });
    }

    private void logOverdueSchedules() {
        for (ScheduleState state : registry.dueSchedules()) {
            if (context.now().since(state.dueSince) > OVERDUE_LOG_INTERVAL_MS
                    && !context.now().isBefore(state.nextLogAt)) {
                state.nextLogAt = context.now().plusMs(OVERDUE_LOG_INTERVAL_MS);
                LOG.warn(
                        "cron schedule overdue: table={} line={} due_s={} reason=\"{}\"",
                        state.schedule.table(),
                        state.schedule.line(),
                        context.now().since(state.dueSince) / 1000,
                        state.holdReason == null ? "its transaction is in progress" : state.holdReason);
            }
        }
    }

    // ---- status ----

    /** Returns why a due schedule has not run yet, or null. */
    String holdReason(String table, String id) {
        for (ScheduleState state : registry.dueSchedules()) {
            if (state.schedule.table().equals(table) && state.schedule.id().equals(id)) {
                return state.holdReason;
            }
        }
        return null;
    }

    ObjectNode counts() {
        return Codec.map()
                .put("lines", registry.scheduleCount())
                .put("due", registry.dueSchedules().size())
                .put("fired", firedCount)
                .put("passedOver", skippedCount)
                .put("longestDelayMs", longestDelayMs);
    }
}
