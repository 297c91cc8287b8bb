package org.beechhoist.core;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.beechhoist.config.Policy;
import org.beechhoist.packing.Moves;
import org.beechhoist.packing.Sizes;
import org.beechhoist.plan.Plan;
import org.beechhoist.store.Budget;
import org.beechhoist.store.Placement;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.Commit;
import org.beechhoist.store.Txn;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.HostId;
import org.beechhoist.wire.HostType;
import org.beechhoist.wire.JobRef;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes room for a large task by moving smaller ones, where GPUs enough are free in pieces. A move is written before the first
 * stop, {@code mv/HOST}: for whom, which tasks, where each has its place. From there on a leader, whichever it is, goes by what
 * the records say of those tasks: on the old machine they are stopped with time to save, gone they begin in their place, there
 * they are done. The place is kept for each, and the room for whom it was made.
 */
final class MoveDesk {
    static final String PREFIX = "mv/";
    private static final String RECENT = "mv-recent";
    private static final Logger LOG = LoggerFactory.getLogger(MoveDesk.class);
    private static final long LOOK_EVERY_MS = 2000;
    private static final long LONGEST_MS = 150_000;
    /** A task is not moved again so soon. */
    private static final long AGAIN_MS = 300_000;
    private static final int MOST_ROOMS = 4;
    private static final int MOST_OF_TEAM = 3;
    /** Who begins this soon by the plan needs no room made. */
    private static final long SOON_MS = 10_000;
    private static final long LONGEST_GAIN_MS = 240_000;
    /** What moving costs, in GPU seconds, against what the large task gains. */
    private static final double WORTH = 0.5;
    private static final double PROVED_GONE_S = 3;
    private static final double HARDLY_BEGUN_S = 15;
    private static final long AGAIN_READ_MS = 700;

    /** Room that is being made on a machine. */
    private static final class Making {
        private final HostId host;
        private final JobRef forJob;
        private final long sinceMs;
        private final Map<TaskId, HostId> to = new TreeMap<>((a, b) -> a.toString().compareTo(b.toString()));

        private Making(HostId host, JobRef forJob, long sinceMs) {
            this.host = host;
            this.forJob = forJob;
            this.sinceMs = sinceMs;
        }

        private ObjectNode toNode() {
            ObjectNode n = Codec.map().put("for", forJob.text()).put("at", sinceMs);
            ArrayNode rows = n.putArray("moves");
            to.forEach((t, h) -> rows.add(t.toString()).add(h.text()));
            return n;
        }

        private static Making parse(String key, JsonNode n) {
            Making m = new Making(new HostId(key.substring(PREFIX.length())), new JobRef(n.path("for").asText()), n.path("at").asLong());
            for (int i = 0; i + 1 < n.path("moves").size(); i += 2) {
                TaskId t = TaskId.parse(n.get("moves").get(i).asText());
                if (t != null) {
                    m.to.put(t, new HostId(n.get("moves").get(i + 1).asText()));
                }
            }
            return m;
        }
    }

    private final Turn turn;
    private final Policy policy;
    private final StoreClient store;
    private final Election election;
    private final Budget requests;
    private final Budget writes;
    private final Types types;
    private final Book book;
    private final Admission admission;
    private final Stopping stopping;
    private final Orders orders;
    private final Dispatch dispatch;
    private final Map<HostId, Making> making = new TreeMap<>();
    /** By the time of day when a task was last moved. */
    private final Map<TaskId, Long> moved = new HashMap<>();
    private final Map<Double, Double> asked = new HashMap<>();
    private boolean read;
    private boolean writing;
    private long nextLook;

    MoveDesk(Turn turn, Policy policy, StoreClient store, Election election, Budget requests, Budget writes, Types types, Book book, Admission admission,
            Stopping stopping, Orders orders, Dispatch dispatch) {
        this.turn = turn;
        this.policy = policy;
        this.store = store;
        this.election = election;
        this.requests = requests;
        this.writes = writes;
        this.types = types;
        this.book = book;
        this.admission = admission;
        this.stopping = stopping;
        this.orders = orders;
        this.dispatch = dispatch;
    }

    /** A new leadership begins: what the last one had in hand is read before anything is moved. */
    void begin() {
        making.clear();
        moved.clear();
        asked.clear();
        read = false;
        writing = false;
        nextLook = 0;
        if (on()) {
            read();
        }
    }

