package org.beechhoist.controller.state;

/**
 * The state of a leader, passed as one object to components that read most of it.
 *
 * @param clusterState the open jobs and the machines
 * @param loader loads the open records and reports whether all of them are in the cluster state
 * @param machineTypes the cloud's machine types and their prices
 * @param estimates expected task durations
 * @param cancellations known committed cancellations and the time up to which they are complete
 */
public record LeaderState(
        ClusterState clusterState,
        StateLoader loader,
        MachineTypeCatalog machineTypes,
        DurationEstimates estimates,
        CancellationRegistry cancellations) {}
