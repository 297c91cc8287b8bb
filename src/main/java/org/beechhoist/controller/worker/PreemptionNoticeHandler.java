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
 * Handles tasks on machines with a preemption notice: a task that is expected to end in time continues, any other is
 * evicted at once, so that it begins elsewhere. (Tried: let it continue to the last moment where there is no capacity
 * elsewhere; docs/design/drains.md.)
 */
public final class PreemptionNoticeHandler {
    /**
     * Subtracted from the time left: a checkpoint that can't be saved before the machine is taken is not waited for.
     */
    private static final double NETWORK_S = 1;

    private final ControllerContext context;
    private final ClusterState clusterState;
    private final DurationEstimates estimates;
    private final TaskEviction eviction;
    private final CommandDispatcher dispatcher;

    /** Creates the handler of preemption notices. */
    public PreemptionNoticeHandler(
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

    /** The machines with a preemption notice that hold tasks. */
    private List<Machine> machinesUnderNotice() {
        List<Machine> out = new ArrayList<>();
        for (Machine machine : clusterState.machines()) {
            if (machine.preemptionAt != null && !machine.releasing && !machine.placements.isEmpty()) {
                out.add(machine);
            }
        }
        return out;
    }

    /**
     * Whether the task was launched and is not being stopped, but is not expected to end before its machine is taken.
     */
    private boolean willBeCutShort(Machine machine, Placement placement, Job job) {
        return job != null
                && placement.launchSent
                && !placement.stopRequested
                && !job.isCancelled()
                && machine.preemptionAt.isBefore(estimates.expectedEnd(placement, context.now()));
    }

    /** Evicts the tasks that are not expected to end before their machine is taken. */
    public void evictUnfinishableTasks() {
        for (Machine machine : machinesUnderNotice()) {
            long leftMs = machine.preemptionAt.since(context.now());
            boolean evicted = false;
            for (Placement placement : new ArrayList<>(machine.placements.values())) {
                if (willBeCutShort(machine, placement, clusterState.job(placement.task.job()))) {
                    eviction.evict(placement, Math.max(0, leftMs / 1000.0 - NETWORK_S), Cause.NOTICE);
                    evicted = true;
                }
            }
            if (evicted) {
                dispatcher.dispatch(machine);
            }
        }
    }

    /** By when the task on the machine is expected to end, or to be evicted. */
    public MonotonicTime expectedEnd(Machine machine, Placement placement) {
        MonotonicTime end = estimates.expectedEnd(placement, context.now());
        return machine.preemptionAt != null && machine.preemptionAt.isBefore(end) ? machine.preemptionAt : end;
    }
}
