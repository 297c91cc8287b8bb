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
import org.beechhoist.controller.ScheduleRegistry.Line;
import org.beechhoist.controller.ScheduleRegistry.Shard;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.StateLoader;
import org.beechhoist.cron.Catchup;
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
    private static final double KEPT_WRITES = 8;
    /** A line that is due for so long is logged, again and again. */
    private static final long LATE_MS = 60_000;

    private static final int MAX_BYTES = 45_000;
    private static final int RECORD_BYTES = 1500;

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
    private final ScheduleRegistry lines;
    private long fired;
    private long refused;
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
        this.lines = new ScheduleRegistry(context, store, requests);
        this.election = election;
        this.requests = requests;
        this.writes = writes;
        this.clusterState = clusterState;
        this.loader = loader;
        this.users = users;
        this.onceKeys = onceKeys;
    }

    void begin() {
        lines.begin();
    }

    void end() {
        lines.end();
    }

    // ---- firing ----

    void tick() {
        if (!lines.loaded() || !loader.isActive()) {
            return;
        }
        Instant now = lines.wall();
        Set<Shard> touched = new LinkedHashSet<>();
        lines.dueAt(now).forEach(l -> touched.add(l.shard));
        for (Shard shard : touched) {
            if (!shard.inFlight) {
                fire(shard, now);
            }
        }
        logLate();
    }

    /** One occurrence that a transaction decides. {@code same}: another's submission is its work already. */
    private record Firing(Line line, Catchup catchup, JobSpec job, JobId same, String outcome) {
        JobId ref() {
            return same != null ? same : job == null ? null : job.id();
        }
    }

    private void fire(Shard shard, Instant now) {
        double budget = writes.available(context.now()) - KEPT_WRITES;
        int most = (int) Math.min(settings.stateLimits().txnOps(), Math.floor(budget));
        Transaction transaction = election.guardedTransaction()
                .guard(ScheduleKeys.TABLES + shard.table, lines.version(shard.table))
                .guard(shard.key, shard.version);
        List<Firing> firings = new ArrayList<>();
        Set<String> keys = new LinkedHashSet<>();
        int bytes = 0;
        for (Line line : lines.due()) {
            if (line.shard != shard) {
                continue;
            }
            if (most < 3 || transaction.operationCount() + 3 > most || bytes + RECORD_BYTES > MAX_BYTES) {
                line.held = "the state service's writes are used up";
                writes.recordMissed(3);
                continue;
            }
            Firing firing = decide(line, now);
            if (firing == null
                    || (firing.job != null
                            && firing.job.idempotencyKey() != null
                            && !keys.add(IdempotencyKeys.place(firing.job)))) {
                continue;
            }
            if (firing.job != null) {
                onceKeys.enter(transaction, firing.job, line.keyVersion, context.wallMs());
                bytes += RECORD_BYTES;
            }
            firings.add(firing);
        }
        if (!firings.isEmpty()) {
            commit(shard, transaction, firings);
        }
    }

    /** What becomes of a line's first occurrence; null where it has to wait, which {@code held} explains. */
    private Firing decide(Line line, Instant now) {
        Catchup catchup = Catchup.next(line.entry, lines.calendar(line), line.next, lines.servedSince(), now);
        if (catchup.run() == null) {
            return new Firing(line, catchup, null, null, "missed");
        }
        if (line.taken != null) {
            return new Firing(line, catchup, null, line.taken, null);
        }
        Job last = line.last == null ? null : clusterState.job(line.last);
        if (last != null && !last.isCancelled()) {
            switch (line.entry.overlap()) {
                case SKIP -> {
                    return new Firing(line, catchup, null, null, "skipped: " + line.last + " is not over");
                }
                case QUEUE -> {
                    line.held = "it waits for " + line.last;
                    return null;
                }
                default -> {
                    line.held = "it replaces " + line.last;
                    if (!line.replacing) {
                        line.replacing = true;
                        users.cancelReplaced(line.last, gone -> line.replacing = false);
                    }
                    return null;
                }
            }
        }
        try {
            JobSpec job = line.entry.job(catchup.run());
            String never = users.refusal(job);
            if (SubmissionRules.isTemporaryRefusal(never)) {
                line.held = never;
                return null;
            }
            return never == null
                    ? new Firing(line, catchup, users.bound(job), null, null)
                    : new Firing(line, catchup, null, null, "refused: " + never);
        } catch (MalformedMessageException m) {
            return new Firing(line, catchup, null, null, "refused: " + m.getMessage());
        }
    }

    private void commit(Shard shard, Transaction transaction, List<Firing> firings) {
        Map<String, Firing> byId = new HashMap<>();
        firings.forEach(f -> byId.put(f.line.entry.id(), f));
        ObjectNode value = Codec.map();
        shard.lines.forEach((id, line) -> {
            Firing firing = byId.get(id);
            boolean runs = firing != null && firing.ref() != null;
            ArrayNode row = Codec.list()
                    .add(firing == null ? line.cursorS : firing.catchup.cursor().getEpochSecond());
            JobId jobId = runs ? firing.ref() : line.last;
            row.add(jobId == null ? "" : jobId.text()).add(runs ? context.wallMs() / 1000 : line.firedS);
            value.set(id, row.add(line.dropped + (firing == null ? 0 : firing.catchup.dropped() + (runs ? 0 : 1))));
        });
        transaction.put(shard.key, value);
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), transaction.operationCount());
        shard.inFlight = true;
        long expectedEpoch = lines.epoch();
        store.commit(transaction, commit -> {
            if (expectedEpoch != lines.epoch()) {
                return;
            }
            shard.inFlight = false;
            committed(commit, shard, firings, value);
        });
    }

    private void committed(CommitResult commit, Shard shard, List<Firing> firings, ObjectNode value) {
        switch (commit.outcome()) {
            case COMMITTED -> {
                shard.version = commit.revision();
                for (Firing f : firings) {
                    moved(f, value.get(f.line.entry.id()));
                }
            }
            case CONFLICT -> {
                if (commit.failedKeys().contains(LeaderElection.LEADER_KEY)) {
                    election.loseLeadership("the key was rewritten");
                } else if (sameWork(commit, firings)) {
                    tick(); // the others need not wait
                } else {
                    // Our own, late, or another table by now: read what is true and go on from there.
                    LOG.info("cron: a transaction was overtaken on {}", commit.failedKeys());
                    lines.reload();
                }
            }
            case LEASE_EXPIRED -> election.loseLeadership("the lease ended");
            // Repeated, it meets its own change of the cursors if it was applied after all.
            default -> firings.forEach(f -> f.line.held = "the state service does not answer");
        }
    }

    private void moved(Firing firing, JsonNode row) {
        Line line = firing.line;
        long delay = context.wallMs() - line.next.toEpochMilli();
        String where = line.entry.table() + ", line " + line.entry.line() + ", "
                + line.next.atZone(line.entry.zone()).toOffsetDateTime();
        if (firing.same != null) {
            line.last = firing.same;
            LOG.info("{}: {} is the same work", where, firing.same);
        } else if (firing.job != null) {
            fired++;
            longestDelayMs = Math.max(longestDelayMs, firing.catchup.dropped() > 0 ? 0 : delay);
            line.last = firing.job.id();
            line.firedS = row.path(2).asLong();
            LOG.info(
                    "{}: {} enters, {} ms after its time{}",
                    where,
                    firing.job.id(),
                    delay,
                    firing.catchup.dropped() > 0
                            ? ", for " + (firing.catchup.dropped() + 1) + " that were missed"
                            : "");
        } else {
            refused++;
            LOG.warn("{}: {}", where, firing.outcome);
        }
        line.cursorS = row.path(0).asLong();
        line.dropped = row.path(3).asInt();
        lines.due().remove(line);
        lines.schedule(line);
    }

    /** A key or a ref that is taken: the work is there already, and the line goes on after it. */
    private boolean sameWork(CommitResult commit, List<Firing> firings) {
        boolean found = false;
        for (Firing firing : firings) {
            if (firing.job == null) {
                continue;
            }
            boolean same = commit.failedKeys().contains(JobRecord.openKey(firing.job.id()))
                    || commit.failedKeys().contains(JobRecord.endedKey(firing.job.id()));
            boolean key = firing.job.idempotencyKey() != null
                    && commit.failedKeys().contains(IdempotencyKeys.place(firing.job));
            if (same || key) {
                found = true;
                settle(firing, same ? firing.job.id() : null);
            }
        }
        return found;
    }

    /** Learns whose work it is; the line's next transaction then moves it on, or takes over a key that has run out. */
    private void settle(Firing firing, JobId known) {
        Line line = firing.line;
        if (known != null) {
            line.taken = known;
            return;
        }
        lines.due().remove(line); // until that is known
        long expectedEpoch = lines.epoch();
        requests.takeOrOverdraw(context.now(), 1);
        store.get(IdempotencyKeys.place(firing.job), read -> {
            if (expectedEpoch != lines.epoch()) {
                return;
            }
            lines.due().add(line);
            if (read.answered()) {
                line.taken = read.item() == null
                        ? null
                        : IdempotencyKeys.owner(read.item().value(), context.wallMs());
                line.keyVersion =
                        read.item() == null ? Revision.ABSENT : read.item().version();
            }
            tick();
        });
    }

    private void logLate() {
        for (Line line : lines.due()) {
            if (context.now().since(line.dueSince) > LATE_MS && !context.now().isBefore(line.nextLog)) {
                line.nextLog = context.now().plusMs(LATE_MS);
                LOG.warn(
                        "{}, line {}: due for {} s: {}",
                        line.entry.table(),
                        line.entry.line(),
                        context.now().since(line.dueSince) / 1000,
                        line.held == null ? "its transaction is on its way" : line.held);
            }
        }
    }

    // ---- what can be seen of it ----

    /** Why a line that is due has not run, or null. */
    String held(String table, String id) {
        for (Line line : lines.due()) {
            if (line.entry.table().equals(table) && line.entry.id().equals(id)) {
                return line.held;
            }
        }
        return null;
    }

    ObjectNode counts() {
        return Codec.map()
                .put("lines", lines.size())
                .put("due", lines.due().size())
                .put("fired", fired)
                .put("passedOver", refused)
                .put("longestDelayMs", longestDelayMs);
    }
}
