package org.beechhoist.wire;

import static org.beechhoist.wire.ProtocolFields.CACHE_GB;
import static org.beechhoist.wire.ProtocolFields.CPUS;
import static org.beechhoist.wire.ProtocolFields.FETCH_GB_PER_S;
import static org.beechhoist.wire.ProtocolFields.GPUS;
import static org.beechhoist.wire.ProtocolFields.MEMORY_GB;
import static org.beechhoist.wire.ProtocolFields.PRICE;
import static org.beechhoist.wire.ProtocolFields.SPOT_PRICE;
import static org.beechhoist.wire.ProtocolFields.STARTUP_S;
import static org.beechhoist.wire.ProtocolFields.TYPE_NAME;
import static org.beechhoist.wire.ProtocolFields.ZONES;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** A kind of machine the cloud rents. */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double memGb,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double startupS,
        List<String> zones) {
    /** Reads one element of the cloud's answer to {@code GET /machine_types}. */
    public static MachineType parse(JsonNode node) throws MalformedMessageException {
        return new MachineType(
                Codec.text(node, TYPE_NAME),
                Codec.number(node, CPUS, 0),
                Codec.number(node, GPUS, 0),
                Codec.number(node, MEMORY_GB, 0),
                Codec.number(node, CACHE_GB, 0),
                Math.max(0.001, Codec.number(node, FETCH_GB_PER_S, 0)),
                Codec.number(node, PRICE, 0),
                Codec.number(node, SPOT_PRICE, 0),
                Codec.number(node, STARTUP_S, 0),
                Codec.textList(node.get(ZONES), ZONES));
    }

    /** The price of a machine, as a spot machine or an ordinary one. */
    public double priceOf(boolean spot) {
        return spot ? spotPrice : price;
    }
}
