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
    private final ClusterState book;
    private final TaskEviction stopping;
    private final LossRecovery recovery;

    public TaskRemoval(ClusterState book, TaskEviction stopping, LossRecovery recovery) {
        this.recovery = recovery;
        this.book = book;
        this.stopping = stopping;
    }

    /** Sends a committed placement on its way, unless its job was cancelled meanwhile or its machine is about to go. */
    public void launch(Placement placement) {
        Job job = book.job(placement.task.job());
        if (job == null || job.record.live.get(placement.task.index()) != placement) {
            return;
        }
        if (job.cancelled()
                || job.held()
                || !placement.sent && book.host(placement.host).going()) {
            remove(job, placement);
            return;
        }
        LOG.info("{} try {} goes to {}", placement.task, placement.attempt, placement.host);
        book.host(placement.host).outbox.add(WorkerCommand.launch(placement.task, placement.attempt));
    }

    /** The task is certainly not there. */
    public void remove(Job job, Placement placement) {
        job.leaving.remove(placement);
        if (job.record.live.remove(placement.task.index(), placement) && !placement.committed) {
            job.uncommitted--;
        }
        if (job.spec().gang() && !job.record.done.contains(placement.task.index())) {
            job.record.live.values().forEach(stopping::endWithGang);
        }
        book.host(placement.host).placements.remove(placement.task, placement);
        book.touch(job);
        book.replan();
    }

    /** The cloud has confirmed that the machine and all on it are gone. */
    public void hostGone(MachineId id) {
        Machine machine = book.drop(id);
        if (machine != null) {
            clear(machine, "the machine is gone");
        }
    }

    public void clear(Machine machine, String why) {
        for (Placement placement : new ArrayList<>(machine.placements.values())) {
            Job job = book.job(placement.task.job());
            machine.placements.remove(placement.task);
            if (job != null && job.record.live.get(placement.task.index()) == placement) {
                LOG.info("{} try {} left {}: {}", placement.task, placement.attempt, machine.id, why);
                job.record.live.remove(placement.task.index());
                recovery.lost(job, placement);
                stopping.lostWithMachine(placement);
                job.leaving.remove(placement);
                job.uncommitted -= placement.committed ? 0 : 1;
                if (job.spec().gang()) {
                    job.record.live.values().forEach(stopping::endWithGang);
                }
                book.touch(job);
            }
        }
        book.replan();
    }
}
