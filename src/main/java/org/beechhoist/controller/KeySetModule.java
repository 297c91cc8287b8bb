package org.beechhoist.controller;

import java.util.Optional;
import java.util.function.Supplier;
import org.beechhoist.controller.context.ApiResponder;
import org.beechhoist.controller.state.ClusterState;

/** The key set feature of a node: its registry and its API. */
final class KeySetModule implements FeatureApi {
    private final KeySetRegistry registry;
    private final KeySetApi api;
    private final Supplier<Optional<Leader>> activeLeader;

    /** @param activeLeader supplies this node's leader while it is active, otherwise empty */
    KeySetModule(StateServiceAccess access, Supplier<Optional<Leader>> activeLeader) {
        this.activeLeader = activeLeader;
        this.registry = new KeySetRegistry(
                access.context(),
                access.store(),
                access.requestTokens(),
                access.writeTokens(),
                access.settings().node(),
                () -> activeLeader.get().ifPresent(Leader::keySetsChanged));
        this.api = new KeySetApi(
                access.context(),
                access.settings(),
                access.store(),
                access.requestTokens(),
                access.writeTokens(),
                registry);
    }

    /** Returns the registry of key sets. */
    KeySetRegistry registry() {
        return registry;
    }

    @Override
    public boolean handles(String path) {
        return path.equals(KeySetApi.PATH) || path.startsWith(KeySetApi.PATH + "/");
    }

    @Override
    public void handle(ApiRequest request, ApiResponder responder) {
        ClusterState clusterState = activeLeader.get().map(Leader::clusterState).orElse(null);
        api.handle(request.method(), request.path(), request.body(), clusterState, responder);
    }
}
