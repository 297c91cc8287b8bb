package org.beechhoist.core;

import org.beechhoist.drain.Cause;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.Order;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Has tasks stopped that could go on: whoever wants that for a reason of its own comes here and says why. What is stopped on purpose
 * was allowed by its team's budget, and charged, before ({@link Disruptions}); the rest is charged as it happens.
 */
final class Stopping {
    private static final Logger LOG = LoggerFactory.getLogger(Stopping.class);
    private final Book book;
    private final Orders orders;
    private final Disruptions disruptions;

    Stopping(Book book, Orders orders, Disruptions disruptions) {
        this.book = book;
        this.orders = orders;
        this.disruptions = disruptions;
    }

    /** Has a task stopped, with time to save; sent with the host's next orders. */
    void stop(Placement p, Cause cause) {
        stop(p, book.job(p.task.job()).spec().saveS(), cause);
    }

    /** The same with so long to save; 0: at once. */
    void stop(Placement p, double graceS, Cause cause) {
        if (!p.killSent) {
            disruptions.happened(p, cause);
        }
        p.killSent = true;
        book.host(p.host).outbox.add(Order.kill(p.task, p.attempt, graceS));
    }

    /** Has a task stopped at once, for another's sake. */
    void makeRoom(Placement p, Job forJob) {
        LOG.info("{} try {} on {} makes room for {}", p.task, p.attempt, p.host, forJob.ref());
        stop(p, Cause.PREEMPTION);
        orders.direct(book.host(p.host));
    }

    /** A gang that has lost a task can't go on: the others make room, and all of it starts anew. */
    void endWithGang(Placement p) {
        if (p.sent && !p.killSent) {
            stop(p, Cause.GANG);
        }
    }

    /** Its machine is gone, and it with it. */
    void lostWithMachine(Placement p) {
        if (p.sent && !p.killSent) {
            disruptions.happened(p, Cause.MACHINE);
        }
    }
}
