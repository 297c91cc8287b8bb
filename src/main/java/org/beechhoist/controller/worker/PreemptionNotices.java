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
    private static final double NETWORK_S = 1;

    private final ControllerContext context;
    private final ClusterState clusterState;
    private final DurationEstimates estimates;
    private final TaskEviction eviction;
    private final CommandDispatcher dispatcher;

    public PreemptionNotices(
            ControllerContext context,
            ClusterState clusterState,
            DurationEstimates estimates,
            TaskEviction eviction,
            CommandDispatcher dispatcher) {
        this.context = context;
        this.clusterState = clusterState;
        this.estimates = estimates;
        this.eviction = eviction;
        this.dispatcher = dispatcher;
    }

    private List<Machine> machinesUnderNotice() {
        List<Machine> out = new ArrayList<>();
        for (Machine machine : clusterState.machines()) {
            if (machine.preemptedAt != null && !machine.releasing && !machine.placements.isEmpty()) {
                out.add(machine);
            }
        }
        return out;
    }

    /** Whether it goes on for now, and will not be over before its machine is taken. */
    private boolean willBeCutShort(Machine machine, Placement placement, Job job) {
        return job != null
                && placement.launchSent
                && !placement.stopRequested
                && !job.isCancelled()
                && machine.preemptedAt.isBefore(estimates.expectedEnd(placement, context.now()));
    }

    public void enforce() {
        for (Machine machine : machinesUnderNotice()) {
            long left = machine.preemptedAt.since(context.now());
            boolean stopped = false;
            for (Placement placement : new ArrayList<>(machine.placements.values())) {
                if (willBeCutShort(machine, placement, clusterState.job(placement.task.job()))) {
                    eviction.evict(placement, Math.max(0, left / 1000.0 - NETWORK_S), Cause.NOTICE);
                    stopped = true;
                }
            }
            if (stopped) {
                dispatcher.dispatch(machine);
            }
        }
    }

    /** By when what is on the machine is over, or is stopped. */
    public MonotonicTime expectedEnd(Machine machine, Placement placement) {
        MonotonicTime end = estimates.expectedEnd(placement, context.now());
        return machine.preemptedAt != null && machine.preemptedAt.isBefore(end) ? machine.preemptedAt : end;
    }
}