    private boolean on() {
        return policy.moves() && gpus();
    }

    private boolean gpus() {
        return types.known() && types.all().stream().anyMatch(t -> t.gpus() > 0);
    }

    private void read() {
        long reign = book.reign();
        requests.take(turn.now(), 2);
        store.list(PREFIX, null, MOST_ROOMS * 4, page -> store.get(RECENT, recent -> {
            if (reign != book.reign()) {
                return;
            }
            if (!page.ok() || !recent.known()) {
                turn.after(AGAIN_READ_MS, () -> {
                    if (reign == book.reign()) {
                        read();
                    }
                });
                return;
            }
            for (StoreClient.Item i : page.items()) {
                Making m = Making.parse(i.key(), i.value());
                making.put(m.host, m);
                LOG.info("room on {} for {} is gone on with: {} moves", m.host, m.forJob, m.to.size());
            }
            if (recent.item() != null) {
                recent.item().value().properties().forEach(e -> {
                    TaskId t = TaskId.parse(e.getKey());
                    if (t != null) {
                        moved.put(t, e.getValue().asLong());
                    }
                });
            }
            read = true;
            book.replan();
        }));
    }

    // ---- what the plan must know ----

    /** How often which size is asked for, by tasks that are open; what asked before fades. */
    Sizes sizes() {
        if (!policy.packing() || !gpus()) {
            return Sizes.NONE;
        }
        Map<Double, Double> now = new HashMap<>();
        for (Job j : book.jobs()) {
            if (j.spec().gpus() > 0 && !j.record.cancelled()) {
                now.merge(j.spec().gpus(), (double) Math.min(64, j.spec().tasks() - j.record.done.size()), Double::sum);
            }
        }
        asked.replaceAll((g, n) -> n * 0.999);
        now.forEach((g, n) -> asked.merge(g, n, Math::max));
        return new Sizes(asked);
    }

    /** For how many tasks of the job room is being made: they come first, and hold what comes free for them. */
    int roomsFor(Job j) {
        int n = 0;
        for (Making m : making.values()) {
            n += m.forJob.equals(j.ref()) && !there(m) ? 1 : 0;
        }
        return n;
    }

    /** Tasks of the job that wait for the place that is kept for them: no other is planned. */
    int underWay(Job j) {
        int n = 0;
        for (Making m : making.values()) {
            for (TaskId t : m.to.keySet()) {
                n += t.job().equals(j.ref()) && waits(t) ? 1 : 0;
            }
        }
        return n;
    }

    /** Places that are kept on the machine for tasks on their way to it. */
    List<JobSpec> keptOn(HostId host) {
        if (making.isEmpty()) {
            return List.of();
        }
        List<JobSpec> out = new ArrayList<>();
        for (Making m : making.values()) {
            m.to.forEach((t, to) -> {
                Job j = book.job(t.job());
                if (to.equals(host) && j != null && !j.record.live.containsKey(t.index()) || to.equals(host) && onItsWay(m, t)) {
                    out.add(j.spec());
                }
            });
        }
        return out;
    }

    /** Whether the room on the machine is kept for another job than this one. */
    boolean keptFromOthers(HostId host, JobRef job) {
        Making m = making.get(host);
        return m != null && !m.forJob.equals(job);
    }

    private boolean onItsWay(Making m, TaskId t) {
        Job j = book.job(t.job());
        Placement p = j == null ? null : j.record.live.get(t.index());
        return p != null && p.host.equals(m.host);
    }

    private boolean waits(TaskId t) {
        Job j = book.job(t.job());
        return j != null && !j.record.cancelled() && j.hold == null && !j.record.live.containsKey(t.index()) && !j.record.done.contains(t.index());
    }

    /** Whether the one that room was made for is there. */
    private boolean there(Making m) {
        Job j = book.job(m.forJob);
        return j != null && j.record.live.values().stream().anyMatch(p -> p.host.equals(m.host));
    }

    // ---- going on ----

