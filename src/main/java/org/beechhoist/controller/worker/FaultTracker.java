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

/** Attributes task failures to a job or a machine, backs off failing jobs and detects faulty machines. */
public final class FaultTracker {
    private static final Logger LOG = LoggerFactory.getLogger(FaultTracker.class);
    /** The first backoff of a job that is at fault; each further failure doubles it. */
    private static final long FIRST_BACKOFF_MS = 2000;
    /** The longest backoff of such a job. */
    private static final long MAX_BACKOFF_MS = 60_000;
    /** The maximum number of doublings of the backoff. */
    private static final int MAX_DOUBLINGS = 5;
    /** The time during which nothing is placed on a machine after a task failure. */
    private static final long AVOID_MACHINE_MS = 5000;
    /** A job without completed tasks that has failed on this many machines is at fault. */
    private static final int JOB_FAULT_MACHINE_COUNT = 3;
    /** The number of failures not caused by a job that makes a machine faulty. */
    private static final int MACHINE_FAULT_FAILURE_COUNT = 2;

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
            // The job itself causes the failures. It is retried at growing intervals until it is cancelled.
            int doublings = Math.min(MAX_DOUBLINGS, job.failureBackoffs++);
            job.notBefore = context.now().plusMs(Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << doublings));
        }
        machine.failuresByJob.merge(job.id(), 1, Integer::sum);
        machine.avoidUntil = context.now().plusMs(AVOID_MACHINE_MS);
    }

    /**
     * Returns whether the job itself appears to cause its failures; a job with a completed task has run on some
     * machine.
     */
    private static boolean isJobAtFault(Job job) {
        return job.record.done.size() == 0
                && (job.isSuspect() || job.failedOnMachines.size() >= JOB_FAULT_MACHINE_COUNT);
    }

    /**
     * Returns whether the machine is faulty: tasks of several jobs have failed on it that did not fail everywhere else,
     * or several tasks of one job of which others were done. Failures count since the last task that was done on it.
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
        return failures >= MACHINE_FAULT_FAILURE_COUNT;
    }
}
