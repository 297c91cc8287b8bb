package org.beechhoist.controller;

import java.util.Optional;
import java.util.function.Supplier;
import org.beechhoist.config.Policy;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.drain.Budgets;

/**
 * The features of a node that a policy may switch off; a module is empty where its feature is off.
 *
 * @param keySets versions of keys that jobs are bound to
 * @param releases the release calendar
 * @param drains machines emptied by graceful eviction
 */
record FeatureModules(Optional<KeySetModule> keySets, Optional<ReleaseModule> releases, Optional<DrainModule> drains) {

    /** Constructs the modules of the features that the policy has on. */
    static FeatureModules create(
            StateServiceAccess access,
            Policy policy,
            MachineTypeCatalog machineTypes,
            Supplier<Optional<Leader>> activeLeader) {
        Optional<KeySetModule> keySets =
                policy.keySets() ? Optional.of(new KeySetModule(access, activeLeader)) : Optional.empty();
        Optional<ReleaseModule> releases =
                policy.releases() ? Optional.of(new ReleaseModule(access, activeLeader)) : Optional.empty();
        Optional<DrainModule> drains =
                policy.drains() ? Optional.of(new DrainModule(access, machineTypes, activeLeader)) : Optional.empty();
        return new FeatureModules(keySets, releases, drains);
    }

    /** Starts to read and follow what is stored of each feature. */
    void start() {
        keySets.ifPresent(module -> module.registry().start());
        releases.ifPresent(module -> module.registry().start());
        drains.ifPresent(module -> module.registry().start());
    }

    /** The key set registry, or null where key sets are off. */
    KeySetRegistry keySetRegistryOrNull() {
        return keySets.map(KeySetModule::registry).orElse(null);
    }

    /** The release registry, or null where the release calendar is off. */
    ReleaseRegistry releaseRegistryOrNull() {
        return releases.map(ReleaseModule::registry).orElse(null);
    }

    /** The drain registry, or null where drains are off. */
    DrainRegistry drainRegistryOrNull() {
        return drains.map(DrainModule::registry).orElse(null);
    }

    /** The teams' disruption budgets: none where drains are off. */
    Budgets disruptionBudgets() {
        return drains.map(module -> module.registry().budgets()).orElse(Budgets.NONE);
    }
}
