package org.beechhoist.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Predicate;
import org.beechhoist.config.Policy;
import org.beechhoist.controller.context.Effect;
import org.beechhoist.keyset.KeySet;
import org.beechhoist.standin.StateService;
import org.beechhoist.wire.Codec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Jobs that are bound to key sets: docs/design/keysets.md. The rules are checked throughout, {@link KeySetRules} adds those of key sets. */
class KeySetTest {
    static final Policy ON = Policy.DEFAULT.withKeySets(true);
    private static final String ONE = "AB:CD:EF:01";
    private static final String TWO = "12:34:56:78";

    static World world(long seed, int nodes, int perKind) {
        Extent x = Extent.strict();
        x.leaseS = 26;
        return new World(seed, new WorldScale(nodes, perKind, 3000, 0, StateService.KEPT_CHANGES, ON).with(x));
    }

    static void sign(World w, String set, int tasks, double seconds) {
        w.submit("sign", false, tasks, 1, seconds, n -> n.put("owner", "blue")
                .put("urgency", "normal")
                .put("loaner", true)
                .put("keySet", set));
    }

    static void holds(KeySetRules r) {
        assertEquals(0, r.placedUnderRevoked, "tasks placed under a set that did not allow it any more");
        assertEquals(0, r.pinsChanged, "jobs whose binding changed");
        assertEquals(0, r.late, "tasks on machines later than a cancellation allows");
    }

    /** Between which steps of a job's life its set is revoked. */
    enum Moment {
        ACCEPTED(e -> e instanceof Effect.Respond a && a.status() == 201),
        PLANNED(e -> e instanceof Effect.Call c
                && c.path().equals("/commit")
                && c.body().toString().contains("\"log/")),
        ORDERED(e -> e instanceof Effect.Call c
                && c.path().equals("/orders")
                && c.body().toString().contains("launch"));

        private final Predicate<Effect> is;

        Moment(Predicate<Effect> is) {
            this.is = is;
        }
    }

    /** At each step, with the leader killed in it or standing still after it; the job stays known, and goes on once it may. */
    @ParameterizedTest
    @EnumSource(Moment.class)
    void revokedInTheMiddle(Moment moment) {
        for (int seed = 1; seed <= 6; seed++) {
            int way = seed % 3;
            World w = world(100 + 10 * moment.ordinal() + seed, 3, 8);
            KeySetRules r = new KeySetRules(w);
            w.later(500, () -> r.make("release", "blue", ONE));
            w.runUntil(4000);
            assertNotNull(r.set("release"), "the set is there");
            w.submit("slow", false, 40, 1, 20, n -> n.put("owner", "blue").put("loaner", true));
            w.runUntil(30_000);
            boolean[] done = new boolean[1];
            w.performed = (age, e) -> {
                if (!done[0] && moment.is.test(e)) {
                    done[0] = true;
                    w.later(w.random.nextInt(6), () -> r.revoke("release", 1, () -> {}));
                    if (way == 1) {
                        w.later(w.random.nextInt(8), () -> w.crash(w.leader(), 300));
                    } else if (way == 2) {
                        w.later(w.random.nextInt(8), () -> w.freeze(w.leader(), 15_000));
                    }
                }
            };
            sign(w, "release", 8, 30);
            w.runUntil(110_000);
            assertTrue(done[0], moment + " came up");
            var state = w.status("job-000002");
            assertEquals("queued", state.path("status").asText(), moment + ", seed " + seed + ": " + state);
            assertEquals("release", state.path("held").path("set").asText(), "it says why: " + state);
            assertEquals("c", state.path("held").path("by").asText());
            holds(r);
            r.approve("release", 1, r.set("release").version(1).digest(), 0);
            w.runUntil(330_000);
            assertEquals(List.of(), w.unfinished(), moment + ", seed " + seed);
            holds(r);
        }
    }

