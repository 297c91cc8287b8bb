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
 * The leader's room for machines that are to be empty. From a drain's commit on they get no new work; what is there comes to its own
 * end, moves with its place kept ({@link MigrationController}), or is stopped by what loses least, as far as budgets allow; empty they are
 * returned, or kept. Charges, places and how far it has come are written in one commit before the first stop, so another leader goes
 * on in the middle. Replacements in steps: {@link RollingReplacement}. Idle where nobody has put a drain.
 */
final class DrainController {
    static final String RUNS = "dr/run/";
    private static final Logger LOG = LoggerFactory.getLogger(DrainController.class);
    private static final long EVERY_MS = 1000;
    private static final long WRITE_EVERY_MS = 10_000;
    /** Machines whose tasks begin to move in one commit, and tasks that leave in one. */
    private static final int MOST_MOVES = 5;

    private static final int MOST_LEAVE = 40;
    private static final int LEAST_OPS = 3;
    /** The cloud's list may be older than twice its lag, with what a look takes. */
    private static final double LAGS = 2.5;

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
    private final MigrationController migrations;
    private final DisruptionAccounting disruptions;
    private final RollingReplacement rollouts;
    private final PrefixReader reading;
    /** Null where drains are off. */
    private final DrainRegistry drains;

    private final Map<String, Progress> runs = new TreeMap<>();
    private final Map<String, Map<String, Integer>> blocked = new HashMap<>();
    private final Map<String, Set<MachineId>> cordoned = new HashMap<>();
    private final Set<String> dirty = new HashSet<>();
    private boolean read;
    private boolean writing;
    /** Nobody has put a drain, and nothing is left of the last one. */
    private boolean idle;

