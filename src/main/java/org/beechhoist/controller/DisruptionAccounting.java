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
 * What of each team's work is disturbed, and why. What is done on purpose is charged in the commit that comes before it, so that the
 * next leader knows; what happens by itself is charged as it happens and written every 15 s. Nothing is kept, read or
 * written where drains are off.
 */
public final class DisruptionAccounting implements DisruptionRecorder {
    static final String PREFIX = "dr/acct/";
    private static final Logger LOG = LoggerFactory.getLogger(DisruptionAccounting.class);
    private static final long UPDATE_INTERVAL_MS = 1000;
    private static final long WRITE_INTERVAL_MS = 15_000;
    private static final double MIN_FREE_WRITE_SHARE = 0.5;
    private static final int MAX_BUDGET_ROWS = 60;
    private static final int MAX_ACCOUNTS_PER_COMMIT = 4;
    /** What was charged and not stopped for so long may never be: its leader fell in between, and its drain is over. */
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
    /** Whether tasks of the machine are about to move, each when its turn comes. */
    private Predicate<MachineId> migrationPending = h -> false;

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
            boolean on) {
        this.context = context;
        this.settings = settings;
        this.store = store;
        this.election = election;
        this.requests = requests;
        this.writes = writes;
        this.clusterState = clusterState;
        this.enabled = on;
        this.prefixReader = new PrefixReader(context, store, requests, clusterState);
    }

    /** A new leadership begins: what the last one charged is read before anything is disturbed on purpose. */
    void startTerm() {
        accounts.clear();
        unwrittenTeams.clear();
        loaded = false;
        nextWrite = context.now().plusMs(WRITE_INTERVAL_MS);
        if (enabled) {
            prefixReader.read(
                    PREFIX,
                    i -> accounts.put(i.key().substring(PREFIX.length()), Account.parse(i.value())),
                    () -> loaded = true);
        }
    }

    /** Who knows which machines' tasks are about to move. */
    void setMigrationPending(Predicate<MachineId> who) {
        migrationPending = who;
    }

    /** Whether what earlier leaders charged is known. */
    boolean isLoaded() {
        return loaded;
    }

    // ---- charging ----

    /** CPU seconds that stopping it now throws away. */
    static double lostCpuS(JobSpec spec, Placement placement, MonotonicTime now) {
        if (spec.isService() || placement.runningSince == null) {
            return 0;
        }
        double ran = Math.max(0, now.since(placement.runningSince) / 1000.0);
        return spec.cpus() * (spec.checkpointEveryS() > 0 ? ran % spec.checkpointEveryS() : ran);
    }

    /** A task had to leave; what was done on purpose was charged before. */
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

    /** What a decision may charge on, and hand back with {@link #putAccount} and {@link #applyCommitted} once it is committed. */
    Map<String, Account> copyAccounts() {
        Map<String, Account> out = new TreeMap<>();
        accounts.forEach((team, a) -> out.put(team, a.copy()));
        return out;
    }

    /** Whether the account is of the size that a value may have; it is made smaller first where that helps. */
    boolean fitsRecord(Account account) {
        if (Codec.jsonBytes(account.toNode()) > settings.stateLimits().valueBytes()) {
            account.mergeSlots();
        }
        return Codec.jsonBytes(account.toNode()) <= settings.stateLimits().valueBytes();
    }

    void putAccount(Transaction transaction, String team, Account account) {
        transaction.put(PREFIX + team, account.toNode());
    }

    /** The commit that charged it is made. */
    void applyCommitted(String team, Account account) {
        accounts.put(team, account);
        unwrittenTeams.remove(team);
    }

    /** Whether this very attempt was charged to be stopped on purpose, by whichever leader. */
    boolean isCharged(String team, Placement placement) {
        Account account = accounts.get(team);
        Account.Away away = account == null ? null : account.away().get(placement.task);
        return away != null && away.attempt() == placement.attempt;
    }

    // ---- what is over ----

    void updateAccounts() {
        if (!enabled || !loaded || context.now().isBefore(nextUpdate)) {
            return;
        }
        nextUpdate = context.now().plusMs(UPDATE_INTERVAL_MS);
        accounts.forEach((team, account) -> {
            account.foldExpiredSlots(context.wallMs());
            account.away().forEach((t, away) -> settleAbsence(team, account, t, away));
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
            LOG.info("{} was to leave {} and never had to: its charge is given back", task, placement.machine);
            account.refund(task);
            unwrittenTeams.add(team);
        }
    }

    /**
     * Nobody stops it any more: its machine is not emptied, or it is a replica that lost the place it was to move to. And a report since
     * this leadership began shows it there: an earlier leader's stop can't come any more.
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

    /** What each team's budget is, and how much of it is used. */
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
                                    .filter(w -> budget.jobClass() == null
                                            || budget.jobClass().equals(w.jobClass()))
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
