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

/** Takes tasks off machines in the book, once it is certain that they are not there or were never sent. */
public final class TaskRemoval {
    private static final Logger LOG = LoggerFactory.getLogger(TaskRemoval.class);
    private final ClusterState clusterState;
    private final TaskEviction eviction;
    private final LossRecovery lossRecovery;

    public TaskRemoval(ClusterState clusterState, TaskEviction eviction, LossRecovery lossRecovery) {
        this.lossRecovery = lossRecovery;
        this.clusterState = clusterState;
        this.eviction = eviction;
    }

    /** Sends a committed placement on its way, unless its job was cancelled meanwhile or its machine is about to go. */
    public void launch(Placement placement) {
        Job job = clusterState.job(placement.task.job());
        if (job == null || job.record.live.get(placement.task.index()) != placement) {
            return;
        }
        if (job.isCancelled()
                || job.isHeld()
                || !placement.launchSent
                        && clusterState.machine(placement.machine).isLeaving()) {
            remove(job, placement);
            return;
        }
        LOG.info("{} try {} goes to {}", placement.task, placement.attempt, placement.machine);
        clusterState.machine(placement.machine).outbox.add(WorkerCommand.launch(placement.task, placement.attempt));
    }

    /** The task is certainly not there. */
    public void remove(Job job, Placement placement) {
        job.endings.remove(placement);
        if (job.record.live.remove(placement.task.index(), placement) && !placement.committed) {
            job.uncommittedPlacements--;
        }
        if (job.spec().isGang() && !job.record.done.contains(placement.task.index())) {
            job.record.live.values().forEach(eviction::evictWithGang);
        }
        clusterState.machine(placement.machine).placements.remove(placement.task, placement);
        clusterState.markDirty(job);
        clusterState.requestReplan();
    }

    /** The cloud has confirmed that the machine and all on it are gone. */
    public void machineGone(MachineId id) {
        Machine machine = clusterState.removeMachine(id);
        if (machine != null) {
            removeAll(machine, "the machine is gone");
        }
    }

    public void removeAll(Machine machine, String why) {
        for (Placement placement : new ArrayList<>(machine.placements.values())) {
            Job job = clusterState.job(placement.task.job());
            machine.placements.remove(placement.task);
            if (job != null && job.record.live.get(placement.task.index()) == placement) {
                LOG.info("{} try {} left {}: {}", placement.task, placement.attempt, machine.id, why);
                job.record.live.remove(placement.task.index());
                lossRecovery.recordLost(job, placement);
                eviction.recordLost(placement);
                job.endings.remove(placement);
                job.uncommittedPlacements -= placement.committed ? 0 : 1;
                if (job.spec().isGang()) {
                    job.record.live.values().forEach(eviction::evictWithGang);
                }
                clusterState.markDirty(job);
            }
        }
        clusterState.requestReplan();
    }
}
