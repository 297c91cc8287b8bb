package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.BiConsumer;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.ControllerServices;
import org.beechhoist.controller.state.ChangeLog;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.LeaderState;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.StateLoader;
import org.beechhoist.controller.state.TransactionCommitter;
import org.beechhoist.controller.worker.CancellationEnforcer;
import org.beechhoist.controller.worker.ColdStartRecovery;
import org.beechhoist.controller.worker.CommandDispatcher;
import org.beechhoist.controller.worker.FaultTracker;
import org.beechhoist.controller.worker.HeartbeatHandler;
import org.beechhoist.controller.worker.MachineLossTracker;
import org.beechhoist.controller.worker.TaskEviction;
import org.beechhoist.controller.worker.TaskRemoval;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.WorkerCommand;

/**
 * Constructs and connects the leader's cluster state, the transactions that store it, and the components that manage
 * machines and their workers.
 *
 * <p>The fields are assigned in the order in which the components are constructed. Components that need one
 * constructed later receive a listener, which reads the field when it is called.
 */
final class WorkerComponents {
    final ControllerServices services;
    final DurationEstimates estimates;
    final ClusterState clusterState;
    final StateLoader loader;
    final LeaderState state;
    final ColdStartRecovery coldStart;
    final MachineLossTracker lossTracker;
    final CommandDispatcher dispatcher;
    final DisruptionAccounting disruptionAccounting;
    final TaskEviction eviction;
    final TaskRemoval taskRemoval;
    final KeySetHolds keySetHolds;
    final TransactionCommitter committer;
    final FaultTracker faultTracker;
    final JobOrdering jobOrdering;
    final Provisioner provisioner;
    final ElasticWidths elasticWidths;
    final PlacementLauncher launcher;
    final HeartbeatHandler heartbeatHandler;
    final WorkerRestartHandler workerRestarts;
    final CancellationEnforcer cancellationEnforcer;

    private final Policy policy;
    private final NodeComponents node;
    private final BiConsumer<Job, JsonNode> jobEnded;
    private final ChangeLog changeLog;

    /**
     * Constructs the components.
     *
     * @param jobEnded called with a job and its final state when its end is committed
     */
    WorkerComponents(
            ControllerServices services,
            Policy policy,
            NodeComponents node,
            FeatureModules features,
            BiConsumer<Job, JsonNode> jobEnded) {
        this.services = services;
        this.policy = policy;
        this.node = node;
        this.jobEnded = jobEnded;
        ControllerContext context = services.context();
        Settings settings = services.settings();
        estimates = new DurationEstimates();
        clusterState = new ClusterState(context, settings);
        changeLog = new ChangeLog();
        loader = createLoader();
        state = new LeaderState(clusterState, loader, node.machineTypes(), estimates, node.cancellations());
        coldStart = new ColdStartRecovery(context, settings, clusterState);
        lossTracker = new MachineLossTracker(context, clusterState);
        dispatcher = new CommandDispatcher(services, state, coldStart, new CommandOutcomes());
        disruptionAccounting = createDisruptions(features.drains().isPresent());
        eviction = new TaskEviction(clusterState, dispatcher, disruptionAccounting);
        taskRemoval = new TaskRemoval(clusterState, eviction, lossTracker);
        keySetHolds = new KeySetHolds(
                context, settings, clusterState, dispatcher, taskRemoval, features.keySetRegistryOrNull());
        committer = createCommitter();
        faultTracker = new FaultTracker(context, clusterState);
        jobOrdering = new JobOrdering(context, settings, policy, clusterState, estimates);
        provisioner = createProvisioner();
        elasticWidths = createElasticWidths();
        launcher = new PlacementLauncher(clusterState, elasticWidths, taskRemoval, lossTracker, dispatcher);
        heartbeatHandler = new HeartbeatHandler(
                services, state, dispatcher, taskRemoval, faultTracker, provisioner, elasticWidths);
        workerRestarts = new WorkerRestartHandler(services, clusterState, committer, dispatcher, heartbeatHandler);
        cancellationEnforcer = createCancellationEnforcer();
    }

    private StateLoader createLoader() {
        return new StateLoader(services, clusterState, estimates, changeLog, node.cancellations(), new LoadedState());
    }

    private DisruptionAccounting createDisruptions(boolean withDrains) {
        return new DisruptionAccounting(
                services.context(),
                services.settings(),
                services.store(),
                services.election(),
                services.requestTokens(),
                services.writeTokens(),
                clusterState,
                withDrains);
    }

    private TransactionCommitter createCommitter() {
        return new TransactionCommitter(
                services,
                clusterState,
                loader,
                changeLog,
                keySetHolds,
                node.peers()::hasMessageFromEachPeer,
                new CommittedChanges());
    }

    private Provisioner createProvisioner() {
        return new Provisioner(
                services,
                policy,
                node.machineTypes(),
                clusterState,
                jobOrdering,
                estimates,
                faultTracker,
                taskRemoval,
                lossTracker,
                coldStart,
                (machine, heartbeat) -> workerRestarts.handleRestart(machine, heartbeat));
    }

    private ElasticWidths createElasticWidths() {
        return new ElasticWidths(
                services.context(),
                policy.elastic(),
                clusterState,
                node.machineTypes(),
                estimates,
                eviction,
                taskRemoval);
    }

    private CancellationEnforcer createCancellationEnforcer() {
        return new CancellationEnforcer(
                services, state, dispatcher, taskRemoval, lossTracker, provisioner, keySetHolds);
    }

    /** Forwards the events of the state loader. */
    private final class LoadedState implements StateLoader.Listener {
        @Override
        public void stateLoaded() {
            heartbeatHandler.reconcileAll();
        }

        @Override
        public void jobCancelled(JobId jobId) {
            cancellationEnforcer.enforceCancellation(jobId);
        }

        @Override
        public void jobResized(Job job) {
            elasticWidths.reconcileWidth(job);
        }
    }

    /** Forwards the answers of workers to commands and probes. */
    private final class CommandOutcomes implements CommandDispatcher.Listener {
        @Override
        public List<WorkerCommand> heartbeatReceived(Machine machine, Heartbeat heartbeat) {
            return heartbeatHandler.reconcileAnswer(machine, heartbeat);
        }

        @Override
        public void workerRestarted(Machine machine, Heartbeat heartbeat) {
            workerRestarts.handleRestart(machine, heartbeat);
        }

        @Override
        public void launchUnacknowledged(FencingToken fencingToken) {
            if (fencingToken.equals(services.election().fencingToken())) {
                committer.requestTokenRotation();
            }
        }

        @Override
        public void tokenRotationRequested() {
            committer.requestTokenRotation();
        }

        @Override
        public void urgentTokenRotationRequested() {
            committer.requestUrgentTokenRotation();
        }
    }

    /** Forwards the changes that the transaction committer has stored. */
    private final class CommittedChanges implements TransactionCommitter.Listener {
        @Override
        public void placementsCommitted(List<Placement> placed) {
            launcher.launch(placed);
        }

        @Override
        public void tokenRotated() {
            workerRestarts.sendRotatedToken();
        }

        @Override
        public void jobCommitted(Job job) {
            elasticWidths.reconcileWidth(job);
        }

        @Override
        public void jobEnded(Job job, JsonNode finalState) {
            jobEnded.accept(job, finalState);
        }
    }
}
