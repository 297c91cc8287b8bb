package org.beechhoist.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.Supplier;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.Job;
import org.beechhoist.wire.JobId;

/** Adds to a job's stored state the details that only this node knows: counts, plan, key set and drain. */
final class JobStatusDetails {
    private final ControllerContext context;
    private final FeatureModules features;
    private final JobProgress progress;
    private final Supplier<Optional<Leader>> activeLeader;

    /**
     * Creates an instance.
     *
     * @param activeLeader returns this node's leader while it is active, otherwise empty
     */
    JobStatusDetails(
            ControllerContext context,
            FeatureModules features,
            JobProgress progress,
            Supplier<Optional<Leader>> activeLeader) {
        this.context = context;
        this.features = features;
        this.progress = progress;
        this.activeLeader = activeLeader;
    }

    /** Adds the known details of a job to its state. */
    void addTo(JobId jobId, ObjectNode state) {
        features.keySets().ifPresent(module -> module.registry().addHoldDetails(state));
        Leader leader = activeLeader.get().orElse(null);
        Job job = leader == null ? null : leader.clusterState().job(jobId);
        if (job == null) {
            OperatorViews.addProgress(progress.latestCount(jobId, context.now()), state);
            return;
        }
        OperatorViews.addProgress(JobProgress.count(job), state);
        OperatorViews.addPlannedTimes(leader, jobId, state, context.now().ms());
        if (features.drains().isPresent()) {
            state.put("drained", DrainViews.describeDrainedTasks(job, leader.clusterState()));
        }
    }
}
