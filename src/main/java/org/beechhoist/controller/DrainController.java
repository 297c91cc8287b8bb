package org.beechhoist.controller;

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
import org.beechhoist.config.Settings;
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
import org.beechhoist.drain.Drain;
import org.beechhoist.drain.Evictions;
import org.beechhoist.drain.Progress;
import org.beechhoist.drain.Selector;
import org.beechhoist.elastic.TaskTermination;
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
 * Drains machines on the leader. Machines of a committed drain get no new work. Their tasks run to their end, migrate to reserved capacity
 * ({@link MigrationController}), or are evicted at the moment that loses least work, within the disruption budgets. Empty machines are
 * returned to the cloud, or kept. Budget charges, reservations and the progress are written in one commit before the first task is
 * stopped, so that another leader can continue in the middle of a drain. Rolling replacements: {@link RollingReplacement}. Does nothing
 * while no drain is stored.
 */
final class DrainController {
    static final String PROGRESS_PREFIX = "dr/run/";
    private static final Logger LOG = LoggerFactory.getLogger(DrainController.class);
    private static final long UPDATE_INTERVAL_MS = 1000;
    private static final long WRITE_INTERVAL_MS = 10_000;
    /** Machines whose tasks begin to migrate in one commit. */
    private static final int MAX_MIGRATED_MACHINES_PER_COMMIT = 5;

    private static final int MAX_EVICTIONS_PER_COMMIT = 40;
    private static final int MIN_OPERATION_COUNT = 3;
    /** The cloud's machine list can be older than twice its lag, because reading it takes time too. */
    private static final double LIST_LAG_FACTOR = 2.5;

    private final ControllerContext context;
    private final Settings settings;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final ClusterState clusterState;
    private final MachineTypeCatalog machineTypes;
    private final Admission admission;
    private final TaskEviction eviction;
    private final CommandDispatcher dispatcher;
    private final Provisioner provisioner;
    private final ElasticWidths elastic;
    private final MigrationController migrationController;
    private final DisruptionAccounting disruptions;
    private final RollingReplacement rollingReplacement;
    private final PrefixReader prefixReader;
    /** Null if drains are disabled. */
    private final DrainRegistry drains;

    private final Map<String, Progress> progressByDrain = new TreeMap<>();
    private final Map<String, Map<String, Integer>> blockReasonsByDrain = new HashMap<>();
    private final Map<String, Set<MachineId>> cordonedMachinesByDrain = new HashMap<>();
    private final Set<String> unwrittenDrains = new HashSet<>();
    private boolean loaded;
    private boolean commitInFlight;
    /** True if no drain is stored and no progress of an earlier one remains. */
    private boolean idle;

    private MonotonicTime nextUpdate = MonotonicTime.ZERO;
    private MonotonicTime nextWrite = MonotonicTime.ZERO;

    DrainController(
            ControllerContext context,
            Settings settings,
            StoreClient store,
            LeaderElection election,
            TokenBucket requests,
            TokenBucket writes,
            ClusterState clusterState,
            MachineTypeCatalog machineTypes,
            Admission admission,
            TaskEviction eviction,
            CommandDispatcher dispatcher,
            Provisioner provisioner,
            ElasticWidths elastic,
            MigrationController migrationController,
            DisruptionAccounting disruptions,
            RollingReplacement rollingReplacement,
            DrainRegistry drains) {
        this.context = context;
        this.settings = settings;
        this.store = store;
        this.election = election;
        this.requests = requests;
        this.writes = writes;
        this.clusterState = clusterState;
        this.machineTypes = machineTypes;
        this.admission = admission;
        this.eviction = eviction;
        this.dispatcher = dispatcher;
        this.provisioner = provisioner;
        this.elastic = elastic;
        this.migrationController = migrationController;
        this.disruptions = disruptions;
        this.rollingReplacement = rollingReplacement;
        this.drains = drains;
        this.prefixReader = new PrefixReader(context, store, requests, clusterState);
    }

