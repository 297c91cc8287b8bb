package org.beechhoist.core;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.drain.Budgets;
import org.beechhoist.plan.Plan;
import org.beechhoist.release.Release;
import org.beechhoist.store.Budget;
import org.beechhoist.store.Placement;
import org.beechhoist.store.Sizes;
import org.beechhoist.store.StoreClient;
import org.beechhoist.wire.Baton;
import org.beechhoist.wire.HostReport;
import org.beechhoist.wire.JobRef;
import org.beechhoist.wire.Tick;
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

    private final Turn turn;
    private final Settings settings;
    private final Election election;
    private final Peers peers;
    private final Book book;
    private final Loading loading;
    private final Committer committer;
    private final Starting starting;
    private final Orders orders;
    private final Recovery recovery;
    private final Departures departures;
    private final Reports reports;
    private final Provisioner provisioner;
    private final Admission admission;
    private final Elastic elastic;
    private final Planner planner;
    private final Dispatch dispatch;
    private final Narrowing narrowing;
    private final Preemption preemption;
    /** Null where cron is off: nothing of it is loaded then. */
    private final Schedules schedules;
    /** Null where they are off: nothing of them is loaded then. */
    private final FleetNotes notes;

    private final ServedFloor floor;
    private final Overload overload;
    private final KeyHolds holds;
    private final ReleaseDesk releases;
    private final MoveDesk moves;
    private final Notices notices;
    private final DrainDesk drains;
    private final Cancellations cancellations;
    private final Pursuit pursuit;

    Leader(
            Turn turn,
            Settings settings,
            Policy policy,
            SplittableRandom random,
            StoreClient store,
            Election election,
            Budget requests,
            Budget writes,
            Types types,
            UserApi users,
            OnceKeys onceKeys,
            Peers peers,
            KeyBook keys,
            ReleaseBook releaseBook,
            DrainBook drainBook,
            Cancellations cancellations) {
        this.cancellations = cancellations;
        this.peers = peers;
        this.turn = turn;
        this.settings = settings;
        this.election = election;
        Estimates estimates = new Estimates();
        this.book = new Book(turn, settings);
        TaskLog log = new TaskLog();
        Sizes sizes = Sizes.of(
                settings.stateLimits().valueBytes(), settings.stateLimits().txnOps());
        this.loading = new Loading(
                turn, store, election, requests, estimates, book, log, sizes, cancellations, new Loading.Listener() {
                    @Override
                    public void loaded() {
                        reports.bookLoaded();
                    }

                    @Override
                    public void cancelled(JobRef ref) {
                        pursuit.cancelled(ref);
                    }

                    @Override
                    public void resized(Job job) {
                        elastic.look(job);
                    }
                });
        this.starting = new Starting(turn, settings, book);
        this.recovery = new Recovery(turn, book);
        this.orders =
                new Orders(turn, settings, election, book, loading, starting, cancellations, new Orders.Listener() {
                    @Override
                    public void reported(Host machine, HostReport report) {
                        reports.evaluate(machine, report, false);
                    }

                    @Override
                    public void unanswered(Baton baton) {
                        if (baton.equals(election.baton())) {
                            committer.wantRotation();
                        }
                    }

                    @Override
                    public void fence() {
                        committer.wantRotationSoon();
                    }
                });
        Disruptions disruptions =
                new Disruptions(turn, settings, store, election, requests, writes, book, drainBook != null);
        Stopping stopping = new Stopping(book, orders, disruptions);
        this.departures = new Departures(book, stopping, recovery);
        this.holds = new KeyHolds(turn, settings, book, orders, departures, keys);
        this.committer = new Committer(
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
                new Committer.Listener() {
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
        Faults faults = new Faults(turn, book);
        Ordering ordering = new Ordering(turn, settings, policy, book, estimates);
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
        this.elastic = new Elastic(turn, policy.elastic(), book, types, estimates, stopping, departures);
        this.reports = new Reports(
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
        this.pursuit =
                new Pursuit(turn, settings, book, orders, departures, recovery, provisioner, holds, cancellations);
        this.admission = new Admission(turn, settings, types, book, faults);
        this.releases =
                new ReleaseDesk(turn, store, election, requests, writes, book, estimates, admission, releaseBook);
        ordering.releases(releases);
        this.dispatch = new Dispatch(turn, book, admission, estimates, elastic, types);
        this.moves = new MoveDesk(
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
        this.notices = new Notices(turn, book, estimates, stopping, orders);
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
        this.narrowing = new Narrowing(turn, policy, types, book, ordering, admission, provisioner.renting(), elastic);
        this.preemption = new Preemption(turn, policy, types, book, ordering, admission, stopping);
        this.schedules = policy.cron().on()
                ? new Schedules(turn, settings, store, election, requests, writes, book, loading, users, onceKeys)
                : null;
        this.notes =
                policy.fleetNotes() ? new FleetNotes(turn, settings, store, election, requests, writes, book) : null;
        this.floor = policy.servedFloor()
                ? new ServedFloor(
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
        this.drains = new DrainDesk(
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
                new Rollouts(
                        turn,
                        book,
                        provisioner,
                        faults,
                        ordering,
                        recovery,
                        () -> floor == null ? Map.of() : floor.shares()),
                drainBook);
        this.overload = policy.triage()
                ? new Overload(
                        turn,
                        settings,
                        types,
                        book,
                        estimates,
                        ordering,
                        admission,
                        provisioner.renting(),
                        () -> floor == null ? Map.of() : floor.shares(),
                        j -> floor == null ? ServedFloor.groups(j.spec()) : floor.groups(j))
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
    void checkin(long request, HostReport heartbeat) {
        reports.checkin(request, heartbeat);
    }

    /**
     * A machine was asked and its worker says less than before: it stopped and is back with its name and a worker that knows
     * nothing. What was on it is gone with that; but commands for its first session, which may still be on their way, would be
     * carried out. So what the new one does not hold is gone once it has seen a newer token.
     */
    private void beganAnew(Host machine, HostReport heartbeat) {
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
        Set<Host> reached = new LinkedHashSet<>();
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
    void cancelled(JobRef ref) {
        if (election.valid()) {
            pursuit.cancelled(ref);
        }
    }

    /** Whether it is certain that no task of a cancelled job starts any more: what may have been launched is gone, or was seen running. */
    boolean noTaskCanStart(JobRef ref) {
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

    ReleaseDesk releases() {
        return releases;
    }

    DrainDesk drains() {
        return drains;
    }

    Book book() {
        return book;
    }

    /** Jobs that wait to be written. */
    int backlog() {
        return committer.backlog();
    }

    Recovery recovery() {
        return recovery;
    }

    /** Null where it is off. */
    ServedFloor floor() {
        return floor;
    }

    Starting starting() {
        return starting;
    }

    Planner planner() {
        return planner;
    }

    Admission admission() {
        return admission;
    }

    Elastic elastic() {
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
        for (Host machine : new ArrayList<>(book.hosts())) {
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
        long window = Hearing.window(Math.round(1000 * settings.workers().reportS()));
        if (turn.now().since(book.wonAt()) < window + FIRST_REPORTS_MS) {
            return false;
        }
        int up = 0;
        int heard = 0;
        int unhearing = 0;
        for (Host machine : book.hosts()) {
            if (machine.known() && machine.there && !machine.returning && (machine.up || machine.listedUp)) {
                up++;
                heard += machine.lastHeard != null && turn.now().since(machine.lastHeard) < window ? 1 : 0;
                unhearing += machine.ears.speaksOn() ? 1 : 0;
            }
        }
        if (Hearing.mute(up, unhearing)) {
            LOG.warn("{} of {} machines speak and don't hear this node: another is to lead", unhearing, up);
            election.makeWay("what this node says does not reach workers", MAKE_WAY_MS);
            return true;
        }
        if (!Hearing.deaf(up, heard, peers.reportsElsewhere(turn.now()))) {
            return false;
        }
        LOG.warn("{} of {} machines reach this node: another is to lead", heard, up);
        election.makeWay("workers can't reach this node", MAKE_WAY_MS);
        return true;
    }

    /** The schedules, or null. */
    Schedules schedules() {
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
                                : Elastic.held(job) != null
                                        ? Elastic.held(job)
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
    Tick nextPlan() {
        return planner.next();
    }
}
