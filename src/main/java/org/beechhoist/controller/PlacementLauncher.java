package org.beechhoist.controller;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.worker.CommandDispatcher;
import org.beechhoist.controller.worker.MachineLossTracker;
import org.beechhoist.controller.worker.TaskRemoval;
import org.beechhoist.store.Placement;

/** Launches tasks once the transaction with their placements is committed. */
final class PlacementLauncher {
    private final ClusterState clusterState;
    private final ElasticWidths elastic;
    private final TaskRemoval taskRemoval;
    private final MachineLossTracker lossTracker;
    private final CommandDispatcher dispatcher;

    PlacementLauncher(
            ClusterState clusterState,
            ElasticWidths elastic,
            TaskRemoval taskRemoval,
            MachineLossTracker lossTracker,
            CommandDispatcher dispatcher) {
        this.clusterState = clusterState;
        this.elastic = elastic;
        this.taskRemoval = taskRemoval;
        this.lossTracker = lossTracker;
        this.dispatcher = dispatcher;
    }

    /** Launches the placed tasks and withdraws those that are to be ended or whose machine is about to be removed. */
    void launch(List<Placement> placements) {
        placements.forEach(lossTracker::recordTaskPlaced);
        Set<Machine> machinesWithCommands = new LinkedHashSet<>();
        for (Placement placement : placements) {
            Job job = clusterState.job(placement.task.job());
            if (elastic.shouldWithdraw(job, placement, clusterState.machine(placement.machine))) {
                taskRemoval.remove(job, placement);
            } else {
                taskRemoval.launchOrRemove(placement);
            }
            machinesWithCommands.add(clusterState.machine(placement.machine));
        }
        machinesWithCommands.forEach(dispatcher::dispatch);
    }
}
