package org.beechhoist.controller.state;

/**
 * What a leader knows, passed as one object to the parts that read most of it.
 *
 * @param clusterState the open jobs and the machines
 * @param loader says whether the cluster state holds all open records
 * @param machineTypes the cloud's machine types with their prices
 * @param estimates how long tasks are expected to run
 * @param cancellations committed cancellations, and how fresh that knowledge is
 */
public record LeaderState(
        ClusterState clusterState,
        StateLoader loader,
        MachineTypeCatalog machineTypes,
        DurationEstimates estimates,
        CancellationRegistry cancellations) {}
