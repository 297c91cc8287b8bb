import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import org.beechhoist.http.HttpMessage;
import org.beechhoist.net.EventLoop;
import org.beechhoist.net.HttpClient;
import org.beechhoist.net.HttpServer;
import org.beechhoist.standin.Cloud;
import org.beechhoist.standin.Reply;
import org.beechhoist.standin.StateService;
import org.beechhoist.standin.Worker;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.TaskId;

/**
 * The platform around the controllers, on loopback addresses: the project's own stand-ins of the state service, the cloud and the
 * workers, served over sockets by one thread. Each controller reaches the state service at an address of its own.
 */
final class Region implements Worker.World {
    private static final String CBOR = "application/cbor";
    private static final long STEP_MS = 20;
    /** A worker reports a change at once, but not more often than this. */
    private static final long LEAST_REPORT_GAP_MS = 500;
    /** The limit on bodies, counted as JSON. */
    private static final int MAX_BODY = 64 * 1024;

    /** A machine and what its worker does. */
    private static final class Host {
        private Worker worker;
        private boolean gone;
        private boolean reporting;
        private long lastReportAt = -LEAST_REPORT_GAP_MS;
        private long nextReportAt;
        private int target;
        private long downUntil;
        /** Answers to reports of an earlier life of the machine reach nobody. */
        private int life;
    }

    /** How the region is made. */
    record Layout(
            List<MachineType> types,
            int perKind,
            int txnOps,
            int valueBytes,
            long reportMs,
            long leaseMs,
            long listLagMs,
            int nodes) {}

    /** An answer of the state service to one request, possibly held back. */
    interface StateFilter {
        /** Handles the request instead of the state service if it returns true. */
        boolean intercept(int node, HttpMessage message, JsonNode body, HttpServer.Responder responder);
    }

    private final EventLoop loop;
    private final HttpClient client;
    private final Layout layout;
    private final Recorder record;
    private final StateService state;
    private final Cloud cloud;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<String, JobSpec> specs = new ConcurrentHashMap<>();
    private final Set<TaskId> completed = ConcurrentHashMap.newKeySet();
    private final Map<TaskId, String> running = new ConcurrentHashMap<>();
    private final Map<TaskId, Long> finishedAt = new ConcurrentHashMap<>();
    private final Map<TaskId, Long> startedAt = new ConcurrentHashMap<>();
    private final Map<TaskId, Long> launchedAt = new ConcurrentHashMap<>();
    private final AtomicInteger twice = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final SplittableRandom random = new SplittableRandom(11);
    private List<String> names = List.of();
    private List<InetSocketAddress> nodes = List.of();
    private final List<InetSocketAddress> stateAddresses = new ArrayList<>();
    private InetSocketAddress cloudAddress;

    /** How long a task runs on a machine, in ms; negative: it fails after that long. */
    volatile BiFunction<TaskId, String, Long> runs = (task, host) -> 1000L;
    volatile StateFilter stateFilter = (node, message, body, responder) -> false;
    volatile boolean quiet;

    Region(Layout layout, Recorder record) throws Exception {
        this.layout = layout;
        this.record = record;
        loop = new EventLoop();
        client = new HttpClient(loop, CBOR, 200);
        state = new StateService(layout.txnOps(), layout.valueBytes());
        cloud = new Cloud(
                layout.types(), layout.listLagMs(), layout.perKind(), 0, new SplittableRandom(7), this::machineChanged);
        for (int i = 0; i < layout.nodes(); i++) {
            int node = i;
            stateAddresses.add(new HttpServer(
                            loop, loopback(0), MAX_BODY, 500, (message, responder) -> serveState(node, message, responder))
                    .address());
        }
        cloudAddress = new HttpServer(loop, loopback(0), MAX_BODY, 500, (message, responder) -> {
                    Reply reply = cloud.handle(now(), message.method(), message.target(), decode(message.body()));
                    if (message.method().equals("POST")) {
                        record.line("cloud " + message.target() + " " + decode(message.body()) + " -> " + reply.status()
                                + " " + reply.body());
                    }
                    respond(responder, reply);
                })
                .address();
    }

    static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    InetSocketAddress stateAddress(int node) {
        return stateAddresses.get(node);
    }

