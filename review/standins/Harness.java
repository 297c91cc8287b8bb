package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/** Starts the processes of a case, plays its users and the platform, and writes the record. */
final class Harness implements AutoCloseable {
    /** The exit codes of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final int NODES = 3;
    /** A case could not run if the controllers are not ready so long after its start. */
    private static final long READY_WITHIN_MS = 15_000;
    /** The platform starts a controller again so long after its end. */
    private static final long RESTART_DELAY_MS = 3000;

    /** An answer to a user; status 0: none came. */
    record Answer(int status, JsonNode body) {}

    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder;
    private final PrintWriter record;
    private final int[] ports = freePorts(2 * NODES + 4);
    private final long startedMs = System.currentTimeMillis();
    private final List<Process> others = new ArrayList<>();
    private final Process[] controllers = new Process[NODES];
    private final long[] endedMs = new long[NODES];
    private final HttpClient[] clients = new HttpClient[NODES];
    private int ends;
    private volatile boolean closed;

    Harness(Path recordFile) throws IOException {
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        createClients();
    }

    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    long sinceStartMs() {
        return System.currentTimeMillis() - startedMs;
    }

    synchronized void log(String line) {
        record.printf("%7.2f %s%n", sinceStartMs() / 1000.0, line);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- addresses and settings ----

    /** Ports that were free a moment ago. */
    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        int[] out = new int[count];
        for (int i = 0; i < count; i++) {
            held.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            out[i] = held.get(i).getLocalPort();
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        return out;
    }

    private String publicAddress(int node) {
        return "127.0.0.1:" + ports[2 * node];
    }

    private String internalAddress(int node) {
        return "127.0.0.1:" + ports[2 * node + 1];
    }

    /** The address of the state service, or of the proxy before it. */
    String stateAddress(boolean proxied) {
        return "127.0.0.1:" + ports[2 * NODES + (proxied ? 2 : 0)];
    }

    private String cloudAddress() {
        return "127.0.0.1:" + ports[2 * NODES + 1];
    }

    /** The settings of a small deployment, as on the page DEPLOY; the example's teams and zones are shortened. */
    private Path writeSettings(int node, boolean proxied) throws IOException {
        StringBuilder out = new StringBuilder();
        out.append("host_name = \"hoistnode-" + node + "\"\nsite = \"kumamoto-a\"\n");
        out.append("public_addr = \"" + publicAddress(node) + "\"\n");
        out.append("internal_addr = \"" + internalAddress(node) + "\"\n");
        for (int i = 0; i < NODES; i++) {
            if (i != node) {
                out.append("[[seeds]]\nhost_name = \"hoistnode-" + i + "\"\nsite = \"kumamoto-a\"\n");
                out.append("address = \"" + internalAddress(i) + "\"\n");
            }
        }
        out.append("[outside]\ncloud = \"" + cloudAddress() + "\"\nstate = \"" + stateAddress(proxied) + "\"\n");
        out.append("[deployment]\nnodes = 3\nzones = [\"kumamoto-a\", \"kumamoto-b\"]\nclock_error_ms = 100.0\n");
        out.append("[[deployment.teams]]\nname = \"nightless\"\n");
        out.append("[deployment.workers]\nreport_s = 3.0\nlease_s = 32.0\ncancel_s = 62.0\n");
        out.append("[deployment.state]\nrps = 150.0\nwrite_rps = 50.0\nvalue_kb = 8.0\ntxn_ops = 40\n");
        out.append("[deployment.cloud]\nrps = 5.0\nlist_lag_s = 10.0\n");
        out.append("[deployment.quota]\ncpu = 0.44\nmemory_mb = 263.0\nmax_sockets = 3000\n");
        return Files.writeString(folder.resolve("node-" + node + ".toml"), out);
    }

    // ---- processes ----

    private static List<String> java(String... arguments) {
        List<String> out = new ArrayList<>(List.of("java", "-Xmx256m", "-cp", "target/beechhoist.jar:target/review"));
        out.addAll(List.of(arguments));
        return out;
    }

    private Process start(List<String> command, String output) throws IOException {
        File file = folder.resolve(output).toFile();
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(file));
        builder.redirectError(ProcessBuilder.Redirect.appendTo(file));
        return builder.start();
    }

    /** Starts the stand-ins of state service, cloud and workers. */
    void startRegion(int moreTypes, String faultyMachine) throws IOException {
        StringBuilder nodes = new StringBuilder();
        for (int i = 0; i < NODES; i++) {
            nodes.append(i == 0 ? "" : ",").append("hoistnode-" + i + "=" + publicAddress(i));
        }
        others.add(start(
                java(
                        "review.RegionMain",
                        stateAddress(false),
                        cloudAddress(),
                        nodes.toString(),
                        Integer.toString(moreTypes),
                        faultyMachine),
                "region.txt"));
    }

    /** Starts another stand-in; what it prints goes to a file of that name in the temporary folder. */
    void startStandin(String output, String... arguments) throws IOException {
        others.add(start(java(arguments), output));
    }

    private void startController(int node, boolean proxied) throws IOException {
        String run = Files.readAllLines(root.resolve("deploy/service.toml")).stream()
                .filter(line -> line.startsWith("run = \""))
                .map(line -> line.substring("run = \"".length(), line.length() - 1))
                .findFirst()
                .orElseThrow();
        List<String> command = new ArrayList<>(List.of(run.split(" ")));
        command.add(writeSettings(node, proxied).toString());
        controllers[node] = start(command, "node-" + node + ".txt");
        endedMs[node] = 0;
        log("platform: controller " + node + " started, pid " + controllers[node].pid());
    }

