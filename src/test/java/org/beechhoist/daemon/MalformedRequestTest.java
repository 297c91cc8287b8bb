package org.beechhoist.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import org.beechhoist.config.Policy;
import org.beechhoist.local.LocalCluster;
import org.beechhoist.local.LoopbackRegion;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.TaskId;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Sends malformed requests over real sockets to a node that has a state service and a cloud. */
@Tag("clock")
class MalformedRequestTest {
    private static final String PLACEHOLDER = "XYZ";
    private static final long READY_WITHIN_MS = 15_000;

    private static final String DEPLOYMENT =
            """
            [deployment]
            nodes = 1
            zones = ["a"]
            clock_error_ms = 100.0
            [[deployment.teams]]
            name = "ours"
            [deployment.workers]
            report_s = 1.0
            lease_s = 20.0
            cancel_s = 45.0
            [deployment.state]
            rps = 150.0
            write_rps = 50.0
            value_kb = 8.0
            txn_ops = 40
            [deployment.cloud]
            rps = 5.0
            list_lag_s = 1.0
            [deployment.quota]
            max_sockets = 500
            """;

    private static final LoopbackRegion.Tasks TASKS = new LoopbackRegion.Tasks() {
        @Override
        public long runMs(JobSpec job, TaskId task, String host) {
            return 100;
        }

        @Override
        public void started(String host, TaskId task, long attempt) {}

        @Override
        public void finished(String host, TaskId task, long attempt) {}
    };

    private static LocalCluster cluster() throws Exception {
        MachineType type = new MachineType("c4", 4, 0, 16, 20, 1, 0.2, 0.05, 0.5, List.of("a"));
        return new LocalCluster(
                new LocalCluster.Layout(
                        1, DEPLOYMENT, Policy.DEFAULT, new LoopbackRegion.Layout(List.of(type), 5, 1000, 20_000, 1)),
                TASKS);
    }

    private static ObjectNode job(String ref, String jobClass) {
        return Codec.map()
                .put("ref", ref)
                .put("jobclass", jobClass)
                .put("owner", "ours")
                .put("shape", "array")
                .put("urgency", "normal")
                .put("pieces", 1)
                .put("cores", 1.0)
                .put("accelerators", 0.0)
                .put("memGb", 1.0)
                .put("bundle", "img")
                .put("pullGb", 0.1)
                .put("samePlace", false)
                .put("apart", false)
                .put("loaner", true)
                .put("guessS", 1.0)
                .put("snapshotEveryS", 0.0)
                .put("snapshotCostS", 0.0);
    }

    /** Returns the status of the answer, or 0 if none came. */
    private static int post(LocalCluster cluster, String path, byte[] body) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + LocalCluster.text(cluster.nodes().get(0)) + path))
                .timeout(Duration.ofSeconds(5))
                .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        try {
            return HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .build()
                    .send(request, HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    private static void submitUntilAccepted(LocalCluster cluster, ObjectNode job) throws InterruptedException {
        int status = 0;
        for (long waitedMs = 0; status != 201 && status != 200 && waitedMs < READY_WITHIN_MS; waitedMs += 200) {
            status = post(cluster, "/v1/jobs", Codec.encode(job));
            Thread.sleep(200);
        }
        assertEquals(2, status / 100, "no usual job is accepted: " + status);
    }

    private static byte[] replace(byte[] body, String bytes) {
        int at = new String(body, StandardCharsets.ISO_8859_1).indexOf(PLACEHOLDER);
        byte[] out = body.clone();
        byte[] replacement = HexFormat.of().parseHex(bytes);
        System.arraycopy(replacement, 0, out, at, replacement.length);
        return out;
    }

    /** Guards against a node that ends because a submission has text that is not Unicode, which no transaction can carry. */
    @ParameterizedTest
    @CsvSource({"jobclass, EDA182", "bundle, EDB082"})
    @Timeout(60)
    void aNameCutWithinACharacterGets400AndTheNodeGoesOn(String field, String bytes) throws Exception {
        try (LocalCluster cluster = cluster()) {
            submitUntilAccepted(cluster, job("job-1", "keysign"));
            ObjectNode cut = job("job-2", "keysign").put(field, "name-" + PLACEHOLDER);
            assertEquals(400, post(cluster, "/v1/jobs", replace(Codec.encode(cut), bytes)));
            submitUntilAccepted(cluster, job("job-3", "keysign"));
        }
    }

    /** Guards against a node that ends because a worker's report has text that is not Unicode. */
    @Test
    @Timeout(60)
    void aReportWithTextThatIsNotUnicodeGets400AndTheNodeGoesOn() throws Exception {
        try (LocalCluster cluster = cluster()) {
            submitUntilAccepted(cluster, job("job-1", "keysign"));
            ObjectNode report = Codec.map()
                    .put("host", "m-000099-" + PLACEHOLDER)
                    .put("address", "127.0.0.1:9")
                    .put("hosttype", "c4")
                    .put("yard", "a")
                    .put("loaner", false)
                    .put("shift", 1)
                    .put("counter", 1)
                    .put("baton", 0);
            report.putArray("pieces");
            assertEquals(400, post(cluster, "/checkin", replace(Codec.encode(report), "EDA182")));
            submitUntilAccepted(cluster, job("job-2", "keysign"));
        }
    }
}
