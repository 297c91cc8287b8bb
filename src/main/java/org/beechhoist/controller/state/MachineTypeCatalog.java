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

/** The cloud's machine types with their current prices; every node holds them, to check submissions. */
public final class MachineTypeCatalog {
    private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);
    private static final long REFRESH_MS = 30_000;
    private final ControllerContext context;
    private Map<String, MachineType> types = Map.of();
    private boolean unexpectedLogged;

    /** Creates a catalog without types; {@link #start} begins to read them. */
    public MachineTypeCatalog(ControllerContext context) {
        this.context = context;
    }

    /** Reads the types from the cloud, now and then regularly. */
    public void start() {
        context.call(ServiceCalls.Target.CLOUD, null, "GET", "/machine_types", null, 4000, result -> {
            boolean read = false;
            if (result.isOk() && result.body().path("hosttypes").isArray()) {
                read = replaceAll(result.body().get("hosttypes"));
            }
            context.schedule(read ? REFRESH_MS : retryMs(), this::start);
        });
    }

    private long retryMs() {
        return types.isEmpty() ? 1000 : 5000;
    }

    private boolean replaceAll(JsonNode list) {
        Map<String, MachineType> next = new LinkedHashMap<>();
        for (JsonNode node : list) {
            try {
                MachineType t = MachineType.parse(node);
                next.put(t.name(), t);
            } catch (MalformedMessageException e) {
                if (!unexpectedLogged) {
                    unexpectedLogged = true;
                    LOG.warn("machine type unreadable: cause={}", e.getMessage());
                }
                return false;
            }
        }
        if (!next.isEmpty()) {
            types = next;
        }
        return !next.isEmpty();
    }

    /** Whether the types have been read. */
    public boolean isLoaded() {
        return !types.isEmpty();
    }

    /** The type of this name, or null. */
    public MachineType get(String name) {
        return name == null ? null : types.get(name);
    }

    /** All types, in the cloud's order. */
    public Collection<MachineType> all() {
        return types.values();
    }
}
