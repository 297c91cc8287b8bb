package org.beechhoist.controller;

import java.util.Optional;
import java.util.function.Supplier;
import org.beechhoist.controller.context.ApiResponder;

/** The release calendar of a node: its registry and its API. */
final class ReleaseModule implements FeatureApi {
    private final ReleaseRegistry registry;
    private final ReleaseApi api;
    private final Supplier<Optional<Leader>> activeLeader;

    /** @param activeLeader supplies this node's leader while it is active, otherwise empty */
    ReleaseModule(StateServiceAccess access, Supplier<Optional<Leader>> activeLeader) {
        this.activeLeader = activeLeader;
        this.registry = new ReleaseRegistry(
                access.context(), access.store(), access.requestTokens(), (before, now) -> activeLeader
                        .get()
                        .ifPresent(leader -> leader.releaseChanged(before, now)));
        this.api = new ReleaseApi(
                access.context(),
                access.settings(),
                access.store(),
                access.requestTokens(),
                access.writeTokens(),
                registry);
    }

    /** Returns the registry of releases. */
    ReleaseRegistry registry() {
        return registry;
    }

    @Override
    public boolean handles(String path) {
        return path.equals(ReleaseApi.PATH) || path.startsWith(ReleaseApi.PATH + "/");
    }

    @Override
    public void handle(ApiRequest request, ApiResponder responder) {
        Leader leader = activeLeader.get().orElse(null);
        api.handle(request.method(), request.path(), request.body(), leader, responder);
    }
}
