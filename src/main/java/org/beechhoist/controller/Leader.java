package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.leadership.PeerDirectory;
import org.beechhoist.controller.leadership.WorkerReachability;
import org.beechhoist.controller.state.CancellationRegistry;
import org.beechhoist.controller.state.ChangeLog;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.controller.state.StateLoader;
import org.beechhoist.controller.state.TransactionCommitter;
import org.beechhoist.controller.worker.CancellationEnforcer;
import org.beechhoist.controller.worker.ColdStartRecovery;
import org.beechhoist.controller.worker.CommandDispatcher;
import org.beechhoist.controller.worker.FaultTracker;
import org.beechhoist.controller.worker.HeartbeatHandler;
import org.beechhoist.controller.worker.LossRecovery;
import org.beechhoist.controller.worker.PreemptionNotices;
import org.beechhoist.controller.worker.TaskEviction;
import org.beechhoist.controller.worker.TaskRemoval;
import org.beechhoist.drain.Budgets;
import org.beechhoist.plan.Plan;
import org.beechhoist.release.Release;
import org.beechhoist.store.Placement;
import org.beechhoist.store.RecordSizes;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader: joins what its rooms do, and follows the clock. What is held in memory may run ahead of the state
 * service; nothing is commanded or told before the commit that says so. See docs/design/core.md.
 */