    InetSocketAddress cloudAddress() {
        return cloudAddress;
    }

    /** Sets the controllers' public addresses by name, and begins. */
    void start(Map<String, InetSocketAddress> controllers) {
        names = new ArrayList<>(controllers.keySet());
        nodes = new ArrayList<>(controllers.values());
        Thread thread = new Thread(
                () -> {
                    try {
                        step();
                        loop.run();
                    } catch (IOException e) {
                        record.line("the stand-ins ended: " + e);
                    }
                },
                "region");
        thread.setDaemon(true);
        thread.start();
    }

    /** Rents machines that are up at once, as those that are up at the start of a day. */
    void machinesAtStart(String type, String zone, int number) {
        call(() -> {
            cloud.bootTimes = 0;
            Reply reply = cloud.handle(
                    now(),
                    "POST",
                    "/machines",
                    Codec.map()
                            .put("rental", "at-start-" + type + "-" + zone)
                            .put("hosttype", type)
                            .put("yard", zone)
                            .put("loaner", false)
                            .put("number", number));
            cloud.bootTimes = 1;
            record.line("machines up at the start: " + reply.body());
            return null;
        });
    }

    /**
     * Lets a machine stop and be back after so long, under its name and at its address: its worker knows nothing of before, is in its
     * first session and has seen no token.
     */
    void restartMachine(String name, long downMs) {
        call(() -> {
            Host host = hosts.get(name);
            Worker old = host.worker;
            record.line("machine stops with " + old.held().size() + " tasks: " + name);
            old.die();
            host.downUntil = now() + downMs;
            host.worker = new Worker(
                    name, old.address, old.type, old.zone, old.spot, layout.leaseMs(), host.downUntil, this);
            host.reporting = false;
            host.life++;
            loop.schedule(downMs, () -> record.line("machine is back: " + name));
            return null;
        });
    }

    /** Delivers a call of commands to a machine once more, as it was received; returns the status of the worker's answer. */
    int deliverAgain(String name, JsonNode orders) {
        return call(() -> {
            noteOrders(name, orders.path("orders"), "a late copy of a direct call, token " + orders.path("baton")
                    + ", session " + orders.path("shift"));
            return hosts.get(name).worker.orders(now(), orders).status();
        });
    }

    /** The direct calls of commands that machines have received, with the machine of each. */
    record DirectCall(String host, JsonNode orders) {}

    private final List<DirectCall> directCalls = new ArrayList<>();

    List<DirectCall> directCalls() {
        return call(() -> List.copyOf(directCalls));
    }

