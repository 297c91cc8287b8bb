package org.beechhoist.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MachineType;

/** A stand-in of the cloud, written from the protocol. */
public final class Cloud {
    private static final long PAST_EVERY_MS = 2000;

    /** A machine that exists. */
    public static final class Machine {
        public final String name;
        public final MachineType type;
        public final String zone;
        public final boolean spot;
        /** Where its worker listens; null until whoever runs it says so. */
        public String address;

        private final long rentedAt;
        private long upAt;
        private boolean up;
        private boolean died;

        Machine(String name, MachineType type, String zone, boolean spot, long rentedAt, long upAt) {
            this.name = name;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.rentedAt = rentedAt;
            this.upAt = upAt;
        }
    }

    private record Listed(long atMs, TreeMap<String, ObjectNode> rows) {}

    private final Map<String, MachineType> types = new HashMap<>();
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, ObjectNode> rentals = new HashMap<>();
    private final Map<String, Integer> capacity = new HashMap<>();
    private final SplittableRandom random;
    private final BiConsumer<Machine, Boolean> upOrGone;
    private final double neverUp;
    private final long listLagMs;
    /** What the list said at past moments, the oldest first; kept only where the list lags. */
    private final ArrayDeque<Listed> past = new ArrayDeque<>();

    private double spentBefore;
    private int next;
    public boolean out;
    /** How much longer than usual, or shorter, machines boot that are rented now. */
    public double bootTimes = 1;
    /** Chance that they never come up, beyond the usual one. */
    public double bootFails;

    /** @param upOrGone told of each machine that comes up (true) or is gone (false) */
    public Cloud(
            List<MachineType> types,
            int perKind,
            double neverUp,
            SplittableRandom random,
            BiConsumer<Machine, Boolean> upOrGone) {
        this(types, 0, perKind, neverUp, random, upOrGone);
    }

    /** @param listLagMs how far the machine list is behind */
    public Cloud(
            List<MachineType> types,
            long listLagMs,
            int perKind,
            double neverUp,
            SplittableRandom random,
            BiConsumer<Machine, Boolean> upOrGone) {
        this.listLagMs = listLagMs;
        for (MachineType type : types) {
            this.types.put(type.name(), type);
            for (String zone : type.zones()) {
                capacity.put(type.name() + zone + true, perKind);
                capacity.put(type.name() + zone + false, perKind);
            }
        }
        this.neverUp = neverUp;
        this.random = random;
        this.upOrGone = upOrGone;
    }

    /** Returns the machines that exist, by name. */
    public List<Machine> machines() {
        return new ArrayList<>(machines.values());
    }

    /** Lets machines boot, or fail to. */
    public void tick(long nowMs) {
        if (listLagMs > 0 && (past.isEmpty() || nowMs - past.peekLast().atMs >= PAST_EVERY_MS)) {
            TreeMap<String, ObjectNode> rows = new TreeMap<>();
            machines.forEach((name, m) -> rows.put(name, row(m, nowMs)));
            past.addLast(new Listed(nowMs, rows));
        }
        for (Machine machine : machines()) {
            if (!machine.up && !machine.died && machine.upAt <= nowMs) {
                machine.up = true;
                upOrGone.accept(machine, true);
            }
        }
    }

    /** Money spent until now, by the second at nominal prices. */
    public double spent(long nowMs) {
        double sum = spentBefore;
        for (Machine m : machines.values()) {
            sum += m.died ? 0 : cost(m, nowMs);
        }
        return sum;
    }

    private static double cost(Machine machine, long nowMs) {
        return machine.type.priceOf(machine.spot) * (nowMs - machine.rentedAt) / 3_600_000.0;
    }

    /** Takes a machine away, or lets it stop by itself ({@code listed}: it stays in the list as failed). */
    public void end(Machine machine, boolean listed, long nowMs) {
        spentBefore += cost(machine, nowMs);
        if (listed) {
            machine.died = true;
        } else {
            machines.remove(machine.name);
        }
        capacity.merge(machine.type.name() + machine.zone + machine.spot, 1, Integer::sum);
        upOrGone.accept(machine, false);
    }

