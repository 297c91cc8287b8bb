package org.beechhoist.controller.worker;

import java.util.ArrayList;
import java.util.List;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.drain.Cause;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.MonotonicTime;

/**
 * Tasks on machines that the cloud is about to take: what will be over in time goes on, the rest is stopped at once, so that it begins
 * elsewhere. (Tried: let it go on to the last moment where there is no room elsewhere; docs/design/drains.md.)
 */
public final class PreemptionNotices {
    /** What can't save in time is not waited for. */
    private static final double WAY_S = 1;

    private final ControllerContext turn;
    private final ClusterState book;
    private final DurationEstimates estimates;
    private final TaskEviction stopping;
    private final CommandDispatcher orders;

    public PreemptionNotices(
            ControllerContext turn,
            ClusterState book,
            DurationEstimates estimates,
            TaskEviction stopping,
            CommandDispatcher orders) {
        this.turn = turn;
        this.book = book;
        this.estimates = estimates;
        this.stopping = stopping;
        this.orders = orders;
    }

    private List<Machine> going() {
        List<Machine> out = new ArrayList<>();
        for (Machine machine : book.hosts()) {
            if (machine.noticeEnds != null && !machine.returning && !machine.placements.isEmpty()) {
                out.add(machine);
            }
        }
        return out;
    }

    /** Whether it goes on for now, and will not be over before its machine is taken. */
    private boolean cutShort(Machine machine, Placement placement, Job job) {
        return job != null
                && placement.sent
                && !placement.killSent
                && !job.cancelled()
                && machine.noticeEnds.before(estimates.endOf(placement, turn.now()));
    }

    public void tick() {
        for (Machine machine : going()) {
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
    public MonotonicTime endOf(Machine machine, Placement placement) {
        MonotonicTime end = estimates.endOf(placement, turn.now());
        return machine.noticeEnds != null && machine.noticeEnds.before(end) ? machine.noticeEnds : end;
    }
}
