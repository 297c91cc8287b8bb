package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.SplittableRandom;
import org.beechhoist.config.Policy;
import org.beechhoist.controller.leadership.ControllerServices;
import org.beechhoist.controller.state.Job;

/**
 * Composition root of the leader: constructs its components, in this order, and connects them. It contains no
 * scheduling logic.
 */
final class LeaderComponents {
    final ControllerServices services;
    final NodeComponents node;
    final WorkerComponents workers;
    final SchedulingComponents scheduling;
    final LeaderFeatures features;
    final LeaderReachabilityCheck reachabilityCheck;
    final StalledJobReporter stalledJobs;

    LeaderComponents(
            ControllerServices services,
            Policy policy,
            SplittableRandom random,
            NodeComponents node,
            FeatureModules modules) {
        this.services = services;
        this.node = node;
        workers = new WorkerComponents(services, policy, node, modules, this::jobEnded);
        scheduling = new SchedulingComponents(workers, policy, random, node.machineTypes(), modules);
        features = new LeaderFeatures(workers, scheduling, policy, node, modules);
        reachabilityCheck = new LeaderReachabilityCheck(
                services.context(), services.settings(), workers.clusterState, services.election(), node.peers());
        stalledJobs = new StalledJobReporter(
                services.context(), workers.clusterState, workers.elasticWidths, scheduling.planner);
    }

    /** Notifies the components that track a job of its committed end. */
    private void jobEnded(Job job, JsonNode finalState) {
        node.userApi().recordEnded(job.id(), finalState);
        workers.lossTracker.stopTrackingJob(job.id());
        features.serviceShare.ifPresent(share -> share.recordEnded(job));
        scheduling.releaseController.recordEndedJob(job);
    }
}