    /** Starts a new term of leadership: reads the progress of all drains; no machine is drained before that is complete. */
    void startTerm() {
        progressByDrain.clear();
        blockReasonsByDrain.clear();
        cordonedMachinesByDrain.clear();
        unwrittenDrains.clear();
        loaded = false;
        commitInFlight = false;
        idle = false;
        nextUpdate = MonotonicTime.ZERO;
        rollingReplacement.startTerm();
        disruptions.startTerm();
        if (drains != null) {
            prefixReader.read(
                    PROGRESS_PREFIX,
                    item -> progressByDrain.put(
                            item.key().substring(PROGRESS_PREFIX.length()), Progress.parse(item.value())),
                    () -> loaded = true);
        }
    }

    // ---- machines ----

    Selector.MachineProperties machineProperties(Machine machine) {
        return new Selector.MachineProperties(
                machine.id,
                machine.type,
                machine.zone,
                machine.spot,
                machine.rentedAt == null ? 0 : context.wallMs() - context.now().since(machine.rentedAt));
    }

    /** Returns the machines that the drain selects and that are not being released. */
    private List<Machine> selectedMachines(Drain drain) {
        List<Machine> out = new ArrayList<>();
        for (Machine machine : clusterState.machines()) {
            if (machine.isTypeKnown()
                    && !machine.releasing
                    && drain.selector().matches(machineProperties(machine), drain.atMs())) {
                out.add(machine);
            }
        }
        return out;
    }

    /** Sets on each machine the name of the drain that empties it: the earliest one if several select it. */
    private void updateCordons() {
        Map<MachineId, String> drainByMachine = new HashMap<>();
        for (Drain drain : drains.drains()) {
            Progress progress = progressByDrain.get(drain.name());
            if (!drain.blocksNewWork(context.wallMs())) {
                continue;
            }
            for (Machine machine : selectedMachines(drain)) {
                if (!drain.replace() || progress != null && progress.draining.containsKey(machine.id)) {
                    drainByMachine.putIfAbsent(machine.id, drain.name());
                }
            }
        }
        boolean changed = false;
        for (Machine machine : clusterState.machines()) {
            String drainName = drainByMachine.get(machine.id);
            changed |= drainName == null ? machine.cordonedBy != null : !drainName.equals(machine.cordonedBy);
            machine.cordonedBy = drainName;
            machine.reservedForDrain = null; // set again by RollingReplacement.updateSpares for spare machines
        }
        if (changed) {
            clusterState.requestReplan();
        }
    }

    // ---- updates ----

    void updateDrains(Planner planner) {
        disruptions.updateAccounts();
        if (drains == null || !drains.isLoaded() || context.now().isBefore(nextUpdate)) {
            return;
        }
        nextUpdate = context.now().plusMs(UPDATE_INTERVAL_MS);
        boolean nothingStored = drains.drains().isEmpty() && progressByDrain.isEmpty();
        if (nothingStored && idle) {
            return;
        }
        idle = nothingStored;
        updateCordons();
        if (!loaded || !disruptions.isLoaded() || !migrationController.isLoaded()) {
            return;
        }
        List<Evictions.Candidate> candidates = new ArrayList<>();
        Map<TaskId, MachineId> targets = new HashMap<>();
        Set<MachineId> selectedIds = new HashSet<>();
        drains.drains().stream().filter(d -> d.blocksNewWork(context.wallMs())).forEach(d -> selectedMachines(d)
                .forEach(m -> selectedIds.add(m.id)));
        FreeCapacity freeCapacity = new FreeCapacity(
                clusterState,
                machineTypes,
                admission,
                m -> !selectedIds.contains(m.id)); // a task must not migrate twice for one replacement
        for (Drain drain : drains.drains()) {
            Progress progress = progressByDrain.computeIfAbsent(drain.name(), k -> new Progress());
            if (drain.blocksNewWork(context.wallMs())) {
                updateDrain(drain, progress, planner, freeCapacity, candidates, targets);
            }
        }
        for (String removedDrain : progressByDrain.keySet().stream()
                .filter(name -> drains.findDrain(name) == null)
                .toList()) {
            deleteProgress(removedDrain);
        }
        if (!commitInFlight) {
            evictTasks(candidates, targets);
        }
        if (!commitInFlight && !unwrittenDrains.isEmpty() && !context.now().isBefore(nextWrite)) {
            nextWrite = context.now().plusMs(WRITE_INTERVAL_MS);
            writeProgress(unwrittenDrains.iterator().next());
        }
    }