    private MonotonicTime next = MonotonicTime.ZERO;
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
            MigrationController migrations,
            DisruptionAccounting disruptions,
            RollingReplacement rollouts,
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
        this.migrations = migrations;
        this.disruptions = disruptions;
        this.rollouts = rollouts;
        this.drains = drains;
        this.reading = new PrefixReader(context, store, requests, clusterState);
    }

    /** A new leadership begins: what the last one had in hand is read before anything is begun. */
    void begin() {
        runs.clear();
        blocked.clear();
        cordoned.clear();
        dirty.clear();
        read = false;
        writing = false;
        idle = false;
        next = MonotonicTime.ZERO;
        rollouts.begin();
        disruptions.begin();
        if (drains != null) {
            reading.read(
                    RUNS,
                    i -> runs.put(i.key().substring(RUNS.length()), Progress.parse(i.value())),
                    () -> read = true);
        }
    }

    // ---- which machines ----

    Selector.Machine machine(Machine machine) {
        return new Selector.Machine(
                machine.id,
                machine.type,
                machine.zone,
                machine.spot,
                machine.rentedAt == null ? 0 : context.wallMs() - context.now().since(machine.rentedAt));
    }

    /** Machines that the drain speaks of and that are still there. */
    private List<Machine> matched(Drain drain) {
        List<Machine> out = new ArrayList<>();
        for (Machine machine : clusterState.machines()) {
            if (machine.isTypeKnown() && !machine.releasing && drain.which().matches(machine(machine), drain.atMs())) {
                out.add(machine);
            }
        }
        return out;
    }

    /** Says of each machine who empties it; the first drain, where several would. */
    private void cordon() {
        Map<MachineId, String> by = new HashMap<>();
        for (Drain drain : drains.drains()) {
            Progress progress = runs.get(drain.name());
            if (!drain.blocksNewWork(context.wallMs())) {
                continue;
            }
            for (Machine machine : matched(drain)) {
                if (!drain.replace() || progress != null && progress.begun.containsKey(machine.id)) {
                    by.putIfAbsent(machine.id, drain.name());
                }
            }
        }
        boolean changed = false;
        for (Machine machine : clusterState.machines()) {
            String now = by.get(machine.id);
            changed |= now == null ? machine.cordonedBy != null : !now.equals(machine.cordonedBy);
            machine.cordonedBy = now;
            machine.reservedForDrain = null; // whose spare it is, if anybody's, is said anew below
        }
        if (changed) {
            clusterState.requestReplan();
        }
    }

    // ---- time ----

    void tick(Planner planner) {
        disruptions.tick();
        if (drains == null || !drains.read() || context.now().isBefore(next)) {
            return;
        }
        next = context.now().plusMs(EVERY_MS);
        boolean none = drains.drains().isEmpty() && runs.isEmpty();
        if (none && idle) {
            return;
        }
        idle = none;
        cordon();
        if (!read || !disruptions.known() || !migrations.isLoaded()) {
            return;
        }
        List<Evictions.Candidate> candidates = new ArrayList<>();
        Map<TaskId, MachineId> places = new HashMap<>();
        Set<MachineId> doomed = new HashSet<>();
        drains.drains().stream().filter(d -> d.blocksNewWork(context.wallMs())).forEach(d -> matched(d)
                .forEach(h -> doomed.add(h.id)));
        FreeCapacity rooms = new FreeCapacity(
                clusterState,
                machineTypes,
                admission,
                h -> !doomed.contains(h.id)); // nobody is moved twice for one replacement
        for (Drain drain : drains.drains()) {
            Progress progress = runs.computeIfAbsent(drain.name(), k -> new Progress());
            if (drain.blocksNewWork(context.wallMs())) {
                goOn(drain, progress, planner, rooms, candidates, places);
            }
        }
        for (String gone :
                runs.keySet().stream().filter(n -> drains.known(n) == null).toList()) {
            forget(gone);
        }
        if (!writing) {
            leave(candidates, places);
        }
        if (!writing && !dirty.isEmpty() && !context.now().isBefore(nextWrite)) {
            nextWrite = context.now().plusMs(WRITE_EVERY_MS);
            write(dirty.iterator().next());
        }
    }

    private void forget(String name) {
        runs.remove(name);
        dirty.remove(name);
        blocked.remove(name);
        commit(election.guardedTransaction().delete(RUNS + name), done -> {});
    }

    private void goOn(
            Drain drain,
            Progress progress,
            Planner planner,
            FreeCapacity rooms,
            List<Evictions.Candidate> out,
            Map<TaskId, MachineId> places) {
        List<Machine> matched = matched(drain);
        if (progress.number != drain.number()) {
            boolean first = progress.number == 0;
            progress.number = drain.number();
            progress.overMs = 0;
            if (first) {
                DrainForecast.Cost cost = foresight(drain, matched);
                progress.tasksForeseen = cost.tasks();
                progress.cpuSForeseen = cost.cpuS();
                progress.endForeseenMs = context.wallMs() + cost.lastsMs();
                LOG.info(
                        "drain {} begins: {} machines, {} tasks and {} CPU s are thought to be lost, over in {} s",
                        drain.name(),
                        matched.size(),
                        cost.tasks(),
                        Math.round(cost.cpuS()),
                        cost.lastsMs() / 1000);
            }
            write(drain.name());
        }
        if (progress.overMs > 0 && matched.isEmpty()) {
            return;
        }
        progress.overMs = 0; // the cloud's list lags: one of its machines may come up after all
        count(drain, progress);
        if (rollouts.spares(drain, progress)) {
            dirty.add(drain.name());
        }
        boolean works = drain.state() == Drain.State.RUNNING && !drain.pauses().isPaused(context.wallMs());
        if (drain.replace() && rollouts.step(drain, progress, matched, works, planner)) {
            write(drain.name());
        }
        blocked.remove(drain.name());
        boolean left = false;
        Map<String, Integer> lacking = new HashMap<>();
        for (Machine machine : matched) {
            if (!drain.name().equals(machine.cordonedBy)) {
                left = true;
                continue;
            }
            boolean empty = machine.placements.isEmpty() && machine.unknownTasks == 0;
            left |= !empty || !drain.keep();
            if (empty && machine.up && !drain.keep()) {
                provisioner.releaseMachine(machine, "it is emptied: drain " + drain.name());
            } else if (!empty && works && progress.paused == null && !migrations.isMigrating(machine.id)) {
                if (candidates(drain, progress, machine, rooms, out, places)) {
                    lacking.merge(RollingReplacement.kind(machine), 1, Integer::sum);
                }
            }
        }
        if (!lacking.isEmpty()) {
            rollouts.makePlace(drain, progress, lacking);
        }
        boolean told = provisioner.isListComplete()
                && context.wallMs() - drain.atMs()
                        > Math.round(1000 * LAGS * settings.cloudLimits().listLagS());
        if (!left && !drain.keep() && progress.begun.isEmpty() && told) {
            progress.overMs = context.wallMs();
            LOG.info(
                    "drain {} is over: {} machines gone, {} tasks and {} CPU s lost ({} and {} foreseen)",
                    drain.name(),
                    progress.gone,
                    progress.tasks,
                    Math.round(progress.cpuS),
                    progress.tasksForeseen,
                    Math.round(progress.cpuSForeseen));
            rollouts.over(drain, progress);
            write(drain.name());
        }
    }

    /** Which of its machines are gone since the last look. */
    private void count(Drain drain, Progress progress) {
        Set<MachineId> now = new HashSet<>();
        clusterState.machines().stream()
                .filter(h -> drain.name().equals(h.cordonedBy))
                .forEach(h -> now.add(h.id));
        Set<MachineId> before = cordoned.put(drain.name(), now);
        Set<MachineId> gone = new HashSet<>(before == null ? Set.of() : before);
        gone.addAll(progress.begun.keySet());
        gone.removeIf(h -> clusterState.findMachine(h) != null && !clusterState.findMachine(h).releasing);
        if (!gone.isEmpty()) {
            progress.gone += gone.size();
            gone.forEach(progress.begun::remove);
            dirty.add(drain.name());
        }
    }

    // ---- which tasks ----

    private TaskTermination.CapacityNeed need(Drain drain, long sinceMs) {
        long by = sinceMs + 1000 * drain.limits().waitS();
        by = drain.byMs() > 0 ? Math.min(by, drain.byMs()) : by;
        return new TaskTermination.CapacityNeed(context.now().ms() + by - context.wallMs(), true);
    }

    /** Tasks that may leave; whether one of them has no place to go to. */
    private boolean candidates(
            Drain drain,
            Progress run,
            Machine machine,
            FreeCapacity rooms,
            List<Evictions.Candidate> out,
            Map<TaskId, MachineId> places) {
        boolean lacks = false;
        for (Placement placement : new ArrayList<>(machine.placements.values())) {
            Job job = clusterState.job(placement.task.job());
            if (job == null || !placement.launchSent || placement.stopRequested || job.isCancelled() || job.isHeld()) {
                continue;
            }
            if (disruptions.isCharged(job.spec().team(), placement)
                    && !job.spec().isService()) {
                eviction.evict(placement, drain.cause()); // an earlier leader charged it, and fell before the stop
                dispatcher.dispatch(machine);
                continue;
            }
            Evictions.Candidate candidate = candidate(drain, run, machine, job, placement, rooms, places);
            lacks |= !candidate.mayBeEvicted();
            out.add(candidate);
        }
        return lacks;
    }

    private Evictions.Candidate candidate(
            Drain drain,
            Progress run,
            Machine machine,
            Job job,
            Placement placement,
            FreeCapacity rooms,
            Map<TaskId, MachineId> places) {
        JobSpec spec = job.spec();
        long since = drain.replace() ? run.begun.getOrDefault(machine.id, context.wallMs()) : drain.atMs();
        TaskTermination ending = elastic.chooseEnding(job, placement, need(drain, since));
        boolean due = ending.method() != TaskTermination.Method.AT_END
                && ending.method() != TaskTermination.Method.WITHDRAW
                && ending.atMs() <= context.now().ms() + EVERY_MS;
        boolean placed = true;
        if (spec.isService() && due) {
            Machine to = rooms.allocate(spec);
            placed = to != null;
            if (placed) {
                places.put(placement.task, to.id);
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
                ending.lostCpuS(),
                placed);
    }

    /** Decides who leaves, and has it written before anybody is stopped. */
    private void leave(List<Evictions.Candidate> all, Map<TaskId, MachineId> places) {
        if (all.isEmpty()) {
            return;
        }
        Map<String, Account> accounts = disruptions.copies();
        Evictions.Decision decision = Evictions.decide(all, drains.budgets(), accounts, context.wallMs(), MOST_LEAVE);
        decision.blocked().forEach((why, count) -> {
            Machine machine = clusterState.findMachine(why.machine());
            if (machine != null && machine.cordonedBy != null) {
                blocked.computeIfAbsent(machine.cordonedBy, k -> new TreeMap<>())
                        .merge(why.text(), count, Integer::sum);
            }
        });
        int ops = settings.stateLimits().txnOps() - 1;
        Transaction transaction = election.guardedTransaction();
        Map<MachineId, Map<TaskId, MachineId>> moving = new TreeMap<>();
        List<Evictions.Candidate> stopped = new ArrayList<>();
        Set<String> teams = new HashSet<>();
        Set<String> names = new HashSet<>();
        Map<String, List<Evictions.Candidate>> taken = new HashMap<>();
        for (Evictions.Candidate candidate : decision.evicted()) {
            Machine machine = clusterState.findMachine(candidate.machine());
            boolean moves = places.containsKey(candidate.task());
            int more = (teams.contains(candidate.team()) ? 0 : 1)
                    + (names.contains(machine.cordonedBy) ? 0 : 1)
                    + (moves && !moving.containsKey(candidate.machine()) ? 1 : 0);
            boolean room = teams.size() + names.size() + moving.size() + more <= Math.max(LEAST_OPS, ops)
                    && (!moves || moving.containsKey(candidate.machine()) || moving.size() < MOST_MOVES);
            boolean fits = disruptions.fits(accounts.get(candidate.team()));
            if (!room || !fits) {
                accounts.get(candidate.team()).refund(candidate.task()); // in the next round
                if (!fits) {
                    blocked.computeIfAbsent(machine.cordonedBy, k -> new TreeMap<>())
                            .merge(
                                    "account of " + candidate.team() + ": it is as large as a value may be",
                                    1,
                                    Integer::sum);
                }
                continue;
            }
            teams.add(candidate.team());
            names.add(machine.cordonedBy);
            if (moves) {
                moving.computeIfAbsent(candidate.machine(), k -> new HashMap<>())
                        .put(candidate.task(), places.get(candidate.task()));
            } else {
                stopped.add(candidate);
            }
            taken.computeIfAbsent(machine.cordonedBy, k -> new ArrayList<>()).add(candidate);
        }
        if (teams.isEmpty()) {
            return;
        }
        teams.forEach(t -> disruptions.into(transaction, t, accounts.get(t)));
        names.forEach(n ->
                transaction.put(RUNS + n, counted(runs.get(n), taken.get(n), 1).toNode()));
        moving.forEach((machine, to) ->
                migrations.addDrainMigration(transaction, machine, clusterState.findMachine(machine).cordonedBy, to));
        commit(transaction, done -> {
            if (done) {
                teams.forEach(t -> disruptions.adopt(t, accounts.get(t)));
                moving.forEach((machineId, to) -> {
                    Machine machine = clusterState.findMachine(machineId);
                    if (machine != null && machine.cordonedBy != null) {
                        migrations.applyDrainMigration(machineId, machine.cordonedBy, to);
                    }
                });
                stopped.forEach(this::stop);
            } else {
                names.stream().filter(runs::containsKey).forEach(n -> counted(runs.get(n), taken.get(n), -1));
            }
        });
    }

    private static Progress counted(Progress progress, List<Evictions.Candidate> left, int sign) {
        for (Evictions.Candidate candidate : left) {
            progress.tasks += sign * Math.max(1, candidate.gang());
            progress.cpuS += sign * candidate.lostCpuS();
        }
        return progress;
    }

    private void stop(Evictions.Candidate candidate) {
        Machine machine = clusterState.findMachine(candidate.machine());
        Placement placement = machine == null ? null : machine.placements.get(candidate.task());
        if (placement != null
                && placement.attempt == candidate.attempt()
                && !placement.stopRequested
                && clusterState.job(candidate.task().job()) != null) {
            LOG.info(
                    "{} try {} leaves {}: drain {}, {} CPU s",
                    placement.task,
                    placement.attempt,
                    machine.id,
                    machine.cordonedBy,
                    Math.round(candidate.lostCpuS()));
            eviction.evict(placement, candidate.cause());
            dispatcher.dispatch(machine);
        }
    }

    private void write(String name) {
        if (writing || !runs.containsKey(name)) {
            dirty.add(name);
            return;
        }
        dirty.remove(name);
        commit(election.guardedTransaction().put(RUNS + name, runs.get(name).toNode()), done -> {
            if (!done) {
                dirty.add(name);
            }
        });
    }

    private void commit(Transaction transaction, Consumer<Boolean> then) {
        long term = clusterState.term();
        writing = true;
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), transaction.operationCount());
        store.commit(transaction, commit -> {
            if (term == clusterState.term()) {
                writing = false;
                then.accept(commit.outcome() == CommitResult.Outcome.COMMITTED);
            }
        });
    }

    // ---- what is told ----

    /** What it would cost and how long it would take, were it put now. */
    private DrainForecast.Cost foresight(Drain drain, List<Machine> machines) {
        return DrainForecast.of(
                drain,
                machines,
                clusterState,
                machineTypes,
                (j, p) -> elastic.chooseEnding(j, p, need(drain, context.wallMs())),
                context.now().ms());
    }

    ObjectNode foresee(Drain drain) {
        List<Machine> machines = matched(drain);
        return foresight(drain, machines)
                .into(Codec.map().put("name", drain.name()).put("machines", machines.size()));
    }

    boolean over(String name) {
        Progress p = runs.get(name);
        return p != null && p.overMs > 0;
    }

    ObjectNode budgets() {
        return disruptions.view(drains.budgets());
    }

    ObjectNode view() {
        ObjectNode out = Codec.map();
        ArrayNode rows = out.putArray("drains");
        drains.drains()
                .forEach(d -> rows.add(
                        view(d).without(List.of("history", "closed", "machines")))); // forty of them in one answer
        return out;
    }

    ObjectNode view(Drain drain) {
        Progress progress = runs.getOrDefault(drain.name(), new Progress());
        List<Machine> matched = progress.overMs > 0 ? List.of() : matched(drain);
        DrainForecast.Cost left =
                progress.overMs == 0 && drain.blocksNewWork(context.wallMs()) ? foresight(drain, matched) : null;
        return DrainViews.row(
                drain, progress, matched, left, blocked.getOrDefault(drain.name(), Map.of()), context.wallMs());
    }
}
