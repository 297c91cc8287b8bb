package org.beechhoist.controller;

import java.util.SplittableRandom;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.ControllerServices;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.controller.worker.PreemptionNoticeHandler;

/**
 * Constructs and connects the components that decide where and when tasks run: admission, releases, the plan,
 * migration, width reduction and preemption.
 *
 * <p>The fields are assigned in the order in which the components are constructed.
 */
final class SchedulingComponents {
    final Admission admission;
    final ReleaseController releaseController;
    final TaskPlacer taskPlacer;
    final MigrationController migrationController;
    final PreemptionNoticeHandler preemptionNotices;
    final Planner planner;
    final WidthReduction widthReduction;
    final Preemption preemption;

    private final ControllerServices services;
    private final Policy policy;
    private final FeatureModules features;
    private final MachineTypeCatalog machineTypes;
    private final WorkerComponents workers;

    SchedulingComponents(
            WorkerComponents workers,
            Policy policy,
            SplittableRandom random,
            MachineTypeCatalog machineTypes,
            FeatureModules features) {
        this.services = workers.services;
        this.policy = policy;
        this.features = features;
        this.machineTypes = machineTypes;
        this.workers = workers;
        ControllerContext context = services.context();
        Settings settings = services.settings();
        admission = new Admission(context, settings, machineTypes, workers.clusterState, workers.faultTracker);
        releaseController = createReleases();
        workers.jobOrdering.setReleases(releaseController);
        taskPlacer = new TaskPlacer(
                context, workers.clusterState, admission, workers.estimates, workers.elasticWidths, machineTypes);
        migrationController = createMigrationController();
        connectMigrations();
        preemptionNotices = new PreemptionNoticeHandler(
                context, workers.clusterState, workers.estimates, workers.eviction, workers.dispatcher);
        planner = createPlanner(random);
        widthReduction = createWidthReduction();
        preemption = createPreemption();
    }

    private ReleaseController createReleases() {
        return new ReleaseController(
                services.context(),
                services.store(),
                services.election(),
                services.requestTokens(),
                services.writeTokens(),
                workers.clusterState,
                workers.estimates,
                admission,
                features.releaseRegistryOrNull());
    }

    private MigrationController createMigrationController() {
        return new MigrationController(
                services.context(),
                policy,
                services.store(),
                services.election(),
                services.requestTokens(),
                services.writeTokens(),
                machineTypes,
                workers.clusterState,
                admission,
                workers.eviction,
                workers.dispatcher,
                taskPlacer,
                workers.disruptionAccounting,
                features::disruptionBudgets);
    }

    private void connectMigrations() {
        workers.disruptionAccounting.setMigrationPending(migrationController::isMigrating);
        workers.provisioner.setReservedForMigration(
                machine -> !migrationController.reservedOn(machine).isEmpty());
        admission.setMigrationController(migrationController);
    }

    private Planner createPlanner(SplittableRandom random) {
        PlanBuilder builder =
                new PlanBuilder(workers, policy, machineTypes, admission, migrationController, preemptionNotices);
        return new Planner(workers, policy, random, builder);
    }

    private WidthReduction createWidthReduction() {
        return new WidthReduction(
                services.context(),
                policy,
                machineTypes,
                workers.clusterState,
                workers.jobOrdering,
                admission,
                workers.provisioner.scaleOutPolicy(),
                workers.elasticWidths);
    }

    private Preemption createPreemption() {
        return new Preemption(
                services.context(),
                policy,
                machineTypes,
                workers.clusterState,
                workers.jobOrdering,
                admission,
                workers.eviction);
    }
}