    private void deleteProgress(String name) {
        progressByDrain.remove(name);
        unwrittenDrains.remove(name);
        blockReasonsByDrain.remove(name);
        commit(election.guardedTransaction().delete(PROGRESS_PREFIX + name), committed -> {});
    }

    private void updateDrain(
            Drain drain,
            Progress progress,
            Planner planner,
            FreeCapacity freeCapacity,
            List<Evictions.Candidate> candidates,
            Map<TaskId, MachineId> targets) {
        List<Machine> machines = selectedMachines(drain);
        if (progress.drainVersion != drain.number()) {
            boolean first = progress.drainVersion == 0;
            progress.drainVersion = drain.number();
            progress.endedAtMs = 0;
            if (first) {
                DrainForecast.Cost cost = forecast(drain, machines);
                progress.forecastTasks = cost.tasks();
                progress.forecastLostCpuS = cost.cpuS();
                progress.forecastEndMs = context.wallMs() + cost.durationMs();
                LOG.info(
                        "drain started: drain={} machines={} forecastTasks={} forecastLostCpuS={} forecastDurationS={}",
                        drain.name(),
                        machines.size(),
                        cost.tasks(),
                        Math.round(cost.cpuS()),
                        cost.durationMs() / 1000);
            }
            writeProgress(drain.name());
        }
        if (progress.endedAtMs > 0 && machines.isEmpty()) {
            return;
        }
        progress.endedAtMs = 0; // the cloud's list lags: a selected machine may still come up
        countGoneMachines(drain, progress);
        if (rollingReplacement.updateSpares(drain, progress)) {
            unwrittenDrains.add(drain.name());
        }
        boolean active = drain.state() == Drain.State.RUNNING && !drain.pauses().isPaused(context.wallMs());
        if (drain.replace() && rollingReplacement.updateReplacement(drain, progress, machines, active, planner)) {
            writeProgress(drain.name());
        }
        blockReasonsByDrain.remove(drain.name());
        boolean machinesRemain = false;
        Map<String, Integer> lackingByKind = new HashMap<>();
        for (Machine machine : machines) {
            if (!drain.name().equals(machine.cordonedBy)) {
                machinesRemain = true;
                continue;
            }
            boolean empty = machine.placements.isEmpty() && machine.unknownTasks == 0;
            machinesRemain |= !empty || !drain.keep();
            if (empty && machine.up && !drain.keep()) {
                provisioner.releaseMachine(machine, "it is emptied: drain " + drain.name());
            } else if (!empty
                    && active
                    && progress.pauseReason == null
                    && !migrationController.isMigrating(machine.id)) {
                if (addCandidates(drain, progress, machine, freeCapacity, candidates, targets)) {
                    lackingByKind.merge(RollingReplacement.machineKind(machine), 1, Integer::sum);
                }
            }
        }
        if (!lackingByKind.isEmpty()) {
            rollingReplacement.requestMachinesForMigration(drain, progress, lackingByKind);
        }
        boolean listSettled = provisioner.isListComplete()
                && context.wallMs() - drain.atMs()
                        > Math.round(
                                1000 * LIST_LAG_FACTOR * settings.cloudLimits().listLagS());
        if (!machinesRemain && !drain.keep() && progress.draining.isEmpty() && listSettled) {
            progress.endedAtMs = context.wallMs();
            LOG.info(
                    "drain completed: drain={} machinesGone={} evictedTasks={} lostCpuS={} forecastTasks={} forecastLostCpuS={}",
                    drain.name(),
                    progress.gone,
                    progress.evictedTasks,
                    Math.round(progress.lostCpuS),
                    progress.forecastTasks,
                    Math.round(progress.forecastLostCpuS));
            rollingReplacement.releaseSpares(drain, progress);
            writeProgress(drain.name());
        }
    }