    /** While the state service is out nobody is told that a set is revoked; a cut zone's tasks are gone in time all the same. */
    @ParameterizedTest
    @CsvSource({"outage", "zone", "deaf", "all", "copies", "isolated"})
    void revokedInTrouble(String trouble) {
        for (long seed = 1; seed <= 3; seed++) {
            World w = world(200 + seed, 5, 8);
            KeySetRules r = new KeySetRules(w);
            w.later(500, () -> r.make("release", "blue", ONE, TWO));
            w.runUntil(4000);
            for (int i = 0; i < 6; i++) {
                sign(w, "release", 10, 60);
            }
            w.runUntil(50_000);
            assertTrue(w.running().size() > 20, w.running().size() + " tasks");
            long[] answered = new long[1];
            switch (trouble) {
                case "outage" -> w.stateOutage(20_000);
                case "zone" -> w.cutZone("a", 60_000);
                case "deaf" -> w.deafen(z -> true, 0.3, 60_000);
                case "all" -> w.later(30, () -> w.crashAll(i -> 4000 + 500L * i));
                case "copies" -> w.copies.each = 2;
                default -> w.isolate(w.leader(), false, 40_000);
            }
            w.later(20, () -> r.revoke("release", 1, () -> answered[0] = w.now));
            w.runUntil(140_000);
            w.copies.each = 0;
            assertTrue(answered[0] > 0, "the revocation was answered");
            assertTrue(!trouble.equals("outage") || answered[0] >= 70_000, "it was answered in an outage");
            assertEquals(0, w.running().size(), trouble + ", seed " + seed);
            holds(r);
            int before = w.allJobs().stream().mapToInt(j -> j.done.size()).sum();
            r.approve("release", 1, r.set("release").version(1).digest(), 0);
            w.runUntil(600_000);
            assertEquals(List.of(), w.unfinished(), trouble + ", seed " + seed);
            assertTrue(before >= 0);
            holds(r);
        }
    }

    /** What is done stays done; the rest waits, holds no machine and keeps nobody from anything, and goes on where it was. */
    @Test
    void halfDoneStaysDone() {
        World w = world(31, 3, 30);
        KeySetRules r = new KeySetRules(w);
        w.later(500, () -> r.make("release", "blue", ONE));
        w.runUntil(4000);
        w.submit("exact", false, 3000, 0.5, 8, n -> n.put("owner", "blue")
                .put("loaner", true)
                .put("keySet", "release"));
        w.runUntil(32_000);
        int before = w.allJobs().get(0).done.size();
        assertTrue(before > 300 && before < 2900, before + " done");
        int stopped = w.running().size();
        r.revoke("release", 1, () -> {});
        w.runUntil(60_000);
        int held = w.allJobs().get(0).done.size();
        w.runUntil(150_000);
        assertEquals(held, w.allJobs().get(0).done.size());
        assertEquals(0, w.machinesInUse());
        assertTrue(w.machinesUp() <= 2, w.machinesUp() + " machines are kept for what is held");
        assertEquals(held, w.status("job-000001").path("done").asInt());
        w.submit("slow", false, 4, 1, 5, n -> n.put("owner", "blue").put("loaner", true));
        w.runUntil(200_000);
        assertEquals("done", w.job(2).told, "others go on");
        r.approve("release", 1, r.set("release").version(1).digest(), 0);
        w.runUntil(600_000);
        assertEquals(List.of(), w.unfinished());
        assertTrue(w.started <= 3000 + 4 + stopped + 100, w.started + " tasks started, " + stopped + " were stopped");
        holds(r);
    }

