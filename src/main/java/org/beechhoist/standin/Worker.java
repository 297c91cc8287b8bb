package org.beechhoist.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.TaskId;

/** A stand-in of a worker, written from the protocol: a state machine that is told the time. */
public final class Worker {
    /** Why a running attempt is over without a result. */
    public enum End {
        STOPPED,
        FAILED,
        LAPSED,
        GONE
    }

    /** What a worker asks of the world around it. */
    public interface World {
        /** The job as its user uploaded it, or null. */
        JobSpec job(String ref);

        /** How long a task runs from its saved progress, in ms; negative: it fails after that long. */
        long runMs(TaskId task, String host);

        /** The cause for which the worker refuses to start the task, or null. */
        default String refusal(TaskId task) {
            return null;
        }

        /** Whether the task's result is kept already, from wherever it ran. */
        default boolean completed(TaskId task) {
            return false;
        }

        /** A task has its image and is on the machine. */
        void started(Worker on, TaskId task, long attempt);

        /** Some time has passed with the attempt running; {@code progress} goes from 0 to 1. */
        default void runs(Worker on, TaskId task, long attempt, double progress) {}

        /** A task has completed; its result is kept. */
        void finished(Worker on, TaskId task, long attempt);

        /** A running attempt is over without a result. {@code lostMs}: what it ran and did not save. */
        default void ended(Worker on, TaskId task, long attempt, long lostMs, End why) {}

        /** So much more of the task is saved, in ms of running; checkpoints are stored outside the machine. */
        default void saved(TaskId task, long ms) {}
    }

    private static final class Task {
        private final TaskId id;
        private final long attempt;
        private JobSpec spec;
        private String status = "fetching";
        private String cause;
        private long readyAt;
        private long startedAt;
        private long endsAt;
        private boolean fails;
        /** How long it had run when it last saved, and until when it saves after a stop. */
        private long savedMs;

        private long savingUntil;
        private boolean stored;

        Task(TaskId id, long attempt) {
            this.id = id;
            this.attempt = attempt;
        }

        private boolean on() {
            return !status.equals("exited");
        }

        private void exit(String why) {
            status = "exited";
            cause = why;
        }
    }

    public final String name;
    public final String address;
    public final MachineType type;
    public final String zone;
    public final boolean spot;
    private final World world;
    private final long leaseMs;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final Set<TaskId> results = new HashSet<>();
    private long shift = 1;
    private long counter;
    private long baton;
    private long leaseFrom;
    private Double noticeS;
    private boolean changed = true;

    /** A worker in its first epoch, on a machine that is up since {@code nowMs}. */
    public Worker(
            String name,
            String address,
            MachineType type,
            String zone,
            boolean spot,
            long leaseMs,
            long nowMs,
            World world) {
        this.name = name;
        this.address = address;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.leaseMs = leaseMs;
        this.leaseFrom = nowMs;
        this.world = world;
    }

    /** Returns its epoch. */
    public long shift() {
        return shift;
    }

    /** The cloud takes the machine in so many seconds. */
    public void notice(double seconds) {
        noticeS = seconds;
        changed = true;
    }

    /** Whether something worth reporting at once has happened since the last report. */
    public boolean changed() {
        return changed;
    }

    /**
     * Tasks that are on the machine by the rules' count: they have their image and have not exited. A machine that
     * hangs past its lease holds none: it can only go on by ending them.
     */
    public List<TaskId> onMachine(long nowMs) {
        List<TaskId> out = new ArrayList<>();
        if (nowMs - leaseFrom > leaseMs) {
            return out;
        }
        for (Task task : tasks.values()) {
            if (task.status.equals("running") || task.status.equals("saving")) {
                out.add(task.id);
            }
        }
        return out;
    }

    /** Tasks that it has taken on, also those that wait for their image. */
    public List<TaskId> held() {
        return tasks.values().stream().filter(Task::on).map(t -> t.id).toList();
    }

