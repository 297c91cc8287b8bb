package org.beechhoist.controller.worker;

import java.util.ArrayList;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Removes tasks from machines in the cluster state, once it is certain that they are not there or were never sent;
 * launches placements.
 */
public final class TaskRemoval {
    private static final Logger LOG = LoggerFactory.getLogger(TaskRemoval.class);
    private final ClusterState clusterState;
    private final TaskEviction eviction;
    private final MachineLossTracker lossTracker;

    /**
     * Creates an instance; tasks lost with machines are reported to the loss tracker, and tasks of incomplete gangs are
     * evicted.
     */
    public TaskRemoval(ClusterState clusterState, TaskEviction eviction, MachineLossTracker lossTracker) {
        this.lossTracker = lossTracker;
        this.clusterState = clusterState;
        this.eviction = eviction;
    }

    /**
     * Launches a committed placement, or removes it if its job has been cancelled or held since, or its machine is
     * leaving.
     */
    public void launchOrRemove(Placement placement) {
        Job job = clusterState.job(placement.task.job());
        if (job == null || job.record.live.get(placement.task.index()) != placement) {
            return;
        }
        boolean mustNotRun = job.isCancelled() || job.isHeld();
        if (mustNotRun
                || !placement.launchSent
                        && clusterState.machine(placement.machine).isLeaving()) {
            remove(job, placement);
            return;
        }
        LOG.info("launch queued: task={} attempt={} machine={}", placement.task, placement.attempt, placement.machine);
        clusterState.machine(placement.machine).outbox.add(WorkerCommand.launch(placement.task, placement.attempt));
    }

    /** Removes a placement whose task is certainly not on the machine; the task waits again unless it is done. */
    public void remove(Job job, Placement placement) {
        job.terminations.remove(placement);
        if (job.record.live.remove(placement.task.index(), placement) && !placement.committed) {
            job.uncommittedPlacements--;
        }
        recordIfUnfinished(job, placement);
        if (job.spec().isGang() && !job.record.done.contains(placement.task.index())) {
            job.record.live.values().forEach(eviction::evictGangMember);
        }
        clusterState.machine(placement.machine).placements.remove(placement.task, placement);
        clusterState.markDirty(job);
        clusterState.requestReplan();
    }

    private static void recordIfUnfinished(Job job, Placement placement) {
        if (!job.record.done.contains(placement.task.index())) {
            job.recordUnfinished(placement);
        }
    }

    /** Removes a machine, which the cloud has confirmed to be gone, with all its tasks. */
    public void removeMachine(MachineId id) {
        Machine machine = clusterState.removeMachine(id);
        if (machine != null) {
            removeAllTasks(machine, "the machine is gone");
        }
    }

    /**
     * Removes all tasks from a machine, which are certainly gone with it.
     *
     * @param cause for the log
     */
    public void removeAllTasks(Machine machine, String cause) {
        for (Placement placement : new ArrayList<>(machine.placements.values())) {
            Job job = clusterState.job(placement.task.job());
            machine.placements.remove(placement.task);
            if (job != null && job.record.live.get(placement.task.index()) == placement) {
                LOG.info(
                        "task removed: task={} attempt={} machine={} cause=\"{}\"",
                        placement.task,
                        placement.attempt,
                        machine.id,
                        cause);
                job.record.live.remove(placement.task.index());
                recordIfUnfinished(job, placement);
                lossTracker.recordTaskLost(job, placement);
                eviction.recordTaskLost(placement);
                job.terminations.remove(placement);
                job.uncommittedPlacements -= placement.committed ? 0 : 1;
                if (job.spec().isGang()) {
                    job.record.live.values().forEach(eviction::evictGangMember);
                }
                clusterState.markDirty(job);
            }
        }
        clusterState.requestReplan();
    }
}
