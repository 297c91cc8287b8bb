package org.beechhoist.sim;

import java.util.ArrayList;
import java.util.List;
import org.beechhoist.wire.MachineType;

/** What a region is like: its limits, zones, machine types and teams. The defaults are those of a small one. */
final class Extent {
    int zones = 2;
    /** Pairs of machine types, a small one and one four times as large. */
    int typePairs = 1;
    /** Machines of 8 GPUs, and of 4, in place of the others. */
    boolean gpus;

    int moreTeams;
    /** A team without a guarantee and without a limit, beside the others. */
    boolean guest;

    double leaseS = 20;
    double cancelS = 45;
    int valueKb = 8;
    int txnOps = 16;
    int rps = 150;
    int writeRps = 50;
    double cloudRps = 5;
    double listLagS = 5;
    /** Whether state service and cloud refuse what is beyond their limits; else it is only counted. */
    boolean refusing;

    /** The limits of the operators' larger deployments. */
    static Extent strict() {
        Extent e = new Extent();
        e.refusing = true;
        return e;
    }

    List<String> zoneNames() {
        List<String> out = new ArrayList<>();
        for (int i = 0; i < zones; i++) {
            out.add(String.valueOf((char) ('a' + i)));
        }
        return out;
    }

    List<MachineType> types() {
        List<MachineType> out = new ArrayList<>();
        if (gpus) {
            out.add(new MachineType("g8", 96, 8, 768, 200, 1, 12, 4.5, 10, zoneNames()));
            out.add(new MachineType("g4", 48, 4, 384, 200, 1, 6.2, 2.4, 10, zoneNames()));
            return out;
        }
        for (int i = 0; i < typePairs; i++) {
            String suffix = i == 0 ? "" : "-" + i;
            out.add(new MachineType(
                    "small" + suffix, 4, 0, 16, 20, 0.5, 0.2 + 0.01 * i, 0.05 + 0.002 * i, 10, zoneNames()));
            out.add(new MachineType(
                    "big" + suffix, 16, 0, 64, 40, 0.5, 0.8 + 0.04 * i, 0.2 + 0.008 * i, 15, zoneNames()));
        }
        return out;
    }

    /** The zone that a node stands in. */
    String zoneOf(int node) {
        return zones == 2 ? node == 0 ? "a" : "b" : zoneNames().get(node % zones);
    }

    /** The settings file of one node. */
    String settings(int index, int nodes, long reportMs) {
        StringBuilder seeds = new StringBuilder();
        for (int i = 0; i < nodes; i++) {
            if (i == index) {
                continue;
            }
            seeds.append(
                    """
                    [[seeds]]
                    host_name = "node-%d"
                    site = "%s"
                    address = "127.0.0.1:%d"
                    """
                            .formatted(i, zoneOf(i), 9000 + i));
        }
        StringBuilder teams = new StringBuilder();
        for (int i = 0; i < moreTeams; i++) {
            teams.append(
                    """
                    [[deployment.teams]]
                    name = "team-%d"
                    cpus = 8.0
                    cpus_max = 4000.0
                    """
                            .formatted(i));
        }
        if (guest) {
            teams.append("[[deployment.teams]]\nname = \"guest\"\n");
        }
        return """
                host_name = "node-%d"
                site = "%s"
                public_addr = "127.0.0.1:8080"
                internal_addr = "127.0.0.1:8081"
                %s
                [outside]
                cloud = "127.0.0.1:1"
                state = "127.0.0.1:2"
                [deployment]
                nodes = %d
                zones = ["%s"]
                clock_error_ms = 100.0
                [[deployment.teams]]
                name = "red"
                cpus = 16.0
                cpus_max = 24.0
                [[deployment.teams]]
                name = "blue"
                %s
                [[deployment.objectives]]
                kind = "wait"
                class = "fast"
                within_s = 4.0
                share = 0.9
                [deployment.workers]
                report_s = %s
                lease_s = %s
                cancel_s = %s
                [deployment.state]
                rps = %s.0
                write_rps = %s.0
                value_kb = %s.0
                txn_ops = %d
                [deployment.cloud]
                rps = %s
                list_lag_s = %s
                [deployment.quota]
                max_sockets = 2000
                """
                .formatted(
                        index,
                        zoneOf(index),
                        seeds,
                        nodes,
                        String.join("\", \"", zoneNames()),
                        teams,
                        reportMs / 1000.0,
                        leaseS,
                        cancelS,
                        rps,
                        writeRps,
                        valueKb,
                        txnOps,
                        cloudRps,
                        listLagS);
    }
}
