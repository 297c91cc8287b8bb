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
    private final ClusterState book;
    private final CommandDispatcher orders;
    private final DisruptionRecorder disruptions;

    public TaskEviction(ClusterState book, CommandDispatcher orders, DisruptionRecorder disruptions) {
        this.book = book;
        this.orders = orders;
        this.disruptions = disruptions;
    }

    /** Has a task stopped, with time to save; sent with the host's next orders. */
    public void stop(Placement placement, Cause cause) {
        stop(placement, book.job(placement.task.job()).spec().saveS(), cause);
    }

    /** The same with so long to save; 0: at once. */
    public void stop(Placement placement, double graceS, Cause cause) {
        if (!placement.killSent) {
            disruptions.happened(placement, cause);
        }
        placement.killSent = true;
        book.host(placement.host).outbox.add(WorkerCommand.kill(placement.task, placement.attempt, graceS));
    }

    /** Has a task stopped at once, for another's sake. */
    public void makeRoom(Placement placement, Job forJob) {
        LOG.info("{} try {} on {} makes room for {}", placement.task, placement.attempt, placement.host, forJob.ref());
        stop(placement, Cause.PREEMPTION);
        orders.direct(book.host(placement.host));
    }

    /** A gang that has lost a task can't go on: the others make room, and all of it starts anew. */
    void endWithGang(Placement placement) {
        if (placement.sent && !placement.killSent) {
            stop(placement, Cause.GANG);
        }
    }

    /** Its machine is gone, and it with it. */
    void lostWithMachine(Placement placement) {
        if (placement.sent && !placement.killSent) {
            disruptions.happened(placement, Cause.MACHINE);
        }
    }
}
