package org.beechhoist.controller.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.ServiceCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The machine types with their current prices; every node keeps them to judge submissions. */
public final class MachineTypeCatalog {
    private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);
    private static final long REFRESH_MS = 30_000;
    private final ControllerContext turn;
    private Map<String, MachineType> types = Map.of();
    private boolean strangeLogged;

    public MachineTypeCatalog(ControllerContext turn) {
        this.turn = turn;
    }

    public void start() {
        turn.call(ServiceCalls.Target.CLOUD, null, "GET", "/machine_types", null, 4000, result -> {
            boolean read = false;
            if (result.ok() && result.body().path("hosttypes").isArray()) {
                read = take(result.body().get("hosttypes"));
            }
            turn.after(read ? REFRESH_MS : types.isEmpty() ? 1000 : 5000, this::start);
        });
    }

    private boolean take(JsonNode list) {
        Map<String, MachineType> next = new LinkedHashMap<>();
        for (JsonNode node : list) {
            try {
                MachineType t = MachineType.parse(node);
                next.put(t.name(), t);
            } catch (MalformedMessageException e) {
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

    public boolean known() {
        return !types.isEmpty();
    }

    public MachineType get(String name) {
        return name == null ? null : types.get(name);
    }

    public Collection<MachineType> all() {
        return types.values();
    }
}
