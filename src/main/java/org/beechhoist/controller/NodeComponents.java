package org.beechhoist.controller;

import org.beechhoist.controller.leadership.PeerDirectory;
import org.beechhoist.controller.state.CancellationRegistry;
import org.beechhoist.controller.state.MachineTypeCatalog;

/**
 * The components of every node that the leader uses too.
 *
 * @param machineTypes the cloud's machine types
 * @param userApi the job API, which is notified when jobs end
 * @param idempotencyKeys the idempotency keys of submissions
 * @param peers the latest states that the other controllers sent
 * @param cancellations committed cancellations, and how recent that knowledge is
 */
record NodeComponents(
        MachineTypeCatalog machineTypes,
        UserApi userApi,
        IdempotencyKeys idempotencyKeys,
        PeerDirectory peers,
        CancellationRegistry cancellations) {}
