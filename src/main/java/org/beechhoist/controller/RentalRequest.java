package org.beechhoist.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MonotonicTime;

/**
 * A rental request to the cloud, under a name that stays the same when the request is repeated.
 *
 * @param requestedAt the time at which it was first sent
 * @param then receives the granted machines, possibly none
 */
record RentalRequest(
        String offerKey,
        int number,
        String name,
        ObjectNode body,
        MonotonicTime requestedAt,
        Consumer<List<MachineId>> then) {}
