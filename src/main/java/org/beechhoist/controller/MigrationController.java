package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.beechhoist.config.Policy;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.controller.state.PrefixReader;
import org.beechhoist.controller.worker.CommandDispatcher;
import org.beechhoist.controller.worker.TaskEviction;
import org.beechhoist.drain.Account;
import org.beechhoist.drain.Budgets;
import org.beechhoist.drain.Cause;
import org.beechhoist.drain.DisruptionBudget;
import org.beechhoist.packing.DefragmentationSearch;
import org.beechhoist.packing.GpuSizeDistribution;
import org.beechhoist.plan.Plan;
import org.beechhoist.store.Placement;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.CommitResult;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes room for a large task by moving smaller ones, where GPUs enough are free in pieces. A move is written before the first
 * stop, {@code mv/HOST}: for whom, which tasks, where each has its place. From there on a leader, whichever it is, goes by what
 * the records say of those tasks: on the old machine they are stopped with time to save, gone they begin in their place, there
 * they are done. The place is kept for each, and the room for whom it was made.
 */
final class MigrationController {
    static final String PREFIX = "mv/";
    private static final String RECENT_KEY = "mv-recent";
    private static final Logger LOG = LoggerFactory.getLogger(MigrationController.class);
    private static final long SEARCH_INTERVAL_MS = 2000;
    private static final long MAX_MIGRATION_MS = 150_000;
    /** A task is not moved again so soon. */
    private static final long MIN_MOVE_INTERVAL_MS = 300_000;

    private static final int MAX_JOB_MIGRATIONS = 4;
    private static final long READ_RETRY_DELAY_MS = 700;

    /** Tasks that leave a machine, each with a place kept: for a large one's sake, or because the machine is emptied. */
    private static final class Migration {
        private final MachineId source;
        /** Null where the machine is emptied. */
        private final JobId forJob;
        /** Whose machine it is, where it is emptied; else null. */
        private final String drain;

        private final long startedWallMs;
        private final Map<TaskId, MachineId> targets =
                new TreeMap<>((a, b) -> a.toString().compareTo(b.toString()));

        private Migration(MachineId machine, JobId forJob, String drain, long sinceMs) {
            this.source = machine;
            this.forJob = forJob;
            this.drain = drain;
            this.startedWallMs = sinceMs;
        }

        private ObjectNode toNode() {
            ObjectNode node = Codec.map()
                    .put("for", forJob == null ? null : forJob.text())
                    .put("drain", drain)
                    .put("at", startedWallMs);
            ArrayNode rows = node.putArray("moves");
            targets.forEach((t, h) -> rows.add(t.toString()).add(h.text()));
            return node;
        }

        private static Migration parse(String key, JsonNode node) {
            Migration making = new Migration(
                    new MachineId(key.substring(PREFIX.length())),
                    node.hasNonNull("for") ? new JobId(node.path("for").asText()) : null,
                    node.hasNonNull("drain") ? node.path("drain").asText() : null,
                    node.path("at").asLong());
            for (int i = 0; i + 1 < node.path("moves").size(); i += 2) {
                TaskId task = TaskId.parse(node.get("moves").get(i).asText());
                if (task != null) {
                    making.targets.put(
                            task, new MachineId(node.get("moves").get(i + 1).asText()));
                }
            }
            return making;
        }

        private String reason() {
            return drain != null ? "drain " + drain : "room for " + forJob;
        }
    }

    private final ControllerContext context;
    private final Policy policy;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final MachineTypeCatalog machineTypes;
    private final ClusterState clusterState;
    private final Admission admission;
    private final TaskEviction eviction;
    private final CommandDispatcher dispatcher;
    private final TaskPlacer dispatch;
    private final MigrationSearch search;
    private final PrefixReader prefixReader;
    private final DisruptionAccounting disruptions;
    private final Map<MachineId, Migration> migrations = new TreeMap<>();
    /** By the time of day when a task was last moved. */
    private final Map<TaskId, Long> movedAtWallMs = new HashMap<>();

