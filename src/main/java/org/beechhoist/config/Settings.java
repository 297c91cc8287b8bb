package org.beechhoist.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.cancel.CancellationFreshness;
import org.beechhoist.store.RecordSizes;
import org.beechhoist.wire.UnicodeText;

/** The platform's settings file, checked. */
public record Settings(
        String node,
        String zone,
        InetSocketAddress publicAddress,
        InetSocketAddress internalAddress,
        Map<String, Seed> seeds,
        InetSocketAddress cloud,
        InetSocketAddress state,
        int nodes,
        List<String> zones,
        double clockErrorMs,
        Map<String, Team> teams,
        List<Objective> objectives,
        Workers workers,
        State stateLimits,
        Cloud cloudLimits,
        int maxSockets) {
    /** Below these a node serves, but not as usual. */
    private static final double FEW_WRITES = 10;

    private static final double FEW_REQUESTS = 30;
    private static final double FEW_CALLS = 1;
    private static final double FEW_SOCKETS = 100;
    private static final double LEAST_REPORTS_A_LEASE = 2.5;

    /** Another controller. */
    public record Seed(String node, String zone, InetSocketAddress address) {}

    /** A team's guarantee and limit; an infinite limit stands for the file's 0. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /** What is promised for a class of jobs. */
    public record Objective(String kind, String jobClass, double withinS, double share, double times) {}

    /** Workers' timings. */
    public record Workers(double reportS, double leaseS, double cancelS) {
        /** Returns a worker's lease in milliseconds. */
        public long leaseMs() {
            return Math.round(leaseS * 1000);
        }

        /** Returns in milliseconds how long after a confirmed cancellation a task of the job may be on a machine. */
        public long cancelMs() {
            return Math.round(cancelS * 1000);
        }
    }

    /** The state service's limits. */
    public record State(double rps, double writeRps, int valueBytes, int txnOps) {}

    /** The cloud's limits. */
    public record Cloud(double rps, double listLagS) {}

    /** How fresh a leader's knowledge of cancellations must be. */
    public CancellationFreshness cancellationFreshness() {
        return new CancellationFreshness(workers.cancelMs(), workers.leaseMs());
    }

    /** A setting that can't be used: its name, its value and what is allowed. */
    public static final class Bad extends Exception {
        Bad(String field, Object value, String allowed) {
            super(field + " = " + value + ": " + allowed, null, false, false);
        }
    }

    /** What these limits keep from being served as usual, a line each, for the operator; the node goes on with what it can. */
    public List<String> warnings() {
        List<String> out = new ArrayList<>();
        String small = RecordSizes.tooSmall(stateLimits.valueBytes(), stateLimits.txnOps());
        if (small != null) {
            out.add(small);
        }
        if (stateLimits.writeRps() < FEW_WRITES) {
            out.add(few(
                    "state.write_rps",
                    stateLimits.writeRps(),
                    FEW_WRITES,
                    "a job costs about 4 changes, and more wait their turn"));
        }
        if (stateLimits.rps() < FEW_REQUESTS) {
            out.add(few("state.rps", stateLimits.rps(), FEW_REQUESTS, "users' questions are refused in turn"));
        }
        if (cloudLimits.rps() < FEW_CALLS) {
            out.add(few("cloud.rps", cloudLimits.rps(), FEW_CALLS, "machines are rented and returned late"));
        }
        if (workers.leaseS() < LEAST_REPORTS_A_LEASE * workers.reportS()) {
            out.add(few(
                    "workers.lease_s",
                    workers.leaseS(),
                    LEAST_REPORTS_A_LEASE * workers.reportS(),
                    "one late report may end a worker's tasks"));
        }
        if (nodes < 3) {
            out.add(few("nodes", nodes, 3, "nothing covers for a node that is down"));
        }
        if (maxSockets < FEW_SOCKETS) {
            out.add(few("quota.max_sockets", maxSockets, FEW_SOCKETS, "connections are closed after each answer"));
        }
        return out;
    }

    private static String few(String field, double value, double least, String what) {
        return "deployment." + field + " = " + Section.plain(value) + " is below " + Section.plain(least) + ": " + what;
    }

    /** Reads a settings file; its first bad field is named by the exception. */
    public static Settings load(Path file) throws Bad {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new Bad("settings file", file, "a readable TOML file is expected");
        }
        return parse(text);
    }

    /** Reads settings in TOML; the first bad field is named by the exception. */
    public static Settings parse(String text) throws Bad {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            throw new Bad(
                    "settings file",
                    "line " + (e.getLocation() == null ? "?" : e.getLocation().getLineNr()),
                    "TOML is expected: " + e.getOriginalMessage());
        }
        Section top = new Section("", root);
        Map<String, Seed> seeds = new LinkedHashMap<>();
        for (Section stateSection : top.list("seeds")) {
            Seed seed = new Seed(
                    stateSection.text("host_name"), stateSection.text("site"), stateSection.address("address"));
            seeds.put(seed.node, seed);
        }
        Section outside = top.section("outside");
        Section section = top.section("deployment");
        Map<String, Team> teams = new LinkedHashMap<>();
        for (Section otherTeam : section.list("teams")) {
            Team team = new Team(
                    otherTeam.text("name"),
                    otherTeam.number("cpus", 0, 1e9, 0.0),
                    limit(otherTeam, "cpus_max"),
                    otherTeam.number("gpus", 0, 1e9, 0.0),
                    limit(otherTeam, "gpus_max"));
            teams.put(team.name, team);
        }
        List<Objective> objectives = new ArrayList<>();
        for (Section objective : section.list("objectives")) {
            objectives.add(new Objective(
                    objective.text("kind"),
                    objective.optionalText("class"),
                    objective.number("within_s", 0, 1e9, 0.0),
                    objective.number("share", 0, 1, 1.0),
                    objective.number("times", 0, 1e6, 1.0)));
        }
        List<String> zones = new ArrayList<>();
        JsonNode zoneNames = section.array("zones");
        if (!UnicodeText.isValid(zoneNames)) {
            throw new Bad("deployment.zones", zoneNames, "text in Unicode, without halves of characters, is expected");
        }
        for (JsonNode zoneName : zoneNames) {
            zones.add(zoneName.asText());
        }
        Section workerSection = section.section("workers");
        Section stateSection = section.section("state");
        Section cloudSection = section.section("cloud");
        Section quotaSection = section.section("quota");
        Workers workers = new Workers(
                workerSection.number("report_s", 0.1, 3600, null),
                workerSection.number("lease_s", 1, 86400, null),
                workerSection.number("cancel_s", 1, 86400, null));
        CancellationFreshness freshness = new CancellationFreshness(workers.cancelMs(), workers.leaseMs());
        if (!freshness.allowsLeadership()) {
            throw new Bad(
                    "deployment.workers.cancel_s",
                    Section.plain(workers.cancelS),
                    "at least "
                            + Section.plain(freshness.minCancelMs() / 1000.0) + " is expected beside lease_s = "
                            + Section.plain(workers.leaseS)
                            + ": leases are renewed on knowledge of cancellations that is younger than what is left");
        }
        return new Settings(
                top.text("host_name"),
                top.text("site"),
                top.address("public_addr"),
                top.address("internal_addr"),
                seeds,
                outside.address("cloud"),
                outside.address("state"),
                (int) section.number("nodes", 1, 1000, null),
                zones,
                section.number("clock_error_ms", 0, 1e7, 0.0),
                teams,
                objectives,
                workers,
                new State(
                        stateSection.number("rps", 1, 1e9, null),
                        stateSection.number("write_rps", 1, 1e9, null),
                        (int) (1024 * stateSection.number("value_kb", 1, 1024, null)),
                        (int) stateSection.number("txn_ops", 4, 1e6, null)),
                new Cloud(cloudSection.number("rps", 0.1, 1e9, null), cloudSection.number("list_lag_s", 0, 3600, null)),
                (int) quotaSection.number("max_sockets", 16, 1e9, 1024.0));
    }

    private static double limit(Section team, String field) throws Bad {
        double v = team.number(field, 0, 1e9, 0.0);
        return v == 0 ? Double.POSITIVE_INFINITY : v;
    }

    /** A table of the file, for reading with names in the complaints. */
    private record Section(String path, JsonNode node) {
        private String name(String field) {
            return path.isEmpty() ? field : path + "." + field;
        }

        Section section(String field) throws Bad {
            JsonNode value = node.get(field);
            if (value == null || !value.isObject()) {
                throw new Bad(name(field), value, "a table is expected");
            }
            return new Section(name(field), value);
        }

        JsonNode array(String field) throws Bad {
            JsonNode value = node.get(field);
            if (value == null || !value.isArray()) {
                throw new Bad(name(field), value, "a list is expected");
            }
            return value;
        }

        List<Section> list(String field) throws Bad {
            List<Section> out = new ArrayList<>();
            if (node.get(field) == null) {
                return out;
            }
            for (JsonNode value : array(field)) {
                if (!value.isObject()) {
                    throw new Bad(name(field), value, "a list of tables is expected");
                }
                out.add(new Section(name(field) + "[" + out.size() + "]", value));
            }
            return out;
        }

        String text(String field) throws Bad {
            JsonNode value = node.get(field);
            if (value == null || !value.isTextual() || value.textValue().isEmpty()) {
                throw new Bad(name(field), value, "a non-empty text is expected");
            }
            if (!UnicodeText.isValid(value)) {
                throw new Bad(name(field), value, "text in Unicode, without halves of characters, is expected");
            }
            return value.textValue();
        }

        String optionalText(String field) throws Bad {
            return node.get(field) == null ? null : text(field);
        }

        double number(String field, double least, double most, Double fallback) throws Bad {
            JsonNode value = node.get(field);
            if (value == null && fallback != null) {
                return fallback;
            }
            if (value == null || !value.isNumber() || !(value.doubleValue() >= least && value.doubleValue() <= most)) {
                throw new Bad(
                        name(field),
                        value,
                        String.format(
                                java.util.Locale.ROOT,
                                "a number from %s to %s is expected",
                                plain(least),
                                plain(most)));
            }
            return value.doubleValue();
        }

        static String plain(double value) {
            return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
        }

        InetSocketAddress address(String field) throws Bad {
            String text = text(field);
            InetSocketAddress address = Addresses.parse(text);
            if (address == null) {
                throw new Bad(
                        name(field), '"' + text + '"', "an IPv4 address and port such as 10.0.0.1:8080 is expected");
            }
            return address;
        }
    }
}
