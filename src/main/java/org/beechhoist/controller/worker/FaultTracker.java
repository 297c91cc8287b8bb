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

/** Decides whether a job or a machine is to blame for failed tasks, backs off jobs and finds faulty machines. */
public final class FaultTracker {
    private static final Logger LOG = LoggerFactory.getLogger(FaultTracker.class);
    /** The first pause of a job that is at fault; each further failure doubles it. */
    private static final long FIRST_PAUSE_MS = 2000;
    /** The longest pause of such a job. */
    private static final long MAX_PAUSE_MS = 60_000;
    /** How often the pause is doubled at most. */
    private static final int MAX_DOUBLINGS = 5;
    /** How long nothing is placed on a machine on which a task has failed. */
    private static final long AVOID_MACHINE_MS = 5000;
    /** A job that has failed on so many machines, with nothing done, is at fault. */
    private static final int JOB_FAULT_MACHINES = 3;
    /** So many failures that are no job's fault make a machine faulty. */
    private static final int MACHINE_FAULT_FAILURES = 2;

    private final ControllerContext context;
    private final ClusterState clusterState;

    /** Creates a tracker that keeps its counts in the cluster state. */
    public FaultTracker(ControllerContext context, ClusterState clusterState) {
        this.context = context;
        this.clusterState = clusterState;
    }

    /** Records that a task of the job has failed on the machine. */
    void recordFailure(Machine machine, Job job, Placement placement) {
        job.failedOnMachines.add(machine.id);
        job.record.failures++;
        job.record.failureReason = "task " + placement.task.index() + " failed on " + machine.id + "; "
                + job.record.failures + " failures on " + job.failedOnMachines.size() + " machines so far";
        LOG.info(
                "task failed: job={} task={} attempt={} machine={} failures={} machinesFailedOn={}",
                job.id(),
                placement.task,
                placement.attempt,
                machine.id,
                job.record.failures,
                job.failedOnMachines.size());
        if (isJobAtFault(job)) {
            // It fails everywhere, by its own fault. It is retried ever more rarely, until it is cancelled.
            int doublings = Math.min(MAX_DOUBLINGS, job.failureBackoffs++);
            job.notBefore = context.now().plusMs(Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << doublings));
        }
        machine.failuresByJob.merge(job.id(), 1, Integer::sum);
        machine.avoidUntil = context.now().plusMs(AVOID_MACHINE_MS);
    }

    /** Whether the job fails everywhere, as far as is known; a job of which a task was done has run on some machine. */
    private static boolean isJobAtFault(Job job) {
        return job.record.done.size() == 0 && (job.isSuspect() || job.failedOnMachines.size() >= JOB_FAULT_MACHINES);
    }

    /**
     * Whether the machine is faulty: tasks of several jobs have failed on it that did not fail everywhere else, or
     * several tasks of one job of which others were done. Failures count since the last task that was done on it.
     */
    public boolean isMachineFaulty(Machine machine) {
        int failures = 0;
        for (Map.Entry<JobId, Integer> entry : machine.failuresByJob.entrySet()) {
            Job job = clusterState.job(entry.getKey());
            if (job == null) {
                failures++;
            } else if (!isJobAtFault(job)) {
                boolean otherTasksDone = job.record.done.size() > 0;
                failures += otherTasksDone ? entry.getValue() : 1;
            }
        }
        return failures >= MACHINE_FAULT_FAILURES;
    }
}
