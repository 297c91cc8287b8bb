package org.beechhoist.wire;

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
    public static MachineType parse(JsonNode node) throws MalformedMessageException {
        return new MachineType(
                Codec.text(node, "sku"),
                Codec.number(node, "cores", 0),
                Codec.number(node, "accelerators", 0),
                Codec.number(node, "memGb", 0),
                Codec.number(node, "cacheGb", 0),
                Math.max(0.001, Codec.number(node, "fetchGbPerS", 0)),
                Codec.number(node, "rate", 0),
                Codec.number(node, "lowPrice", 0),
                Codec.number(node, "startupS", 0),
                Codec.textList(node.get("yards"), "yards"));
    }

    public double priceOf(boolean spot) {
        return spot ? spotPrice : price;
    }
}
