package org.beechhoist.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.beechhoist.keyset.KeySet;
import org.beechhoist.store.ChangeLogSegment;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.Placement;
import org.beechhoist.store.TaskChanges;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.KeySetBinding;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.TaskId;

/** What must hold of key sets, seen from the commits that the state service has made, what people were answered, and the machines. */
final class KeySetRules {
    static final long CANCEL_MS = 45_000;

    private final World w;
    private final Map<String, KeySet> sets = new HashMap<>();
    private final Map<JobId, KeySetBinding> pins = new HashMap<>();
    private final Set<String> placed = new HashSet<>();
    /** When a revocation was answered, or a content was written over, by set and version; removed when it is approved again. */
    private final Map<String, Long> stopped = new HashMap<>();

    int placedUnderRevoked;
    int pinsChanged;
    int late;
    long longestGoneMs;
    int bound;

    KeySetRules(World w) {
        this.w = w;
        w.committed = (node, body) -> body.path("then").forEach(this::committed);
        w.every(500, this::onMachines);
    }

    private void committed(JsonNode op) {
        String key = op.path("put").asText();
        try {
            if (key.startsWith("ks/set/")) {
                KeySet s = KeySet.parse(op.get("data"));
                sets.put(s.name(), s);
            } else if (key.startsWith(JobRecord.OPEN_PREFIX)
                    && key.indexOf('/', 3) < 0
                    && !JobRecord.isFinalState(op.get("data"))) {
                record(JobRecord.parse(op.get("data")));
            } else if (key.startsWith(ChangeLogSegment.PREFIX)) {
                Set<JobId> unreadable = new HashSet<>();
                ChangeLogSegment.parse(
                                op.get("data"),
                                r -> w.userJob(r.text()) == null
                                        ? -1
                                        : w.userJob(r.text()).spec.tasks(),
                                unreadable)
                        .jobs()
                        .forEach((ref, d) -> segment(ref, d));
            }
        } catch (MalformedMessageException e) {
            throw new AssertionError(key + ": " + e.getMessage());
        }
    }

    private void record(JobRecord r) {
        KeySetBinding before = pins.get(r.spec.id());
        if (!pins.containsKey(r.spec.id())) {
            pins.put(r.spec.id(), r.spec.keySetBinding());
            bound += r.spec.keySetBinding() != null ? 1 : 0;
        } else if (before != null ? !before.equals(r.spec.keySetBinding()) : r.spec.keySetBinding() != null) {
            pinsChanged++;
        }
        for (Placement p : r.live.values()) {
            place(r.spec.id(), p.task.index(), p.attempt);
        }
    }

    private void segment(JobId ref, TaskChanges d) {
        JobRecord r = new JobRecord(w.userJob(ref.text()).spec, 0);
        d.apply(r);
        r.live.values().forEach(p -> place(ref, p.task.index(), p.attempt));
    }

    private void place(JobId ref, int task, long attempt) {
        KeySetBinding pin = pins.get(ref);
        if (pin == null || !placed.add(ref + "/" + task + "#" + attempt)) {
            return;
        }
        KeySet s = sets.get(pin.keySet());
        KeySet.Version v = s == null ? null : s.version(pin.version());
        boolean good = v != null
                && v.digest().equals(pin.digest())
                && s.computeDigest(v).equals(pin.digest())
                && (v.state() == KeySet.State.APPROVED
                        || v.state() == KeySet.State.SUPERSEDED && w.wall() < v.drainDeadlineMs() + 1000);
        placedUnderRevoked += good ? 0 : 1;
    }

    KeySet set(String name) {
        return sets.get(name);
    }

    KeySetBinding pin(String ref) {
        return pins.get(new JobId(ref));
    }

    /** From now on nothing that is bound so may be on a machine after the time that a cancellation has. */
    void stop(String set, long version) {
        stopped.putIfAbsent(set + " " + version, w.now);
    }

    void goesOn(String set, long version) {
        stopped.remove(set + " " + version);
    }

    private void onMachines() {
        Set<String> there = new TreeSet<>();
        for (TaskId t : w.running()) {
            KeySetBinding pin = pins.get(t.job());
            if (pin != null && stopped.containsKey(pin.toString())) {
                long since = w.now - stopped.get(pin.toString());
                longestGoneMs = Math.max(longestGoneMs, since);
                late += since > CANCEL_MS ? 1 : 0;
                there.add(t.toString());
            }
        }
    }

    // ---- people ----

    /** Proposes and approves a version, asking until there is an answer. */
    void make(String name, String owner, String... fingerprints) {
        var body = Codec.map().put("owner", owner).put("who", "a").put("why", "first");
        var list = body.putArray("fingerprints");
        for (String f : fingerprints) {
            list.add(f);
        }
        w.request("POST", "/v1/keysets/" + name + "/propose", body, a -> {
            if (a.status() == 200) {
                long version = a.body()
                        .path("versions")
                        .get(a.body().path("versions").size() - 1)
                        .path("version")
                        .asLong();
                approve(
                        name,
                        version,
                        a.body()
                                .path("versions")
                                .get(a.body().path("versions").size() - 1)
                                .path("digest")
                                .asText(),
                        600);
            }
        });
    }

    void approve(String name, long version, String digest, long drainS) {
        w.request(
                "POST",
                "/v1/keysets/" + name + "/approve",
                Codec.map()
                        .put("version", version)
                        .put("digest", digest)
                        .put("drainS", drainS)
                        .put("who", "b")
                        .put("why", "looked at"),
                a -> {
                    if (a.status() == 200) {
                        goesOn(name, version);
                    }
                });
    }

    void revoke(String name, long version, Runnable then) {
        w.request(
                "POST",
                "/v1/keysets/" + name + "/revoke",
                Codec.map().put("version", version).put("who", "c").put("why", "a token is lost"),
                a -> {
                    if (a.status() == 200) {
                        stop(name, version);
                        then.run();
                    }
                });
    }
}
