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
 * Migrates tasks off a machine, either to free capacity for a large task where enough GPUs are free but fragmented over several
 * machines, or to drain the machine. A migration is stored under {@code mv/HOST} before the first task is stopped: the job or
 * drain that it is for, the tasks, and the target machine of each. From then on any leader continues it from the task records: a
 * task still on the source machine is stopped with time to save a checkpoint, a stopped task is started on its target, and a task
 * that runs on its target is done. Each target's capacity is reserved for its task, and the freed capacity for the large job.
 */
final class MigrationController {
    static final String PREFIX = "mv/";
    private static final String RECENT_KEY = "mv-recent";
    private static final Logger LOG = LoggerFactory.getLogger(MigrationController.class);
    private static final long SEARCH_INTERVAL_MS = 2000;
    private static final long MAX_MIGRATION_MS = 150_000;
    /** The time for which a moved task is not moved again. */
    private static final long MIN_MOVE_INTERVAL_MS = 300_000;

    /** Migrations at a time that free capacity for a job. */
    private static final int MAX_JOB_MIGRATIONS = 4;
    /** Open tasks of one job that count towards the demand for their size. */
    private static final int MAX_COUNTED_TASKS_PER_JOB = 64;
    /** The factor by which earlier demand for a size decays on each call. */
    private static final double DEMAND_DECAY = 0.999;

    private static final long READ_RETRY_DELAY_MS = 700;

    /** The tasks that are moved off one machine, with the target reserved for each: for a large job or for a drain. */
    private static final class Migration {
        private final MachineId source;
        /** The job that capacity is freed for; null for a drain. */
        private final JobId forJob;
        /** The name of the drain; null where capacity is freed for a job. */
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
            Migration migration = new Migration(
                    new MachineId(key.substring(PREFIX.length())),
                    node.hasNonNull("for") ? new JobId(node.path("for").asText()) : null,
                    node.hasNonNull("drain") ? node.path("drain").asText() : null,
                    node.path("at").asLong());
            for (int i = 0; i + 1 < node.path("moves").size(); i += 2) {
                TaskId task = TaskId.parse(node.get("moves").get(i).asText());
                if (task != null) {
                    migration.targets.put(
                            task, new MachineId(node.get("moves").get(i + 1).asText()));
                }
            }
            return migration;
        }

        private String reason() {
            return drain != null ? "drain " + drain : "capacity for " + forJob;
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
    private final TaskPlacer taskPlacer;
    private final MigrationSearch search;
    private final PrefixReader prefixReader;
    private final DisruptionAccounting disruptions;
    private final Map<MachineId, Migration> migrations = new TreeMap<>();
    /** The wall-clock time at which each task was last moved. */
    private final Map<TaskId, Long> movedAtWallMs = new HashMap<>();

    private final Map<Double, Double> sizeDemand = new HashMap<>();
    private boolean loaded;
    /** Whether loading the previous leader's migrations has been started in this term. */
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
            TaskPlacer taskPlacer,
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
        this.taskPlacer = taskPlacer;
        this.disruptions = disruptions;
        this.prefixReader = new PrefixReader(context, store, requests, clusterState);
        this.search = new MigrationSearch(
                context,
                machineTypes,
                clusterState,
                admission,
                (j, p) -> !policy.drains() || isAllowedByBudgets(budgets.get(), j, p));
    }

    /** Returns whether the disruption budgets declared for the task's team and class allow moving it. */
    private boolean isAllowedByBudgets(Budgets budgets, Job job, Placement placement) {
        JobSpec spec = job.spec();
        if (!budgets.isDeclared(spec.team(), spec.jobClass())) {
            return true;
        }
        Account account = disruptions.copyAccounts().getOrDefault(spec.team(), new Account());
        Account.DisruptionRequest request = new Account.DisruptionRequest(
                placement.task,
                spec.jobClass(),
                spec.isService(),
                spec.isService() ? spec.tasks() : 0,
                DisruptionAccounting.lostCpuS(spec, placement, context.now()));
        DisruptionBudget own = budgets.forClass(spec.team(), spec.jobClass());
        return disruptions.isLoaded()
                && account.refusalReason(budgets.forTeam(spec.team()), request, context.wallMs()) == null
                && (own == null || account.refusalReason(own, request, context.wallMs()) == null);
    }

