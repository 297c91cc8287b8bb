package org.beechhoist.core;

import java.util.ArrayList;
import org.beechhoist.config.Settings;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.JobRef;
import org.beechhoist.wire.Order;
import org.beechhoist.wire.Tick;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sees to it that nothing of a cancelled job goes on: what was never sent is taken back, what may run is killed again and again until
 * there is evidence, and a machine on which neither a kill nor the end of its lease is sure to come in time is returned. It waits
 * for no commit and for no reading of the book, only for the right to command.
 */
final class Pursuit {
    private static final Logger LOG = LoggerFactory.getLogger(Pursuit.class);
    private static final long KILL_AGAIN_MS = 3000;
    /** What a return takes, with a request limit and an answer that is lost once. */
    private static final long RETURN_MS = 12_000;
    /** How much sooner than a lease's end the time must not be over, and how long a worker waits for an answer. */
    private static final long SPARE_MS = 4000;

    private final Turn turn;
    private final Settings settings;
    private final Book book;
    private final Orders orders;
    private final Departures departures;
    private final Recovery recovery;
    private final Provisioner provisioner;
    private final KeyHolds holds;
    private final Cancellations cancellations;
    private Tick nextKills = Tick.ZERO;

    Pursuit(Turn turn, Settings settings, Book book, Orders orders, Departures departures, Recovery recovery, Provisioner provisioner,
            KeyHolds holds, Cancellations cancellations) {
        this.turn = turn;
        this.settings = settings;
        this.book = book;
        this.orders = orders;
        this.departures = departures;
        this.recovery = recovery;
        this.provisioner = provisioner;
        this.holds = holds;
        this.cancellations = cancellations;
    }

    /** The job's cancellation is committed, whether its record has been read again or not. */
    void cancelled(JobRef ref) {
        Job j = book.job(ref);
        if (j == null) {
            return;
        }
        if (!j.cancelled()) {
            j.cancelHeardMs = cancellations.at(ref);
            LOG.info("{} is cancelled, as is heard before its record is read: {} tasks may be running", ref, j.record.live.size());
        }
        recovery.over(ref);
        for (Placement p : new ArrayList<>(j.record.live.values())) {
            if (p.committed && !p.sent) {
                departures.remove(j, p);
            }
        }
        kill(j);
        book.replan();
    }

    private void kill(Job j) {
        for (Placement p : j.record.live.values()) {
            Host h = book.host(p.host);
            if (p.sent && h.outbox.stream().noneMatch(o -> o.verb() == Order.Verb.KILL && o.task().equals(p.task))) {
                h.outbox.add(Order.kill(p.task, p.attempt, 0));
                orders.direct(h);
            }
        }
    }

    /** While this node may command, whether or not it knows all records now. */
    void tick() {
        boolean again = !turn.now().before(nextKills);
        if (again) {
            nextKills = turn.now().plusMs(KILL_AGAIN_MS);
        }
        for (Job j : book.jobs()) {
            if (j.cancelled()) {
                if (again) {
                    kill(j);
                }
                overdue(j, j.cancelledAtMs() + settings.workers().cancelMs() - (long) settings.clockErrorMs(), "cancelled");
            } else if (j.held()) {
                overdue(j, holds.goneByMs(j), "held");
            }
        }
    }

    /** A task on a machine that can't be reached: the machine is returned while there is time. */
    private void overdue(Job j, long deadlineWallMs, String is) {
        long left = deadlineWallMs - turn.wallMs();
        if (left >= RETURN_MS) {
            return;
        }
        for (Placement p : j.record.live.values()) {
            Host h = book.host(p.host);
            boolean lapsesInTime = book.lapse(h).since(turn.now()) < left - SPARE_MS && turn.now().since(book.heard(h)) > SPARE_MS;
            if (!lapsesInTime && !h.returning) {
                LOG.info("{} is {} but still on {}: returning the machine", p.task, is, h.id);
                provisioner.giveBack(h, "a " + is + " task can't be reached");
            }
            h.goneByMs = Math.min(h.goneByMs, deadlineWallMs);
        }
    }
}