    /** What is left of its CPUs, memory and accelerators. */
    public double[] free() {
        double[] left = {type.cpus(), type.memGb(), type.gpus()};
        for (Task task : tasks.values()) {
            if (task.on()) {
                left[0] -= task.spec.cpus();
                left[1] -= task.spec.memGb();
                left[2] -= task.spec.gpus();
            }
        }
        return left;
    }

    /** Whether the cloud is about to take it. */
    public boolean noticed() {
        return noticeS != null;
    }

    /** The machine is gone with all that is on it. */
    public void die() {
        tasks.values().forEach(t -> lost(t, t.endsAt, End.GONE));
        tasks.clear();
    }

    /** Lets time pass on the machine. */
    public void tick(long nowMs) {
        if (nowMs - leaseFrom > leaseMs) {
            tasks.values().forEach(t -> lost(t, nowMs, End.LAPSED));
            tasks.clear();
            shift++;
            leaseFrom = nowMs;
            changed = true;
        }
        for (Task task : tasks.values()) {
            if (task.status.equals("fetching") && task.readyAt <= nowMs) {
                images.add(task.spec.image());
                if (results.contains(task.id) || world.completed(task.id)) {
                    task.exit("done");
                } else {
                    start(task, nowMs);
                }
                changed = true;
            } else if (task.status.equals("running")) {
                runs(task, nowMs);
            } else if (task.status.equals("saving") && task.savingUntil <= nowMs) {
                task.stored = true;
                task.exit("stopped");
                world.saved(task.id, task.savingUntil - savesFor(task) - task.startedAt - task.savedMs);
                world.ended(this, task.id, task.attempt, 0, End.STOPPED);
                changed = true;
            }
        }
    }

    private void start(Task task, long nowMs) {
        task.status = "running";
        task.startedAt = nowMs;
        long run = world.runMs(task.id, name);
        task.fails = run < 0;
        task.endsAt = task.spec.isService() && !task.fails ? Long.MAX_VALUE : nowMs + Math.abs(run);
        world.started(this, task.id, task.attempt);
    }

    private void runs(Task task, long nowMs) {
        long ran = Math.min(nowMs, task.endsAt) - task.startedAt;
        long every = Math.round(1000 * task.spec.checkpointEveryS());
        if (every > 0 && ran - task.savedMs >= every) {
            world.saved(task.id, every);
            task.savedMs += every;
        }
        if (task.endsAt > nowMs) {
            world.runs(this, task.id, task.attempt, ran / (double) (task.endsAt - task.startedAt));
            return;
        }
        task.exit(task.fails ? "error" : "done");
        if (task.fails) {
            world.ended(this, task.id, task.attempt, ran - task.savedMs, End.FAILED);
        } else {
            results.add(task.id);
            world.finished(this, task.id, task.attempt);
        }
        changed = true;
    }

    /** A running or saving attempt ends without its progress. */
    private void lost(Task task, long nowMs, End why) {
        if (task.status.equals("running") || task.status.equals("saving")) {
            world.ended(
                    this,
                    task.id,
                    task.attempt,
                    Math.max(0, Math.min(nowMs, task.endsAt) - task.startedAt - task.savedMs),
                    why);
        }
    }

    private static long savesFor(Task task) {
        return Math.round(1000 * task.spec.checkpointCostS());
    }

    private void kill(Task task, long nowMs, double graceS) {
        if (task.status.equals("running")
                && task.spec.checkpointEveryS() > 0
                && graceS >= task.spec.checkpointCostS()
                && graceS > 0) {
            task.status = "saving";
            task.savingUntil = nowMs + savesFor(task);
        } else if (!task.status.equals("saving") || graceS == 0) {
            lost(task, nowMs, End.STOPPED);
            task.exit("stopped");
        }
        changed = true;
    }