    /** Before a plan is carried out: what is gone from the old machine begins in its place. */
    void startMoved() {
        for (Making m : making.values()) {
            for (Map.Entry<TaskId, HostId> e : m.to.entrySet()) {
                Host to = book.known(e.getValue());
                if (waits(e.getKey()) && to != null) {
                    Job j = book.job(e.getKey().job());
                    if (dispatch.place(j, e.getKey().index(), to)) {
                        moved.put(e.getKey(), turn.wallMs());
                        LOG.info("{} goes on on {}, moved from {}", e.getKey(), to.id, m.host);
                    }
                }
            }
        }
    }

    void tick(Plan plan) {
        if (!on() || !read) {
            if (on() && making.isEmpty() && !read && !writing && nextLook == 0) {
                nextLook = 1; // machine types came to be known only now
                read();
            }
            return;
        }
        moved.values().removeIf(at -> turn.wallMs() - at > AGAIN_MS);
        for (Making m : List.copyOf(making.values())) {
            goOn(m);
        }
        if (plan != null && turn.now().ms() >= nextLook && !writing && making.size() < MOST_ROOMS) {
            nextLook = turn.now().ms() + LOOK_EVERY_MS;
            look(plan);
        }
    }

    private void goOn(Making m) {
        Job large = book.job(m.forJob);
        boolean senseless = large == null || large.record.cancelled() || large.hold != null || turn.wallMs() - m.sinceMs > LONGEST_MS
                || large.record.waitingCount() == 0 && !there(m);
        boolean over = true;
        for (Map.Entry<TaskId, HostId> e : List.copyOf(m.to.entrySet())) {
            Job j = book.job(e.getKey().job());
            Placement p = j == null ? null : j.record.live.get(e.getKey().index());
            if (p != null && p.host.equals(m.host)) {
                if (senseless && !p.killSent) {
                    m.to.remove(e.getKey()); // it stays where it is
                } else if (!p.killSent && p.sent && mayLeave(j)) {
                    LOG.info("{} is moved from {} to {}, to make room for {}", e.getKey(), m.host, e.getValue(), m.forJob);
                    stopping.stop(p);
                    orders.direct(book.host(m.host));
                    over = false;
                } else {
                    over = false;
                }
            } else if (waits(e.getKey())) {
                Host to = book.known(e.getValue());
                if (to == null || !admission.usable(to)) {
                    m.to.remove(e.getKey()); // its place is lost: it is planned like any other
                } else {
                    over = false;
                }
            }
        }
        boolean taken = there(m);
        if (over && (taken || senseless)) {
            finish(m, taken ? "it is taken" : "it is not needed any more");
        }
    }

    private void finish(Making m, String why) {
        if (writing) {
            return;
        }
        LOG.info("room on {} for {}: {}", m.host, m.forJob, why);
        ObjectNode recent = Codec.map();
        moved.forEach((t, at) -> recent.put(t.toString(), at));
        write(election.guarded().delete(PREFIX + m.host.text()).put(RECENT, recent), c -> {
            if (c.result() == Commit.Result.DONE) {
                making.remove(m.host, m);
                book.replan();
            }
        });
    }

    private void write(Txn txn, Consumer<Commit> then) {
        long reign = book.reign();
        writing = true;
        requests.take(turn.now(), 1);
        writes.take(turn.now(), txn.ops());
        store.commit(txn, c -> {
            if (reign == book.reign()) {
                writing = false;
                then.accept(c);
            }
        });
    }

    // ---- looking ----

    private void look(Plan plan) {
        Map<String, double[]> used = book.usedByTeams();
        for (Job large : book.jobs()) {
            if (!lacksRoom(large, plan, used)) {
                continue;
            }
            Moves.Found f = Moves.cheapest(room(large.spec()), machines(large), this::allowed, sizes());
            long waits = plan.plannedStart(large.ref()) == null ? LONGEST_GAIN_MS
                    : Math.min(LONGEST_GAIN_MS, plan.plannedStart(large.ref()) - turn.now().ms());
            if (f != null && f.cost() <= WORTH * large.spec().gpus() * waits / 1000) {
                make(large, f);
                return;
            }
        }
    }

    private boolean lacksRoom(Job j, Plan plan, Map<String, double[]> used) {
        JobSpec s = j.spec();
        boolean plain = s.gpus() > 1 && !s.gang() && !s.sameZone() && !s.apart();
        if (!plain || j.record.cancelled() || j.hold != null || j.suspect() || j.behind || j.record.waitingCount() <= roomsFor(j) || j.notBefore.ms() > turn.now().ms()
                || turn.now().since(j.submitted) < LOOK_EVERY_MS || admission.overLimit(j, used)) {
            return false;
        }
        Long start = plan.plannedStart(j.ref());
        return start == null || start > turn.now().ms() + SOON_MS;
    }

