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

/** The cloud's machine types with their current prices; every node holds them to validate submissions. */
public final class MachineTypeCatalog {
    private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);
    private static final long REFRESH_INTERVAL_MS = 30_000;
    private static final long FIRST_RETRY_INTERVAL_MS = 1000;
    private static final long RETRY_INTERVAL_MS = 5000;
    private static final long REQUEST_TIMEOUT_MS = 4000;

    private final ControllerContext context;
    private Map<String, MachineType> types = Map.of();
    private boolean parseErrorLogged;

    /** Creates an empty catalog; {@link #start} begins to read the machine types. */
    public MachineTypeCatalog(ControllerContext context) {
        this.context = context;
    }

    /** Reads the machine types from the cloud now and at regular intervals from then on. */
    public void start() {
        context.call(ServiceCalls.Target.CLOUD, null, "GET", "/machine_types", null, REQUEST_TIMEOUT_MS, result -> {
            boolean read = false;
            if (result.isOk() && result.body().path("hosttypes").isArray()) {
                read = replaceAll(result.body().get("hosttypes"));
            }
            context.schedule(read ? REFRESH_INTERVAL_MS : retryMs(), this::start);
        });
    }

    private long retryMs() {
        return types.isEmpty() ? FIRST_RETRY_INTERVAL_MS : RETRY_INTERVAL_MS;
    }

    private boolean replaceAll(JsonNode list) {
        Map<String, MachineType> next = new LinkedHashMap<>();
        for (JsonNode node : list) {
            try {
                MachineType type = MachineType.parse(node);
                next.put(type.name(), type);
            } catch (MalformedMessageException e) {
                if (!parseErrorLogged) {
                    parseErrorLogged = true;
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

    /** Returns whether the machine types have been read. */
    public boolean isLoaded() {
        return !types.isEmpty();
    }

    /** Returns the machine type with this name, or null. */
    public MachineType get(String name) {
        return name == null ? null : types.get(name);
    }

    /** Returns all machine types, in the cloud's order. */
    public Collection<MachineType> all() {
        return types.values();
    }
}
