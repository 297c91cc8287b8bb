package org.beechhoist.controller.worker;

import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.drain.Cause;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Evicts tasks that could continue, for a cause that the caller names. A deliberate eviction was allowed by the team's
 * disruption budget, and counted against it, before; any other is counted as it happens ({@link DisruptionRecorder}).
 */
public final class TaskEviction {
    private static final Logger LOG = LoggerFactory.getLogger(TaskEviction.class);
    private final ClusterState clusterState;
    private final CommandDispatcher dispatcher;
    private final DisruptionRecorder disruptions;

    /** Creates it; each disruption is reported to the recorder. */
    public TaskEviction(ClusterState clusterState, CommandDispatcher dispatcher, DisruptionRecorder disruptions) {
        this.clusterState = clusterState;
        this.dispatcher = dispatcher;
        this.disruptions = disruptions;
    }

    /** Evicts a task, with time to save its checkpoint; the command is sent with the machine's next ones. */
    public void evict(Placement placement, Cause cause) {
        evict(placement, clusterState.job(placement.task.job()).spec().checkpointCostS(), cause);
    }

    /**
     * Evicts a task; the command is sent with the machine's next ones.
     *
     * @param graceS how long it may save its checkpoint; 0: it ends at once
     */
    public void evict(Placement placement, double graceS, Cause cause) {
        if (!placement.stopRequested) {
            disruptions.recordDisruption(placement, cause);
        }
        placement.stopRequested = true;
        clusterState
                .machine(placement.machine)
                .outbox
                .add(WorkerCommand.kill(placement.task, placement.attempt, graceS));
    }

    /** Evicts a task, with time to save its checkpoint, in favour of another job; the command is sent at once. */
    public void preempt(Placement placement, Job forJob) {
        LOG.info(
                "task preempted: task={} attempt={} machine={} cause=\"capacity needed\" forJob={}",
                placement.task,
                placement.attempt,
                placement.machine,
                forJob.id());
        evict(placement, Cause.PREEMPTION);
        dispatcher.dispatch(clusterState.machine(placement.machine));
    }

    /**
     * Evicts a task of a gang that has lost another one: a gang can't continue without all its tasks, and starts anew
     * as a whole.
     */
    void evictGangMember(Placement placement) {
        if (placement.launchSent && !placement.stopRequested) {
            evict(placement, Cause.GANG);
        }
    }

    /** Records that a task is lost with its machine. */
    void recordTaskLost(Placement placement) {
        if (placement.launchSent && !placement.stopRequested) {
            disruptions.recordDisruption(placement, Cause.MACHINE);
        }
    }
}