    /** Counts the machines of the drain that have gone since the last update. */
    private void countGoneMachines(Drain drain, Progress progress) {
        Set<MachineId> current = new HashSet<>();
        clusterState.machines().stream()
                .filter(m -> drain.name().equals(m.cordonedBy))
                .forEach(m -> current.add(m.id));
        Set<MachineId> previous = cordonedMachinesByDrain.put(drain.name(), current);
        Set<MachineId> gone = new HashSet<>(previous == null ? Set.of() : previous);
        gone.addAll(progress.draining.keySet());
        gone.removeIf(m -> clusterState.findMachine(m) != null && !clusterState.findMachine(m).releasing);
        if (!gone.isEmpty()) {
            progress.gone += gone.size();
            gone.forEach(progress.draining::remove);
            unwrittenDrains.add(drain.name());
        }
    }

    // ---- tasks ----

    private TaskTermination.CapacityNeed capacityNeed(Drain drain, long sinceMs) {
        long deadlineMs = sinceMs + 1000 * drain.limits().waitS();
        deadlineMs = drain.byMs() > 0 ? Math.min(deadlineMs, drain.byMs()) : deadlineMs;
        return new TaskTermination.CapacityNeed(context.now().ms() + deadlineMs - context.wallMs(), true);
    }

    /** Adds the tasks of the machine that may be evicted; returns true if one of them lacks free capacity elsewhere. */
    private boolean addCandidates(
            Drain drain,
            Progress progress,
            Machine machine,
            FreeCapacity freeCapacity,
            List<Evictions.Candidate> out,
            Map<TaskId, MachineId> targets) {
        boolean lacksCapacity = false;
        for (Placement placement : new ArrayList<>(machine.placements.values())) {
            Job job = clusterState.job(placement.task.job());
            if (job == null || !placement.launchSent || placement.stopRequested || job.isCancelled() || job.isHeld()) {
                continue;
            }
            if (disruptions.isCharged(job.spec().team(), placement)
                    && !job.spec().isService()) {
                eviction.evict(
                        placement, drain.cause()); // an earlier leader charged it and ended before it stopped the task
                dispatcher.dispatch(machine);
                continue;
            }
            Evictions.Candidate candidate =
                    toCandidate(drain, progress, machine, job, placement, freeCapacity, targets);
            lacksCapacity |= !candidate.mayBeEvicted();
            out.add(candidate);
        }
        return lacksCapacity;
    }

    private Evictions.Candidate toCandidate(
            Drain drain,
            Progress progress,
            Machine machine,
            Job job,
            Placement placement,
            FreeCapacity freeCapacity,
            Map<TaskId, MachineId> targets) {
        JobSpec spec = job.spec();
        long sinceMs = drain.replace() ? progress.draining.getOrDefault(machine.id, context.wallMs()) : drain.atMs();
        TaskTermination termination = elastic.chooseTermination(job, placement, capacityNeed(drain, sinceMs));
        boolean due = termination.method() != TaskTermination.Method.AT_END
                && termination.method() != TaskTermination.Method.WITHDRAW
                && termination.atMs() <= context.now().ms() + UPDATE_INTERVAL_MS;
        boolean placed = true;
        if (spec.isService() && due) {
            Machine target = freeCapacity.allocate(spec);
            placed = target != null;
            if (placed) {
                targets.put(placement.task, target.id);
            }
        }
        return new Evictions.Candidate(
                placement.task,
                placement.attempt,
                machine.id,
                spec.team(),
                spec.jobClass(),
                drain.cause(),
                spec.isGang() ? job.record.live.size() : 0,
                spec.isService() ? spec.tasks() : 0,
                due,
                termination.lostCpuS(),
                placed);
    }