    /** Approved and revoked many times a second: each answer is the state service's, and nothing starts in between that may not. */
    @Test
    void approvedAndRevokedManyTimesASecond() {
        World w = world(32, 5, 8);
        KeySetRules r = new KeySetRules(w);
        w.later(500, () -> r.make("release", "blue", ONE));
        w.runUntil(4000);
        w.every(2000, () -> {
            if (w.now < 80_000) {
                w.submit("sign", false, 3, 1, 5, n -> n.put("owner", "blue").put("loaner", true));
            }
        });
        w.submit("sign", false, 30, 1, 8, n -> n.put("owner", "blue")
                .put("loaner", true)
                .put("keySet", "release"));
        w.every(150, () -> {
            if (w.now > 20_000 && w.now < 80_000) {
                if (w.random.nextBoolean()) {
                    r.revoke("release", 1, () -> {});
                } else {
                    r.approve("release", 1, r.set("release").version(1).digest(), 0);
                }
            }
        });
        w.later(50_000, () -> w.crash(w.leader(), 200));
        w.runUntil(100_000);
        r.approve("release", 1, r.set("release").version(1).digest(), 0);
        w.runUntil(400_000);
        assertEquals(List.of(), w.unfinished());
        assertEquals(0, r.placedUnderRevoked);
        assertEquals(0, r.pinsChanged);
    }

    /** What is counted above is seen: without the guard, by what a leader remembers alone, something starts that may not. */
    @Test
    void aCheckByMemoryAloneIsSeen() {
        int seen = 0;
        for (long seed = 1; seed <= 4; seed++) {
            World w = world(320 + seed, 3, 8);
            w.ignoresKeySets = true;
            KeySetRules r = new KeySetRules(w);
            w.later(500, () -> r.make("release", "blue", ONE));
            w.runUntil(4000);
            w.submit("sign", false, 400, 0.5, 2, n -> n.put("owner", "blue")
                    .put("loaner", true)
                    .put("keySet", "release"));
            w.every(90, () -> {
                if (w.now > 18_000 && w.now < 80_000) {
                    if (w.random.nextBoolean()) {
                        r.revoke("release", 1, () -> {});
                    } else {
                        r.approve("release", 1, r.set("release").version(1).digest(), 0);
                    }
                }
            });
            w.runUntil(90_000);
            seen += r.placedUnderRevoked;
        }
        assertTrue(seen > 0, "nothing was seen of it");
    }

    /** A new version at night touches no job's record: what is bound to the old one drains, then waits. */
    @Test
    void aRotationTouchesNoJob() {
        World w = world(33, 5, 10);
        KeySetRules r = new KeySetRules(w);
        w.later(500, () -> r.make("release", "blue", ONE));
        w.runUntil(4000);
        for (int i = 0; i < 150; i++) {
            w.later(
                    i * 100L,
                    () -> w.submit("sign", false, 10, 4, 300, n -> n.put("owner", "blue")
                            .put("loaner", true)
                            .put("keySet", "release")));
        }
        w.runUntil(60_000);
        assertEquals(150, r.bound);
        int[] records = new int[1];
        var rules = w.committed;
        w.committed = (node, body) -> {
            rules.accept(node, body);
            body.path("then")
                    .forEach(op -> records[0] += op.path("put").asText().matches("jo/[^/]+") ? 1 : 0);
        };
        w.request(
                "POST",
                "/v1/keysets/release/propose",
                Codec.map()
                        .put("owner", "blue")
                        .put("who", "a")
                        .put("why", "yearly")
                        .set("fingerprints", Codec.list().add(TWO)),
                a -> r.approve(
                        "release",
                        2,
                        a.body().path("versions").get(1).path("digest").asText(),
                        20));
        w.runUntil(75_000);
        int running = w.running().size();
        assertTrue(running > 50, running + " tasks run on while it drains");
        w.runUntil(140_000);
        assertEquals(0, w.running().size(), "the time to drain is over");
        // A job is written when it is a minute old and writes are to spare, whatever its set does; no more than two a
        // second.
        assertTrue(records[0] <= 160, records[0] + " records written");
        assertTrue(w.status("job-000003").path("held").path("why").asText().contains("drain"));
        sign(w, "release", 2, 5);
        w.runUntil(170_000);
        assertEquals(2, r.pin("job-000151").version());
        assertEquals("done", w.job(151).told);
        holds(r);
    }