final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);
    private static final long STALLED_MS = 120_000;
    /** How long a leader that no worker reaches leaves the lead to others, and how long it first waits to be sure. */
    private static final long MAKE_WAY_MS = 30_000;

    private static final long FIRST_REPORTS_MS = 4000;

    private final ControllerContext turn;
    private final Settings settings;
    private final LeaderElection election;
    private final PeerDirectory peers;
    private final ClusterState book;
    private final StateLoader loading;
    private final TransactionCommitter committer;
    private final ColdStartRecovery starting;
    private final CommandDispatcher orders;
    private final LossRecovery recovery;
    private final TaskRemoval departures;
    private final HeartbeatHandler reports;
    private final Provisioner provisioner;
    private final Admission admission;
    private final ElasticWidths elastic;
    private final Planner planner;
    private final Dispatch dispatch;
    private final WidthReduction narrowing;
    private final Preemption preemption;
    /** Null where cron is off: nothing of it is loaded then. */
    private final CronController schedules;
    /** Null where they are off: nothing of them is loaded then. */
    private final FleetSnapshots notes;

    private final MinimumServiceShare floor;
    private final LoadShedding overload;
    private final KeySetHolds holds;
    private final ReleaseController releases;
    private final MigrationController moves;
    private final PreemptionNotices notices;
    private final DrainController drains;
    private final CancellationRegistry cancellations;
    private final CancellationEnforcer pursuit;

    Leader(
            ControllerContext turn,
            Settings settings,
            Policy policy,
            SplittableRandom random,
            StoreClient store,
            LeaderElection election,
            TokenBucket requests,
            TokenBucket writes,
            MachineTypeCatalog types,
            UserApi users,
            IdempotencyKeys onceKeys,
            PeerDirectory peers,
            KeySetRegistry keys,
            ReleaseRegistry releaseBook,
            DrainRegistry drainBook,
            CancellationRegistry cancellations) {
        this.cancellations = cancellations;
        this.peers = peers;
        this.turn = turn;
        this.settings = settings;
        this.election = election;
        DurationEstimates estimates = new DurationEstimates();
        this.book = new ClusterState(turn, settings);
        ChangeLog log = new ChangeLog();
        RecordSizes sizes = RecordSizes.of(
                settings.stateLimits().valueBytes(), settings.stateLimits().txnOps());
        this.loading = new StateLoader(
                turn,
                store,
                election,
                requests,
                estimates,
                book,
                log,
                sizes,
                cancellations,
                new StateLoader.Listener() {
                    @Override
                    public void loaded() {
                        reports.bookLoaded();
                    }

                    @Override
                    public void cancelled(JobId ref) {
                        pursuit.cancelled(ref);
                    }

                    @Override
                    public void resized(Job job) {
                        elastic.look(job);
                    }
                });
        this.starting = new ColdStartRecovery(turn, settings, book);
        this.recovery = new LossRecovery(turn, book);
        this.orders = new CommandDispatcher(
                turn, settings, election, book, loading, starting, cancellations, new CommandDispatcher.Listener() {
                    @Override
                    public void reported(Machine machine, Heartbeat report) {
                        reports.evaluate(machine, report, false);
                    }

                    @Override
                    public void unanswered(FencingToken baton) {
                        if (baton.equals(election.baton())) {
                            committer.wantRotation();
                        }
                    }

                    @Override
                    public void fence() {
                        committer.wantRotationSoon();
                    }
                });
        DisruptionAccounting disruptions =
                new DisruptionAccounting(turn, settings, store, election, requests, writes, book, drainBook != null);
        TaskEviction stopping = new TaskEviction(book, orders, disruptions);
        this.departures = new TaskRemoval(book, stopping, recovery);
        this.holds = new KeySetHolds(turn, settings, book, orders, departures, keys);
        this.committer = new TransactionCommitter(
                turn,
                settings,
                store,
                election,
                requests,
                writes,
                book,
                loading,
                sizes,
                log,
                holds,
                peers::allHeard,
                new TransactionCommitter.Listener() {
                    @Override
                    public void placed(List<Placement> placed) {
                        launch(placed);
                    }

                    @Override
                    public void written(Job job) {
                        elastic.look(job);
                    }

                    @Override
                    public void ended(Job job, JsonNode state) {
                        users.ended(job.ref(), state);
                        recovery.over(job.ref());
                        if (floor != null) {
                            floor.ended(job);
                        }
                        releases.ended(job);
                    }
                });
        FaultTracker faults = new FaultTracker(turn, book);
        JobOrdering ordering = new JobOrdering(turn, settings, policy, book, estimates);
        this.provisioner = new Provisioner(
                turn,
                settings,
                policy,
                election,
                types,
                book,
                ordering,
                estimates,
                faults,
                departures,
                recovery,
                starting,
                this::beganAnew);
        this.elastic = new ElasticWidths(turn, policy.elastic(), book, types, estimates, stopping, departures);
        this.reports = new HeartbeatHandler(
                turn,
                settings,
                election,
                book,
                loading,
                types,
                estimates,
                departures,
                faults,
                provisioner,
                elastic,
                cancellations,
                orders);
        this.pursuit = new CancellationEnforcer(
                turn, settings, book, orders, departures, recovery, provisioner, holds, cancellations);
        this.admission = new Admission(turn, settings, types, book, faults);
        this.releases =
                new ReleaseController(turn, store, election, requests, writes, book, estimates, admission, releaseBook);
        ordering.releases(releases);
        this.dispatch = new Dispatch(turn, book, admission, estimates, elastic, types);
        this.moves = new MigrationController(
                turn,
                policy,
                store,
                election,
                requests,
                writes,
                types,
                book,
                admission,
                stopping,
                orders,
                dispatch,
                disruptions,
                () -> drainBook == null ? Budgets.NONE : drainBook.budgets());
        disruptions.moving(moves::moves);
        provisioner.kept(h -> !moves.keptOn(h).isEmpty());
        admission.keeps(moves);
        this.notices = new PreemptionNotices(turn, book, estimates, stopping, orders);
        this.planner = new Planner(
                turn,
                settings,
                policy,
                random,
                types,
                book,
                estimates,
                ordering,
                admission,
                provisioner,
                elastic,
                starting,
                moves,
                notices);
        this.narrowing =
                new WidthReduction(turn, policy, types, book, ordering, admission, provisioner.renting(), elastic);
        this.preemption = new Preemption(turn, policy, types, book, ordering, admission, stopping);
        this.schedules = policy.cron().on()
                ? new CronController(turn, settings, store, election, requests, writes, book, loading, users, onceKeys)
                : null;
        this.notes = policy.fleetNotes()
                ? new FleetSnapshots(turn, settings, store, election, requests, writes, book)
                : null;
        this.floor = policy.servedFloor()
                ? new MinimumServiceShare(
                        turn,
                        settings,
                        store,
                        election,
                        requests,
                        writes,
                        book,
                        estimates,
                        ordering,
                        h -> types.get(h.type) == null ? 0 : types.get(h.type).cpus())
                : null;
        this.drains = new DrainController(
                turn,
                settings,
                store,
                election,
                requests,
                writes,
                book,
                types,
                admission,
                stopping,
                orders,
                provisioner,
                elastic,
                moves,
                disruptions,
                new RollingReplacement(
                        turn,
                        book,
                        provisioner,
                        faults,
                        ordering,
                        recovery,
                        () -> floor == null ? Map.of() : floor.shares()),
                drainBook);
        this.overload = policy.triage()
                ? new LoadShedding(
                        turn,
                        settings,
                        types,
                        book,
                        estimates,
                        ordering,
                        admission,
                        provisioner.renting(),
                        () -> floor == null ? Map.of() : floor.shares(),
                        j -> floor == null ? MinimumServiceShare.groups(j.spec()) : floor.groups(j))
                : null;
    }

    void begin() {
        book.reset();
        cancellations.begin();
        starting.begin();
        planner.begin();
        committer.reset();
        provisioner.reset(election.baton());
        releases.begin();
        moves.begin();
        drains.begin();
        loading.reload();
        if (notes != null) {
            notes.begin();
        }
        if (floor != null) {
            floor.begin();
        }
        if (schedules != null) {
            schedules.begin();
        }
    }

    void end() {
        if (schedules != null) {
            schedules.end();
        }
        loading.end();
        book.reset();
        planner.end();
    }

    /** Whether it may command, and knows all open jobs. */
    boolean active() {
        return loading.active();
    }

    /** Answers a worker's report. */
    void checkin(long request, Heartbeat heartbeat) {
        reports.checkin(request, heartbeat);
    }

    /**
     * A machine was asked and its worker says less than before: it stopped and is back with its name and a worker that knows
     * nothing. What was on it is gone with that; but commands for its first session, which may still be on their way, would be
     * carried out. So what the new one does not hold is gone once it has seen a newer token.
     */
    private void beganAnew(Machine machine, Heartbeat heartbeat) {
        LOG.info("{} began anew: session {}, message {}", machine.id, heartbeat.shift(), heartbeat.counter());
        machine.newest(heartbeat, turn.now());
        machine.sessionHeard = turn.now();
        machine.lastCheckin = null;
        machine.images.clear();
        machine.limbo = election.baton();
        machine.ghosts = election.baton();
        committer.wantRotation();
        for (Placement placement : machine.placements.values()) {
            if (placement.sent) {
                placement.sentShift = heartbeat.shift();
                placement.sentCounter = heartbeat.counter();
            }
        }
        book.replan();
    }

    private void launch(List<Placement> placed) {
        placed.forEach(recovery::placed);
        Set<Machine> reached = new LinkedHashSet<>();
        for (Placement placement : placed) {
            Job job = book.job(placement.task.job());
            if (elastic.withdraws(job, placement, book.host(placement.host))) {
                departures.remove(job, placement);
            } else {
                departures.launch(placement);
            }
            reached.add(book.host(placement.host));
        }
        reached.forEach(orders::direct);
    }

    /** A job's cancellation is committed, as another node says or this one's user was told. */
    void cancelled(JobId ref) {
        if (election.valid()) {
            pursuit.cancelled(ref);
        }
    }

    /** Whether it is certain that no task of a cancelled job starts any more: what may have been launched is gone, or was seen running. */
    boolean noTaskCanStart(JobId ref) {
        Job job = book.job(ref);
        return active()
                && (job == null || job.record.live.values().stream().allMatch(p -> !p.sent || p.running != null));
    }

    /** A key set has changed. */
    void keysChanged() {
        holds.changed();
    }

    /** A release has changed. */
    void releaseChanged(Release before, Release now) {
        releases.changed(before, now);
    }

    // ---- what can be seen of it ----

    ReleaseController releases() {
        return releases;
    }

    DrainController drains() {
        return drains;
    }

    ClusterState book() {
        return book;
    }

    /** Jobs that wait to be written. */
    int backlog() {
        return committer.backlog();
    }

    LossRecovery recovery() {
        return recovery;
    }

    /** Null where it is off. */
    MinimumServiceShare floor() {
        return floor;
    }

    ColdStartRecovery starting() {
        return starting;
    }

    Planner planner() {
        return planner;
    }

    Admission admission() {
        return admission;
    }

    ElasticWidths elastic() {
        return elastic;
    }

    // ---- time ----

    void tick() {
        if (!election.valid()) {
            return;
        }
        pursuit.tick();
        if (!active()) {
            provisioner.returnOverdue();
            return;
        }
        if (deaf()) {
            return;
        }
        starting.tick();
        for (Machine machine : new ArrayList<>(book.hosts())) {
            if (!machine.placements.isEmpty()
                    && book.lapse(machine).before(turn.now())
                    && machine.placements.values().stream().allMatch(p -> p.committed)) {
                departures.clear(machine, "its lease ran out");
            }
            orders.direct(machine);
        }
        holds.tick();
        notices.tick();
        elastic.tick();
        if (overload != null) {
            overload.tick();
        }
        book.replan();
        provisioner.tick(planner.current());
        logStalled();
        releases.tick(planner);
        moves.tick(planner.current());
        drains.tick(planner);
        if (notes != null) {
            notes.tick();
        }
        if (floor != null) {
            floor.tick();
        }
        if (schedules != null) {
            schedules.tick();
        }
    }

    /** Whether no worker reaches this node while it leads; the lead is given up then. */
    private boolean deaf() {
        long window =
                WorkerReachability.window(Math.round(1000 * settings.workers().reportS()));
        if (turn.now().since(book.wonAt()) < window + FIRST_REPORTS_MS) {
            return false;
        }
        int up = 0;
        int heard = 0;
        int unhearing = 0;
        for (Machine machine : book.hosts()) {
            if (machine.known() && machine.there && !machine.returning && (machine.up || machine.listedUp)) {
                up++;
                heard += machine.lastHeard != null && turn.now().since(machine.lastHeard) < window ? 1 : 0;
                unhearing += machine.ears.speaksOn() ? 1 : 0;
            }
        }
        if (WorkerReachability.mute(up, unhearing)) {
            LOG.warn("{} of {} machines speak and don't hear this node: another is to lead", unhearing, up);
            election.makeWay("what this node says does not reach workers", MAKE_WAY_MS);
            return true;
        }
        if (!WorkerReachability.deaf(up, heard, peers.reportsElsewhere(turn.now()))) {
            return false;
        }
        LOG.warn("{} of {} machines reach this node: another is to lead", heard, up);
        election.makeWay("workers can't reach this node", MAKE_WAY_MS);
        return true;
    }

    /** The schedules, or null. */
    CronController schedules() {
        return schedules;
    }

    private void logStalled() {
        for (Job job : book.jobs()) {
            boolean serves = job.spec().service() && elastic.sure(job) == 0;
            if (!serves && turn.now().since(job.lastProgress) > STALLED_MS) {
                job.lastProgress = turn.now();
                Plan plan = planner.current();
                Long start = plan == null ? null : plan.plannedStart(job.ref());
                LOG.warn(
                        "{} makes no progress: {} waiting, {} placed, {}",
                        job.ref(),
                        job.record.waitingCount(),
                        job.record.live.size(),
                        job.hold != null
                                ? "held: " + job.hold.why()
                                : ElasticWidths.held(job) != null
                                        ? ElasticWidths.held(job)
                                        : job.record.reason != null
                                                ? job.record.reason
                                                : start == null
                                                        ? "no place in the plan"
                                                        : "planned in "
                                                                + (start
                                                                                - turn.now()
                                                                                        .ms())
                                                                        / 1000 + " s");
            }
        }
    }

    /** What follows once an input has been taken. */
    void settleTurn() {
        if (plans() && planner.due()) {
            holds.look();
            releases.look();
            Plan plan = planner.plan();
            moves.startMoved();
            dispatch.dispatch(plan);
            Map<String, double[]> used = book.usedByTeams(); // deciding who goes changes nothing of it
            if (starting.mayStop()) {
                narrowing.run(plan, used);
                preemption.run(plan, used);
            }
            planner.pace();
        }
        committer.pump();
        if (plans()) {
            planner.searchStep();
        }
    }

    /** Whether work may be placed: what is begun while a cancellation may not be known could not be kept. */
    private boolean plans() {
        return active() && cancellations.mayRenew();
    }

    boolean wantsPlan() {
        return planner.wantsTurn() && plans();
    }

    /** When the next plan or step of the search is due. */
    MonotonicTime nextPlan() {
        return planner.next();
    }
}
