package org.beechhoist.wire;

import static org.beechhoist.wire.ProtocolFields.COMMANDS;
import static org.beechhoist.wire.ProtocolFields.EPOCH;
import static org.beechhoist.wire.ProtocolFields.FENCING_TOKEN;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Commands to a worker, with the token by which it knows whether their sender still leads. */
public record CommandMessage(FencingToken token, List<WorkerCommand> commands) {
    /** The body of the response to a heartbeat. */
    public ObjectNode toResponse() {
        ObjectNode body = Codec.putUnsigned(Codec.map(), FENCING_TOKEN, token.value());
        body.set(COMMANDS, WorkerCommand.toNode(commands));
        return body;
    }

    /** The body of {@code POST /orders} to a worker in this epoch (unsigned). */
    public ObjectNode toRequest(long epoch) {
        return Codec.putUnsigned(toResponse(), EPOCH, epoch);
    }
}