    private final Map<Double, Double> sizeDemand = new HashMap<>();
    private boolean loaded;
    /** Whether what the last leader had in hand is being read, or was. */
    private boolean loadStarted;

    private boolean writeInFlight;
    private long nextSearchAtMs;

    MigrationController(
            ControllerContext context,
            Policy policy,
            StoreClient store,
            LeaderElection election,
            TokenBucket requests,
            TokenBucket writes,
            MachineTypeCatalog machineTypes,
            ClusterState clusterState,
            Admission admission,
            TaskEviction eviction,
            CommandDispatcher dispatcher,
            TaskPlacer dispatch,
            DisruptionAccounting disruptions,
            Supplier<Budgets> budgets) {
        this.context = context;
        this.policy = policy;
        this.store = store;
        this.election = election;
        this.requests = requests;
        this.writes = writes;
        this.machineTypes = machineTypes;
        this.clusterState = clusterState;
        this.admission = admission;
        this.eviction = eviction;
        this.dispatcher = dispatcher;
        this.dispatch = dispatch;
        this.disruptions = disruptions;
        this.prefixReader = new PrefixReader(context, store, requests, clusterState);
        this.search = new MigrationSearch(
                context,
                machineTypes,
                clusterState,
                admission,
                (j, p) -> !policy.drains() || isAllowedByBudgets(budgets.get(), j, p));
    }

    /** Whether the budgets that somebody declared for its team and class allow that it is moved. */
    private boolean isAllowedByBudgets(Budgets budgets, Job job, Placement placement) {
        JobSpec spec = job.spec();
        if (!budgets.isDeclared(spec.team(), spec.jobClass())) {
            return true;
        }
        Account account = disruptions.copies().getOrDefault(spec.team(), new Account());
        Account.DisruptionRequest ask = new Account.DisruptionRequest(
                placement.task,
                spec.jobClass(),
                spec.isService(),
                spec.isService() ? spec.tasks() : 0,
                DisruptionAccounting.lostCpuS(spec, placement, context.now()));
        DisruptionBudget own = budgets.ofClass(spec.team(), spec.jobClass());
        return disruptions.known()
                && account.refusalReason(budgets.ofTeam(spec.team()), ask, context.wallMs()) == null
                && (own == null || account.refusalReason(own, ask, context.wallMs()) == null);
    }

    /** A new leadership begins: what the last one had in hand is read before anything is moved. */
    void startTerm() {
        migrations.clear();
        movedAtWallMs.clear();
        sizeDemand.clear();
        loaded = false;
        loadStarted = false;
        writeInFlight = false;
        nextSearchAtMs = 0;
        if (isEnabled()) {
            loadMigrations();
        }
    }

    private boolean isEnabled() {
        return policy.moves() && hasGpuTypes() || policy.drains();
    }

    private boolean hasGpuTypes() {
        return machineTypes.isLoaded() && machineTypes.all().stream().anyMatch(t -> t.gpus() > 0);
    }

    private void loadMigrations() {
        long term = clusterState.term();
        loadStarted = true;
        prefixReader.read(
                PREFIX,
                item -> {
                    Migration move = Migration.parse(item.key(), item.value());
                    migrations.put(move.source, move);
                    LOG.info("{}, {}: it is gone on with, {} moves", move.source, move.reason(), move.targets.size());
                },
                () -> loadRecentMoves(term));
    }

    private void loadRecentMoves(long term) {
        if (term != clusterState.term()) {
            return;
        }
        requests.takeOrOverdraw(context.now(), 1);
        store.get(RECENT_KEY, recent -> {
            if (term != clusterState.term()) {
                return;
            }
            if (!recent.answered()) {
                context.schedule(READ_RETRY_DELAY_MS, () -> loadRecentMoves(term));
                return;
            }
            if (recent.item() != null) {
                recent.item().value().properties().forEach(entry -> {
                    TaskId task = TaskId.parse(entry.getKey());
                    if (task != null) {
                        movedAtWallMs.put(task, entry.getValue().asLong());
                    }
                });
            }
            loaded = true;
            clusterState.requestReplan();
        });
    }