    /** Chooses the tasks to evict and commits the choice before any of them is stopped. */
    private void evictTasks(List<Evictions.Candidate> all, Map<TaskId, MachineId> targets) {
        if (all.isEmpty()) {
            return;
        }
        Map<String, Account> accounts = disruptions.copyAccounts();
        Evictions.Decision decision =
                Evictions.decide(all, drains.budgets(), accounts, context.wallMs(), MAX_EVICTIONS_PER_COMMIT);
        decision.blocked().forEach((reason, count) -> {
            Machine machine = clusterState.findMachine(reason.machine());
            if (machine != null && machine.cordonedBy != null) {
                blockReasonsByDrain
                        .computeIfAbsent(machine.cordonedBy, k -> new TreeMap<>())
                        .merge(reason.text(), count, Integer::sum);
            }
        });
        int maxOperations = settings.stateLimits().txnOps() - 1;
        Transaction transaction = election.guardedTransaction();
        Map<MachineId, Map<TaskId, MachineId>> migrationTargets = new TreeMap<>();
        List<Evictions.Candidate> stopped = new ArrayList<>();
        Set<String> teams = new HashSet<>();
        Set<String> drainNames = new HashSet<>();
        Map<String, List<Evictions.Candidate>> evictedByDrain = new HashMap<>();
        for (Evictions.Candidate candidate : decision.evicted()) {
            Machine machine = clusterState.findMachine(candidate.machine());
            boolean migrates = targets.containsKey(candidate.task());
            int newOperations = (teams.contains(candidate.team()) ? 0 : 1)
                    + (drainNames.contains(machine.cordonedBy) ? 0 : 1)
                    + (migrates && !migrationTargets.containsKey(candidate.machine()) ? 1 : 0);
            boolean withinLimits = teams.size() + drainNames.size() + migrationTargets.size() + newOperations
                            <= Math.max(MIN_OPERATION_COUNT, maxOperations)
                    && (!migrates
                            || migrationTargets.containsKey(candidate.machine())
                            || migrationTargets.size() < MAX_MIGRATED_MACHINES_PER_COMMIT);
            boolean fitsRecord = disruptions.fitsRecord(accounts.get(candidate.team()));
            if (!withinLimits || !fitsRecord) {
                accounts.get(candidate.team()).refund(candidate.task()); // retried at the next update
                if (!fitsRecord) {
                    blockReasonsByDrain
                            .computeIfAbsent(machine.cordonedBy, k -> new TreeMap<>())
                            .merge(
                                    "account of " + candidate.team() + ": it is as large as a value may be",
                                    1,
                                    Integer::sum);
                }
                continue;
            }
            teams.add(candidate.team());
            drainNames.add(machine.cordonedBy);
            if (migrates) {
                migrationTargets
                        .computeIfAbsent(candidate.machine(), k -> new HashMap<>())
                        .put(candidate.task(), targets.get(candidate.task()));
            } else {
                stopped.add(candidate);
            }
            evictedByDrain
                    .computeIfAbsent(machine.cordonedBy, k -> new ArrayList<>())
                    .add(candidate);
        }
        if (teams.isEmpty()) {
            return;
        }
        teams.forEach(team -> disruptions.putAccount(transaction, team, accounts.get(team)));
        drainNames.forEach(name -> transaction.put(
                PROGRESS_PREFIX + name,
                addEvictions(progressByDrain.get(name), evictedByDrain.get(name), 1)
                        .toNode()));
        migrationTargets.forEach((machine, taskTargets) -> migrationController.addDrainMigration(
                transaction, machine, clusterState.findMachine(machine).cordonedBy, taskTargets));
        commit(transaction, committed -> {
            if (committed) {
                teams.forEach(team -> disruptions.applyCommitted(team, accounts.get(team)));
                migrationTargets.forEach((machineId, taskTargets) -> {
                    Machine machine = clusterState.findMachine(machineId);
                    if (machine != null && machine.cordonedBy != null) {
                        migrationController.applyDrainMigration(machineId, machine.cordonedBy, taskTargets);
                    }
                });
                stopped.forEach(this::evict);
            } else {
                drainNames.stream()
                        .filter(progressByDrain::containsKey)
                        .forEach(name -> addEvictions(progressByDrain.get(name), evictedByDrain.get(name), -1));
            }
        });
    }

