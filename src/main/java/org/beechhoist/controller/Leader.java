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
import org.beechhoist.controller.leadership.ControllerServices;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.leadership.PeerDirectory;
import org.beechhoist.controller.leadership.WorkerReachability;
import org.beechhoist.controller.state.CancellationRegistry;
import org.beechhoist.controller.state.ChangeLog;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.LeaderState;
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

    private final ControllerContext context;
    private final Settings settings;
    private final LeaderElection election;
    private final PeerDirectory peers;
    private final ClusterState clusterState;
    private final StateLoader loader;
    private final TransactionCommitter committer;
    private final ColdStartRecovery coldStart;
    private final CommandDispatcher dispatcher;
    private final LossRecovery lossRecovery;
    private final TaskRemoval taskRemoval;
    private final HeartbeatHandler heartbeats;
    private final Provisioner provisioner;
    private final Admission admission;
    private final ElasticWidths elastic;
    private final Planner planner;
    private final Dispatch dispatch;
    private final WidthReduction widthReduction;
    private final Preemption preemption;
    /** Null where cron is off: nothing of it is loaded then. */
    private final CronController schedules;
    /** Null where they are off: nothing of them is loaded then. */
    private final FleetSnapshots fleetSnapshots;

    private final MinimumServiceShare serviceShare;
    private final LoadShedding loadShedding;
    private final KeySetHolds holds;
    private final ReleaseController releases;
    private final MigrationController migrations;
    private final PreemptionNotices preemptionNotices;
    private final DrainController drains;
    private final CancellationRegistry cancellations;
    private final CancellationEnforcer cancellationEnforcer;

    Leader(
            ControllerContext context,
            Settings settings,
            Policy policy,
            SplittableRandom random,
            StoreClient store,
            LeaderElection election,
            TokenBucket requests,
            TokenBucket writes,
            MachineTypeCatalog machineTypes,
            UserApi users,
            IdempotencyKeys onceKeys,
            PeerDirectory peers,
            KeySetRegistry keys,
            ReleaseRegistry releaseBook,
            DrainRegistry drainBook,
            CancellationRegistry cancellations) {
        this.cancellations = cancellations;
        this.peers = peers;
        this.context = context;
        this.settings = settings;
        this.election = election;
        DurationEstimates estimates = new DurationEstimates();
        this.clusterState = new ClusterState(context, settings);
        ChangeLog changeLog = new ChangeLog();
        ControllerServices services = new ControllerServices(context, settings, store, requests, writes, election);
        this.loader = new StateLoader(
                services, clusterState, estimates, changeLog, cancellations, new StateLoader.Listener() {
                    @Override
                    public void stateLoaded() {
                        heartbeats.stateLoaded();
                    }

                    @Override
                    public void jobCancelled(JobId jobId) {
                        cancellationEnforcer.jobCancelled(jobId);
                    }

                    @Override
                    public void jobResized(Job job) {
                        elastic.look(job);
                    }
                });
        LeaderState state = new LeaderState(clusterState, loader, machineTypes, estimates, cancellations);
        this.coldStart = new ColdStartRecovery(context, settings, clusterState);
        this.lossRecovery = new LossRecovery(context, clusterState);
        this.dispatcher = new CommandDispatcher(services, state, coldStart, new CommandDispatcher.Listener() {
            @Override
            public void heartbeatReceived(Machine machine, Heartbeat report) {
                heartbeats.reconcile(machine, report, false);
            }

            @Override
            public void launchUnacknowledged(FencingToken fencingToken) {
                if (fencingToken.equals(election.fencingToken())) {
                    committer.requestTokenRotation();
                }
            }

            @Override
            public void fencingRequested() {
                committer.requestUrgentTokenRotation();
            }
        });
        DisruptionAccounting disruptions = new DisruptionAccounting(
                context, settings, store, election, requests, writes, clusterState, drainBook != null);
        TaskEviction eviction = new TaskEviction(clusterState, dispatcher, disruptions);
        this.taskRemoval = new TaskRemoval(clusterState, eviction, lossRecovery);
        this.holds = new KeySetHolds(context, settings, clusterState, dispatcher, taskRemoval, keys);
        this.committer = new TransactionCommitter(
                services,
                clusterState,
                loader,
                changeLog,
                holds,
                peers::hasHeardAll,
                new TransactionCommitter.Listener() {
                    @Override
                    public void placementsCommitted(List<Placement> placed) {
                        launch(placed);
                    }

                    @Override
                    public void jobWritten(Job job) {
                        elastic.look(job);
                    }

                    @Override
                    public void jobEnded(Job job, JsonNode state) {
                        users.ended(job.id(), state);
                        lossRecovery.forgetJob(job.id());
                        if (serviceShare != null) {
                            serviceShare.ended(job);
                        }
                        releases.ended(job);
                    }
                });
        FaultTracker faultTracker = new FaultTracker(context, clusterState);
        JobOrdering ordering = new JobOrdering(context, settings, policy, clusterState, estimates);
        this.provisioner = new Provisioner(
                services,
                policy,
                machineTypes,
                clusterState,
                ordering,
                estimates,
                faultTracker,
                taskRemoval,
                lossRecovery,
                coldStart,
                this::beganAnew);
        this.elastic = new ElasticWidths(
                context, policy.elastic(), clusterState, machineTypes, estimates, eviction, taskRemoval);
        this.heartbeats =
                new HeartbeatHandler(services, state, dispatcher, taskRemoval, faultTracker, provisioner, elastic);
        this.cancellationEnforcer =
                new CancellationEnforcer(services, state, dispatcher, taskRemoval, lossRecovery, provisioner, holds);
        this.admission = new Admission(context, settings, machineTypes, clusterState, faultTracker);
        this.releases = new ReleaseController(
                context, store, election, requests, writes, clusterState, estimates, admission, releaseBook);
        ordering.releases(releases);
        this.dispatch = new Dispatch(context, clusterState, admission, estimates, elastic, machineTypes);
        this.migrations = new MigrationController(
                context,
                policy,
                store,
                election,
                requests,
                writes,
                machineTypes,
                clusterState,
                admission,
                eviction,
                dispatcher,
                dispatch,
                disruptions,
                () -> drainBook == null ? Budgets.NONE : drainBook.budgets());
        disruptions.moving(migrations::moves);
        provisioner.kept(h -> !migrations.keptOn(h).isEmpty());
        admission.keeps(migrations);
        this.preemptionNotices = new PreemptionNotices(context, clusterState, estimates, eviction, dispatcher);
        this.planner = new Planner(
                context,
                settings,
                policy,
                random,
                machineTypes,
                clusterState,
                estimates,
                ordering,
                admission,
                provisioner,
                elastic,
                coldStart,
                migrations,
                preemptionNotices);
        this.widthReduction = new WidthReduction(
                context, policy, machineTypes, clusterState, ordering, admission, provisioner.renting(), elastic);
        this.preemption = new Preemption(context, policy, machineTypes, clusterState, ordering, admission, eviction);
        this.schedules = policy.cron().on()
                ? new CronController(
                        context, settings, store, election, requests, writes, clusterState, loader, users, onceKeys)
                : null;
        this.fleetSnapshots = policy.fleetNotes()
                ? new FleetSnapshots(context, settings, store, election, requests, writes, clusterState)
                : null;
        this.serviceShare = policy.servedFloor()
                ? new MinimumServiceShare(
                        context,
                        settings,
                        store,
                        election,
                        requests,
                        writes,
                        clusterState,
                        estimates,
                        ordering,
                        h -> machineTypes.get(h.type) == null
                                ? 0
                                : machineTypes.get(h.type).cpus())
                : null;
        this.drains = new DrainController(
                context,
                settings,
                store,
                election,
                requests,
                writes,
                clusterState,
                machineTypes,
                admission,
                eviction,
                dispatcher,
                provisioner,
                elastic,
                migrations,
                disruptions,
                new RollingReplacement(
                        context,
                        clusterState,
                        provisioner,
                        faultTracker,
                        ordering,
                        lossRecovery,
                        () -> serviceShare == null ? Map.of() : serviceShare.shares()),
                drainBook);
        this.loadShedding = policy.triage()
                ? new LoadShedding(
                        context,
                        settings,
                        machineTypes,
                        clusterState,
                        estimates,
                        ordering,
                        admission,
                        provisioner.renting(),
                        () -> serviceShare == null ? Map.of() : serviceShare.shares(),
                        j -> serviceShare == null ? MinimumServiceShare.groups(j.spec()) : serviceShare.groups(j))
                : null;
    }

    void begin() {
        clusterState.reset();
        cancellations.reset();
        coldStart.begin();
        planner.begin();
        committer.reset();
        provisioner.reset(election.fencingToken());
        releases.begin();
        migrations.begin();
        drains.begin();
        loader.reload();
        if (fleetSnapshots != null) {
            fleetSnapshots.begin();
        }
        if (serviceShare != null) {
            serviceShare.begin();
        }
        if (schedules != null) {
            schedules.begin();
        }
    }

    void end() {
        if (schedules != null) {
            schedules.end();
        }
        loader.stop();
        clusterState.reset();
        planner.end();
    }

    /** Whether it may command, and knows all open jobs. */
    boolean active() {
        return loader.isActive();
    }

    /** Answers a worker's report. */
    void checkin(long request, Heartbeat heartbeat) {
        heartbeats.handle(request, heartbeat);
    }

    /**
     * A machine was asked and its worker says less than before: it stopped and is back with its name and a worker that knows
     * nothing. What was on it is gone with that; but commands for its first session, which may still be on their way, would be
     * carried out. So what the new one does not hold is gone once it has seen a newer token.
     */
    private void beganAnew(Machine machine, Heartbeat heartbeat) {
        LOG.info("{} began anew: session {}, message {}", machine.id, heartbeat.epoch(), heartbeat.sequence());
        machine.recordNewest(heartbeat, context.now());
        machine.epochFirstHeardAt = context.now();
        machine.lastHeartbeat = null;
        machine.images.clear();
        machine.unacknowledgedToken = election.fencingToken();
        machine.previousIncarnationToken = election.fencingToken();
        committer.requestTokenRotation();
        for (Placement placement : machine.placements.values()) {
            if (placement.launchSent) {
                placement.launchEpoch = heartbeat.epoch();
                placement.launchSequence = heartbeat.sequence();
            }
        }
        clusterState.requestReplan();
    }

    private void launch(List<Placement> placed) {
        placed.forEach(lossRecovery::recordPlaced);
        Set<Machine> reached = new LinkedHashSet<>();
        for (Placement placement : placed) {
            Job job = clusterState.job(placement.task.job());
            if (elastic.withdraws(job, placement, clusterState.machine(placement.machine))) {
                taskRemoval.remove(job, placement);
            } else {
                taskRemoval.launch(placement);
            }
            reached.add(clusterState.machine(placement.machine));
        }
        reached.forEach(dispatcher::dispatch);
    }

    /** A job's cancellation is committed, as another node says or this one's user was told. */
    void cancelled(JobId jobId) {
        if (election.holdsLease()) {
            cancellationEnforcer.jobCancelled(jobId);
        }
    }

    /** Whether it is certain that no task of a cancelled job starts any more: what may have been launched is gone, or was seen running. */
    boolean noTaskCanStart(JobId jobId) {
        Job job = clusterState.job(jobId);
        return active()
                && (job == null
                        || job.record.live.values().stream().allMatch(p -> !p.launchSent || p.runningSince != null));
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
        return clusterState;
    }

    /** Jobs that wait to be written. */
    int backlog() {
        return committer.pendingWrites();
    }

    LossRecovery recovery() {
        return lossRecovery;
    }

    /** Null where it is off. */
    MinimumServiceShare floor() {
        return serviceShare;
    }

    ColdStartRecovery starting() {
        return coldStart;
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
        if (!election.holdsLease()) {
            return;
        }
        cancellationEnforcer.enforce();
        if (!active()) {
            provisioner.returnOverdue();
            return;
        }
        if (deaf()) {
            return;
        }
        coldStart.advance();
        for (Machine machine : new ArrayList<>(clusterState.machines())) {
            if (!machine.placements.isEmpty()
                    && clusterState.leaseExpiry(machine).isBefore(context.now())
                    && machine.placements.values().stream().allMatch(p -> p.committed)) {
                taskRemoval.removeAll(machine, "its lease ran out");
            }
            dispatcher.dispatch(machine);
        }
        holds.tick();
        preemptionNotices.enforce();
        elastic.tick();
        if (loadShedding != null) {
            loadShedding.tick();
        }
        clusterState.requestReplan();
        provisioner.tick(planner.current());
        logStalled();
        releases.tick(planner);
        migrations.tick(planner.current());
        drains.tick(planner);
        if (fleetSnapshots != null) {
            fleetSnapshots.tick();
        }
        if (serviceShare != null) {
            serviceShare.tick();
        }
        if (schedules != null) {
            schedules.tick();
        }
    }

    /** Whether no worker reaches this node while it leads; the lead is given up then. */
    private boolean deaf() {
        long window = WorkerReachability.reportingWindowMs(
                Math.round(1000 * settings.workers().reportS()));
        if (context.now().since(clusterState.termBeganAt()) < window + FIRST_REPORTS_MS) {
            return false;
        }
        int up = 0;
        int heard = 0;
        int unhearing = 0;
        for (Machine machine : clusterState.machines()) {
            if (machine.isKnown()
                    && machine.confirmedPresent
                    && !machine.releasing
                    && (machine.up || machine.listedRunning)) {
                up++;
                heard += machine.lastHeardAt != null && context.now().since(machine.lastHeardAt) < window ? 1 : 0;
                unhearing += machine.reachability.isOneWay() ? 1 : 0;
            }
        }
        if (WorkerReachability.isUnheard(up, unhearing)) {
            LOG.warn("{} of {} machines speak and don't hear this node: another is to lead", unhearing, up);
            election.stepDown("what this node says does not reach workers", MAKE_WAY_MS);
            return true;
        }
        if (!WorkerReachability.isUnreachable(up, heard, peers.heartbeatsAtPeers(context.now()))) {
            return false;
        }
        LOG.warn("{} of {} machines reach this node: another is to lead", heard, up);
        election.stepDown("workers can't reach this node", MAKE_WAY_MS);
        return true;
    }

    /** The schedules, or null. */
    CronController schedules() {
        return schedules;
    }

    private void logStalled() {
        for (Job job : clusterState.jobs()) {
            boolean serves = job.spec().isService() && elastic.sure(job) == 0;
            if (!serves && context.now().since(job.lastProgress) > STALLED_MS) {
                job.lastProgress = context.now();
                Plan plan = planner.current();
                Long start = plan == null ? null : plan.plannedStart(job.id());
                LOG.warn(
                        "{} makes no progress: {} waiting, {} placed, {}",
                        job.id(),
                        job.record.waitingCount(),
                        job.record.live.size(),
                        job.keySetHold != null
                                ? "held: " + job.keySetHold.why()
                                : ElasticWidths.held(job) != null
                                        ? ElasticWidths.held(job)
                                        : job.record.failureReason != null
                                                ? job.record.failureReason
                                                : start == null
                                                        ? "no place in the plan"
                                                        : "planned in "
                                                                + (start
                                                                                - context.now()
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
            migrations.startMoved();
            dispatch.dispatch(plan);
            Map<String, double[]> used = clusterState.teamUsage(); // deciding who goes changes nothing of it
            if (coldStart.mayStop()) {
                widthReduction.run(plan, used);
                preemption.run(plan, used);
            }
            planner.pace();
        }
        committer.commitPending();
        if (plans()) {
            planner.searchStep();
        }
    }

    /** Whether work may be placed: what is begun while a cancellation may not be known could not be kept. */
    private boolean plans() {
        return active() && cancellations.mayRenewLeases();
    }

    boolean wantsPlan() {
        return planner.wantsTurn() && plans();
    }

    /** When the next plan or step of the search is due. */
    MonotonicTime nextPlan() {
        return planner.next();
    }
}
