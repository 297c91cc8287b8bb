package org.beechhoist.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.beechhoist.keyset.KeySet;
import org.beechhoist.standin.StateService;
import org.beechhoist.wire.Codec;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Three hundred machines, five nodes, forty key sets that are rotated, revoked, approved again and written over, while nodes end
 * and are cut off: {@code mvn -q -Ptrial -Dtest=KeySetTrial -Dtrial.seed=N test}. Limits are enforced.
 */
@Tag("trial")
class KeySetTrial {
    private static final long WRITE_AGAIN_MS = 500;
    private static final int SETS = 40;
    private static final long ENDS_MS = 240_000;

    @Test
    void nothingRunsUnderASetThatMayNot() {
        long seed = Long.getLong("trial.seed", 1);
        Extent x = Extent.strict();
        x.zones = 4;
        x.leaseS = 26;
        World w = new World(seed, new WorldScale(5, 60, 6000, 500, StateService.KEPT_CHANGES, KeySetTest.ON).with(x));
        KeySetRules r = new KeySetRules(w);
        w.users.mayRefuse = j -> !j.accepted && r.pin(j.spec.id().text()) == null;
        for (int i = 0; i < SETS; i++) {
            String name = "set-" + i;
            w.later(500 + 150L * i, () -> r.make(name, "blue", "AB:CD:EF:" + name));
        }
        w.every(1500, () -> {
            if (w.now > 8000 && w.now < ENDS_MS) {
                String set = "set-" + w.random.nextInt(SETS);
                if (r.set(set) != null
                        && r.set(set).approvedVersion() != null
                        && !w.keys("ks/bad/").contains("ks/bad/" + set)) {
                    w.submit(
                            "sign",
                            false,
                            w.random.nextInt(4, 40),
                            w.random.nextInt(1, 4),
                            w.random.nextInt(5, 40),
                            n -> n.put("owner", "blue")
                                    .put("loaner", true)
                                    .put("urgency", w.random.nextBoolean() ? "urgent" : "normal")
                                    .put("keySet", set));
                }
            }
        });
        w.every(2500, () -> {
            if (w.now < ENDS_MS) {
                w.submit("slow", false, w.random.nextInt(2, 20), 1, 10, n -> n.put("owner", "blue")
                        .put("loaner", true));
            }
        });
        int[] did = new int[4];
        w.every(3000, () -> {
            KeySet s = r.set("set-" + w.random.nextInt(SETS));
            if (w.now < 25_000 || w.now > ENDS_MS || s == null) {
                return;
            }
            switch (w.random.nextInt(8)) {
                case 0 -> {
                    did[0]++;
                    w.request(
                            "POST",
                            "/v1/keysets/" + s.name() + "/propose",
                            Codec.map()
                                    .put("owner", "blue")
                                    .put("who", "a")
                                    .put("why", "next")
                                    .set("fingerprints", Codec.list().add("AB:CD:EF:" + w.now)),
                            a -> {
                                if (a.status() == 200) {
                                    JsonNode v = a.body()
                                            .path("versions")
                                            .get(a.body().path("versions").size() - 1);
                                    r.approve(
                                            s.name(),
                                            v.path("version").asLong(),
                                            v.path("digest").asText(),
                                            15);
                                }
                            });
                }
                case 1 -> {
                    did[1]++;
                    ObjectNode other = s.toNode();
                    ((ObjectNode) other.path("versions").get(0))
                            .putArray("fingerprints")
                            .add("99:99:99:99:" + w.now);
                    writeOver(w, r, s, other);
                }
                case 2, 3, 4 -> {
                    did[2]++;
                    KeySet.Version v = s.versions().get(s.versions().size() - 1);
                    r.revoke(s.name(), v.version(), () -> {});
                }
                default -> {
                    KeySet.Version v = s.versions().get(s.versions().size() - 1);
                    if (v.state() == KeySet.State.REVOKED && s.computeDigest(v).equals(v.digest())) {
                        did[3]++;
                        r.approve(s.name(), v.version(), v.digest(), 15);
                    }
                }
            }
        });
        List<String> told = new ArrayList<>();
        for (long at : new long[] {50_000, 110_000, 170_000}) {
            int kind = w.random.nextInt(6);
            told.add(new String[] {"leader", "all", "cut_off", "zone", "outage", "deaf"}[kind]);
            w.later(at, () -> {
                switch (kind) {
                    case 0 -> w.crash(w.leader(), 200);
                    case 1 -> w.crashAll(i -> 500 + 700L * i);
                    case 2 -> w.isolate(w.leader(), w.random.nextBoolean(), 30_000);
                    case 3 -> w.cutZone(w.zones().get(w.random.nextInt(4)), 30_000);
                    case 4 -> w.stateOutage(15_000);
                    default -> w.deafen(z -> true, 0.2, 40_000);
                }
            });
        }
        w.runUntil(ENDS_MS + 60_000);
        // Whoever is held by now is so for a reason; held without one, it would wait for nobody.
        int needless = 0;
        int held = 0;
        Map<String, Boolean> bad = new HashMap<>();
        w.keys("ks/bad/").forEach(k -> bad.put(k.substring("ks/bad/".length()), true));
        TreeSet<String> open = new TreeSet<>();
        for (UserJob j : w.allJobs()) {
            var pin = r.pin(j.spec.id().text());
            if (!j.accepted || pin == null || j.told != null) {
                continue;
            }
            KeySet s = r.set(pin.keySet());
            KeySet.Version v = s.version(pin.version());
            boolean may = !bad.containsKey(pin.keySet())
                    && v != null
                    && s.computeDigest(v).equals(pin.digest())
                    && (v.state() == KeySet.State.APPROVED
                            || v.state() == KeySet.State.SUPERSEDED && w.wall() < v.drainDeadlineMs());
            held += may ? 0 : 1;
            if (may) {
                open.add(j.spec.id().text());
            }
        }
        w.runUntil(w.now + 120_000);
        for (String ref : open) {
            needless += w.unfinished().contains(ref) ? 1 : 0;
        }
        System.out.printf(
                "trial: keyset seed=%d troubles=%s sets=%d bound=%d rotated=%d written_over=%d revoked=%d approved_again=%d"
                        + " placed_under_revoked=%d late=%d pins_changed=%d held=%d held_needlessly=%d longest_until_gone_s=%.1f longest_unanswered_s=%.1f"
                        + " changes_per_job=%.2f rules_broken=0%n",
                seed,
                String.join("+", told),
                SETS,
                r.bound,
                did[0],
                did[1],
                did[2],
                did[3],
                r.placedUnderRevoked,
                r.late,
                r.pinsChanged,
                held,
                needless,
                r.longestGoneMs / 1000.0,
                w.users.longestUnansweredMs / 1000.0,
                (double) w.counted.puts / w.allJobs().size());
        assertTrue(r.bound > 60, r.bound + " jobs were bound");
        assertEquals(0, r.placedUnderRevoked);
        assertEquals(0, r.late);
        assertEquals(0, r.pinsChanged);
        assertEquals(0, needless, "jobs that could run and did not: " + w.unfinished());
    }

    /** Writes something else in the set's place, again and again until the state service takes it; the set counts as stopped from then on. */
    private static void writeOver(World w, KeySetRules r, KeySet set, ObjectNode other) {
        if (w.write("ks/set/" + set.name(), other)) {
            r.stop(set.name(), set.versions().get(0).version());
        } else {
            w.later(WRITE_AGAIN_MS, () -> writeOver(w, r, set, other));
        }
    }
}