    /** Starts a new term: the previous leader's migrations are loaded before any task is moved. */
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
                    Migration migration = Migration.parse(item.key(), item.value());
                    migrations.put(migration.source, migration);
                    LOG.info(
                            "migration resumed: machine={} reason=\"{}\" tasks={}",
                            migration.source,
                            migration.reason(),
                            migration.targets.size());
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

    // ---- planning ----

    /** Returns how often each task size in GPUs is requested by open tasks; earlier demand decays by 0.1 % per call. */
    GpuSizeDistribution requestedSizes() {
        if (!policy.packing() || !hasGpuTypes()) {
            return GpuSizeDistribution.NONE;
        }
        Map<Double, Double> now = new HashMap<>();
        for (Job job : clusterState.jobs()) {
            if (job.spec().gpus() > 0 && !job.isCancelled()) {
                now.merge(
                        job.spec().gpus(),
                        (double) Math.min(MAX_COUNTED_TASKS_PER_JOB, job.spec().tasks() - job.record.done.size()),
                        Double::sum);
            }
        }
        sizeDemand.replaceAll((g, n) -> n * DEMAND_DECAY);
        now.forEach((g, n) -> sizeDemand.merge(g, n, Math::max));
        return new GpuSizeDistribution(sizeDemand);
    }

    /** Returns the number of tasks of the job that capacity is being freed for; they are planned first, and it is reserved for them. */
    int pendingMigrationCount(Job job) {
        int count = 0;
        for (Migration migration : migrations.values()) {
            count += job.id().equals(migration.forJob) && !isUsedByJob(migration) ? 1 : 0;
        }
        return count;
    }

    /** Returns the number of tasks of the job that wait to start on a target reserved for them; none of them is planned elsewhere. */
    int migratingTaskCount(Job job) {
        int count = 0;
        for (Migration migration : migrations.values()) {
            for (TaskId t : migration.targets.keySet()) {
                count += t.job().equals(job.id()) && awaitsPlacement(t) ? 1 : 0;
            }
        }
        return count;
    }

    /** Returns the specs of the tasks that are migrating to the machine, one for each reservation. */
    List<JobSpec> reservedOn(MachineId machine) {
        if (migrations.isEmpty()) {
            return List.of();
        }
        List<JobSpec> out = new ArrayList<>();
        for (Migration migration : migrations.values()) {
            migration.targets.forEach((task, to) -> {
                Job job = clusterState.job(task.job());
                if (to.equals(machine) && job != null && !job.record.live.containsKey(task.index())
                        || to.equals(machine) && isOnSource(migration, task)) {
                    out.add(job.spec());
                }
            });
        }
        return out;
    }

    /** Returns whether the machine's freed capacity is reserved for another job. */
    boolean isReservedForAnotherJob(MachineId machine, JobId job) {
        Migration migration = migrations.get(machine);
        return migration != null && !job.equals(migration.forJob);
    }

    private boolean isOnSource(Migration migration, TaskId task) {
        Job job = clusterState.job(task.job());
        Placement p = job == null ? null : job.record.live.get(task.index());
        return p != null && p.machine.equals(migration.source);
    }

    private boolean awaitsPlacement(TaskId task) {
        Job job = clusterState.job(task.job());
        return job != null
                && !job.isCancelled()
                && job.keySetHold == null
                && !job.record.live.containsKey(task.index())
                && !job.record.done.contains(task.index());
    }

    /** Returns whether a task of the job that capacity was freed for is on the source machine. */
    private boolean isUsedByJob(Migration migration) {
        Job j = migration.forJob == null ? null : clusterState.job(migration.forJob);
        return j != null && j.record.live.values().stream().anyMatch(p -> p.machine.equals(migration.source));
    }

    // ---- progress ----