    /** Runs an action on the thread of the stand-ins and returns its result. */
    <T> T call(Callable<T> action) {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                done.complete(action.call());
            } catch (Exception e) {
                done.completeExceptionally(e);
            }
        });
        return done.join();
    }

    /** The machines that are up. */
    List<String> up() {
        return call(() -> hosts.entrySet().stream()
                .filter(e -> !e.getValue().gone && e.getValue().worker != null)
                .map(Map.Entry::getKey)
                .toList());
    }

    /** CPUs that are free on the machines that are up. */
    double freeCpus() {
        return call(() -> {
            double sum = 0;
            for (Host host : hosts.values()) {
                sum += host.gone || host.worker == null ? 0 : host.worker.free()[0];
            }
            return sum;
        });
    }

    /** The machines that are up and have room for a task of this kind. */
    List<String> roomFor(double cpus, double memGb) {
        return call(() -> hosts.entrySet().stream()
                .filter(e -> !e.getValue().gone && e.getValue().worker != null && !e.getValue().worker.noticed())
                .filter(e -> e.getValue().worker.free()[0] >= cpus && e.getValue().worker.free()[1] >= memGb)
                .map(Map.Entry::getKey)
                .toList());
    }

    /** The running tasks of a job, with the machine of each. */
    Map<TaskId, String> running(String job) {
        Map<TaskId, String> out = new LinkedHashMap<>();
        running.forEach((task, host) -> {
            if (task.job().text().equals(job)) {
                out.put(task, host);
            }
        });
        return out;
    }

    /** How many tasks have started on one machine while they were on another. */
    int startedTwice() {
        return twice.get();
    }

    /** How many attempts have failed. */
    int failed() {
        return failed.get();
    }

    int finished(String job) {
        return (int) finishedAt.keySet().stream().filter(t -> t.job().text().equals(job)).count();
    }

    long lastFinishedAt(String job) {
        return finishedAt.entrySet().stream()
                .filter(e -> e.getKey().job().text().equals(job))
                .mapToLong(Map.Entry::getValue)
                .max()
                .orElse(0);
    }

    /** When a task of the job had its image and began to run for the last time, by the recorder's clock; 0: never. */
    long lastStartedAt(String job) {
        return startedAt.entrySet().stream()
                .filter(e -> e.getKey().job().text().equals(job))
                .mapToLong(Map.Entry::getValue)
                .max()
                .orElse(0);
    }

    /** When a worker last accepted a launch of a task of the job; 0: never. */
    long lastLaunchedAt(String job) {
        return launchedAt.entrySet().stream()
                .filter(e -> e.getKey().job().text().equals(job))
                .mapToLong(Map.Entry::getValue)
                .max()
                .orElse(0);
    }

    /** The description that a user uploads for the workers. */
    void upload(String ref, JobSpec spec) {
        specs.put(ref, spec);
    }

    // ---- serving ----

    private long now() {
        return loop.now().ms();
    }

    private void step() {
        loop.schedule(STEP_MS, this::step);
        state.tick(now());
        cloud.tick(now());
        for (Host host : new ArrayList<>(hosts.values())) {
            if (host.gone || host.worker == null || now() < host.downUntil) {
                continue;
            }
            host.worker.tick(now());
            boolean due = now() >= host.nextReportAt
                    || host.worker.changed() && now() - host.lastReportAt >= LEAST_REPORT_GAP_MS;
            if (!host.reporting && due) {
                report(host);
            }
        }
    }

    private void serveState(int node, HttpMessage message, HttpServer.Responder responder) {
        JsonNode body = decode(message.body());
        if (!stateFilter.intercept(node, message, body, responder)) {
            forwardToState(message, body, responder);
        }
    }

    /** Lets the state service carry out a request and answer it. */
    void forwardToState(HttpMessage message, JsonNode body, HttpServer.Responder responder) {
        if (message.target().equals("/commit") && Codec.jsonBytes(body) > MAX_BODY) {
            respond(responder, new Reply(400, Codec.map().put("error", "transaction too large")));
            return;
        }
        if (message.target().equals("/commit")) {
            noteRecords(body);
        }
        state.handle(now(), message.method(), message.target(), body, reply -> {
            if (message.target().equals("/commit") && reply.status() == 400) {
                record.line("state service refuses a transaction: " + reply.body());
            }
            respond(responder, reply);
        });
    }

    /** Records the transactions that write a job's record together with parts of it under keys of their own. */
    private void noteRecords(JsonNode transaction) {
        List<String> keys = new ArrayList<>();
        for (JsonNode change : transaction.path("then")) {
            String key = change.path("put").asText(change.path("remove").asText());
            if (key.startsWith("jo/") && key.indexOf('/', 3) > 0) {
                keys.add((change.has("put") ? "+" : "-") + key.substring(3));
            }
        }
        if (!keys.isEmpty()) {
            record.line("transaction of " + transaction.path("then").size() + " changes, of parts of records: " + keys);
        }
    }

    static void respond(HttpServer.Responder responder, Reply reply) {
        responder.respond(reply.status(), CBOR, Codec.encode(reply.body()), 0);
    }

    static JsonNode decode(byte[] body) {
        try {
            return body.length == 0 ? Codec.map() : Codec.decodeMap(body);
        } catch (Exception e) {
            return Codec.map();
        }
    }

    private void machineChanged(Cloud.Machine machine, boolean up) {
        Host host = hosts.computeIfAbsent(machine.name, k -> new Host());
        if (!up) {
            if (!host.gone && host.worker != null) {
                record.line("machine gone: " + machine.name + " with " + host.worker.held().size() + " tasks");
                host.worker.die();
            }
            host.gone = true;
            return;
        }
        try {
            InetSocketAddress at = new HttpServer(loop, loopback(0), MAX_BODY, 100, (message, responder) -> {
                        if (host.gone || now() < host.downUntil) {
                            return;
                        }
                        JsonNode body = decode(message.body());
                        if (message.target().equals("/orders")) {
                            directCalls.add(new DirectCall(machine.name, body));
                            noteOrders(machine.name, body.path("orders"), "direct, token " + body.path("baton"));
                            respond(responder, host.worker.orders(now(), body));
                        } else {
                            respond(responder, host.worker.show());
                        }
                    })
                    .address();
            machine.address = at.getAddress().getHostAddress() + ":" + at.getPort();
            host.target = random.nextInt(nodes.size());
            host.worker = new Worker(
                    machine.name,
                    machine.address,
                    machine.type,
                    machine.zone,
                    machine.spot,
                    layout.leaseMs(),
                    now(),
                    this);
        } catch (IOException e) {
            throw new IllegalStateException("no port for a worker", e);
        }
    }

    private void noteOrders(String host, JsonNode orders, String how) {
        for (JsonNode order : orders) {
            if (order.path("verb").asText().equals("launch")) {
                TaskId task = TaskId.parse(order.path("piece").asText());
                if (task != null) {
                    launchedAt.put(task, record.ms());
                }
            }
            if (!quiet && !order.path("verb").asText().equals("forget")) {
                record.line("order to " + host + " (" + how + "): " + order.path("verb").asText() + " "
                        + order.path("piece").asText() + " try " + order.path("try"));
            }
        }
    }

    private void report(Host host) {
        host.reporting = true;
        host.lastReportAt = now();
        host.nextReportAt = now() + Math.round(layout.reportMs() * (0.75 + 0.5 * random.nextDouble()));
        int life = host.life;
        long sent = now();
        long shift = host.worker.shift();
        ObjectNode report = host.worker.report();
        client.request(nodes.get(host.target), "POST", "/checkin", Codec.encode(report), 4000, result -> {
            if (host.gone || life != host.life) {
                return;
            }
            host.reporting = false;
            JsonNode body = result instanceof HttpClient.Response reply ? decode(reply.body()) : Codec.map();
            int status = result instanceof HttpClient.Response reply ? reply.status() : 0;
            if (status == 200) {
                noteOrders(host.worker.name, body.path("orders"), "in an answer, token " + body.path("baton"));
                host.worker.answered(now(), sent, shift, body);
                return;
            }
            int named = status == 421 ? names.indexOf(body.path("foreman").asText("")) : -1;
            boolean other = named >= 0 && named != host.target;
            host.target = other ? named : (host.target + 1) % names.size();
            host.nextReportAt = now() + (other ? random.nextInt(500) : 1000);
            host.lastReportAt = host.nextReportAt;
        });
    }

    // ---- the workers' world ----

    @Override
    public JobSpec job(String ref) {
        return specs.get(ref);
    }

    @Override
    public long runMs(TaskId task, String host) {
        return runs.apply(task, host);
    }

    @Override
    public boolean completed(TaskId task) {
        return completed.contains(task);
    }

    @Override
    public void started(Worker on, TaskId task, long attempt) {
        String elsewhere = running.put(task, on.name);
        startedAt.put(task, record.ms());
        if (elsewhere != null && !elsewhere.equals(on.name)) {
            twice.incrementAndGet();
            record.line("TASK ON TWO MACHINES: " + task + " on " + elsewhere + " and " + on.name);
        }
        if (!quiet) {
            record.line("task started: " + task + " try " + attempt + " on " + on.name);
        }
    }

    @Override
    public void finished(Worker on, TaskId task, long attempt) {
        running.remove(task, on.name);
        completed.add(task);
        finishedAt.put(task, record.ms());
        if (!quiet) {
            record.line("task completed: " + task + " try " + attempt + " on " + on.name);
        }
    }

    @Override
    public void ended(Worker on, TaskId task, long attempt, long lostMs, Worker.End why) {
        running.remove(task, on.name);
        failed.addAndGet(why == Worker.End.FAILED ? 1 : 0);
        record.line("task ended without a result: " + task + " try " + attempt + " on " + on.name + ": " + why);
    }
}