    /** The answer to {@code GET /show}: its report, which is none of its own. */
    public Reply show() {
        return new Reply(200, describe());
    }

    /** The next report. */
    public ObjectNode report() {
        changed = false;
        return describe();
    }

    private ObjectNode describe() {
        ObjectNode node = Codec.map()
                .put("host", name)
                .put("address", address)
                .put("hosttype", type.name())
                .put("yard", zone)
                .put("loaner", spot)
                .put("shift", shift)
                .put("counter", ++counter)
                .put("warningS", noticeS);
        Codec.putUnsigned(node, "baton", baton);
        ArrayNode list = node.putArray("pieces");
        for (Task task : tasks.values()) {
            ObjectNode piece = list.addObject()
                    .put("piece", task.id.toString())
                    .put("try", task.attempt)
                    .put("status", task.status);
            if (task.cause != null) {
                piece.put("cause", task.cause);
            }
            if (task.stored) {
                piece.put("stored", true);
            }
        }
        return node;
    }

    /** A 200 to the report that was sent at {@code sentMs} in session {@code sentShift}. */
    public void answered(long nowMs, long sentMs, long sentShift, JsonNode body) {
        long token = body.path("baton").asLong(0);
        if (sentShift != shift || Long.compareUnsigned(token, baton) < 0 || token == 0) {
            return;
        }
        changed |= token != baton;
        baton = token;
        leaseFrom = Math.max(leaseFrom, sentMs);
        execute(nowMs, body.path("orders"));
    }

    /** {@code POST /orders}. */
    public Reply orders(long nowMs, JsonNode body) {
        tick(nowMs);
        if (!body.has("baton") || !body.has("shift")) {
            return Reply.error(400, "baton or shift is missing");
        }
        long token = body.get("baton").asLong();
        if (Long.compareUnsigned(token, baton) < 0 || body.get("shift").asLong() != shift) {
            return new Reply(409, report());
        }
        changed |= token != baton;
        baton = token;
        execute(nowMs, body.path("orders"));
        boolean still = changed;
        ObjectNode report = report();
        changed = still;
        return new Reply(200, report);
    }

    private void execute(long nowMs, JsonNode orders) {
        for (JsonNode node : orders) {
            TaskId id = TaskId.parse(node.path("piece").asText());
            long attempt = node.path("try").asLong();
            String key = id + "#" + attempt;
            switch (node.path("verb").asText()) {
                case "launch" -> launch(nowMs, key, id, attempt);
                case "kill" -> {
                    Task task = tasks.get(key);
                    if (task != null && task.on()) {
                        kill(task, nowMs, node.path("windDownS").asDouble());
                    }
                }
                case "forget" -> {
                    Task task = tasks.get(key);
                    if (task != null && !task.on()) {
                        tasks.remove(key);
                        changed = true;
                    }
                }
                default -> {}
            }
        }
    }

    private void launch(long nowMs, String key, TaskId id, long attempt) {
        if (tasks.containsKey(key)) {
            return;
        }
        Task task = new Task(id, attempt);
        task.spec = world.job(id.job().text());
        boolean busy = false;
        double[] free = free();
        for (Task o : tasks.values()) {
            busy |= o.on() && o.id.equals(id);
        }
        tasks.put(key, task);
        changed = true;
        if (task.spec == null || id.index() >= task.spec.tasks()) {
            task.exit("no_such");
        } else if (world.refusal(id) != null) {
            task.exit(world.refusal(id));
        } else if (busy) {
            task.exit("busy");
        } else if (free[0] + 1e-6 < task.spec.cpus()
                || free[1] + 1e-6 < task.spec.memGb()
                || free[2] + 1e-6 < task.spec.gpus()) {
            task.exit("full");
        } else {
            long fetch = images.contains(task.spec.image())
                    ? 0
                    : Math.round(1000 * task.spec.imageGb() / type.fetchGbPerS());
            task.readyAt = nowMs + fetch;
        }
    }
}
