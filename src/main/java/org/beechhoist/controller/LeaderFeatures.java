package org.beechhoist.controller;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.beechhoist.config.Policy;
import org.beechhoist.controller.leadership.ControllerServices;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.floor.ServiceShare;

/**
 * Constructs and connects the leader's components of features that a policy can disable, and of drains, which depend
 * on them. A disabled feature loads and stores nothing.
 *
 * <p>The fields are assigned in the order in which the components are constructed.
 */
final class LeaderFeatures {
    final Optional<CronController> cronController;
    final Optional<FleetSnapshots> fleetSnapshots;
    final Optional<MinimumServiceShare> serviceShare;
    final DrainController drainController;
    final Optional<LoadShedding> loadShedding;

    private final ControllerServices services;
    private final MachineTypeCatalog machineTypes;
    private final WorkerComponents workers;
    private final SchedulingComponents scheduling;

    LeaderFeatures(
            WorkerComponents workers,
            SchedulingComponents scheduling,
            Policy policy,
            NodeComponents node,
            FeatureModules features) {
        this.services = workers.services;
        this.machineTypes = node.machineTypes();
        this.workers = workers;
        this.scheduling = scheduling;
        cronController = policy.cron().on() ? Optional.of(createSchedules(node)) : Optional.empty();
        fleetSnapshots = policy.fleetNotes() ? Optional.of(createFleetSnapshots()) : Optional.empty();
        serviceShare = policy.servedFloor() ? Optional.of(createServiceShare()) : Optional.empty();
        drainController = createDrains(features.drainRegistryOrNull());
        loadShedding = policy.triage() ? Optional.of(createLoadShedding()) : Optional.empty();
    }

    private CronController createSchedules(NodeComponents node) {
        return new CronController(
                services.context(),
                services.settings(),
                services.store(),
                services.election(),
                services.requestTokens(),
                services.writeTokens(),
                workers.clusterState,
                workers.loader,
                node.userApi(),
                node.idempotencyKeys());
    }

    private FleetSnapshots createFleetSnapshots() {
        return new FleetSnapshots(
                services.context(),
                services.settings(),
                services.store(),
                services.election(),
                services.requestTokens(),
                services.writeTokens(),
                workers.clusterState);
    }

    private MinimumServiceShare createServiceShare() {
        return new MinimumServiceShare(
                services.context(),
                services.settings(),
                services.store(),
                services.election(),
                services.requestTokens(),
                services.writeTokens(),
                workers.clusterState,
                workers.estimates,
                workers.jobOrdering,
                this::cpusOf);
    }

    private DrainController createDrains(DrainRegistry registry) {
        return new DrainController(
                services.context(),
                services.settings(),
                services.store(),
                services.election(),
                services.requestTokens(),
                services.writeTokens(),
                workers.clusterState,
                machineTypes,
                scheduling.admission,
                workers.eviction,
                workers.dispatcher,
                workers.provisioner,
                workers.elasticWidths,
                scheduling.migrationController,
                workers.disruptionAccounting,
                createRollingReplacement(),
                registry);
    }

    private RollingReplacement createRollingReplacement() {
        return new RollingReplacement(
                services.context(),
                workers.clusterState,
                workers.provisioner,
                workers.faultTracker,
                workers.jobOrdering,
                workers.lossTracker,
                this::serviceShares);
    }

    private LoadShedding createLoadShedding() {
        return new LoadShedding(
                services.context(),
                services.settings(),
                machineTypes,
                workers.clusterState,
                workers.estimates,
                workers.jobOrdering,
                scheduling.admission,
                workers.provisioner.scaleOutPolicy(),
                this::serviceShares,
                this::serviceGroups);
    }

    private double cpusOf(Machine machine) {
        return machineTypes.get(machine.type) == null
                ? 0
                : machineTypes.get(machine.type).cpus();
    }

    private Map<String, ServiceShare> serviceShares() {
        return serviceShare.map(MinimumServiceShare::shares).orElse(Map.of());
    }

    private Set<String> serviceGroups(Job job) {
        return serviceShare.map(share -> share.groups(job)).orElseGet(() -> MinimumServiceShare.groups(job.spec()));
    }
}
