package org.beechhoist.core;

import java.util.ArrayList;
import java.util.List;
import org.beechhoist.drain.Cause;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.Tick;

/**
 * Tasks on machines that the cloud is about to take: what will be over in time goes on, the rest is stopped at once, so that it begins
 * elsewhere. (Tried: let it go on to the last moment where there is no room elsewhere; docs/design/drains.md.)
 */
final class Notices {
    /** What can't save in time is not waited for. */
    private static final double WAY_S = 1;

    private final Turn turn;
    private final Book book;
    private final Estimates estimates;
    private final Stopping stopping;
    private final Orders orders;

    Notices(Turn turn, Book book, Estimates estimates, Stopping stopping, Orders orders) {
        this.turn = turn;
        this.book = book;
        this.estimates = estimates;
        this.stopping = stopping;
        this.orders = orders;
    }

    private List<Host> going() {
        List<Host> out = new ArrayList<>();
        for (Host machine : book.hosts()) {
            if (machine.noticeEnds != null && !machine.returning && !machine.placements.isEmpty()) {
                out.add(machine);
            }
        }
        return out;
    }

    /** Whether it goes on for now, and will not be over before its machine is taken. */
    private boolean cutShort(Host machine, Placement placement, Job job) {
        return job != null
                && placement.sent
                && !placement.killSent
                && !job.cancelled()
                && machine.noticeEnds.before(estimates.endOf(placement, turn.now()));
    }

    void tick() {
        for (Host machine : going()) {
            long left = machine.noticeEnds.since(turn.now());
            boolean stopped = false;
            for (Placement placement : new ArrayList<>(machine.placements.values())) {
                if (cutShort(machine, placement, book.job(placement.task.job()))) {
                    stopping.stop(placement, Math.max(0, left / 1000.0 - WAY_S), Cause.NOTICE);
                    stopped = true;
                }
            }
            if (stopped) {
                orders.direct(machine);
            }
        }
    }

    /** By when what is on the machine is over, or is stopped. */
    Tick endOf(Host machine, Placement placement) {
        Tick end = estimates.endOf(placement, turn.now());
        return machine.noticeEnds != null && machine.noticeEnds.before(end) ? machine.noticeEnds : end;
    }
}