    /** Starts tasks that have left the source machine on their targets; runs before a plan is carried out. */
    void startMovedTasks() {
        for (Migration migration : migrations.values()) {
            for (Map.Entry<TaskId, MachineId> entry : migration.targets.entrySet()) {
                Machine to = clusterState.findMachine(entry.getValue());
                if (awaitsPlacement(entry.getKey()) && to != null) {
                    Job job = clusterState.job(entry.getKey().job());
                    if (taskPlacer.place(job, entry.getKey().index(), to)) {
                        movedAtWallMs.put(entry.getKey(), context.wallMs());
                        LOG.info(
                                "migrated task started: task={} machine={} from={}",
                                entry.getKey(),
                                to.id,
                                migration.source);
                    }
                }
            }
        }
    }

    /** Advances all migrations, and starts another where one is worthwhile; the plan may be null. */
    void updateMigrations(Plan plan) {
        if (!isEnabled() || !loaded) {
            if (isEnabled() && !loadStarted) {
                loadMigrations(); // the machine types were not loaded when the term began
            }
            return;
        }
        movedAtWallMs.values().removeIf(at -> context.wallMs() - at > MIN_MOVE_INTERVAL_MS);
        for (Migration migration : List.copyOf(migrations.values())) {
            advance(migration);
        }
        long jobMigrations = migrations.values().stream()
                .filter(migration -> migration.forJob != null)
                .count();
        if (plan != null
                && policy.moves()
                && hasGpuTypes()
                && context.now().ms() >= nextSearchAtMs
                && !writeInFlight
                && jobMigrations < MAX_JOB_MIGRATIONS) {
            nextSearchAtMs = context.now().ms() + SEARCH_INTERVAL_MS;
            startBestMigration(plan);
        }
    }

    private void advance(Migration migration) {
        Job large = migration.forJob == null ? null : clusterState.job(migration.forJob);
        Machine from = clusterState.findMachine(migration.source);
        boolean obsolete = migration.drain != null
                ? from == null
                        || !migration.drain.equals(from.cordonedBy)
                        || context.wallMs() - migration.startedWallMs > MAX_MIGRATION_MS
                : large == null
                        || large.isCancelled()
                        || large.keySetHold != null
                        || context.wallMs() - migration.startedWallMs > MAX_MIGRATION_MS
                        || large.record.waitingCount() == 0 && !isUsedByJob(migration);
        boolean finished = true;
        for (Map.Entry<TaskId, MachineId> entry : List.copyOf(migration.targets.entrySet())) {
            Job job = clusterState.job(entry.getKey().job());
            Placement placement =
                    job == null ? null : job.record.live.get(entry.getKey().index());
            if (placement != null && placement.machine.equals(migration.source)) {
                if (obsolete && !placement.stopRequested) {
                    migration.targets.remove(entry.getKey()); // the task stays on the source machine
                } else if (!placement.stopRequested && placement.launchSent && mayStop(job)) {
                    LOG.info(
                            "task migration started: task={} from={} to={} reason=\"{}\"",
                            entry.getKey(),
                            migration.source,
                            entry.getValue(),
                            migration.reason());
                    eviction.evict(placement, migration.drain != null ? Cause.DRAIN : Cause.MOVE);
                    dispatcher.dispatch(clusterState.machine(migration.source));
                    finished = false;
                } else {
                    finished = false;
                }
            } else if (awaitsPlacement(entry.getKey())) {
                Machine to = clusterState.findMachine(entry.getValue());
                if (to == null || !admission.isUsable(to)) {
                    migration.targets.remove(entry.getKey()); // the target is lost: the task is planned like any other
                } else {
                    finished = false;
                }
            }
        }
        boolean usedByJob = isUsedByJob(migration);
        if (finished && (usedByJob || obsolete || migration.drain != null)) {
            finish(
                    migration,
                    migration.drain != null
                            ? "all tasks have left"
                            : usedByJob ? "capacity is used" : "no longer needed");
        }
    }

