package org.beechhoist.controller;

import java.util.Optional;
import java.util.function.Supplier;
import org.beechhoist.controller.context.ApiResponder;
import org.beechhoist.controller.state.MachineTypeCatalog;

/** The drain feature of one node: the registry and the API. */
final class DrainModule implements FeatureApi {
    private final DrainRegistry registry;
    private final DrainApi api;
    private final Supplier<Optional<Leader>> activeLeader;

    /**
     * Creates the module.
     *
     * @param activeLeader this node's leader while it is active, otherwise empty
     */
    DrainModule(StateServiceAccess access, MachineTypeCatalog machineTypes, Supplier<Optional<Leader>> activeLeader) {
        this.activeLeader = activeLeader;
        this.registry = new DrainRegistry(access.context(), access.store(), access.requestTokens(), () -> activeLeader
                .get()
                .ifPresent(leader -> leader.clusterState().requestReplan()));
        this.api = new DrainApi(
                access.context(),
                access.settings(),
                access.store(),
                access.requestTokens(),
                access.writeTokens(),
                machineTypes,
                registry);
    }

    /** Returns the registry of the stored drains and disruption budgets. */
    DrainRegistry registry() {
        return registry;
    }

    @Override
    public boolean handles(String path) {
        return DrainApi.handles(path);
    }

    @Override
    public void handle(ApiRequest request, ApiResponder responder) {
        DrainController controller =
                activeLeader.get().map(Leader::drainController).orElse(null);
        api.handle(request.method(), request.path(), request.body(), controller, responder);
    }
}
