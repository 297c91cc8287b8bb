package org.beechhoist.controller.worker;

import java.util.Map;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.JobId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Whether a job or a machine is to blame for a failed task. */
public final class FaultTracker {
    private static final Logger LOG = LoggerFactory.getLogger(FaultTracker.class);
    private static final long FIRST_PAUSE_MS = 2000;
    private static final long MAX_PAUSE_MS = 60_000;

    private final ControllerContext context;
    private final ClusterState clusterState;

    public FaultTracker(ControllerContext context, ClusterState clusterState) {
        this.context = context;
        this.clusterState = clusterState;
    }

    /** A task of the job has failed on the machine. */
    void recordFailure(Machine machine, Job job, Placement placement) {
        job.failedOnMachines.add(machine.id);
        job.record.failures++;
        job.record.failureReason = "task " + placement.task.index() + " failed on " + machine.id + "; "
                + job.record.failures + " failures on " + job.failedOnMachines.size() + " machines so far";
        LOG.info("{}: {}", job.id(), job.record.failureReason);
        if (isJobAtFault(job)) {
            // It fails everywhere: the job's own mistake. It goes on trying, ever more rarely, until it is cancelled.
            job.notBefore =
                    context.now().plusMs(Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << Math.min(5, job.failureBackoffs++)));
        }
        machine.failedJobs.merge(job.id(), 1, Integer::sum);
        machine.avoidUntil = context.now().plusMs(5000);
    }

    /** Whether the job fails everywhere, by all that is known: what is done of it was done on a machine. */
    private static boolean isJobAtFault(Job job) {
        return job.record.done.size() == 0 && (job.isSuspect() || job.failedOnMachines.size() >= 3);
    }

    /**
     * A host is suspect once tasks of several jobs fail on it that did not fail everywhere else, or several of one job of which
     * others were done. Counted from the last task that was done on it.
     */
    public boolean isMachineFaulty(Machine machine) {
        int failures = 0;
        for (Map.Entry<JobId, Integer> entry : machine.failedJobs.entrySet()) {
            Job job = clusterState.job(entry.getKey());
            boolean others = job != null && job.record.done.size() > 0;
            failures += job != null && isJobAtFault(job) ? 0 : others ? entry.getValue() : 1;
        }
        return failures >= 2;
    }
}