    private void finish(Migration migration, String why) {
        if (writeInFlight) {
            return;
        }
        LOG.info("migration ended: machine={} reason=\"{}\" outcome=\"{}\"", migration.source, migration.reason(), why);
        ObjectNode recent = Codec.map();
        movedAtWallMs.forEach((t, at) -> recent.put(t.toString(), at));
        write(
                election.guardedTransaction()
                        .delete(PREFIX + migration.source.text())
                        .put(RECENT_KEY, recent),
                commit -> {
                    if (commit.outcome() == CommitResult.Outcome.COMMITTED) {
                        migrations.remove(migration.source, migration);
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

    // ---- search ----

    private void startBestMigration(Plan plan) {
        MigrationSearch.Proposal proposal = search.findMigration(
                plan,
                new MigrationSearch.ActiveMigrations(
                        migratingTasks(),
                        migrations.keySet(),
                        movedAtWallMs.keySet(),
                        this::pendingMigrationCount,
                        this::zoneOfMigrations),
                requestedSizes());
        if (proposal != null) {
            startMigration(proposal.large(), proposal.moves());
        }
    }

    private Set<TaskId> migratingTasks() {
        Set<TaskId> out = new HashSet<>();
        migrations.values().forEach(migration -> out.addAll(migration.targets.keySet()));
        return out;
    }

    /** Returns the zone in which capacity is being freed for the job, or null. */
    private String zoneOfMigrations(Job job) {
        return migrations.values().stream()
                .filter(migration ->
                        migration.forJob.equals(job.id()) && clusterState.findMachine(migration.source) != null)
                .map(migration -> clusterState.findMachine(migration.source).zone)
                .findFirst()
                .orElse(null);
    }

    /** Returns whether a task of the job may be stopped: of a service only while all replicas run, so one at a time. */
    private static boolean mayStop(Job job) {
        return !job.spec().isService() || MigrationSearch.allReplicasRunning(job);
    }

    private void startMigration(Job large, DefragmentationSearch.Result found) {
        Migration migration = new Migration(found.machine(), large.id(), null, context.wallMs());
        found.moves().forEach(o -> migration.targets.put(o.task(), o.to()));
        Transaction transaction =
                election.guardedTransaction().put(PREFIX + migration.source.text(), migration.toNode());
        Map<String, Account> charged = chargeTeams(migration);
        charged.forEach((team, a) -> disruptions.putAccount(transaction, team, a));
        // The migration is stored before any task is stopped.
        write(transaction, commit -> {
            if (commit.outcome() == CommitResult.Outcome.COMMITTED) {
                charged.forEach(disruptions::applyCommitted);
                migrations.put(migration.source, migration);
                LOG.info(
                        "migration started: machine={} job={} tasks={} costGpuS={}",
                        migration.source,
                        migration.forJob,
                        migration.targets.size(),
                        Math.round(found.costGpuS()));
                clusterState.requestReplan();
            }
        });
    }

    /** Returns the teams' disruption accounts with the moves charged; empty where no accounts are kept. */
    private Map<String, Account> chargeTeams(Migration migration) {
        Map<String, Account> out = new TreeMap<>();
        if (!policy.drains()) {
            return out;
        }
        Map<String, Account> all = disruptions.copyAccounts();
        for (TaskId task : migration.targets.keySet()) {
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

    // ---- drains ----

    /** Returns whether a migration off the machine is in progress. */
    boolean isMigrating(MachineId machine) {
        return migrations.containsKey(machine);
    }

    /** Returns whether the migrations of earlier leaders have been loaded. */
    boolean isLoaded() {
        return loaded;
    }

    /** Adds the migration of tasks off a drained machine to the transaction; each target is reserved for its task. */
    void addDrainMigration(Transaction transaction, MachineId machine, String drain, Map<TaskId, MachineId> to) {
        Migration migration = new Migration(machine, null, drain, context.wallMs());
        migration.targets.putAll(to);
        transaction.put(PREFIX + machine.text(), migration.toNode());
    }

    /** Registers a migration whose transaction has been committed. */
    void applyDrainMigration(MachineId machine, String drain, Map<TaskId, MachineId> to) {
        Migration migration = new Migration(machine, null, drain, context.wallMs());
        migration.targets.putAll(to);
        migrations.put(machine, migration);
        clusterState.requestReplan();
    }
}