    private static Moves.Room room(JobSpec s) {
        return new Moves.Room(s.cpus(), s.gpus(), s.memGb());
    }

    private boolean allowed(TaskId t, HostId id) {
        Host h = book.known(id);
        JobSpec s = book.job(t.job()).spec();
        return h != null && s.mayRunOn(types.get(h.type), h.zone, h.spot);
    }

    private List<Moves.Machine> machines(Job large) {
        Set<TaskId> held = new HashSet<>();
        Map<String, Integer> ofTeam = new HashMap<>();
        for (Making m : making.values()) {
            held.addAll(m.to.keySet());
            m.to.keySet().forEach(t -> ofTeam.merge(book.job(t.job()) == null ? "" : book.job(t.job()).spec().team(), 1, Integer::sum));
        }
        List<Moves.Machine> out = new ArrayList<>();
        for (Host h : book.hosts()) {
            HostType t = h.known() ? types.get(h.type) : null;
            Admission.Room free = t == null || t.gpus() == 0 || !admission.usable(h) || making.containsKey(h.id) ? null : admission.free(h, t);
            if (free == null) {
                continue;
            }
            List<Moves.Movable> movable = new ArrayList<>();
            boolean may = large.spec().mayRunOn(t, h.zone, h.spot);
            for (Placement p : may ? h.placements.values() : List.<Placement>of()) {
                Job j = book.job(p.task.job());
                if (j != null && j != large && !held.contains(p.task) && mayMove(j, p, large, ofTeam)) {
                    movable.add(new Moves.Movable(p.task, room(j.spec()), cost(j, p)));
                }
            }
            out.add(new Moves.Machine(h.id, new Moves.Room(free.cpus(), free.gpus(), free.memGb()), may, movable));
        }
        return out;
    }

    /** Equal urgency may be moved, more urgent work is left alone; and what needs others, a place, or has done much that it can't save. */
    private boolean mayMove(Job j, Placement p, Job large, Map<String, Integer> ofTeam) {
        JobSpec s = j.spec();
        if (!p.sent || p.killSent || p.running == null || s.gang() || s.sameZone() || s.apart() || j.record.cancelled() || s.gpus() >= large.spec().gpus()
                || s.urgency().compareTo(large.spec().urgency()) < 0 || moved.containsKey(p.task) || ofTeam.getOrDefault(s.team(), 0) >= MOST_OF_TEAM) {
            return false;
        }
        if (s.service()) {
            // One replica away at a time, and never the only one.
            return s.tasks() > 1 && allThere(j);
        }
        return s.checkpointS() > 0 || turn.now().since(p.running) < 1000 * HARDLY_BEGUN_S;
    }

    private static boolean allThere(Job j) {
        return j.record.live.size() == j.spec().tasks() && j.record.live.values().stream().allMatch(o -> o.running != null && !o.killSent);
    }

    /** Of a service one replica leaves at a time: the next once that one runs in its place. */
    private static boolean mayLeave(Job j) {
        return !j.spec().service() || allThere(j);
    }

    private double cost(Job j, Placement p) {
        JobSpec s = j.spec();
        double ran = turn.now().since(p.running) / 1000.0;
        double lost = s.service() || s.checkpointS() > 0 ? 0 : ran;
        HostType t = types.get(book.host(p.host).type);
        return s.gpus() * (s.saveS() + PROVED_GONE_S + s.imageGb() / t.fetchGbPerS() + lost);
    }

    private void make(Job large, Moves.Found f) {
        Making m = new Making(f.host(), large.ref(), turn.wallMs());
        f.moves().forEach(o -> m.to.put(o.task(), o.to()));
        // Known from now on, so that nothing else is planned there; nothing is stopped before it is written.
        write(election.guarded().put(PREFIX + m.host.text(), m.toNode()), c -> {
            if (c.result() == Commit.Result.DONE) {
                making.put(m.host, m);
                LOG.info("room on {} for {}: {} tasks are moved, {} GPU s", m.host, m.forJob, m.to.size(), Math.round(f.cost()));
                book.replan();
            }
        });
    }
}