    // ---- what the plan must know ----

    /** How often which size is asked for, by tasks that are open; what asked before fades. */
    GpuSizeDistribution requestedSizes() {
        if (!policy.packing() || !hasGpuTypes()) {
            return GpuSizeDistribution.NONE;
        }
        Map<Double, Double> now = new HashMap<>();
        for (Job job : clusterState.jobs()) {
            if (job.spec().gpus() > 0 && !job.isCancelled()) {
                now.merge(
                        job.spec().gpus(),
                        (double) Math.min(64, job.spec().tasks() - job.record.done.size()),
                        Double::sum);
            }
        }
        sizeDemand.replaceAll((g, n) -> n * 0.999);
        now.forEach((g, n) -> sizeDemand.merge(g, n, Math::max));
        return new GpuSizeDistribution(sizeDemand);
    }

    /** For how many tasks of the job room is being made: they come first, and hold what comes free for them. */
    int pendingMigrationCount(Job job) {
        int count = 0;
        for (Migration m : migrations.values()) {
            count += job.id().equals(m.forJob) && !isUsedByJob(m) ? 1 : 0;
        }
        return count;
    }

    /** Tasks of the job that wait for the place that is kept for them: no other is planned. */
    int migratingTaskCount(Job job) {
        int count = 0;
        for (Migration move : migrations.values()) {
            for (TaskId t : move.targets.keySet()) {
                count += t.job().equals(job.id()) && awaitsPlacement(t) ? 1 : 0;
            }
        }
        return count;
    }

    /** Places that are kept on the machine for tasks on their way to it. */
    List<JobSpec> reservedOn(MachineId machine) {
        if (migrations.isEmpty()) {
            return List.of();
        }
        List<JobSpec> out = new ArrayList<>();
        for (Migration move : migrations.values()) {
            move.targets.forEach((task, to) -> {
                Job job = clusterState.job(task.job());
                if (to.equals(machine) && job != null && !job.record.live.containsKey(task.index())
                        || to.equals(machine) && isOnSource(move, task)) {
                    out.add(job.spec());
                }
            });
        }
        return out;
    }

    /** Whether the room on the machine is kept for another job than this one. */
    boolean isReservedForAnotherJob(MachineId machine, JobId job) {
        Migration m = migrations.get(machine);
        return m != null && !job.equals(m.forJob);
    }

    private boolean isOnSource(Migration making, TaskId task) {
        Job job = clusterState.job(task.job());
        Placement p = job == null ? null : job.record.live.get(task.index());
        return p != null && p.machine.equals(making.source);
    }

    private boolean awaitsPlacement(TaskId task) {
        Job job = clusterState.job(task.job());
        return job != null
                && !job.isCancelled()
                && job.keySetHold == null
                && !job.record.live.containsKey(task.index())
                && !job.record.done.contains(task.index());
    }

    /** Whether the one that room was made for is there. */
    private boolean isUsedByJob(Migration making) {
        Job j = making.forJob == null ? null : clusterState.job(making.forJob);
        return j != null && j.record.live.values().stream().anyMatch(p -> p.machine.equals(making.source));
    }

    // ---- going on ----

    /** Before a plan is carried out: what is gone from the old machine begins in its place. */
    void startMovedTasks() {
        for (Migration move : migrations.values()) {
            for (Map.Entry<TaskId, MachineId> entry : move.targets.entrySet()) {
                Machine to = clusterState.findMachine(entry.getValue());
                if (awaitsPlacement(entry.getKey()) && to != null) {
                    Job job = clusterState.job(entry.getKey().job());
                    if (dispatch.place(job, entry.getKey().index(), to)) {
                        movedAtWallMs.put(entry.getKey(), context.wallMs());
                        LOG.info("{} goes on on {}, moved from {}", entry.getKey(), to.id, move.source);
                    }
                }
            }
        }
    }

