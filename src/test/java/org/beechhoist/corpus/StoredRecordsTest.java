package org.beechhoist.corpus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.beechhoist.cron.Calendar;
import org.beechhoist.cron.Schedule;
import org.beechhoist.drain.Account;
import org.beechhoist.drain.DisruptionBudget;
import org.beechhoist.drain.Drain;
import org.beechhoist.drain.Progress;
import org.beechhoist.floor.LargestJobGroups;
import org.beechhoist.floor.ServiceShareWindow;
import org.beechhoist.keyset.KeySet;
import org.beechhoist.release.Release;
import org.beechhoist.store.ChangeLogSegment;
import org.beechhoist.store.FleetSnapshot;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.LeaderRecord;
import org.beechhoist.store.ServiceShareRecord;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MalformedMessageException;
import org.junit.jupiter.api.Test;

/** Records written by an earlier version are read, and written again, byte for byte: see corpus/README.md. */
class StoredRecordsTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int TASKS_OF_ANY_JOB = JobSpec.MAX_TASKS;
    /** A job's record to which a node that does not lead has added a field at the end: the leader writes it in its own order. */
    private static final String AMENDED = "jo/amended";
    /** Kinds of records whose reader is private to the controller, or that are read field by field. */
    private static final Set<String> ONLY_KEPT = Set.of(
            "cursor/", "je/", "ks/bad", "ks/num", "mv-recent", "mv/", "once/", "rl/moved", "rl/tally", "sched/tab/");

    @Test
    void everyRecordIsWrittenAsItWasRead() throws IOException, MalformedMessageException {
        int rewritten = 0;
        for (String[] row : Corpus.rows("records.tsv", 3)) {
            JsonNode stored = JSON.readTree(row[2]);
            if (!ONLY_KEPT.contains(row[0]) && !JobRecord.isFinalState(stored)) {
                JsonNode written = rewritten(row[0], row[1], stored);
                assertEquals(stored, JSON.readTree(written.toString()), row[1]);
                if (!row[0].equals(AMENDED)) {
                    assertArrayEquals(Codec.encode(stored), Codec.encode(written), row[1]);
                }
                rewritten++;
            }
        }
        assertTrue(rewritten >= 40, rewritten + " records");
    }

    @Test
    void olderFormsBecomeTheNewest() throws IOException, MalformedMessageException {
        List<String[]> rows = Corpus.rows("older.tsv", 3);
        assertEquals(3, rows.size());
        for (String[] row : rows) {
            JsonNode written = JobRecord.parse(JSON.readTree(row[1])).toNode();
            assertArrayEquals(Codec.encode(JSON.readTree(row[2])), Codec.encode(written), row[1]);
        }
    }

    private static JsonNode rewritten(String kind, String key, JsonNode stored) throws MalformedMessageException {
        return switch (kind) {
            case "jo/", AMENDED -> job(stored);
            case "jo/*/" -> chunk(key, stored);
            case "lead" -> LeaderRecord.parse(stored).toNode();
            case "log/" -> segment(stored);
            case "fleet/" -> FleetSnapshot.parse(stored).toNode();
            case "served" -> serviceShares(stored);
            case "ks/set" -> KeySet.parse(stored).toNode();
            case "rl/set" -> Release.parse(stored).toNode();
            case "dr/put" ->
                key.startsWith("dr/put/b/")
                        ? DisruptionBudget.parse(stored).toNode()
                        : Drain.parse(stored).toNode();
            case "dr/run" -> Progress.parse(stored).toNode();
            case "dr/acct" -> Account.parse(stored).toNode();
            case "sched/cal/" ->
                Calendar.parse(stored, key.substring("sched/cal/".length())).toNode();
            case "sched/def/" -> entries(stored);
            default -> throw new IllegalStateException("no reader for " + kind);
        };
    }

    /** The count of live tasks is compared only where they stand in the record itself, not in chunks of their own. */
    private static JsonNode job(JsonNode stored) throws MalformedMessageException {
        ObjectNode written = JobRecord.parse(stored).toNode();
        return stored.has("live") ? written : written.set("running", stored.get("running"));
    }

    private static JsonNode chunk(String key, JsonNode stored) throws MalformedMessageException {
        JsonNode description = JobSpec.withDefaults(Codec.map()
                .put("ref", key.split("/")[1])
                .put("owner", "blue")
                .put("bundle", "image")
                .put("cores", 1.0)
                .put("memGb", 1.0)
                .put("pieces", TASKS_OF_ANY_JOB));
        JobRecord record = new JobRecord(JobSpec.parse(description), 0);
        record.addLiveTasks(stored);
        assertEquals(Set.of(key), record.chunks().keySet());
        return record.chunks().get(key);
    }

    private static JsonNode segment(JsonNode stored) throws MalformedMessageException {
        Set<JobId> unreadable = new HashSet<>();
        ChangeLogSegment segment = ChangeLogSegment.parse(stored, job -> TASKS_OF_ANY_JOB, unreadable);
        assertEquals(Set.of(), unreadable);
        return segment.toNode();
    }

    private static JsonNode serviceShares(JsonNode stored) throws MalformedMessageException {
        ServiceShareWindow ledger = new ServiceShareWindow();
        LargestJobGroups largest = new LargestJobGroups();
        long writtenAt = ServiceShareRecord.read(stored, ledger, largest);
        return ServiceShareRecord.toNode(ledger, largest, writtenAt, Integer.MAX_VALUE);
    }

    private static JsonNode entries(JsonNode stored) throws MalformedMessageException {
        var out = Codec.list();
        for (JsonNode entry : stored) {
            out.add(Schedule.parse("table", entry).toNode());
        }
        return out;
    }
}
