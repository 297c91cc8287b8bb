package org.beechhoist.controller.worker;

import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.drain.Cause;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Has tasks stopped that could go on: whoever wants that for a reason of its own comes here and says why. What is stopped on purpose
 * was allowed by its team's budget, and charged, before ({@link DisruptionRecorder}); the rest is charged as it happens.
 */
public final class TaskEviction {
    private static final Logger LOG = LoggerFactory.getLogger(TaskEviction.class);
    private final ClusterState clusterState;
    private final CommandDispatcher dispatcher;
    private final DisruptionRecorder disruptions;

    public TaskEviction(ClusterState clusterState, CommandDispatcher dispatcher, DisruptionRecorder disruptions) {
        this.clusterState = clusterState;
        this.dispatcher = dispatcher;
        this.disruptions = disruptions;
    }

    /** Has a task stopped, with time to save; sent with the host's next orders. */
    public void evict(Placement placement, Cause cause) {
        evict(placement, clusterState.job(placement.task.job()).spec().checkpointCostS(), cause);
    }

    /** The same with so long to save; 0: at once. */
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

    /** Has a task stopped at once, for another's sake. */
    public void preempt(Placement placement, Job forJob) {
        LOG.info(
                "{} try {} on {} makes room for {}", placement.task, placement.attempt, placement.machine, forJob.id());
        evict(placement, Cause.PREEMPTION);
        dispatcher.dispatch(clusterState.machine(placement.machine));
    }

    /** A gang that has lost a task can't go on: the others make room, and all of it starts anew. */
    void evictWithGang(Placement placement) {
        if (placement.launchSent && !placement.stopRequested) {
            evict(placement, Cause.GANG);
        }
    }

    /** Its machine is gone, and it with it. */
    void recordLost(Placement placement) {
        if (placement.launchSent && !placement.stopRequested) {
            disruptions.recordDisruption(placement, Cause.MACHINE);
        }
    }
}
