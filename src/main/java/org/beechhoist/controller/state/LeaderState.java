package org.beechhoist.controller.state;

/**
 * What a leader knows, handed together to the parts that read most of it.
 *
 * @param clusterState the open jobs and the machines
 * @param loader whether all open records are in it
 * @param machineTypes the cloud's machine types
 * @param estimates how long tasks run
 * @param cancellations committed cancellations, and how fresh that knowledge is
 */
public record LeaderState(
        ClusterState clusterState,
        StateLoader loader,
        MachineTypeCatalog machineTypes,
        DurationEstimates estimates,
        CancellationRegistry cancellations) {}
