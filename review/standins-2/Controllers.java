import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The controllers as separate processes, started with the command of the deploy file; all are ended at the end. */
final class Controllers {
    private final Recorder record;
    private final Path folder;
    private final List<String> command;
    private final List<String> names = new ArrayList<>();
    private final List<Integer> publicPorts = new ArrayList<>();
    private final List<Integer> peerPorts = new ArrayList<>();
    private final Map<Integer, Process> processes = new LinkedHashMap<>();

    Controllers(int nodes, Recorder record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("beechhoist-review-");
        String run = Files.readAllLines(Path.of("deploy/service.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        command = Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
        List<ServerSocket> reserved = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            names.add("hoistnode-" + i);
            for (List<Integer> ports : List.of(publicPorts, peerPorts)) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                reserved.add(socket);
                ports.add(socket.getLocalPort());
            }
        }
        for (ServerSocket socket : reserved) {
            socket.close();
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    Map<String, InetSocketAddress> publicAddresses() {
        Map<String, InetSocketAddress> out = new LinkedHashMap<>();
        for (int i = 0; i < names.size(); i++) {
            out.put(names.get(i), Region.loopback(publicPorts.get(i)));
        }
        return out;
    }

    String publicAddress(int node) {
        return "127.0.0.1:" + publicPorts.get(node);
    }

    int count() {
        return names.size();
    }

    /** Writes the settings file of a node. */
    void configure(int node, String zone, List<String> zones, InetSocketAddress state, InetSocketAddress cloud, String rest)
            throws IOException {
        StringBuilder text = new StringBuilder()
                .append("host_name = \"" + names.get(node) + "\"\nsite = \"" + zone + "\"\n")
                .append("public_addr = \"127.0.0.1:" + publicPorts.get(node) + "\"\n")
                .append("internal_addr = \"127.0.0.1:" + peerPorts.get(node) + "\"\n");
        for (int other = 0; other < names.size(); other++) {
            if (other != node) {
                text.append("\n[[seeds]]\nhost_name = \"" + names.get(other) + "\"\nsite = \""
                        + zones.get(other % zones.size()) + "\"\naddress = \"127.0.0.1:" + peerPorts.get(other) + "\"\n");
            }
        }
        text.append("\n[outside]\ncloud = \"127.0.0.1:" + cloud.getPort() + "\"\nstate = \"127.0.0.1:" + state.getPort()
                + "\"\n\n");
        text.append(rest);
        Files.writeString(folder.resolve("node-" + node + ".toml"), text);
    }

    void start(int node) throws IOException {
        List<String> full = new ArrayList<>(command);
        full.add(folder.resolve("node-" + node + ".toml").toString());
        ProcessBuilder builder = new ProcessBuilder(full);
        builder.environment().put("LOG_LEVEL", "info");
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("node-" + node + ".log").toFile()));
        processes.put(node, builder.start());
        record.line("controller started: " + names.get(node) + " at " + publicAddress(node));
    }

    /** Ends a controller without a signal that it could handle. */
    void kill(int node) throws InterruptedException {
        record.line("controller killed: " + names.get(node));
        processes.get(node).destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }

    boolean isAlive(int node) {
        return processes.get(node).isAlive();
    }

    /** Sends a signal (STOP or CONT) to a controller. */
    void signal(int node, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(node).pid())).start().waitFor();
        record.line("signal " + signal + ": " + names.get(node));
    }

    /** The lines of a controller's log that contain the text. */
    List<String> log(int node, String text) throws IOException {
        return Files.readAllLines(folder.resolve("node-" + node + ".log")).stream()
                .filter(l -> l.contains(text))
                .toList();
    }

    Path folder() {
        return folder;
    }

    synchronized void endAll() {
        for (Process process : processes.values()) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
                Files.delete(folder);
            } catch (IOException e) {
                // Already removed.
            }
        }
    }
}
