import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MachineType;

/** Settings like those of the two small deployments. */
final class Sites {
    static final List<String> HEREDIA_ZONES = List.of("heredia-1", "heredia-2", "escazu-dc", "cartago-edge");
    static final List<String> KUMAMOTO_ZONES = List.of("kumamoto-a", "kumamoto-b", "fukuoka-dc", "kagoshima-dr");

    static final List<MachineType> HEREDIA_TYPES = List.of(
            new MachineType("colibri4", 4, 0, 8, 80, 0.3, 0.2, 0.07, 40, HEREDIA_ZONES),
            new MachineType("jaguar32", 32, 0, 256, 40, 0.4, 2.3, 0.92, 30, HEREDIA_ZONES));

    static final List<MachineType> KUMAMOTO_TYPES = List.of(
            new MachineType("kiln8", 8, 0, 64, 60, 0.4, 0.39, 0.09, 30, KUMAMOTO_ZONES),
            new MachineType("forge32", 32, 0, 128, 60, 0.4, 1.28, 0.3, 50, KUMAMOTO_ZONES));

    static final String HEREDIA = """
            [deployment]
            nodes = 3
            zones = ["cartago-edge", "escazu-dc", "heredia-1", "heredia-2"]
            clock_error_ms = 250.0
            """
            + team("pedalazo", 64, 112) + team("rayo-sur", 64, 192) + team("cadena", 64, 192)
            + team("mensajeria-tica", 56, 112) + team("volada", 64, 192) + team("plataforma", 24, 64)
            + team("ucr-movilidad", 0, 0)
            + """
            [[deployment.objectives]]
            kind = "finished"
            class = "routeplan"
            within_s = 250.0
            share = 0.9

            [[deployment.objectives]]
            kind = "deadline"
            class = "payoutcalc"
            share = 0.96

            [[deployment.objectives]]
            kind = "wait"
            class = "payoutcalc"
            within_s = 3.0
            share = 0.88

            [[deployment.objectives]]
            kind = "deadline"
            class = "podscan"
            share = 0.94

            [deployment.workers]
            report_s = 3.0
            lease_s = 26.0
            gang_wait_s = 45.0
            gang_peer_s = 8.0
            cancel_s = 51.0

            [deployment.state]
            rps = 150.0
            write_rps = 40.0
            value_kb = 8.0
            txn_ops = 16

            [deployment.cloud]
            rps = 8.0
            list_lag_s = 8.0

            [deployment.quota]
            cpu = 0.44
            memory_mb = 320.0
            max_sockets = 2000
            """;

    static final String KUMAMOTO = """
            [deployment]
            nodes = 3
            zones = ["fukuoka-dc", "kagoshima-dr", "kumamoto-a", "kumamoto-b"]
            clock_error_ms = 100.0
            """
            + team("nightless", 0, 0)
            + """
            [[deployment.objectives]]
            kind = "deadline"
            class = "hashsweep"
            share = 0.85

            [[deployment.objectives]]
            kind = "deadline"
            class = "keysign"
            share = 0.94

            [[deployment.objectives]]
            kind = "wait"
            class = "keysign"
            within_s = 4.0
            share = 0.94

            [[deployment.objectives]]
            kind = "finished"
            class = "certcheck"
            within_s = 150.0
            share = 0.975

            [deployment.workers]
            report_s = 3.0
            lease_s = 32.0
            gang_wait_s = 35.0
            gang_peer_s = 6.0
            cancel_s = 62.0

            [deployment.state]
            rps = 150.0
            write_rps = 50.0
            value_kb = 8.0
            txn_ops = 40

            [deployment.cloud]
            rps = 5.0
            list_lag_s = 10.0

            [deployment.quota]
            cpu = 0.44
            memory_mb = 263.0
            max_sockets = 3000
            """;

    private Sites() {}

    private static String team(String name, double cpus, double most) {
        return "\n[[deployment.teams]]\nname = \"" + name + "\"\ncpus = " + cpus + "\ncpus_max = " + most
                + "\ngpus = 0.0\ngpus_max = 0.0\n\n";
    }

    /** A job as its user submits it; what is left out can be set on the result. */
    static ObjectNode job(
            String ref, String jobClass, String owner, String urgency, int pieces, double cores, double memGb) {
        ObjectNode job = Codec.map()
                .put("ref", ref)
                .put("jobclass", jobClass)
                .put("owner", owner)
                .put("shape", "array")
                .put("urgency", urgency)
                .put("pieces", pieces)
                .put("cores", cores)
                .put("accelerators", 0.0)
                .put("memGb", memGb)
                .put("bundle", "img-" + jobClass)
                .put("pullGb", 1.5);
        job.putNull("hosttypes");
        job.putNull("yard");
        return job.put("samePlace", false)
                .put("apart", false)
                .put("loaner", true)
                .put("guessS", 25.0)
                .put("snapshotEveryS", 0.0)
                .put("snapshotCostS", 0.0)
                .putNull("dueS");
    }
}