    /** Somebody writes over a record, or brings an older one back: mismatch, on all nodes, until a person approves what stands there. */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void aRecordThatIsWrittenOverIsRefused(boolean older) {
        World w = world(34, 3, 8);
        KeySetRules r = new KeySetRules(w);
        w.later(500, () -> r.make("release", "blue", ONE));
        w.runUntil(4000);
        var first = w.read("ks/set/release");
        if (older) {
            w.request(
                    "POST",
                    "/v1/keysets/release/propose",
                    Codec.map()
                            .put("owner", "blue")
                            .put("who", "a")
                            .put("why", "next")
                            .set("fingerprints", Codec.list().add(TWO)),
                    a -> {});
            w.runUntil(6000);
        }
        sign(w, "release", 12, 60);
        w.runUntil(40_000);
        assertTrue(w.running().size() > 0);
        ObjectNode other = first.deepCopy();
        if (!older) {
            ((ObjectNode) other.path("versions").get(0))
                    .putArray("fingerprints")
                    .add("99:99:99:99:99");
        }
        w.write("ks/set/release", other);
        r.stop("release", 1);
        w.later(1000, () -> w.crash(w.leader(), 300));
        w.runUntil(95_000);
        assertEquals(0, w.running().size());
        assertTrue(
                w.status("job-000001").path("held").path("why").asText().contains("mismatch"),
                w.status("job-000001").toString());
        int[] refused = new int[1];
        w.at(1, "POST", "/v1/jobs", body("job-700001", "release"), a -> refused[0] = a.status());
        w.runUntil(100_000);
        assertEquals(422, refused[0], "no job is bound to it any more");
        w.write("ks/set/release", first); // back as it was: it never heals by itself
        w.runUntil(160_000);
        assertEquals(0, w.running().size());
        r.approve("release", 1, first.path("versions").get(0).path("digest").asText(), 0);
        w.runUntil(400_000);
        assertEquals(List.of(), w.unfinished());
        assertEquals(0, r.pinsChanged);
    }

    private static byte[] body(String ref, String set) {
        ObjectNode n = org.beechhoist.wire.JobSpec.withDefaults(Codec.map()
                .put("ref", ref)
                .put("jobclass", "sign")
                .put("owner", "blue")
                .put("cores", 1.0)
                .put("memGb", 1.0)
                .put("bundle", "img-0"));
        if (set != null) {
            n.put("keySet", set);
        }
        return Codec.encode(n);
    }

    /** What may not be bound is refused with the reason; what was accepted before is known whatever became of its set. */
    @Test
    void submissionsAreBoundOrRefused() {
        World w = world(35, 3, 6);
        KeySetRules r = new KeySetRules(w);
        int[] status = new int[8];
        w.at(0, "POST", "/v1/jobs", body("job-700000", "release"), a -> status[0] = a.status());
        w.runUntil(1000);
        assertEquals(503, status[0], "the sets are not read yet");
        w.later(100, () -> r.make("release", "blue", ONE));
        w.later(100, () -> r.make("other", "red", TWO));
        w.request(
                "POST",
                "/v1/keysets/required",
                Codec.map().set("classes", Codec.list().add("sign")),
                a -> assertEquals(200, a.status()));
        w.runUntil(6000);
        w.at(0, "POST", "/v1/jobs", body("job-700001", "none"), a -> status[1] = a.status());
        w.at(1, "POST", "/v1/jobs", body("job-700002", "other"), a -> status[2] = a.status());
        sign(w, "release", 1, 100);
        w.submit("sign", false, 1, 1, 100, n -> n.put("owner", "blue").put("loaner", true));
        w.runUntil(10_000);
        assertEquals(422, status[1], "unknown");
        assertEquals(422, status[2], "not one's own");
        assertEquals("release", r.pin("job-000002").keySet(), "its class needs one, and its team has one");
        r.revoke("release", 1, () -> {});
        w.runUntil(12_000);
        w.at(2, "POST", "/v1/jobs", body("job-700003", "release"), a -> status[3] = a.status());
        w.at(2, "POST", "/v1/jobs", body("job-700004", null), a -> status[4] = a.status());
        w.at(0, "POST", "/v1/jobs", Codec.encode(w.job(1).spec.toNode()), a -> status[5] = a.status());
        w.runUntil(20_000);
        assertEquals(422, status[3], "revoked");
        assertEquals(422, status[4], "its class needs one, and there is none");
        assertEquals(200, status[5], "accepted once, it is known for ever");
        // Bad input changes nothing and says what is allowed.
        for (String bad : new String[] {
            "{\"owner\":\"nobody\",\"fingerprints\":[\"AB:CD:EF:01\"]}",
            "{\"owner\":\"blue\",\"fingerprints\":[]}",
            "{\"owner\":\"blue\",\"fingerprints\":[\"a b\"]}"
        }) {
            String[] told = new String[1];
            w.request(
                    "POST",
                    "/v1/keysets/new/propose",
                    json(bad).put("who", "a").put("why", "b"),
                    a -> told[0] = a.status() + " " + a.body().path("error").asText());
            w.runUntil(w.now + 2000);
            assertTrue(told[0].matches("4\\d\\d .*(expected).*"), told[0]);
        }
        assertEquals(null, r.set("new"));
        holds(r);
    }