    private static Progress addEvictions(Progress progress, List<Evictions.Candidate> evicted, int sign) {
        for (Evictions.Candidate candidate : evicted) {
            progress.evictedTasks += sign * Math.max(1, candidate.gangSize());
            progress.lostCpuS += sign * candidate.lostCpuS();
        }
        return progress;
    }

    private void evict(Evictions.Candidate candidate) {
        Machine machine = clusterState.findMachine(candidate.machine());
        Placement placement = machine == null ? null : machine.placements.get(candidate.task());
        if (placement != null
                && placement.attempt == candidate.attempt()
                && !placement.stopRequested
                && clusterState.job(candidate.task().job()) != null) {
            LOG.info(
                    "task evicted: task={} attempt={} machine={} drain={} lostCpuS={}",
                    placement.task,
                    placement.attempt,
                    machine.id,
                    machine.cordonedBy,
                    Math.round(candidate.lostCpuS()));
            eviction.evict(placement, candidate.cause());
            dispatcher.dispatch(machine);
        }
    }

    private void writeProgress(String name) {
        if (commitInFlight || !progressByDrain.containsKey(name)) {
            unwrittenDrains.add(name);
            return;
        }
        unwrittenDrains.remove(name);
        commit(
                election.guardedTransaction()
                        .put(PROGRESS_PREFIX + name, progressByDrain.get(name).toNode()),
                committed -> {
                    if (!committed) {
                        unwrittenDrains.add(name);
                    }
                });
    }

    private void commit(Transaction transaction, Consumer<Boolean> onOutcome) {
        long term = clusterState.term();
        commitInFlight = true;
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), transaction.operationCount());
        store.commit(transaction, result -> {
            if (term == clusterState.term()) {
                commitInFlight = false;
                onOutcome.accept(result.outcome() == CommitResult.Outcome.COMMITTED);
            }
        });
    }

    // ---- views ----

    /** Forecasts the cost and the duration of the drain if it started now. */
    private DrainForecast.Cost forecast(Drain drain, List<Machine> machines) {
        return DrainForecast.estimate(
                drain,
                machines,
                clusterState,
                machineTypes,
                (job, placement) -> elastic.chooseTermination(job, placement, capacityNeed(drain, context.wallMs())),
                context.now().ms());
    }

    ObjectNode forecastView(Drain drain) {
        List<Machine> machines = selectedMachines(drain);
        return forecast(drain, machines)
                .writeTo(Codec.map().put("name", drain.name()).put("machines", machines.size()));
    }

    boolean isEnded(String name) {
        Progress progress = progressByDrain.get(name);
        return progress != null && progress.endedAtMs > 0;
    }

    ObjectNode budgetsView() {
        return disruptions.view(drains.budgets());
    }

    ObjectNode view() {
        ObjectNode out = Codec.map();
        ArrayNode rows = out.putArray("drains");
        drains.drains()
                .forEach(drain -> rows.add(view(drain)
                        .without(List.of("history", "closed", "machines")))); // one reply holds up to 40 drains
        return out;
    }

    ObjectNode view(Drain drain) {
        Progress progress = progressByDrain.getOrDefault(drain.name(), new Progress());
        List<Machine> machines = progress.endedAtMs > 0 ? List.of() : selectedMachines(drain);
        DrainForecast.Cost remaining =
                progress.endedAtMs == 0 && drain.blocksNewWork(context.wallMs()) ? forecast(drain, machines) : null;
        return DrainViews.drainView(
                drain,
                progress,
                machines,
                remaining,
                blockReasonsByDrain.getOrDefault(drain.name(), Map.of()),
                context.wallMs());
    }
}
