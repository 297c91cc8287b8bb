package org.beechhoist.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.TaskId;
import org.beechhoist.wire.Width;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class JobRecordTest {
    private static JobSpec spec(int tasks, Width width) {
        ObjectNode n = Codec.map()
                .put("ref", "job-000001")
                .put("jobclass", "c")
                .put("owner", "red")
                .put("shape", "array")
                .put("urgency", "normal")
                .put("pieces", tasks)
                .put("cores", 1.0)
                .put("accelerators", 0)
                .put("memGb", 1.0)
                .put("bundle", "img")
                .put("pullGb", 0)
                .put("samePlace", false)
                .put("apart", false)
                .put("loaner", true)
                .put("guessS", 10)
                .put("snapshotEveryS", 0)
                .put("snapshotCostS", 0);
        if (width != null) {
            n.set("width", width.toNode());
        }
        try {
            return JobSpec.parse(n);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private static JobRecord again(JobRecord r) throws MalformedMessageException {
        JobRecord read = JobRecord.parse(Codec.decodeMap(Codec.encode(r.toNode())));
        for (var c : r.chunks().values()) {
            read.addLiveTasks(c);
        }
        return read;
    }

    @Test
    void finishedTasksComeBackHoweverTheyEnded() throws MalformedMessageException {
        for (long seed = 0; seed < 60; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int tasks = 2 + random.nextInt(4000);
            JobRecord r = new JobRecord(spec(tasks, null), 5);
            TreeSet<Integer> done = new TreeSet<>();
            int n = random.nextInt(tasks);
            for (int i = 0; i < n; i++) {
                int x = random.nextBoolean() ? random.nextInt(tasks) : i;
                assertEquals(done.add(x), r.done.add(x), "seed " + seed);
            }
            JobRecord read = again(r);
            int missing = 0;
            for (int i = 0; i < tasks; i++) {
                assertEquals(done.contains(i), read.done.contains(i), "seed " + seed + ", task " + i);
                while (missing < tasks && (missing < i || done.contains(missing))) {
                    missing++;
                }
                assertEquals(missing, read.done.nextAbsent(i), "seed " + seed);
            }
            assertEquals(done.size(), read.done.size());
        }
    }

    /** What older nodes read too: a short list of runs, with no other field needed. */
    @Test
    void fewRunsAreWrittenAsOlderNodesReadThem() throws MalformedMessageException {
        JobRecord r = new JobRecord(spec(300, null), 5);
        for (int i = 0; i < 300; i++) {
            if (i != 7 && i < 290) {
                r.done.add(i);
            }
        }
        assertEquals("[0,6,8,289]", r.toNode().get("done").toString());
        ObjectNode older = r.toNode();
        older.remove("doneCount");
        assertEquals(289, JobRecord.parse(older).done.size());
    }

    /** The worst that may be, by the limits: every other task of a window done, the rest live, in the middle of a hundred thousand. */
    @ParameterizedTest
    @CsvSource({"8, 16", "2, 8", "2, 16", "64, 100"})
    void theWorstRecordFitsTheStateService(int valueKb, int txnOps) throws MalformedMessageException {
        JobRecord r = new JobRecord(spec(JobSpec.MAX_TASKS, new Width(1, 5000, 1e6)), 1_800_000_000_000L);
        r.sizes = RecordSizes.of(1024 * valueKb, txnOps);
        r.nextAttempt = 3_000_000_000L;
        for (int i = 0; i < 50_123; i++) {
            r.done.add(i);
        }
        for (int i = 50_124; i < 50_124 + r.sizes.window(); i += 2) {
            r.done.add(i);
        }
        for (int i : r.waiting(10_000)) {
            Placement p = new Placement(new TaskId(r.spec.id(), i), 2_999_999_999L, new MachineId("m-000231"));
            p.placedS = 900_000;
            r.live.put(i, p);
        }
        assertTrue(r.live.size() >= r.sizes.window() / 2);
        int most = 1024 * valueKb;
        assertTrue(r.toNode().toString().length() < most, r.toNode().toString().length() + " characters");
        int all = r.toNode().toString().length();
        for (var c : r.chunks().values()) {
            assertTrue(c.toString().length() < most, c.toString().length() + " characters");
            all += c.toString().length();
        }
        assertTrue(r.chunks().size() + 2 <= txnOps, r.chunks().size() + " chunks");
        assertTrue(all < 60 * 1024, all + " characters in all");
        JobRecord read = JobRecord.parse(Codec.decodeMap(Codec.encode(r.toNode())));
        for (var c : r.chunks().values()) {
            read.addLiveTasks(c);
        }
        assertEquals(r.live.keySet(), read.live.keySet());
    }

    /** What the log says of a job, written in however many parts and read back, makes its record what it was. */
    @Test
    void theLogBringsARecordUpToDate() throws MalformedMessageException {
        for (long seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int tasks = 1 + random.nextInt(900);
            JobRecord r = new JobRecord(spec(tasks, null), 5);
            JobRecord follower = again(r);
            CommittedTasks stored = CommittedTasks.of(r);
            long number = 0;
            for (int step = 0; step < 12; step++) {
                int changes = random.nextInt(1 + tasks);
                for (int k = 0; k < changes; k++) {
                    int i = random.nextInt(tasks);
                    if (r.done.contains(i)) {
                        continue;
                    }
                    switch (random.nextInt(3)) {
                        case 0 ->
                            r.live.put(
                                    i,
                                    new Placement(
                                            new TaskId(r.spec.id(), i),
                                            r.nextAttempt++,
                                            new MachineId("m-" + random.nextInt(1_000_000))));
                        case 1 -> r.live.remove(i);
                        default -> {
                            r.live.remove(i);
                            r.done.add(i);
                        }
                    }
                }
                ChangeLogSegment.Writer writer = new ChangeLogSegment.Writer(1000 + random.nextInt(6000));
                TaskChanges delta = stored.changesTo(r);
                int said = writer.segmentCountWith(r.spec.id(), delta);
                writer.add(r.spec.id(), delta);
                assertEquals(said, writer.segmentCount(), "seed " + seed);
                for (var jobs : writer.segments()) {
                    ObjectNode node = new ChangeLogSegment(++number, jobs).toNode();
                    ChangeLogSegment read =
                            ChangeLogSegment.parse(Codec.decodeMap(Codec.encode(node)), ref -> tasks, new TreeSet<>());
                    read.jobs().values().forEach(d -> d.apply(follower));
                }
                stored.apply(delta);
                assertTrue(stored.changesTo(r).isEmpty(), "seed " + seed);
                assertEquals(attempts(r), attempts(follower), "seed " + seed);
                assertEquals(r.toNode().get("done"), follower.toNode().get("done"), "seed " + seed);
                assertEquals(r.nextAttempt, follower.nextAttempt, "seed " + seed);
            }
        }
    }

    private static String attempts(JobRecord r) {
        StringBuilder out = new StringBuilder();
        r.live.forEach((i, p) -> out.append(i)
                .append(' ')
                .append(p.attempt)
                .append(' ')
                .append(p.machine)
                .append('\n'));
        return out.toString();
    }

    /** Segments keep to a value's limit, whatever is put into them. */
    @Test
    void segmentsFitAValue() {
        for (long seed = 0; seed < 50; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int valueBytes = 1024 << random.nextInt(4);
            ChangeLogSegment.Writer writer =
                    new ChangeLogSegment.Writer(RecordSizes.of(valueBytes, 8).segmentBytes());
            for (int job = 0; job < 40; job++) {
                JobRecord r = new JobRecord(spec(1600, null), 5);
                CommittedTasks empty = CommittedTasks.of(r);
                int n = random.nextInt(1, 300);
                for (int i = 0; i < n; i++) {
                    if (random.nextBoolean()) {
                        r.live.put(
                                i,
                                new Placement(
                                        new TaskId(r.spec.id(), i),
                                        123_456_789L,
                                        new MachineId("m-00" + (100_000 + i))));
                    } else {
                        r.done.add(i);
                    }
                }
                writer.add(new JobId("job-" + (100_000 + job)), empty.changesTo(r));
            }
            for (var jobs : writer.segments()) {
                int length = new ChangeLogSegment(999_999_999L, jobs)
                        .toNode()
                        .toString()
                        .length();
                assertTrue(length < valueBytes, "seed " + seed + ": " + length + " of " + valueBytes);
            }
        }
    }

    @Test
    void aDamagedRecordIsRefusedNotMisread() {
        ObjectNode n = new JobRecord(spec(500, new Width(1, 4, null)), 5).toNode();
        for (String bad : new String[] {"????", "AAAA", "OjAAAAEAAAAAAA=="}) {
            assertThrows(
                    MalformedMessageException.class,
                    () -> JobRecord.parse(n.deepCopy().put("doneBits", bad)),
                    bad);
        }
        ObjectNode beyond = n.deepCopy();
        beyond.putArray("done").add(490).add(510);
        assertThrows(MalformedMessageException.class, () -> JobRecord.parse(beyond));
        ObjectNode width = n.deepCopy();
        width.withObject("/width").put("least", 9);
        assertThrows(MalformedMessageException.class, () -> JobRecord.parse(width));
    }

    @Test
    void onlyAnArrayCarriesAWidth() {
        for (String shape : new String[] {"gang", "standing"}) {
            ObjectNode n = spec(5, new Width(1, 2, null)).toNode().put("shape", shape);
            assertTrue(
                    assertThrows(MalformedMessageException.class, () -> JobSpec.parse(n))
                            .getMessage()
                            .startsWith("width: "),
                    shape);
        }
    }

    @Test
    void aTargetStaysWithinWhatIsAllowed() throws MalformedMessageException {
        JobRecord r = new JobRecord(spec(50, new Width(2, 9, 30.0)), 5);
        assertEquals(2, r.width.target());
        r.width = r.width.withTarget(40);
        assertEquals(9, again(r).width.target());
        assertEquals(2, r.width.withTarget(0).target());
    }
}