    private static ObjectNode json(String text) {
        try {
            return (ObjectNode) new com.fasterxml.jackson.databind.ObjectMapper().readTree(text);
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Five hundred sets are read by pages, and a page is of another moment than the next; nobody takes that for a mismatch. */
    @Test
    void manySetsAreReadWhileTheyChange() {
        World w = world(36, 3, 6);
        KeySetRules r = new KeySetRules(w);
        for (int i = 0; i < 500; i++) {
            String name = "set-" + i;
            w.later(500 + i * 60L, () -> r.make(name, "blue", ONE));
        }
        w.later(33_000, () -> w.crashAll(i -> 200 + 50L * i));
        w.every(70, () -> {
            if (w.now > 32_000 && w.now < 50_000) {
                r.revoke("set-" + w.random.nextInt(450), 1, () -> {});
            }
        });
        w.runUntil(70_000);
        assertEquals(List.of(), w.keys("ks/bad/"));
        sign(w, "set-499", 2, 5);
        w.runUntil(120_000);
        assertEquals(List.of(), w.unfinished());
        holds(r);
    }

    /** The digest is over the content alone, in whatever order it is given; and no change that people may not make is made. */
    @Test
    void whatAKeySetAllows() throws Exception {
        KeySet.Change by = new KeySet.Change("a", 1000, "b");
        KeySet s = KeySet.propose(null, "release", "blue", List.of(), List.of(ONE, TWO), by);
        KeySet t = KeySet.propose(null, "release", "blue", List.of(), List.of(TWO, ONE), by);
        assertEquals(s.version(1).digest(), t.version(1).digest());
        assertTrue(!s.version(1)
                .digest()
                .equals(KeySet.propose(null, "release", "blue", List.of(), List.of(ONE), by)
                        .version(1)
                        .digest()));
        KeySet approved = s.approve(1, s.version(1).digest(), 0, by);
        KeySet next = KeySet.propose(approved, "release", "blue", List.of(), List.of(TWO), by);
        KeySet rotated = next.approve(2, next.version(2).digest(), 5000, by);
        assertEquals(KeySet.State.SUPERSEDED, rotated.version(1).state());
        assertEquals(5000, rotated.version(1).drainDeadlineMs());
        assertEquals(KeySet.parse(Codec.decodeMap(Codec.encode(rotated.toNode()))), rotated);
        for (org.junit.jupiter.api.function.Executable bad : List.<org.junit.jupiter.api.function.Executable>of(
                () -> s.approve(1, "0", 0, by),
                () -> s.approve(7, s.version(1).digest(), 0, by),
                () -> rotated.approve(1, s.version(1).digest(), 0, by),
                () -> KeySet.propose(s, "release", "red", List.of(), List.of(ONE), by),
                () -> KeySet.propose(null, "A b", "blue", List.of(), List.of(ONE), by),
                () -> KeySet.propose(null, "release", "blue", List.of(), List.of(ONE, ONE), by))) {
            org.junit.jupiter.api.Assertions.assertThrows(org.beechhoist.wire.MalformedMessageException.class, bad);
        }
    }
}