    void updateMigrations(Plan plan) {
        if (!isEnabled() || !loaded) {
            if (isEnabled() && !loadStarted) {
                loadMigrations(); // machine types came to be known only now
            }
            return;
        }
        movedAtWallMs.values().removeIf(at -> context.wallMs() - at > MIN_MOVE_INTERVAL_MS);
        for (Migration m : List.copyOf(migrations.values())) {
            advance(m);
        }
        long rooms = migrations.values().stream().filter(m -> m.forJob != null).count();
        if (plan != null
                && policy.moves()
                && hasGpuTypes()
                && context.now().ms() >= nextSearchAtMs
                && !writeInFlight
                && rooms < MAX_JOB_MIGRATIONS) {
            nextSearchAtMs = context.now().ms() + SEARCH_INTERVAL_MS;
            startBestMigration(plan);
        }
    }

    private void advance(Migration making) {
        Job large = making.forJob == null ? null : clusterState.job(making.forJob);
        Machine from = clusterState.findMachine(making.source);
        boolean senseless = making.drain != null
                ? from == null
                        || !making.drain.equals(from.cordonedBy)
                        || context.wallMs() - making.startedWallMs > MAX_MIGRATION_MS
                : large == null
                        || large.isCancelled()
                        || large.keySetHold != null
                        || context.wallMs() - making.startedWallMs > MAX_MIGRATION_MS
                        || large.record.waitingCount() == 0 && !isUsedByJob(making);
        boolean over = true;
        for (Map.Entry<TaskId, MachineId> entry : List.copyOf(making.targets.entrySet())) {
            Job job = clusterState.job(entry.getKey().job());
            Placement placement =
                    job == null ? null : job.record.live.get(entry.getKey().index());
            if (placement != null && placement.machine.equals(making.source)) {
                if (senseless && !placement.stopRequested) {
                    making.targets.remove(entry.getKey()); // it stays where it is
                } else if (!placement.stopRequested && placement.launchSent && mayStop(job)) {
                    LOG.info(
                            "{} is moved from {} to {}: {}",
                            entry.getKey(),
                            making.source,
                            entry.getValue(),
                            making.reason());
                    eviction.evict(placement, making.drain != null ? Cause.DRAIN : Cause.MOVE);
                    dispatcher.dispatch(clusterState.machine(making.source));
                    over = false;
                } else {
                    over = false;
                }
            } else if (awaitsPlacement(entry.getKey())) {
                Machine to = clusterState.findMachine(entry.getValue());
                if (to == null || !admission.isUsable(to)) {
                    making.targets.remove(entry.getKey()); // its place is lost: it is planned like any other
                } else {
                    over = false;
                }
            }
        }
        boolean taken = isUsedByJob(making);
        if (over && (taken || senseless || making.drain != null)) {
            finish(
                    making,
                    making.drain != null ? "all have left" : taken ? "it is taken" : "it is not needed any more");
        }
    }

    private void finish(Migration move, String why) {
        if (writeInFlight) {
            return;
        }
        LOG.info("{}, {}: {}", move.source, move.reason(), why);
        ObjectNode recent = Codec.map();
        movedAtWallMs.forEach((t, at) -> recent.put(t.toString(), at));
        write(election.guardedTransaction().delete(PREFIX + move.source.text()).put(RECENT_KEY, recent), commit -> {
            if (commit.outcome() == CommitResult.Outcome.COMMITTED) {
                migrations.remove(move.source, move);
                clusterState.requestReplan();
            }
        });
    }

