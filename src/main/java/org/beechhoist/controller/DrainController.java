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
import org.beechhoist.elastic.Ending;
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

    private final ControllerContext turn;
    private final Settings settings;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final ClusterState book;
    private final MachineTypeCatalog types;
    private final Admission admission;
    private final TaskEviction stopping;
    private final CommandDispatcher orders;
    private final Provisioner provisioner;
    private final ElasticWidths elastic;
    private final MigrationController moves;
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
            ControllerContext turn,
            Settings settings,
            StoreClient store,
            LeaderElection election,
            TokenBucket requests,
            TokenBucket writes,
            ClusterState book,
            MachineTypeCatalog types,
            Admission admission,
            TaskEviction stopping,
            CommandDispatcher orders,
            Provisioner provisioner,
            ElasticWidths elastic,
            MigrationController moves,
            DisruptionAccounting disruptions,
            RollingReplacement rollouts,
            DrainRegistry drains) {
        this.turn = turn;
        this.settings = settings;
        this.store = store;
        this.election = election;
        this.requests = requests;
        this.writes = writes;
        this.book = book;
        this.types = types;
        this.admission = admission;
        this.stopping = stopping;
        this.orders = orders;
        this.provisioner = provisioner;
        this.elastic = elastic;
        this.moves = moves;
        this.disruptions = disruptions;
        this.rollouts = rollouts;
        this.drains = drains;
        this.reading = new PrefixReader(turn, store, requests, book);
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
                machine.rentedAt == null ? 0 : turn.wallMs() - turn.now().since(machine.rentedAt));
    }

    /** Machines that the drain speaks of and that are still there. */
    private List<Machine> matched(Drain drain) {
        List<Machine> out = new ArrayList<>();
        for (Machine machine : book.hosts()) {
            if (machine.known() && !machine.returning && drain.which().matches(machine(machine), drain.atMs())) {
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
            if (!drain.holds(turn.wallMs())) {
                continue;
            }
            for (Machine machine : matched(drain)) {
                if (!drain.replace() || progress != null && progress.begun.containsKey(machine.id)) {
                    by.putIfAbsent(machine.id, drain.name());
                }
            }
        }
        boolean changed = false;
        for (Machine machine : book.hosts()) {
            String now = by.get(machine.id);
            changed |= now == null ? machine.cordonedBy != null : !now.equals(machine.cordonedBy);
            machine.cordonedBy = now;
            machine.spareOf = null; // whose spare it is, if anybody's, is said anew below
        }
        if (changed) {
            book.replan();
        }
    }

    // ---- time ----

    void tick(Planner planner) {
        disruptions.tick();
        if (drains == null || !drains.read() || turn.now().before(next)) {
            return;
        }
        next = turn.now().plusMs(EVERY_MS);
        boolean none = drains.drains().isEmpty() && runs.isEmpty();
        if (none && idle) {
            return;
        }
        idle = none;
        cordon();
        if (!read || !disruptions.known() || !moves.known()) {
            return;
        }
        List<Evictions.Candidate> candidates = new ArrayList<>();
        Map<TaskId, MachineId> places = new HashMap<>();
        Set<MachineId> doomed = new HashSet<>();
        drains.drains().stream().filter(d -> d.holds(turn.wallMs())).forEach(d -> matched(d)
                .forEach(h -> doomed.add(h.id)));
        FreeCapacity rooms = new FreeCapacity(
                book, types, admission, h -> !doomed.contains(h.id)); // nobody is moved twice for one replacement
        for (Drain drain : drains.drains()) {
            Progress progress = runs.computeIfAbsent(drain.name(), k -> new Progress());
            if (drain.holds(turn.wallMs())) {
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
        if (!writing && !dirty.isEmpty() && !turn.now().before(nextWrite)) {
            nextWrite = turn.now().plusMs(WRITE_EVERY_MS);
            write(dirty.iterator().next());
        }
    }

    private void forget(String name) {
        runs.remove(name);
        dirty.remove(name);
        blocked.remove(name);
        commit(election.guarded().delete(RUNS + name), done -> {});
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
                progress.endForeseenMs = turn.wallMs() + cost.lastsMs();
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
        boolean works = drain.state() == Drain.State.RUNNING && !drain.rest().rests(turn.wallMs());
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
            boolean empty = machine.placements.isEmpty() && machine.strangers == 0;
            left |= !empty || !drain.keep();
            if (empty && machine.up && !drain.keep()) {
                provisioner.giveBack(machine, "it is emptied: drain " + drain.name());
            } else if (!empty && works && progress.paused == null && !moves.moves(machine.id)) {
                if (candidates(drain, progress, machine, rooms, out, places)) {
                    lacking.merge(RollingReplacement.kind(machine), 1, Integer::sum);
                }
            }
        }
        if (!lacking.isEmpty()) {
            rollouts.makePlace(drain, progress, lacking);
        }
        boolean told = provisioner.listed()
                && turn.wallMs() - drain.atMs()
                        > Math.round(1000 * LAGS * settings.cloudLimits().listLagS());
        if (!left && !drain.keep() && progress.begun.isEmpty() && told) {
            progress.overMs = turn.wallMs();
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
        book.hosts().stream().filter(h -> drain.name().equals(h.cordonedBy)).forEach(h -> now.add(h.id));
        Set<MachineId> before = cordoned.put(drain.name(), now);
        Set<MachineId> gone = new HashSet<>(before == null ? Set.of() : before);
        gone.addAll(progress.begun.keySet());
        gone.removeIf(h -> book.known(h) != null && !book.known(h).returning);
        if (!gone.isEmpty()) {
            progress.gone += gone.size();
            gone.forEach(progress.begun::remove);
            dirty.add(drain.name());
        }
    }

    // ---- which tasks ----

    private Ending.Need need(Drain drain, long sinceMs) {
        long by = sinceMs + 1000 * drain.pace().waitS();
        by = drain.byMs() > 0 ? Math.min(by, drain.byMs()) : by;
        return new Ending.Need(turn.now().ms() + by - turn.wallMs(), true);
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
            Job job = book.job(placement.task.job());
            if (job == null || !placement.sent || placement.killSent || job.cancelled() || job.held()) {
                continue;
            }
            if (disruptions.isCharged(job.spec().team(), placement)
                    && !job.spec().service()) {
                stopping.stop(placement, drain.cause()); // an earlier leader charged it, and fell before the stop
                orders.direct(machine);
                continue;
            }
            Evictions.Candidate candidate = candidate(drain, run, machine, job, placement, rooms, places);
            lacks |= !candidate.mayLeave();
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
        long since = drain.replace() ? run.begun.getOrDefault(machine.id, turn.wallMs()) : drain.atMs();
        Ending ending = elastic.ending(job, placement, need(drain, since));
        boolean due = ending.way() != Ending.Way.AT_END
                && ending.way() != Ending.Way.WITHDRAW
                && ending.atMs() <= turn.now().ms() + EVERY_MS;
        boolean placed = true;
        if (spec.service() && due) {
            Machine to = rooms.take(spec);
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
                spec.gang() ? job.record.live.size() : 0,
                spec.service() ? spec.tasks() : 0,
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
        Evictions.Decision decision = Evictions.decide(all, drains.budgets(), accounts, turn.wallMs(), MOST_LEAVE);
        decision.blocked().forEach((why, count) -> {
            Machine machine = book.known(why.host());
            if (machine != null && machine.cordonedBy != null) {
                blocked.computeIfAbsent(machine.cordonedBy, k -> new TreeMap<>())
                        .merge(why.text(), count, Integer::sum);
            }
        });
        int ops = settings.stateLimits().txnOps() - 1;
        Transaction txn = election.guarded();
        Map<MachineId, Map<TaskId, MachineId>> moving = new TreeMap<>();
        List<Evictions.Candidate> stopped = new ArrayList<>();
        Set<String> teams = new HashSet<>();
        Set<String> names = new HashSet<>();
        Map<String, List<Evictions.Candidate>> taken = new HashMap<>();
        for (Evictions.Candidate candidate : decision.leave()) {
            Machine machine = book.known(candidate.host());
            boolean moves = places.containsKey(candidate.task());
            int more = (teams.contains(candidate.team()) ? 0 : 1)
                    + (names.contains(machine.cordonedBy) ? 0 : 1)
                    + (moves && !moving.containsKey(candidate.host()) ? 1 : 0);
            boolean room = teams.size() + names.size() + moving.size() + more <= Math.max(LEAST_OPS, ops)
                    && (!moves || moving.containsKey(candidate.host()) || moving.size() < MOST_MOVES);
            boolean fits = disruptions.fits(accounts.get(candidate.team()));
            if (!room || !fits) {
                accounts.get(candidate.team()).undo(candidate.task()); // in the next round
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
                moving.computeIfAbsent(candidate.host(), k -> new HashMap<>())
                        .put(candidate.task(), places.get(candidate.task()));
            } else {
                stopped.add(candidate);
            }
            taken.computeIfAbsent(machine.cordonedBy, k -> new ArrayList<>()).add(candidate);
        }
        if (teams.isEmpty()) {
            return;
        }
        teams.forEach(t -> disruptions.into(txn, t, accounts.get(t)));
        names.forEach(
                n -> txn.put(RUNS + n, counted(runs.get(n), taken.get(n), 1).toNode()));
        moving.forEach((host, to) -> moves.relocate(txn, host, book.known(host).cordonedBy, to));
        commit(txn, done -> {
            if (done) {
                teams.forEach(t -> disruptions.adopt(t, accounts.get(t)));
                moving.forEach((host, to) -> {
                    Machine machine = book.known(host);
                    if (machine != null && machine.cordonedBy != null) {
                        moves.relocated(host, machine.cordonedBy, to);
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
        Machine machine = book.known(candidate.host());
        Placement placement = machine == null ? null : machine.placements.get(candidate.task());
        if (placement != null
                && placement.attempt == candidate.attempt()
                && !placement.killSent
                && book.job(candidate.task().job()) != null) {
            LOG.info(
                    "{} try {} leaves {}: drain {}, {} CPU s",
                    placement.task,
                    placement.attempt,
                    machine.id,
                    machine.cordonedBy,
                    Math.round(candidate.lostCpuS()));
            stopping.stop(placement, candidate.cause());
            orders.direct(machine);
        }
    }

    private void write(String name) {
        if (writing || !runs.containsKey(name)) {
            dirty.add(name);
            return;
        }
        dirty.remove(name);
        commit(election.guarded().put(RUNS + name, runs.get(name).toNode()), done -> {
            if (!done) {
                dirty.add(name);
            }
        });
    }

    private void commit(Transaction txn, Consumer<Boolean> then) {
        long reign = book.reign();
        writing = true;
        requests.take(turn.now(), 1);
        writes.take(turn.now(), txn.ops());
        store.commit(txn, commit -> {
            if (reign == book.reign()) {
                writing = false;
                then.accept(commit.result() == CommitResult.Outcome.DONE);
            }
        });
    }

    // ---- what is told ----

    /** What it would cost and how long it would take, were it put now. */
    private DrainForecast.Cost foresight(Drain drain, List<Machine> hosts) {
        return DrainForecast.of(
                drain,
                hosts,
                book,
                types,
                (j, p) -> elastic.ending(j, p, need(drain, turn.wallMs())),
                turn.now().ms());
    }

    ObjectNode foresee(Drain drain) {
        List<Machine> hosts = matched(drain);
        return foresight(drain, hosts)
                .into(Codec.map().put("name", drain.name()).put("machines", hosts.size()));
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
        DrainForecast.Cost left = progress.overMs == 0 && drain.holds(turn.wallMs()) ? foresight(drain, matched) : null;
        return DrainViews.row(
                drain, progress, matched, left, blocked.getOrDefault(drain.name(), Map.of()), turn.wallMs());
    }
}
