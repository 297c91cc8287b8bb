package org.beechhoist.controller;

import java.util.Optional;
import java.util.function.Supplier;
import org.beechhoist.config.Policy;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.drain.Budgets;

/**
 * The features of a node that a policy can disable; a module is empty if its feature is disabled.
 *
 * @param keySets key sets, the versions of keys that jobs are bound to
 * @param releases the release calendar
 * @param drains graceful eviction of all tasks of a machine
 */
record FeatureModules(Optional<KeySetModule> keySets, Optional<ReleaseModule> releases, Optional<DrainModule> drains) {

    /** Constructs the modules of the features that the policy enables. */
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

    /** Starts reading and watching the stored state of each feature. */
    void start() {
        keySets.ifPresent(module -> module.registry().start());
        releases.ifPresent(module -> module.registry().start());
        drains.ifPresent(module -> module.registry().start());
    }

    /** Returns the key set registry, or null if key sets are disabled. */
    KeySetRegistry keySetRegistryOrNull() {
        return keySets.map(KeySetModule::registry).orElse(null);
    }

    /** Returns the release registry, or null if the release calendar is disabled. */
    ReleaseRegistry releaseRegistryOrNull() {
        return releases.map(ReleaseModule::registry).orElse(null);
    }

    /** Returns the drain registry, or null if drains are disabled. */
    DrainRegistry drainRegistryOrNull() {
        return drains.map(DrainModule::registry).orElse(null);
    }

    /** Returns the disruption budgets of the teams: none if drains are disabled. */
    Budgets disruptionBudgets() {
        return drains.map(module -> module.registry().budgets()).orElse(Budgets.NONE);
    }
}