    private void write(Transaction transaction, Consumer<CommitResult> then) {
        long term = clusterState.term();
        writeInFlight = true;
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), transaction.operationCount());
        store.commit(transaction, commit -> {
            if (term == clusterState.term()) {
                writeInFlight = false;
                then.accept(commit);
            }
        });
    }

    // ---- looking ----

    private void startBestMigration(Plan plan) {
        MigrationSearch.Proposal wish = search.findMigration(
                plan,
                new MigrationSearch.ActiveMigrations(
                        migratingTasks(),
                        migrations.keySet(),
                        movedAtWallMs.keySet(),
                        this::pendingMigrationCount,
                        this::zoneOfMigrations),
                requestedSizes());
        if (wish != null) {
            startMigration(wish.large(), wish.moves());
        }
    }

    private Set<TaskId> migratingTasks() {
        Set<TaskId> out = new HashSet<>();
        migrations.values().forEach(m -> out.addAll(m.targets.keySet()));
        return out;
    }

    /** Where room is being made for the job, or null. */
    private String zoneOfMigrations(Job job) {
        return migrations.values().stream()
                .filter(m -> m.forJob.equals(job.id()) && clusterState.findMachine(m.source) != null)
                .map(m -> clusterState.findMachine(m.source).zone)
                .findFirst()
                .orElse(null);
    }

    /** Of a service one replica leaves at a time: the next once that one runs in its place. */
    private static boolean mayStop(Job job) {
        return !job.spec().isService() || MigrationSearch.allReplicasRunning(job);
    }

    private void startMigration(Job large, DefragmentationSearch.Result found) {
        Migration move = new Migration(found.machine(), large.id(), null, context.wallMs());
        found.moves().forEach(o -> move.targets.put(o.task(), o.to()));
        Transaction transaction = election.guardedTransaction().put(PREFIX + move.source.text(), move.toNode());
        Map<String, Account> charged = chargeTeams(move);
        charged.forEach((team, a) -> disruptions.into(transaction, team, a));
        // Nothing is stopped before it is written.
        write(transaction, commit -> {
            if (commit.outcome() == CommitResult.Outcome.COMMITTED) {
                charged.forEach(disruptions::adopt);
                migrations.put(move.source, move);
                LOG.info(
                        "room on {} for {}: {} tasks are moved, {} GPU s",
                        move.source,
                        move.forJob,
                        move.targets.size(),
                        Math.round(found.costGpuS()));
                clusterState.requestReplan();
            }
        });
    }

    /** What moving costs their teams, where accounts are kept. */
    private Map<String, Account> chargeTeams(Migration making) {
        Map<String, Account> out = new TreeMap<>();
        if (!policy.drains()) {
            return out;
        }
        Map<String, Account> all = disruptions.copies();
        for (TaskId task : making.targets.keySet()) {
            Job job = clusterState.job(task.job());
            Placement placement = job == null ? null : job.record.live.get(task.index());
            if (placement != null) {
                Account account = all.computeIfAbsent(job.spec().team(), k -> new Account());
                account.charge(
                        task,
                        new Account.Away(
                                placement.attempt,
                                job.spec().jobClass(),
                                Cause.MOVE,
                                DisruptionAccounting.lostCpuS(job.spec(), placement, context.now()),
                                context.wallMs()));
                out.put(job.spec().team(), account);
            }
        }
        return out;
    }

    // ---- machines that are emptied ----

    /** Whether tasks of the machine are on their way, or about to be. */
    boolean isMigrating(MachineId machine) {
        return migrations.containsKey(machine);
    }

    /** Whether what earlier leaders had in hand is known. */
    boolean isLoaded() {
        return loaded;
    }

    /** Tasks leave a machine that is emptied, each for a place that is kept: written with the rest of the transaction. */
    void addDrainMigration(Transaction transaction, MachineId machine, String drain, Map<TaskId, MachineId> to) {
        Migration making = new Migration(machine, null, drain, context.wallMs());
        making.targets.putAll(to);
        transaction.put(PREFIX + machine.text(), making.toNode());
    }

    /** That transaction is made. */
    void applyDrainMigration(MachineId machine, String drain, Map<TaskId, MachineId> to) {
        Migration move = new Migration(machine, null, drain, context.wallMs());
        move.targets.putAll(to);
        migrations.put(machine, move);
        clusterState.requestReplan();
    }
}
