package org.beechhoist.local;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.beechhoist.http.HttpMessage;
import org.beechhoist.net.EventLoop;
import org.beechhoist.net.HttpClient;
import org.beechhoist.net.HttpServer;
import org.beechhoist.standin.Cloud;
import org.beechhoist.standin.Reply;
import org.beechhoist.standin.StateService;
import org.beechhoist.standin.Worker;
import org.beechhoist.store.JobRecord;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.TaskId;

/**
 * Stand-ins of the state service, the cloud and its workers, served over loopback sockets by one loop; it keeps
 * nothing. What tasks do on the workers is {@link Tasks}' matter.
 */
public final class LoopbackRegion implements Worker.World {
    private static final String CBOR = "application/cbor";
    private static final long STEP_MS = 50;
    /** Transactions and values as on the platform's smaller deployments. */
    private static final int TXN_OPS = 40;

    private static final int VALUE_BYTES = 8192;

    /** What tasks do. All calls come from the region's loop. */
    public interface Tasks {
        /** How long the attempt runs from now, in ms; negative: it fails after that long. */
        long runMs(JobSpec job, TaskId task, String host);

        /** Whether the task's result is kept already: started again, it is done at once. */
        default boolean completed(TaskId task) {
            return false;
        }

        void started(String host, TaskId task, long attempt);

        /** Some time has passed with the attempt running; {@code progress} goes from 0 to 1. */
        default void runs(String host, TaskId task, long attempt, double progress) {}

        void finished(String host, TaskId task, long attempt);

        /** The attempt is over without a result: stopped, or its machine or lease is gone. */
        default void ended(String host, TaskId task, long attempt, long lostMs, Worker.End why) {}

        /** So much more of the task is saved, in ms of running. */
        default void saved(TaskId task, long ms) {}
    }

    /** How the region is made. */
    public record Layout(List<MachineType> types, int perKind, long reportMs, long leaseMs, long seed) {}

    private static final class Running {
        private Worker worker;
        private boolean gone;
        private boolean reporting;
        private long nextReport;
        private long hangUntil;
        private int target;
    }

    private final EventLoop loop;
    private final HttpClient client;
    private final Layout layout;
    private final Tasks tasks;
    private final StateService state = new StateService(TXN_OPS, VALUE_BYTES);
    private final Cloud cloud;
    private final Map<String, Running> machines = new LinkedHashMap<>();
    private final Map<String, JobSpec> specs = new LinkedHashMap<>();
    private List<String> names = List.of();
    private List<InetSocketAddress> nodes = List.of();

    public LoopbackRegion(EventLoop loop, Layout layout, Tasks tasks) {
        this.loop = loop;
        this.client = new HttpClient(loop, CBOR, 100);
        this.layout = layout;
        this.tasks = tasks;
        this.cloud = new Cloud(layout.types(), layout.perKind(), 0, new SplittableRandom(layout.seed()), this::changed);
    }

    /** The controllers that workers report to, by name. */
    public void controllers(Map<String, InetSocketAddress> byName) {
        names = new ArrayList<>(byName.keySet());
        nodes = new ArrayList<>(byName.values());
    }

    /** Serves the state service; port 0 takes a free one. */
    public InetSocketAddress serveState(InetSocketAddress at) throws IOException {
        return serve(at, (m, body, answer) -> state.handle(now(), m.method(), m.target(), body, answer::with));
    }

    public InetSocketAddress serveCloud(InetSocketAddress at) throws IOException {
        return serve(at, (m, body, answer) -> answer.with(cloud.handle(now(), m.method(), m.target(), body)));
    }

    /** Lets time pass from now on. */
    public void start() {
        loop.schedule(STEP_MS, this::start);
        state.tick(now());
        cloud.tick(now());
        for (Running running : new ArrayList<>(machines.values())) {
            if (!running.gone && running.hangUntil <= now()) {
                running.worker.tick(now());
                if (!running.reporting && (now() >= running.nextReport || running.worker.changed())) {
                    report(running);
                }
            }
        }
    }

    // ---- troubles ----

    /** Machines that are up, by name. */
    public List<String> up() {
        List<String> out = new ArrayList<>();
        machines.forEach((name, running) -> {
            if (!running.gone) {
                out.add(name);
            }
        });
        return out;
    }

    /** Whether the task is on the machine by the protocol's count: one that hangs past its lease holds none. */
    public boolean holds(String name, TaskId task) {
        Running r = machines.get(name);
        return r != null && !r.gone && r.worker.onMachine(now()).contains(task);
    }

    /** The machine stops with all that is on it. */
    public void lose(String name) {
        for (Cloud.Machine machine : cloud.machines()) {
            if (machine.name.equals(name) && !machines.get(name).gone) {
                cloud.end(machine, true, now());
            }
        }
    }

