package org.beechhoist.controller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.PrefixReader;
import org.beechhoist.controller.worker.DisruptionRecorder;
import org.beechhoist.drain.Account;
import org.beechhoist.drain.Budgets;
import org.beechhoist.drain.Cause;
import org.beechhoist.drain.DisruptionBudget;
import org.beechhoist.store.Placement;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.CommitResult;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accounts for the disruptions of each team's work and their causes. Disruptions on purpose are charged in the commit that precedes them,
 * so that the next leader finds them; other disruptions are charged when they happen and written every 15 s. If drains are disabled,
 * nothing is recorded, read or written.
 */
public final class DisruptionAccounting implements DisruptionRecorder {
    static final String PREFIX = "dr/acct/";
    private static final Logger LOG = LoggerFactory.getLogger(DisruptionAccounting.class);
    private static final long UPDATE_INTERVAL_MS = 1000;
    private static final long WRITE_INTERVAL_MS = 15_000;
    private static final double MIN_FREE_WRITE_SHARE = 0.5;
    private static final int MAX_BUDGET_ROWS = 60;
    private static final int MAX_ACCOUNTS_PER_COMMIT = 4;
    /**
     * Time after which a task that was charged and not stopped may never be stopped: its leader ended in between, and its drain is over.
     */
    private static final long UNSTOPPED_CHARGE_TIMEOUT_MS = 30_000;

    private final ControllerContext context;
    private final Settings settings;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final ClusterState clusterState;
    private final PrefixReader prefixReader;
    private final boolean enabled;
    /** Returns true for a machine whose tasks are about to migrate. */
    private Predicate<MachineId> migrationPending = machine -> false;

    private final Map<String, Account> accounts = new TreeMap<>();
    private final Set<String> unwrittenTeams = new HashSet<>();
    private boolean loaded;
    private MonotonicTime nextUpdate = MonotonicTime.ZERO;
    private MonotonicTime nextWrite = MonotonicTime.ZERO;

    DisruptionAccounting(
            ControllerContext context,
            Settings settings,
            StoreClient store,
            LeaderElection election,
            TokenBucket requests,
            TokenBucket writes,
            ClusterState clusterState,
            boolean enabled) {
        this.context = context;
        this.settings = settings;
        this.store = store;
        this.election = election;
        this.requests = requests;
        this.writes = writes;
        this.clusterState = clusterState;
        this.enabled = enabled;
        this.prefixReader = new PrefixReader(context, store, requests, clusterState);
    }

    /** Starts a new term of leadership: reads the stored accounts; no task is disrupted on purpose before that is complete. */
    void startTerm() {
        accounts.clear();
        unwrittenTeams.clear();
        loaded = false;
        nextWrite = context.now().plusMs(WRITE_INTERVAL_MS);
        if (enabled) {
            prefixReader.read(
                    PREFIX,
                    item -> accounts.put(item.key().substring(PREFIX.length()), Account.parse(item.value())),
                    () -> loaded = true);
        }
    }

    /** Sets the check for machines whose tasks are about to migrate. */
    void setMigrationPending(Predicate<MachineId> isPending) {
        migrationPending = isPending;
    }

    /** Returns whether the charges of earlier leaders are loaded. */
    boolean isLoaded() {
        return loaded;
    }

    // ---- charges ----

    /** Returns the CPU seconds of work that stopping the task now would lose: those since its last checkpoint, or since its start. */
    static double lostCpuS(JobSpec spec, Placement placement, MonotonicTime now) {
        if (spec.isService() || placement.runningSince == null) {
            return 0;
        }
        double runS = Math.max(0, now.since(placement.runningSince) / 1000.0);
        return spec.cpus() * (spec.checkpointEveryS() > 0 ? runS % spec.checkpointEveryS() : runS);
    }

    /** Charges a disruption that was not on purpose; disruptions on purpose are charged before they happen. */
    @Override
    public void recordDisruption(Placement placement, Cause cause) {
        Job job = enabled && !cause.onPurpose() ? clusterState.job(placement.task.job()) : null;
        if (job == null || job.isCancelled() || !loaded) {
            return;
        }
        JobSpec spec = job.spec();
        accounts.computeIfAbsent(spec.team(), k -> new Account())
                .charge(
                        placement.task,
                        new Account.Away(
                                placement.attempt,
                                spec.jobClass(),
                                cause,
                                lostCpuS(spec, placement, context.now()),
                                context.wallMs()));
        unwrittenTeams.add(spec.team());
    }

    /**
     * Returns copies of all accounts on which a decision can be charged; the changed ones are committed with {@link #putAccount} and taken
     * over with {@link #applyCommitted}.
     */
    Map<String, Account> copyAccounts() {
        Map<String, Account> out = new TreeMap<>();
        accounts.forEach((team, a) -> out.put(team, a.copy()));
        return out;
    }

    /** Returns whether the account fits the size limit of a record; merges its slots first if it does not. */
    boolean fitsRecord(Account account) {
        if (Codec.jsonBytes(account.toNode()) > settings.stateLimits().valueBytes()) {
            account.mergeSlots();
        }
        return Codec.jsonBytes(account.toNode()) <= settings.stateLimits().valueBytes();
    }

    void putAccount(Transaction transaction, String team, Account account) {
        transaction.put(PREFIX + team, account.toNode());
    }

    /** Replaces the account of a team after the commit that charged it. */
    void applyCommitted(String team, Account account) {
        accounts.put(team, account);
        unwrittenTeams.remove(team);
    }

