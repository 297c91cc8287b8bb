package org.beechhoist.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MonotonicTime;

/**
 * One request to the cloud for machines, under a name that stays the same when the request is repeated.
 *
 * @param requestedAt when it was sent first
 * @param then receives the machines that were granted, perhaps none
 */
record RentalRequest(
        String offerKey,
        int number,
        String name,
        ObjectNode body,
        MonotonicTime requestedAt,
        Consumer<List<MachineId>> then) {}
