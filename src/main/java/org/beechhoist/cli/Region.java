package org.beechhoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import org.beechhoist.config.Addresses;
import org.beechhoist.http.HttpMessage;
import org.beechhoist.net.HttpClient;
import org.beechhoist.net.HttpServer;
import org.beechhoist.net.Loop;
import org.beechhoist.standin.Cloud;
import org.beechhoist.standin.Reply;
import org.beechhoist.standin.StateService;
import org.beechhoist.standin.Worker;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.HostType;
import org.beechhoist.wire.JobRef;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.Malformed;
import org.beechhoist.wire.TaskId;
import picocli.CommandLine;

/** A region to try the service in: stand-ins of state service, cloud and workers on loopback. It keeps nothing. */
@CommandLine.Command(name = "region", mixinStandardHelpOptions = true,
        description = "Run stand-ins of the state service, the cloud and its workers on loopback, for trials.")
final class Region implements Callable<Integer>, Worker.World {
    private static final String CBOR = "application/cbor";
    private static final int WORKER_PORTS = 18_000;
    private static final long STEP_MS = 50;
    private static final long REPORT_MS = 1000;
    private static final long LEASE_MS = 20_000;

    @CommandLine.Option(names = "--state", defaultValue = "127.0.0.1:2379", description = "default: ${DEFAULT-VALUE}")
    private String stateAddress;
    @CommandLine.Option(names = "--cloud", defaultValue = "127.0.0.1:8443", description = "default: ${DEFAULT-VALUE}")
    private String cloudAddress;
    @CommandLine.Option(names = "--node", split = ",", paramLabel = "ADDRESS", description = "controllers by name, such "
            + "as node-0=127.0.0.1:8080", defaultValue = "node-0=127.0.0.1:8080")
    private Map<String, String> nodes;

    private final Map<String, Running> machines = new HashMap<>();
    private final Map<String, JobSpec> specs = new HashMap<>();
    private final StateService state = new StateService(40, 8192);
    private Loop loop;
    private HttpClient client;
    private List<String> names;
    private int nextPort = WORKER_PORTS;

    private static final class Running {
        private Worker worker;
        private boolean gone;
        private boolean reporting;
        private long nextReport;
        private int target;
    }

    @Override
    public Integer call() throws IOException {
        loop = new Loop();
        client = new HttpClient(loop, CBOR, 100);
        names = new ArrayList<>(nodes.keySet());
        HostType type = new HostType("c4", 4, 0, 16, 20, 1, 0.2, 0.05, 3, List.of("a", "b"));
        Cloud cloud = new Cloud(List.of(type), 5, 0, new SplittableRandom(1), this::changed);
        serve(stateAddress, (m, body, answer) -> state.handle(now(), m.method(), m.target(), body, answer::with));
        serve(cloudAddress, (m, body, answer) -> answer.with(cloud.handle(now(), m.method(), m.target(), body)));
        System.out.println("state service on " + stateAddress + ", cloud on " + cloudAddress + "; end with Ctrl-C");
        step(cloud);
        loop.run();
        return 0;
    }

    private interface Answer {
        void with(Reply r);
    }

    private interface Service {
        void take(HttpMessage m, JsonNode body, Answer answer);
    }

    private long now() {
        return loop.now().ms();
    }

    private void serve(String address, Service service) throws IOException {
        InetSocketAddress a = Addresses.parse(address);
        if (a == null) {
            throw new IOException(address + ": an IPv4 address and port is expected");
        }
        new HttpServer(loop, a, Codec.MAX_BODY, 500, (m, responder) -> {
            Answer answer = r -> responder.answer(r.status(), CBOR, Codec.encode(r.body()), 0);
            try {
                service.take(m, m.body().length == 0 ? Codec.map() : Codec.decodeMap(m.body()), answer);
            } catch (Malformed | RuntimeException e) {
                answer.with(new Reply(400, Codec.map().put("error", String.valueOf(e.getMessage()))));
            }
        });
    }

    private void step(Cloud cloud) {
        loop.after(STEP_MS, () -> step(cloud));
        state.tick(now());
        cloud.tick(now());
        for (Running r : machines.values()) {
            if (!r.gone) {
                r.worker.tick(now());
                if (!r.reporting && (now() >= r.nextReport || r.worker.changed())) {
                    report(r);
                }
            }
        }
    }

    private void changed(Cloud.Machine m, boolean up) {
        Running r = machines.computeIfAbsent(m.name, k -> new Running());
        if (!up) {
            r.gone = true;
            return;
        }
        String address = InetAddress.getLoopbackAddress().getHostAddress() + ":" + nextPort++;
        r.worker = new Worker(m.name, address, m.type, m.zone, m.spot, LEASE_MS, now(), this);
        try {
            serve(address, (q, body, answer) -> {
                if (!r.gone) {
                    answer.with(q.target().equals("/orders") ? r.worker.orders(now(), body)
                            : new Reply(200, r.worker.report()));
                }
            });
        } catch (IOException e) {
            System.err.println("beechhoist: " + address + ": " + e.getMessage());
        }
    }

    private void report(Running r) {
        r.reporting = true;
        r.nextReport = now() + REPORT_MS;
        long sent = now();
        long shift = r.worker.shift();
        String to = nodes.get(names.get(r.target));
        client.request(Addresses.parse(to), "POST", "/checkin", Codec.encode(r.worker.report()), 4000, o -> {
            r.reporting = false;
            JsonNode body = null;
            if (o instanceof HttpClient.Answer a && a.body().length > 0) {
                try {
                    body = Codec.decodeMap(a.body());
                } catch (Malformed e) {
                    body = null;
                }
            }
            if (o instanceof HttpClient.Answer a && a.status() == 200 && body != null) {
                r.worker.answered(now(), sent, shift, body);
                return;
            }
            int named = body == null ? -1 : names.indexOf(body.path("foreman").asText());
            r.target = named >= 0 && named != r.target ? named : (r.target + 1) % names.size();
        });
    }

    /** Workers fetch a job's description from where its user put it; here that is the state service's record. */
    @Override
    public JobSpec job(String ref) {
        return specs.computeIfAbsent(ref, k -> {
            JobSpec[] found = new JobSpec[1];
            state.handle(now(), "GET", "/store/jo/" + new JobRef(k), Codec.map(), r -> {
                try {
                    found[0] = r.status() == 200 ? JobSpec.parse(((ObjectNode) r.body().get("data")).get("spec")) : null;
                } catch (Malformed e) {
                    found[0] = null;
                }
            });
            return found[0];
        });
    }

    @Override
    public long runMs(TaskId task, String host) {
        return Math.max(100, Math.round(1000 * job(task.job().text()).estimateS()));
    }

    @Override
    public void started(Worker on, TaskId task, long attempt) {
        System.out.println(task + " starts on " + on.name);
    }

    @Override
    public void finished(TaskId task) {
        System.out.println(task + " has completed");
    }
}
