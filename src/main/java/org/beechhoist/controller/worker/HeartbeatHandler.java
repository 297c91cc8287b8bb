package org.beechhoist.controller.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.CancellationRegistry;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineReachability;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.controller.state.StateLoader;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.TaskId;
import org.beechhoist.wire.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What workers' reports prove, and the commands that answer them. */
public final class HeartbeatHandler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);
    /** What a recovered task's placement and image took. */
    private static final long USUAL_FETCH_MS = 3000;
    /** How long a machine whose silence was noticed has to answer, once a report of it has come that may be old. */
    private static final long ANSWERS_MS = 3000;

    private final ControllerContext turn;
    private final Settings settings;
    private final LeaderElection election;
    private final ClusterState book;
    private final StateLoader loading;
    private final MachineTypeCatalog types;
    private final DurationEstimates estimates;
    private final TaskRemoval departures;
    private final FaultTracker faults;
    private final MachineReleases releases;
    private final LaunchWithdrawal withdrawal;
    private final CancellationRegistry cancellations;
    private final CommandDispatcher direct;

    public HeartbeatHandler(
            ControllerContext turn,
            Settings settings,
            LeaderElection election,
            ClusterState book,
            StateLoader loading,
            MachineTypeCatalog types,
            DurationEstimates estimates,
            TaskRemoval departures,
            FaultTracker faults,
            MachineReleases releases,
            LaunchWithdrawal withdrawal,
            CancellationRegistry cancellations,
            CommandDispatcher direct) {
        this.cancellations = cancellations;
        this.direct = direct;
        this.turn = turn;
        this.settings = settings;
        this.election = election;
        this.book = book;
        this.loading = loading;
        this.types = types;
        this.estimates = estimates;
        this.departures = departures;
        this.faults = faults;
        this.releases = releases;
        this.withdrawal = withdrawal;
    }

    /** The records were read anew: what the machines last said is held against them. */
    public void bookLoaded() {
        for (Machine machine : book.hosts()) {
            if (machine.lastCheckin != null) {
                evaluate(machine, machine.lastCheckin, true);
            }
        }
    }

    /** Answers a worker's report. */
    public void checkin(long request, Heartbeat heartbeat) {
        if (releases.gone(heartbeat.host())) {
            turn.answer(request, 503, null); // a late report: the machine has been returned
            return;
        }
        Machine machine = book.host(heartbeat.host());
        boolean fresh = machine.lastCheckin == null
                ? heartbeat.newerThan(machine.shift, machine.counter - 1)
                : heartbeat.newerThan(machine.shift, machine.counter);
        HeartbeatValidity standing = HeartbeatValidity.of(
                heartbeat,
                fresh,
                machine.ghosts,
                election.firstBaton(),
                turn.now().since(machine.newestAt));
        if (!standing.mayRenew()) {
            turn.answer(
                    request, 503, null); // a worker that began anew speaks like this, too, until it is asked (Silence)
            return;
        }
        boolean hearing = !machine.ears.deaf();
        if (standing.tells()) {
            take(machine, heartbeat, standing);
        }
        List<WorkerCommand> orders = new ArrayList<>();
        boolean renews = cancellations.mayRenew();
        if (loading.complete() && standing.tells()) {
            orders.addAll(evaluate(machine, heartbeat, true));
            if (renews) {
                launch(machine, heartbeat, orders);
            }
            if (hearing && machine.ears.deaf()) {
                LOG.info(
                        "{} speaks but does not hear: it gets nothing new, {} tasks are on their way to it",
                        machine.id,
                        machine.placedAndSeen(false));
                book.replan();
            }
        } else if (standing.tells()) {
            orders.addAll(kills(heartbeat)); // whatever the book says once it is read
        }
        if (!renews) {
            LOG.debug("{} is sent away: what is known of cancellations is too old to renew its lease", machine.id);
            killAtOnce(machine, orders);
            turn.answer(request, 503, null);
            return;
        }
        machine.answeredNewest = standing.tells();
        machine.lastAnswered = turn.now();
        ObjectNode body = Codec.map().put("baton", election.baton().value());
        body.set("orders", WorkerCommand.toNode(orders));
        MonotonicTime until = cancellations.renewUntil();
        turn.answer(request, 200, body, until.before(election.validUntil()) ? until : election.validUntil());
    }

    /** Kills of what is there though its job is known to be cancelled; nothing else is known of the book now. */
    private List<WorkerCommand> kills(Heartbeat heartbeat) {
        List<WorkerCommand> out = new ArrayList<>();
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            if (status.state() != Heartbeat.TaskState.EXITED
                    && cancellations.knows(status.task().job())) {
                out.add(WorkerCommand.kill(status.task(), status.attempt(), 0));
            }
        }
        return out;
    }

    /** The answer is none that a worker acts on: what it is to end goes straight to it. */
    private void killAtOnce(Machine machine, List<WorkerCommand> orders) {
        List<WorkerCommand> kills = orders.stream()
                .filter(o -> o.verb() == WorkerCommand.Verb.KILL && !machine.outbox.contains(o))
                .toList();
        machine.outbox.addAll(kills);
        if (!kills.isEmpty()) {
            direct.direct(machine);
        }
    }

    /** Nothing newer is known of the machine; whether it is more than a copy is what its standing says. */
    private void take(Machine machine, Heartbeat heartbeat, HeartbeatValidity standing) {
        if (!machine.up) {
            machine.up = true;
            book.replan();
            machine.idleSince = turn.now();
            LOG.info(
                    "{} is up: {} in {}{}",
                    machine.id,
                    heartbeat.type(),
                    heartbeat.zone(),
                    heartbeat.spot() ? ", spot" : "");
        }
        machine.address = heartbeat.address();
        machine.type = heartbeat.type();
        machine.zone = heartbeat.zone();
        machine.spot = heartbeat.spot();
        if (machine.lastCheckin == null
                ? heartbeat.shift() != machine.imagesShift
                : heartbeat.shift() > machine.shift) {
            machine.images.clear();
        }
        boolean lately = machine.lastAnswered != null
                && turn.now().since(machine.lastAnswered) < settings.workers().leaseMs();
        if (machine.lastCheckin != null) {
            boolean newToken = standing.current() && heartbeat.baton().compareTo(machine.lastCheckin.baton()) > 0;
            machine.ears = machine.ears.after(
                    new MachineReachability.MessageContext(
                            heartbeat.shift() == machine.shift,
                            machine.answeredNewest,
                            heartbeat.counter() == machine.counter + 1,
                            newToken,
                            machine.callsLost || machine.ordersInFlight > 0 || turn.late(),
                            lately),
                    turn.now());
        } else if (standing.current()) {
            machine.ears = machine.ears.proved(turn.now());
        }
        machine.newest(heartbeat, turn.now());
        machine.lastCheckin = heartbeat;
        machine.there |= standing.current();
        if (standing.current() || machine.unanswered == 0) {
            machine.lastHeard = turn.now();
        } else {
            machine.unanswered =
                    0; // a copy ends no silence that was noticed; but it may be the machine's first, so it is asked
            // once more
            machine.mayAnswerUntil = turn.now().plusMs(ANSWERS_MS);
        }
        // A notice is never withdrawn: an old report tells of it too, though not how much time is left.
        if (heartbeat.noticeS() != null && (standing.current() || machine.noticeEnds == null)) {
            if (machine.noticeEnds == null) {
                LOG.info("{} is taken back in {} s", machine.id, heartbeat.noticeS());
                book.replan();
            }
            machine.noticeEnds = turn.now().plusMs(Math.round(1000 * heartbeat.noticeS()));
        } else if (standing.current()) {
            machine.noticeEnds = null;
        }
    }

    /** What is to be launched there goes with the answer; what doesn't hear, or is about to go, gets nothing, and what was never sent there waits again. */
    private void launch(Machine machine, Heartbeat heartbeat, List<WorkerCommand> orders) {
        for (Placement placement : new ArrayList<>(machine.placements.values())) {
            Job job = book.job(placement.task.job());
            if (job == null) {
                continue; // its record can't be read: it is left alone
            }
            if (placement.committed
                    && (withdrawal.withdraws(job, placement, machine)
                            || (machine.going() || machine.ears.deaf() || job.held()) && !placement.sent)) {
                departures.remove(job, placement);
                continue;
            }
            boolean again = placement.sent
                    && machine.limbo.compareTo(heartbeat.baton()) >= 0
                    && find(heartbeat, placement) == null
                    && machine.ordersInFlight == 0;
            if (placement.committed
                    && (!placement.sent || again)
                    && orders.size() < CommandDispatcher.MAX_ORDERS
                    && !machine.returning
                    && !machine.ears.deaf()
                    && job.hold == null
                    && !job.cancelled()) {
                orders.add(WorkerCommand.launch(placement.task, placement.attempt));
                placement.sent = true;
                placement.sentShift = heartbeat.shift();
                placement.sentCounter = heartbeat.counter();
            }
        }
    }

    private static Heartbeat.TaskStatus find(Heartbeat heartbeat, Placement placement) {
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            if (status.task().equals(placement.task) && status.attempt() == placement.attempt) {
                return status;
            }
        }
        return null;
    }

    /** What is stored of the task that the machine speaks of. */
    private Reconciliation.RecordedState stored(Machine machine, Heartbeat.TaskStatus status) {
        Job job = book.job(status.task().job());
        if (job == null) {
            return book.unreadable(status.task().job())
                    ? Reconciliation.RecordedState.UNREADABLE
                    : Reconciliation.RecordedState.NO_JOB;
        }
        Placement placement = job.record.live.get(status.task().index());
        if (placement == null) {
            return job.record.done.contains(status.task().index())
                    ? Reconciliation.RecordedState.DONE
                    : Reconciliation.RecordedState.NOTHING;
        }
        if (placement.attempt > status.attempt()) {
            return Reconciliation.RecordedState.PLACED_LATER;
        }
        return placement.attempt < status.attempt() || !placement.host.equals(machine.id)
                ? Reconciliation.RecordedState.PLACED_OTHERWISE
                : job.cancelled() ? Reconciliation.RecordedState.CANCELLED : Reconciliation.RecordedState.PLACED;
    }

    /**
     * Takes what a report says of tasks; returns the orders that follow. In the answer to a command, absence counts for placements of earlier
     * leaderships alone: launches of this one may be in flight in the reply to a check-in that the worker has not read yet.
     */
    public List<WorkerCommand> evaluate(Machine machine, Heartbeat heartbeat, boolean checkin) {
        List<WorkerCommand> orders = new ArrayList<>();
        AbsenceEvidence.PendingCommands inFlight =
                new AbsenceEvidence.PendingCommands(machine.ordersInFlight > 0, machine.limbo);
        // A launch in limbo finds its exited attempt and does nothing; once forgotten, it would start it once more.
        boolean over = inFlight.over(heartbeat.baton());
        int strangers = 0;
        Set<TaskId> seen = new HashSet<>();
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            Job job = book.job(status.task().job());
            Reconciliation.RecordedState stored = stored(machine, status);
            Reconciliation.Decision decision = Reconciliation.of(
                    stored,
                    Reconciliation.ReportedState.of(status),
                    AbsenceEvidence.NONE,
                    over && (job == null || job.settled()));
            if (stored == Reconciliation.RecordedState.PLACED || stored == Reconciliation.RecordedState.CANCELLED) {
                seen.add(status.task());
                Placement placement = job.record.live.get(status.task().index());
                if (status.state() == Heartbeat.TaskState.EXITED) {
                    exited(machine, job, placement, status, decision);
                } else {
                    present(machine, job, placement, status, decision, orders);
                }
            } else {
                strangers += stranger(machine, status, decision, orders) ? 1 : 0;
            }
        }
        machine.strangers = strangers;
        int doubt = absent(machine, heartbeat, seen, inFlight, checkin);
        machine.inDoubt = checkin ? doubt : Math.min(machine.inDoubt, doubt);
        return orders.size() > CommandDispatcher.MAX_ORDERS ? orders.subList(0, CommandDispatcher.MAX_ORDERS) : orders;
    }

    /** A task that no record explains, on the machine or ended there; whether it takes room. */
    private static boolean stranger(
            Machine machine,
            Heartbeat.TaskStatus status,
            Reconciliation.Decision decision,
            List<WorkerCommand> orders) {
        if (decision == Reconciliation.Decision.KILL) {
            LOG.info("{}: {} try {} is explained by no record, killed", machine.id, status.task(), status.attempt());
            orders.add(WorkerCommand.kill(status.task(), status.attempt(), 0));
        } else if (decision == Reconciliation.Decision.FORGET) {
            orders.add(WorkerCommand.forget(status.task(), status.attempt()));
        }
        return status.state() != Heartbeat.TaskState.EXITED;
    }

    /** Takes off what the report proves gone; how many of earlier leaderships' placements stay in doubt. */
    private int absent(
            Machine machine,
            Heartbeat heartbeat,
            Set<TaskId> seen,
            AbsenceEvidence.PendingCommands inFlight,
            boolean checkin) {
        int doubt = 0;
        for (Placement placement : new ArrayList<>(machine.placements.values())) {
            Job job = book.job(placement.task.job());
            boolean neverLaunched = placement.recovered && placement.sentShift == 0;
            if (job == null || seen.contains(placement.task) || !placement.committed || !checkin && !neverLaunched) {
                continue;
            }
            AbsenceEvidence evidence = AbsenceEvidence.ofAbsence(
                    new AbsenceEvidence.Launch(
                            placement.sent, placement.provenFrom, placement.sentShift, placement.sentCounter),
                    inFlight,
                    heartbeat);
            Reconciliation.RecordedState stored =
                    job.cancelled() ? Reconciliation.RecordedState.CANCELLED : Reconciliation.RecordedState.PLACED;
            if (Reconciliation.of(stored, Reconciliation.ReportedState.ABSENT, evidence, false)
                    == Reconciliation.Decision.GONE) {
                LOG.info("{} try {} is not on {} any more", placement.task, placement.attempt, machine.id);
                departures.remove(job, placement);
            } else {
                doubt += placement.recovered ? 1 : 0;
                if (checkin && neverLaunched && job.cancelled()) {
                    direct.kill(machine, placement); // its answer proves the task gone, sooner than the next report
                }
            }
        }
        return doubt;
    }

    private void present(
            Machine machine,
            Job job,
            Placement placement,
            Heartbeat.TaskStatus status,
            Reconciliation.Decision decision,
            List<WorkerCommand> orders) {
        if (!placement.seen) {
            placement.seen = true;
            if (placement.sent && !placement.recovered) {
                machine.ears = machine.ears.proved(turn.now()); // it has carried out a launch
            }
        }
        if (!placement.sent) {
            placement.sent = true; // an earlier leadership's launch
            placement.sentShift = machine.shift;
            placement.sentCounter = machine.counter;
        }
        if (status.state() != Heartbeat.TaskState.FETCHING && placement.running == null) {
            // Taken for just begun, a take-over's tasks would all seem to end a whole run later, and machines be
            // rented.
            MonotonicTime begun = placement.since.plusMs(USUAL_FETCH_MS);
            placement.running = placement.recovered && begun.before(turn.now()) ? begun : turn.now();
            job.lastProgress = turn.now();
            MachineType type = types.get(machine.type);
            machine.cached(job.spec().image(), job.spec().imageGb(), type == null ? 0 : type.cacheGb());
            book.replan();
        }
        if (decision == Reconciliation.Decision.KILL || job.held()) {
            orders.add(WorkerCommand.kill(placement.task, placement.attempt, 0));
        } else if (placement.killSent && status.state() != Heartbeat.TaskState.SAVING) {
            orders.add(WorkerCommand.kill(
                    placement.task, placement.attempt, job.spec().saveS())); // the first one may have been lost
        }
    }

    private void exited(
            Machine machine,
            Job job,
            Placement placement,
            Heartbeat.TaskStatus status,
            Reconciliation.Decision decision) {
        LOG.info(
                "{} try {} on {} ended: {}",
                placement.task,
                placement.attempt,
                machine.id,
                status.cause() == null ? "" : status.cause());
        job.lastProgress = turn.now();
        if (placement.running != null) {
            book.used(job.spec().team(), job.spec().cpus() * turn.now().since(placement.running));
        }
        switch (decision) {
            case COUNT_DONE -> {
                if (!job.spec().service()) {
                    job.record.done.add(placement.task.index());
                }
                machine.failedJobs.clear();
                if (placement.running != null && !placement.recovered) {
                    estimates.observed(job.spec(), turn.now().since(placement.running));
                }
            }
            case COUNT_FAILED -> faults.failed(machine, job, placement);
            case AVOID_MACHINE -> machine.avoidUntil = turn.now().plusMs(3000);
            case ASK_LATER -> job.notBefore = turn.now().plusMs(3000);
            default -> {}
        }
        departures.remove(job, placement);
    }
}
