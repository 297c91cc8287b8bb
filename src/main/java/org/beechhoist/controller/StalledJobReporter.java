package org.beechhoist.controller;

import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.plan.Plan;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs jobs that make no progress, with the cause if it is known. */
final class StalledJobReporter {
    private static final Logger LOG = LoggerFactory.getLogger(StalledJobReporter.class);
    /** The time without progress after which a job is logged, and the interval at which it is logged again. */
    private static final long STALL_TIMEOUT_MS = 120_000;

    private final ControllerContext context;
    private final ClusterState clusterState;
    private final ElasticWidths elastic;
    private final Planner planner;

    StalledJobReporter(ControllerContext context, ClusterState clusterState, ElasticWidths elastic, Planner planner) {
        this.context = context;
        this.clusterState = clusterState;
        this.elastic = elastic;
        this.planner = planner;
    }

    /** Logs each job without progress; a service whose guaranteed replicas all run is not expected to make any. */
    void report() {
        for (Job job : clusterState.jobs()) {
            boolean serves = job.spec().isService() && elastic.regularWaitingCount(job) == 0;
            if (!serves && context.now().since(job.lastProgressAt) > STALL_TIMEOUT_MS) {
                job.lastProgressAt = context.now();
                LOG.warn(
                        "job stalled: job={} waiting={} placed={} cause=\"{}\"",
                        job.id(),
                        job.record.waitingCount(),
                        job.record.live.size(),
                        cause(job));
            }
        }
    }

    private String cause(Job job) {
        if (job.keySetHold != null) {
            return "held: " + job.keySetHold.reason();
        }
        if (ElasticWidths.pauseReason(job) != null) {
            return ElasticWidths.pauseReason(job);
        }
        if (job.record.failureReason != null) {
            return job.record.failureReason;
        }
        Plan plan = planner.currentPlan();
        Long start = plan == null ? null : plan.plannedStart(job.id());
        if (start == null) {
            return "not in the plan";
        }
        return "planned in " + (start - context.now().ms()) / 1000 + " s";
    }
}