    /** Starts the controllers and waits until all take requests. */
    void startControllers(boolean proxied) throws IOException {
        for (int i = 0; i < NODES; i++) {
            startController(i, proxied);
        }
        for (int i = 0; i < NODES; ) {
            if (sinceStartMs() > READY_WITHIN_MS) {
                throw new IOException("controllers are not ready");
            }
            if (call(i, "GET", "/ready", null, 1000).status == 200) {
                i++;
            } else {
                sleep(100);
            }
        }
        log("platform: all controllers are ready");
    }

    /** Plays the platform: notes controllers that ended by themselves and starts them again; returns how many ended so far. */
    int supervise(boolean proxied) throws IOException {
        for (int i = 0; i < NODES; i++) {
            if (!controllers[i].isAlive() && endedMs[i] == 0) {
                endedMs[i] = System.currentTimeMillis();
                ends++;
                log("platform: controller " + i + " ended by itself, exit code " + controllers[i].exitValue());
                lastException("node-" + i + ".txt").forEach(line -> log("  its log: " + line));
            } else if (endedMs[i] > 0 && System.currentTimeMillis() - endedMs[i] >= RESTART_DELAY_MS) {
                startController(i, proxied);
            }
        }
        return ends;
    }

    /** The exception that ended a process. */
    private List<String> lastException(String output) throws IOException {
        List<String> lines = Files.readAllLines(folder.resolve(output)).stream()
                .filter(line -> line.contains("Exception") || line.contains("Error"))
                .toList();
        return lines.subList(Math.max(0, lines.size() - 1), lines.size());
    }

    /** What the workers ran so far. */
    List<String> workersRan() throws IOException {
        return Files.readAllLines(folder.resolve("region.txt"));
    }

    /** What a stand-in printed. */
    List<String> printed(String output) throws IOException {
        return Files.readAllLines(folder.resolve(output));
    }

    /** The lines of a controller's log that contain the text. */
    List<String> logged(int node, String text) throws IOException {
        return Files.readAllLines(folder.resolve("node-" + node + ".txt")).stream()
                .filter(line -> line.contains(text))
                .toList();
    }

    // ---- users ----

    private void createClients() {
        for (int i = 0; i < NODES; i++) {
            clients[i] = HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(500))
                    .build();
        }
    }

    /** Sends a request to a node; status 0 where no answer comes. */
    Answer call(int node, String method, String path, byte[] body, long timeoutMs) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + publicAddress(node) + path))
                .timeout(Duration.ofMillis(timeoutMs))
                .method(
                        method,
                        body == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        try {
            HttpResponse<byte[]> response = clients[node].send(request, HttpResponse.BodyHandlers.ofByteArray());
            JsonNode map = Codec.map();
            if (response.body().length > 0) {
                try {
                    map = Codec.decodeMap(response.body());
                } catch (MalformedMessageException e) {
                    map = Codec.map().put("text", new String(response.body(), StandardCharsets.ISO_8859_1));
                }
            }
            return new Answer(response.statusCode(), map);
        } catch (IOException e) {
            return new Answer(0, Codec.map().put("failure", String.valueOf(e)));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A submission as users send it; the guess is how long a task runs. */
    static ObjectNode job(String ref, String jobClass, int tasks, double cores, double memGb, double guessS) {
        return Codec.map()
                .put("ref", ref)
                .put("jobclass", jobClass)
                .put("owner", "nightless")
                .put("shape", "array")
                .put("urgency", "normal")
                .put("pieces", tasks)
                .put("cores", cores)
                .put("accelerators", 0.0)
                .put("memGb", memGb)
                .put("bundle", "img-1")
                .put("pullGb", 0.1)
                .putNull("hosttypes")
                .putNull("yard")
                .put("samePlace", false)
                .put("apart", false)
                .put("loaner", true)
                .put("guessS", guessS)
                .put("snapshotEveryS", 0.0)
                .put("snapshotCostS", 0.0)
                .putNull("dueS");
    }

    /** Submits a job to one node after the other until it is accepted; an answer is awaited for 5 s. */
    boolean submit(ObjectNode job, long untilMs) {
        for (int i = 0; sinceStartMs() < untilMs; i++) {
            Answer answer = call(i % NODES, "POST", "/v1/jobs", Codec.encode(job), 5000);
            log("user: submits " + job.get("ref").asText() + " to node " + i % NODES + ": " + answer.status + " "
                    + answer.body);
            if (answer.status == 200 || answer.status == 201) {
                return true;
            }
            sleep(1000);
        }
        return false;
    }

    Answer status(int node, String ref) {
        return call(node, "GET", "/v1/jobs/" + ref, null, 2000);
    }

    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        try {
            for (String line : workersRan()) {
                record.println("worker: " + line);
            }
        } catch (IOException e) {
            record.println("no record of the workers: " + e);
        }
        record.flush();
        List<Process> all = new ArrayList<>(others);
        for (Process process : controllers) {
            if (process != null) {
                all.add(process);
            }
        }
        all.forEach(Process::destroyForcibly);
        for (Process process : all) {
            try {
                process.waitFor(2, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs: " + folder);
            return;
        }
        for (File file : folder.toFile().listFiles()) {
            file.delete();
        }
        folder.toFile().delete();
    }
}