    /** Carries out a request and returns the answer. */
    public Reply handle(long nowMs, String method, String target, JsonNode body) {
        if (out) {
            return Reply.error(503, "trouble");
        }
        int queryStart = target.indexOf('?');
        String path = queryStart < 0 ? target : target.substring(0, queryStart);
        if (path.equals("/machine_types")) {
            return types();
        } else if (path.equals("/machines/return")) {
            for (JsonNode node : body.path("hosts")) {
                Machine machine = machines.get(node.asText());
                if (machine != null) {
                    if (!machine.died) {
                        end(machine, false, nowMs);
                    }
                    machines.remove(machine.name);
                }
            }
            return new Reply(200, Codec.map());
        } else if (path.equals("/machines") && method.equals("POST")) {
            return rent(nowMs, body);
        } else if (path.equals("/machines")) {
            return list(nowMs, StateService.query(queryStart < 0 ? "" : target.substring(queryStart + 1)));
        }
        return Reply.error(400, "no such path");
    }

    private Reply types() {
        ObjectNode out = Codec.map();
        ArrayNode list = out.putArray("hosttypes");
        for (MachineType type : types.values()) {
            ObjectNode node = list.addObject()
                    .put("sku", type.name())
                    .put("cores", type.cpus())
                    .put("accelerators", type.gpus())
                    .put("memGb", type.memGb())
                    .put("cacheGb", type.cacheGb())
                    .put("fetchGbPerS", type.fetchGbPerS())
                    .put("rate", type.price())
                    .put("lowPrice", type.spotPrice())
                    .put("startupS", type.startupS());
            ArrayNode zones = node.putArray("yards");
            type.zones().forEach(zones::add);
        }
        return new Reply(200, out);
    }

    private Reply rent(long nowMs, JsonNode body) {
        String name = body.path("rental").asText();
        if (rentals.containsKey(name)) {
            return new Reply(200, rentals.get(name));
        }
        MachineType type = types.get(body.path("hosttype").asText());
        if (type == null || !type.zones().contains(body.path("yard").asText())) {
            return Reply.error(400, "no such machine type or zone");
        }
        String zone = body.path("yard").asText();
        boolean spot = body.path("loaner").asBoolean();
        String kind = type.name() + zone + spot;
        int count = Math.min(body.path("number").asInt(), capacity.get(kind));
        if (count == 0) {
            return Reply.error(503, "no capacity");
        }
        ObjectNode out = Codec.map();
        ArrayNode list = out.putArray("hosts");
        for (int i = 0; i < count; i++) {
            boolean never = random.nextDouble() < neverUp + bootFails;
            long boot = Math.round(1000 * bootTimes * type.startupS() * (0.6 + 0.9 * random.nextDouble()));
            Machine machine = new Machine(
                    String.format("m-%06d", next++), type, zone, spot, nowMs, never ? Long.MAX_VALUE : nowMs + boot);
            machines.put(machine.name, machine);
            list.add(machine.name);
        }
        capacity.merge(kind, -count, Integer::sum);
        rentals.put(name, out);
        return new Reply(200, out);
    }

    private static ObjectNode row(Machine machine, long nowMs) {
        return Codec.map()
                .put("ref", machine.name)
                .put("address", machine.address)
                .put("hosttype", machine.type.name())
                .put("yard", machine.zone)
                .put("loaner", machine.spot)
                .put("status", machine.died ? "failed" : machine.up ? "running" : "starting")
                .put("ageS", (nowMs - machine.rentedAt) / 1000.0);
    }

    /** What the list says now: the state of so long ago. */
    private TreeMap<String, ObjectNode> rows(long nowMs) {
        if (listLagMs == 0 || past.isEmpty()) {
            TreeMap<String, ObjectNode> out = new TreeMap<>();
            machines.forEach((name, m) -> out.put(name, row(m, nowMs)));
            return out;
        }
        while (past.size() > 1 && past.peekFirst().atMs < nowMs - listLagMs) {
            past.removeFirst();
        }
        return past.peekFirst().rows;
    }

    private Reply list(long nowMs, Map<String, String> query) {
        ObjectNode out = Codec.map();
        ArrayNode list = out.putArray("hosts");
        int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
        boolean more = false;
        for (ObjectNode row :
                rows(nowMs).tailMap(query.getOrDefault("after", ""), false).values()) {
            if (list.size() == limit) {
                more = true;
                break;
            }
            list.add(row);
        }
        return new Reply(200, out.put("more", more));
    }
}
