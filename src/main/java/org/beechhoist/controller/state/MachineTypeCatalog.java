package org.beechhoist.core;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.beechhoist.wire.Calls;
import org.beechhoist.wire.HostType;
import org.beechhoist.wire.Malformed;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The machine types with their current prices; every node keeps them to judge submissions. */
final class Types {
    private static final Logger LOG = LoggerFactory.getLogger(Types.class);
    private static final long REFRESH_MS = 30_000;
    private final Turn turn;
    private Map<String, HostType> types = Map.of();
    private boolean strangeLogged;

    Types(Turn turn) {
        this.turn = turn;
    }

    void start() {
        turn.call(Calls.Target.CLOUD, null, "GET", "/machine_types", null, 4000, result -> {
            boolean read = false;
            if (result.ok() && result.body().path("hosttypes").isArray()) {
                read = take(result.body().get("hosttypes"));
            }
            turn.after(read ? REFRESH_MS : types.isEmpty() ? 1000 : 5000, this::start);
        });
    }

    private boolean take(JsonNode list) {
        Map<String, HostType> next = new LinkedHashMap<>();
        for (JsonNode node : list) {
            try {
                HostType t = HostType.parse(node);
                next.put(t.name(), t);
            } catch (Malformed e) {
                if (!strangeLogged) {
                    strangeLogged = true;
                    LOG.warn("cloud: a machine type can't be read: {}", e.getMessage());
                }
                return false;
            }
        }
        if (!next.isEmpty()) {
            types = next;
        }
        return !next.isEmpty();
    }

    boolean known() {
        return !types.isEmpty();
    }

    HostType get(String name) {
        return name == null ? null : types.get(name);
    }

    Collection<HostType> all() {
        return types.values();
    }
}
