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
 * Fires the lines of cron tables, on the leader. A transaction makes the jobs of some occurrences and moves their lines'
 * cursors, guarded by the cursors, the table and the leader's key: whatever is lost, late or repeated, an occurrence's job
 * is made once. It enters as a user's submission does.
 */
final class CronController {
    private static final Logger LOG = LoggerFactory.getLogger(CronController.class);
    /** Writes left to launches and users while many lines are due. */
    private static final double RESERVED_WRITES = 8;
    /** A line that is due for so long is logged, again and again. */
    private static final long OVERDUE_LOG_INTERVAL_MS = 60_000;

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
    private final IdempotencyKeys onceKeys;
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
            IdempotencyKeys onceKeys) {
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
        this.onceKeys = onceKeys;
    }

    void startTerm() {
        registry.startTerm();
    }

    void endTerm() {
        registry.endTerm();
    }

    // ---- firing ----

    void fireDueSchedules() {
        if (!registry.isLoaded() || !loader.isActive()) {
            return;
        }
        Instant now = registry.wallTime();
        Set<TablePart> touched = new LinkedHashSet<>();
        registry.updateDueSchedules(now).forEach(l -> touched.add(l.part));
        for (TablePart shard : touched) {
            if (!shard.commitInFlight) {
                fireDueInPart(shard, now);
            }
        }
        logOverdueSchedules();
    }

    /** One occurrence that a transaction decides. {@code same}: another's submission is its work already. */
    private record Firing(
            ScheduleState scheduleState, CatchUpDecision catchup, JobSpec job, JobId existingJobId, String skipReason) {
        JobId jobId() {
            return existingJobId != null ? existingJobId : job == null ? null : job.id();
        }
    }

    private void fireDueInPart(TablePart shard, Instant now) {
        double budget = writes.available(context.now()) - RESERVED_WRITES;
        int most = (int) Math.min(settings.stateLimits().txnOps(), Math.floor(budget));
        Transaction transaction = election.guardedTransaction()
                .guard(ScheduleKeys.TABLES_PREFIX + shard.table, registry.tableVersion(shard.table))
                .guard(shard.cursorKey, shard.cursorVersion);
        List<Firing> firings = new ArrayList<>();
        Set<String> keys = new LinkedHashSet<>();
        int bytes = 0;
        for (ScheduleState line : registry.dueSchedules()) {
            if (line.part != shard) {
                continue;
            }
            if (most < 3
                    || transaction.operationCount() + 3 > most
                    || bytes + ESTIMATED_JOB_RECORD_BYTES > MAX_TRANSACTION_BYTES) {
                line.holdReason = "the state service's writes are used up";
                writes.recordMissed(3);
                continue;
            }
            Firing firing = decideOccurrence(line, now);
            if (firing == null
                    || (firing.job != null
                            && firing.job.idempotencyKey() != null
                            && !keys.add(IdempotencyKeys.recordKey(firing.job)))) {
                continue;
            }
            if (firing.job != null) {
                onceKeys.addSubmission(transaction, firing.job, line.idempotencyKeyVersion, context.wallMs());
                bytes += ESTIMATED_JOB_RECORD_BYTES;
            }
            firings.add(firing);
        }
        if (!firings.isEmpty()) {
            commitFirings(shard, transaction, firings);
        }
    }

    /** What becomes of a line's first occurrence; null where it has to wait, which {@code held} explains. */
    private Firing decideOccurrence(ScheduleState line, Instant now) {
        CatchUpDecision catchup = CatchUpDecision.decide(
                line.schedule, registry.calendarOf(line), line.nextOccurrence, registry.firstLoadedAt(), now);
        if (catchup.run() == null) {
            return new Firing(line, catchup, null, null, "missed");
        }
        if (line.existingJobId != null) {
            return new Firing(line, catchup, null, line.existingJobId, null);
        }
        Job last = line.lastJobId == null ? null : clusterState.job(line.lastJobId);
        if (last != null && !last.isCancelled()) {
            switch (line.schedule.overlap()) {
                case SKIP -> {
                    return new Firing(line, catchup, null, null, "skipped: " + line.lastJobId + " is not over");
                }
                case QUEUE -> {
                    line.holdReason = "it waits for " + line.lastJobId;
                    return null;
                }
                default -> {
                    line.holdReason = "it replaces " + line.lastJobId;
                    if (!line.cancellingPrevious) {
                        line.cancellingPrevious = true;
                        users.cancelReplaced(line.lastJobId, gone -> line.cancellingPrevious = false);
                    }
                    return null;
                }
            }
        }
        try {
            JobSpec job = line.schedule.job(catchup.run());
            String never = users.refusal(job);
            if (SubmissionRules.isTemporaryRefusal(never)) {
                line.holdReason = never;
                return null;
            }
            return never == null
                    ? new Firing(line, catchup, users.bindToKeySet(job), null, null)
                    : new Firing(line, catchup, null, null, "refused: " + never);
        } catch (MalformedMessageException m) {
            return new Firing(line, catchup, null, null, "refused: " + m.getMessage());
        }
    }

    private void commitFirings(TablePart shard, Transaction transaction, List<Firing> firings) {
        Map<String, Firing> byId = new HashMap<>();
        firings.forEach(f -> byId.put(f.scheduleState.schedule.id(), f));
        ObjectNode value = Codec.map();
        shard.schedules.forEach((id, line) -> {
            Firing firing = byId.get(id);
            boolean runs = firing != null && firing.jobId() != null;
            ArrayNode row = Codec.list()
                    .add(firing == null ? line.cursorS : firing.catchup.cursor().getEpochSecond());
            JobId jobId = runs ? firing.jobId() : line.lastJobId;
            row.add(jobId == null ? "" : jobId.text()).add(runs ? context.wallMs() / 1000 : line.lastFiredS);
            value.set(
                    id,
                    row.add(line.skippedCount + (firing == null ? 0 : firing.catchup.skippedCount() + (runs ? 0 : 1))));
        });
        transaction.put(shard.cursorKey, value);
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), transaction.operationCount());
        shard.commitInFlight = true;
        long expectedEpoch = registry.epoch();
        store.commit(transaction, commit -> {
            if (expectedEpoch != registry.epoch()) {
                return;
            }
            shard.commitInFlight = false;
            handleCommitResult(commit, shard, firings, value);
        });
    }

    private void handleCommitResult(CommitResult commit, TablePart shard, List<Firing> firings, ObjectNode value) {
        switch (commit.outcome()) {
            case COMMITTED -> {
                shard.cursorVersion = commit.revision();
                for (Firing f : firings) {
                    recordCommitted(f, value.get(f.scheduleState.schedule.id()));
                }
            }
            case CONFLICT -> {
                if (commit.failedKeys().contains(LeaderElection.LEADER_KEY)) {
                    election.loseLeadership("the key was rewritten");
                } else if (resolveExistingJobs(commit, firings)) {
                    fireDueSchedules(); // the others need not wait
                } else {
                    // Our own, late, or another table by now: read what is true and go on from there.
                    LOG.info("cron: a transaction was overtaken on {}", commit.failedKeys());
                    registry.reload();
                }
            }
            case LEASE_EXPIRED -> election.loseLeadership("the lease ended");
            // Repeated, it meets its own change of the cursors if it was applied after all.
            default -> firings.forEach(f -> f.scheduleState.holdReason = "the state service does not answer");
        }
    }

    private void recordCommitted(Firing firing, JsonNode row) {
        ScheduleState line = firing.scheduleState;
        long delay = context.wallMs() - line.nextOccurrence.toEpochMilli();
        String where = line.schedule.table() + ", line " + line.schedule.line() + ", "
                + line.nextOccurrence.atZone(line.schedule.zone()).toOffsetDateTime();
        if (firing.existingJobId != null) {
            line.lastJobId = firing.existingJobId;
            LOG.info("{}: {} is the same work", where, firing.existingJobId);
        } else if (firing.job != null) {
            firedCount++;
            longestDelayMs = Math.max(longestDelayMs, firing.catchup.skippedCount() > 0 ? 0 : delay);
            line.lastJobId = firing.job.id();
            line.lastFiredS = row.path(2).asLong();
            LOG.info(
                    "{}: {} enters, {} ms after its time{}",
                    where,
                    firing.job.id(),
                    delay,
                    firing.catchup.skippedCount() > 0
                            ? ", for " + (firing.catchup.skippedCount() + 1) + " that were missed"
                            : "");
        } else {
            skippedCount++;
            LOG.warn("{}: {}", where, firing.skipReason);
        }
        line.cursorS = row.path(0).asLong();
        line.skippedCount = row.path(3).asInt();
        registry.dueSchedules().remove(line);
        registry.scheduleNext(line);
    }

    /** A key or a ref that is taken: the work is there already, and the line goes on after it. */
    private boolean resolveExistingJobs(CommitResult commit, List<Firing> firings) {
        boolean found = false;
        for (Firing firing : firings) {
            if (firing.job == null) {
                continue;
            }
            boolean same = commit.failedKeys().contains(JobRecord.openKey(firing.job.id()))
                    || commit.failedKeys().contains(JobRecord.endedKey(firing.job.id()));
            boolean key = firing.job.idempotencyKey() != null
                    && commit.failedKeys().contains(IdempotencyKeys.recordKey(firing.job));
            if (same || key) {
                found = true;
                findExistingJob(firing, same ? firing.job.id() : null);
            }
        }
        return found;
    }

    /** Learns whose work it is; the line's next transaction then moves it on, or takes over a key that has run out. */
    private void findExistingJob(Firing firing, JobId known) {
        ScheduleState line = firing.scheduleState;
        if (known != null) {
            line.existingJobId = known;
            return;
        }
        registry.dueSchedules().remove(line); // until that is known
        long expectedEpoch = registry.epoch();
        requests.takeOrOverdraw(context.now(), 1);
        store.get(IdempotencyKeys.recordKey(firing.job), read -> {
            if (expectedEpoch != registry.epoch()) {
                return;
            }
            registry.dueSchedules().add(line);
            if (read.answered()) {
                line.existingJobId = read.item() == null
                        ? null
                        : IdempotencyKeys.unexpiredJobId(read.item().value(), context.wallMs());
                line.idempotencyKeyVersion =
                        read.item() == null ? Revision.ABSENT : read.item().version();
            }
            fireDueSchedules();
        });
    }

    private void logOverdueSchedules() {
        for (ScheduleState line : registry.dueSchedules()) {
            if (context.now().since(line.dueSince) > OVERDUE_LOG_INTERVAL_MS
                    && !context.now().isBefore(line.nextLogAt)) {
                line.nextLogAt = context.now().plusMs(OVERDUE_LOG_INTERVAL_MS);
                LOG.warn(
                        "{}, line {}: due for {} s: {}",
                        line.schedule.table(),
                        line.schedule.line(),
                        context.now().since(line.dueSince) / 1000,
                        line.holdReason == null ? "its transaction is on its way" : line.holdReason);
            }
        }
    }

    // ---- what can be seen of it ----

    /** Why a line that is due has not run, or null. */
    String holdReason(String table, String id) {
        for (ScheduleState line : registry.dueSchedules()) {
            if (line.schedule.table().equals(table) && line.schedule.id().equals(id)) {
                return line.holdReason;
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
