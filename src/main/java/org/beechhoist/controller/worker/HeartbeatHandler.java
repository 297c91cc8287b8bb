package org.beechhoist.core;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.beechhoist.config.Settings;
import org.beechhoist.reach.Ears;
import org.beechhoist.reach.Standing;
import org.beechhoist.start.Evidence;
import org.beechhoist.start.Squaring;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.HostReport;
import org.beechhoist.wire.HostType;
import org.beechhoist.wire.Order;
import org.beechhoist.wire.TaskId;
import org.beechhoist.wire.Tick;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What workers' reports prove, and the commands that answer them. */
final class Reports {
    private static final Logger LOG = LoggerFactory.getLogger(Reports.class);
    /** What a recovered task's placement and image took. */
    private static final long USUAL_FETCH_MS = 3000;
    /** How long a machine whose silence was noticed has to answer, once a report of it has come that may be old. */
    private static final long ANSWERS_MS = 3000;

    private final Turn turn;
    private final Settings settings;
    private final Election election;
    private final Book book;
    private final Loading loading;
    private final Types types;
    private final Estimates estimates;
    private final Departures departures;
    private final Faults faults;
    private final Provisioner provisioner;
    private final Elastic elastic;
    private final Cancellations cancellations;
    private final Orders direct;

    Reports(
            Turn turn,
            Settings settings,
            Election election,
            Book book,
            Loading loading,
            Types types,
            Estimates estimates,
            Departures departures,
            Faults faults,
            Provisioner provisioner,
            Elastic elastic,
            Cancellations cancellations,
            Orders direct) {
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
        this.provisioner = provisioner;
        this.elastic = elastic;
    }

    /** The records were read anew: what the machines last said is held against them. */
    void bookLoaded() {
        for (Host machine : book.hosts()) {
            if (machine.lastCheckin != null) {
                evaluate(machine, machine.lastCheckin, true);
            }
        }
    }