    /** The machine does nothing for so long: it neither runs its tasks, reports nor answers. */
    public void hang(String name, long forMs) {
        machines.get(name).hangUntil = now() + forMs;
    }

    /** The cloud says that it will take the machine in so long, and does. */
    public void notice(String name, double seconds) {
        machines.get(name).worker.notice(seconds);
        loop.schedule(Math.round(1000 * seconds), () -> lose(name));
    }

    // ---- serving ----

    private interface Answer {
        void with(Reply reply);
    }

    private interface Service {
        void take(HttpMessage message, JsonNode body, Answer answer);
    }

    private long now() {
        return loop.now().ms();
    }

    private InetSocketAddress serve(InetSocketAddress at, Service service) throws IOException {
        return new HttpServer(loop, at, Codec.MAX_BODY, 500, (message, responder) -> {
                    Answer answer = r -> responder.respond(r.status(), CBOR, Codec.encode(r.body()), 0);
                    try {
                        service.take(
                                message,
                                message.body().length == 0 ? Codec.map() : Codec.decodeMap(message.body()),
                                answer);
                    } catch (MalformedMessageException | RuntimeException e) {
                        answer.with(new Reply(400, Codec.map().put("error", String.valueOf(e.getMessage()))));
                    }
                })
                .address();
    }

    private void changed(Cloud.Machine machine, boolean up) {
        Running running = machines.computeIfAbsent(machine.name, k -> new Running());
        if (!up) {
            if (!running.gone && running.worker != null) {
                running.worker.die();
            }
            running.gone = true;
            return;
        }
        try {
            Worker[] made = new Worker[1];
            InetSocketAddress at =
                    serve(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), (message, body, answer) -> {
                        if (!running.gone && running.hangUntil <= now()) {
                            answer.with(
                                    message.target().equals("/orders") ? made[0].orders(now(), body) : made[0].show());
                        }
                    });
            machine.address = at.getAddress().getHostAddress() + ":" + at.getPort();
            made[0] = new Worker(
                    machine.name,
                    machine.address,
                    machine.type,
                    machine.zone,
                    machine.spot,
                    layout.leaseMs(),
                    now(),
                    this);
            running.worker = made[0];
        } catch (IOException e) {
            throw new IllegalStateException("no port for a worker", e);
        }
    }

    private void report(Running running) {
        running.reporting = true;
        running.nextReport = now() + layout.reportMs();
        long sent = now();
        long shift = running.worker.shift();
        client.request(
                nodes.get(running.target), "POST", "/checkin", Codec.encode(running.worker.report()), 4000, result -> {
                    running.reporting = false;
                    JsonNode body = null;
                    if (result instanceof HttpClient.Response reply && reply.body().length > 0) {
                        try {
                            body = Codec.decodeMap(reply.body());
                        } catch (MalformedMessageException e) {
                            body = null;
                        }
                    }
                    if (result instanceof HttpClient.Response otherReply
                            && otherReply.status() == 200
                            && body != null) {
                        if (!running.gone && running.hangUntil <= now()) {
                            running.worker.answered(now(), sent, shift, body);
                        }
                        return;
                    }
                    int named = body == null
                            ? -1
                            : names.indexOf(body.path("foreman").asText());
                    running.target =
                            named >= 0 && named != running.target ? named : (running.target + 1) % names.size();
                    running.nextReport = now() + (named >= 0 ? 0 : 500);
                });
    }

    // ---- the workers' world ----

    /** Workers fetch a job's description from where its user put it; here that is the state service's record. */
    @Override
    public JobSpec job(String ref) {
        return specs.computeIfAbsent(ref, otherK -> {
            JobSpec[] found = new JobSpec[1];
            state.handle(now(), "GET", "/store/" + JobRecord.openKey(new JobId(otherK)), Codec.map(), reply -> {
                try {
                    found[0] = reply.status() == 200
                            ? JobSpec.parse(reply.body().get("data").get("spec"))
                            : null;
                } catch (MalformedMessageException e) {
                    found[0] = null;
                }
            });
            return found[0];
        });
    }

    @Override
    public long runMs(TaskId task, String host) {
        return tasks.runMs(job(task.job().text()), task, host);
    }

    @Override
    public boolean completed(TaskId task) {
        return tasks.completed(task);
    }

    @Override
    public void started(Worker on, TaskId task, long attempt) {
        tasks.started(on.name, task, attempt);
    }

    @Override
    public void runs(Worker on, TaskId task, long attempt, double progress) {
        tasks.runs(on.name, task, attempt, progress);
    }

    @Override
    public void finished(Worker on, TaskId task, long attempt) {
        tasks.finished(on.name, task, attempt);
    }

    @Override
    public void ended(Worker on, TaskId task, long attempt, long lostMs, Worker.End why) {
        tasks.ended(on.name, task, attempt, lostMs, why);
    }

    @Override
    public void saved(TaskId task, long ms) {
        tasks.saved(task, ms);
    }
}