    /** Returns whether this attempt was charged as disrupted on purpose, by this leader or an earlier one. */
    boolean isCharged(String team, Placement placement) {
        Account account = accounts.get(team);
        Account.Away away = account == null ? null : account.away().get(placement.task);
        return away != null && away.attempt() == placement.attempt;
    }

    // ---- periodic updates ----

    void updateAccounts() {
        if (!enabled || !loaded || context.now().isBefore(nextUpdate)) {
            return;
        }
        nextUpdate = context.now().plusMs(UPDATE_INTERVAL_MS);
        accounts.forEach((team, account) -> {
            account.foldExpiredSlots(context.wallMs());
            account.away().forEach((task, away) -> settleAbsence(team, account, task, away));
        });
        if (!unwrittenTeams.isEmpty()
                && !context.now().isBefore(nextWrite)
                && writes.available(context.now()) >= MIN_FREE_WRITE_SHARE * writes.capacity()) {
            nextWrite = context.now().plusMs(WRITE_INTERVAL_MS);
            writeAccounts();
        }
    }

    private void settleAbsence(String team, Account account, TaskId task, Account.Away away) {
        Job job = clusterState.job(task.job());
        Placement placement = job == null ? null : job.record.live.get(task.index());
        boolean over = job == null && !clusterState.isUnreadable(task.job())
                || job != null && (job.isCancelled() || job.record.done.contains(task.index()));
        if (over || placement != null && placement.attempt > away.attempt() && placement.runningSince != null) {
            account.clearAway(task);
            unwrittenTeams.add(team);
        } else if (placement != null
                && placement.attempt == away.attempt()
                && !placement.stopRequested
                && context.wallMs() - away.atMs() > UNSTOPPED_CHARGE_TIMEOUT_MS
                && willNotBeStopped(job, placement)) {
            LOG.info("charge refunded, task was not stopped: task={} machine={}", task, placement.machine);
            account.refund(task);
            unwrittenTeams.add(team);
        }
    }

    /**
     * Returns whether a charged task will not be stopped: its machine is not drained any more, or it is a replica that lost its migration
     * target. A heartbeat since this term of leadership began must show the task there, after which no stop command of an earlier leader
     * can arrive.
     */
    private boolean willNotBeStopped(Job job, Placement placement) {
        Machine machine = clusterState.findMachine(placement.machine);
        return machine != null
                && (machine.cordonedBy == null || job.spec().isService())
                && !migrationPending.test(machine.id)
                && placement.reported
                && machine.lastHeartbeat != null
                && machine.lastHeartbeat.fencingToken().compareTo(election.firstFencingToken()) >= 0;
    }

    private void writeAccounts() {
        Transaction transaction = election.guardedTransaction();
        Set<String> teams = new HashSet<>();
        for (String team : unwrittenTeams) {
            if (teams.size() < MAX_ACCOUNTS_PER_COMMIT && fitsRecord(accounts.get(team))) {
                teams.add(team);
                putAccount(transaction, team, accounts.get(team));
            }
        }
        unwrittenTeams.removeAll(teams);
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), transaction.operationCount());
        long term = clusterState.term();
        store.commit(transaction, commit -> {
            if (term == clusterState.term() && commit.outcome() != CommitResult.Outcome.COMMITTED) {
                unwrittenTeams.addAll(teams);
            }
        });
    }

    /** Returns the budgets of all teams and how much of each is used. */
    ObjectNode view(Budgets budgets) {
        ObjectNode out = Codec.map();
        ArrayNode rows = out.putArray("budgets");
        Set<String> teams = new HashSet<>(settings.teams().keySet());
        teams.addAll(accounts.keySet());
        Map<String, DisruptionBudget> all = new HashMap<>();
        teams.forEach(t -> all.put(t, budgets.forTeam(t)));
        budgets.all().stream().filter(b -> b.jobClass() != null).forEach(b -> all.put(b.key(), b));
        new TreeMap<>(all).forEach((key, budget) -> {
            if (rows.size() == MAX_BUDGET_ROWS) {
                out.put("more", all.size() - MAX_BUDGET_ROWS);
                return;
            }
            String team = budget.jobClass() == null ? key : budget.team();
            Account account = accounts.getOrDefault(team, new Account());
            Account.Sum hour = account.lastHour(budget.jobClass(), context.wallMs());
            ObjectNode node = rows.addObject()
                    .put("team", team)
                    .put("class", budget.jobClass())
                    .put("of", budget.key())
                    .put("atOnce", budget.atOnce())
                    .put(
                            "away",
                            account.away().values().stream()
                                    .filter(absence -> budget.jobClass() == null
                                            || budget.jobClass().equals(absence.jobClass()))
                                    .count())
                    .put("lostCpuSPerHour", budget.lostCpuSPerHour())
                    .put("lostCpuSLastHour", Math.round(hour.cpuS()))
                    .put("tasksLastHour", hour.tasks())
                    .put("leastUp", budget.leastUp())
                    .put("againS", budget.againS());
            ObjectNode causes = node.putObject("sums");
            account.sums().forEach((row, sum) -> {
                if (budget.jobClass() == null || row.startsWith(budget.jobClass() + " ")) {
                    causes.putArray(row).add(sum.tasks()).add(Math.round(sum.cpuS()));
                }
            });
        });
        return out;
    }
}