    /** Answers a worker's report. */
    void checkin(long request, HostReport heartbeat) {
        if (provisioner.gone(heartbeat.host())) {
            turn.answer(request, 503, null); // a late report: the machine has been returned
            return;
        }
        Host machine = book.host(heartbeat.host());
        boolean fresh = machine.lastCheckin == null
                ? heartbeat.newerThan(machine.shift, machine.counter - 1)
                : heartbeat.newerThan(machine.shift, machine.counter);
        Standing standing = Standing.of(
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
        List<Order> orders = new ArrayList<>();
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
        body.set("orders", Order.toNode(orders));
        Tick until = cancellations.renewUntil();
        turn.answer(request, 200, body, until.before(election.validUntil()) ? until : election.validUntil());
    }

    /** Kills of what is there though its job is known to be cancelled; nothing else is known of the book now. */
    private List<Order> kills(HostReport heartbeat) {
        List<Order> out = new ArrayList<>();
        for (HostReport.Entry status : heartbeat.tasks()) {
            if (status.state() != HostReport.State.EXITED
                    && cancellations.knows(status.task().job())) {
                out.add(Order.kill(status.task(), status.attempt(), 0));
            }
        }
        return out;
    }

    /** The answer is none that a worker acts on: what it is to end goes straight to it. */
    private void killAtOnce(Host machine, List<Order> orders) {
        List<Order> kills = orders.stream()
                .filter(o -> o.verb() == Order.Verb.KILL && !machine.outbox.contains(o))
                .toList();
        machine.outbox.addAll(kills);
        if (!kills.isEmpty()) {
            direct.direct(machine);
        }
    }

    /** Nothing newer is known of the machine; whether it is more than a copy is what its standing says. */
    private void take(Host machine, HostReport heartbeat, Standing standing) {
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
                    new Ears.Message(
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
    private void launch(Host machine, HostReport heartbeat, List<Order> orders) {
        for (Placement placement : new ArrayList<>(machine.placements.values())) {
            Job job = book.job(placement.task.job());
            if (job == null) {
                continue; // its record can't be read: it is left alone
            }
            if (placement.committed
                    && (elastic.withdraws(job, placement, machine)
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
                    && orders.size() < Orders.MAX_ORDERS
                    && !machine.returning
                    && !machine.ears.deaf()
                    && job.hold == null
                    && !job.cancelled()) {
                orders.add(Order.launch(placement.task, placement.attempt));
                placement.sent = true;
                placement.sentShift = heartbeat.shift();
                placement.sentCounter = heartbeat.counter();
            }
        }
    }

    private static HostReport.Entry find(HostReport heartbeat, Placement placement) {
        for (HostReport.Entry status : heartbeat.tasks()) {
            if (status.task().equals(placement.task) && status.attempt() == placement.attempt) {
                return status;
            }
        }
        return null;
    }

    /** What is stored of the task that the machine speaks of. */
    private Squaring.Stored stored(Host machine, HostReport.Entry status) {
        Job job = book.job(status.task().job());
        if (job == null) {
            return book.unreadable(status.task().job()) ? Squaring.Stored.UNREADABLE : Squaring.Stored.NO_JOB;
        }
        Placement placement = job.record.live.get(status.task().index());
        if (placement == null) {
            return job.record.done.contains(status.task().index()) ? Squaring.Stored.DONE : Squaring.Stored.NOTHING;
        }
        if (placement.attempt > status.attempt()) {
            return Squaring.Stored.PLACED_LATER;
        }
        return placement.attempt < status.attempt() || !placement.host.equals(machine.id)
                ? Squaring.Stored.PLACED_OTHERWISE
                : job.cancelled() ? Squaring.Stored.CANCELLED : Squaring.Stored.PLACED;
    }

    /**
     * Takes what a report says of tasks; returns the orders that follow. In the answer to a command, absence counts for placements of earlier
     * leaderships alone: launches of this one may be in flight in the reply to a check-in that the worker has not read yet.
     */
    List<Order> evaluate(Host machine, HostReport heartbeat, boolean checkin) {
        List<Order> orders = new ArrayList<>();
        Evidence.InFlight inFlight = new Evidence.InFlight(machine.ordersInFlight > 0, machine.limbo);
        // A launch in limbo finds its exited attempt and does nothing; once forgotten, it would start it once more.
        boolean over = inFlight.over(heartbeat.baton());
        int strangers = 0;
        Set<TaskId> seen = new HashSet<>();
        for (HostReport.Entry status : heartbeat.tasks()) {
            Job job = book.job(status.task().job());
            Squaring.Stored stored = stored(machine, status);
            Squaring.Decision decision = Squaring.of(
                    stored, Squaring.Said.of(status), Evidence.NONE, over && (job == null || job.settled()));
            if (stored == Squaring.Stored.PLACED || stored == Squaring.Stored.CANCELLED) {
                seen.add(status.task());
                Placement placement = job.record.live.get(status.task().index());
                if (status.state() == HostReport.State.EXITED) {
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
        return orders.size() > Orders.MAX_ORDERS ? orders.subList(0, Orders.MAX_ORDERS) : orders;
    }

    /** A task that no record explains, on the machine or ended there; whether it takes room. */
    private static boolean stranger(
            Host machine, HostReport.Entry status, Squaring.Decision decision, List<Order> orders) {
        if (decision == Squaring.Decision.KILL) {
            LOG.info("{}: {} try {} is explained by no record, killed", machine.id, status.task(), status.attempt());
            orders.add(Order.kill(status.task(), status.attempt(), 0));
        } else if (decision == Squaring.Decision.FORGET) {
            orders.add(Order.forget(status.task(), status.attempt()));
        }
        return status.state() != HostReport.State.EXITED;
    }

    /** Takes off what the report proves gone; how many of earlier leaderships' placements stay in doubt. */
    private int absent(
            Host machine, HostReport heartbeat, Set<TaskId> seen, Evidence.InFlight inFlight, boolean checkin) {
        int doubt = 0;
        for (Placement placement : new ArrayList<>(machine.placements.values())) {
            Job job = book.job(placement.task.job());
            boolean neverLaunched = placement.recovered && placement.sentShift == 0;
            if (job == null || seen.contains(placement.task) || !placement.committed || !checkin && !neverLaunched) {
                continue;
            }
            Evidence evidence = Evidence.ofAbsence(
                    new Evidence.Launch(
                            placement.sent, placement.provenFrom, placement.sentShift, placement.sentCounter),
                    inFlight,
                    heartbeat);
            Squaring.Stored stored = job.cancelled() ? Squaring.Stored.CANCELLED : Squaring.Stored.PLACED;
            if (Squaring.of(stored, Squaring.Said.ABSENT, evidence, false) == Squaring.Decision.GONE) {
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
            Host machine,
            Job job,
            Placement placement,
            HostReport.Entry status,
            Squaring.Decision decision,
            List<Order> orders) {
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
        if (status.state() != HostReport.State.FETCHING && placement.running == null) {
            // Taken for just begun, a take-over's tasks would all seem to end a whole run later, and machines be
            // rented.
            Tick begun = placement.since.plusMs(USUAL_FETCH_MS);
            placement.running = placement.recovered && begun.before(turn.now()) ? begun : turn.now();
            job.lastProgress = turn.now();
            HostType type = types.get(machine.type);
            machine.cached(job.spec().image(), job.spec().imageGb(), type == null ? 0 : type.cacheGb());
            book.replan();
        }
        if (decision == Squaring.Decision.KILL || job.held()) {
            orders.add(Order.kill(placement.task, placement.attempt, 0));
        } else if (placement.killSent && status.state() != HostReport.State.SAVING) {
            orders.add(Order.kill(
                    placement.task, placement.attempt, job.spec().saveS())); // the first one may have been lost
        }
    }

    private void exited(
            Host machine, Job job, Placement placement, HostReport.Entry status, Squaring.Decision decision) {
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
