package org.beechhoist.controller;

import org.beechhoist.controller.leadership.PeerDirectory;
import org.beechhoist.controller.state.CancellationRegistry;
import org.beechhoist.controller.state.MachineTypeCatalog;

/**
 * What every node has, whether it leads or not, and the leader uses too.
 *
 * @param machineTypes the cloud's machine types
 * @param userApi the API of jobs, which answers users when jobs end
 * @param idempotencyKeys which repeated submissions are the same job
 * @param peers what the other controllers last said of themselves
 * @param cancellations committed cancellations, and how fresh that knowledge is
 */
record NodeComponents(
        MachineTypeCatalog machineTypes,
        UserApi userApi,
        IdempotencyKeys idempotencyKeys,
        PeerDirectory peers,
        CancellationRegistry cancellations) {}
