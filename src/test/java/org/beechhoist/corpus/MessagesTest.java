package org.beechhoist.corpus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HexFormat;
import org.beechhoist.peer.PeerCodec;
import org.beechhoist.peer.PeerState;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.ResizeRequest;
import org.junit.jupiter.api.Test;

/** Messages of users, workers and peers mean what they meant to an earlier version: see corpus/README.md. */
class MessagesTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** What each message between controllers begins with: the Avro schema's CRC-64-AVRO fingerprint, lowest byte first. */
    private static final int FINGERPRINT_BYTES = 8;

    @Test
    void requestsAreReadToTheSameValues() throws IOException, MalformedMessageException {
        for (String[] row : Corpus.rows("messages.tsv", 3)) {
            JsonNode body = JSON.readTree(row[1]);
            assertEquals(row[2], Corpus.values(read(row[0], body)), row[1]);
        }
    }

    private static Record read(String request, JsonNode body) throws MalformedMessageException {
        return switch (request) {
            case "POST /checkin" -> Heartbeat.parse(body);
            case "POST /v1/jobs" -> JobSpec.parse(body);
            case "POST /v1/jobs/*/width" -> ResizeRequest.parse(body);
            default -> throw new IllegalStateException("no reader for " + request);
        };
    }

    @Test
    void aJobDescriptionIsWrittenAsItWasRead() throws IOException, MalformedMessageException {
        for (String[] row : Corpus.rows("records.tsv", 3)) {
            JsonNode description = JSON.readTree(row[2]).path("spec");
            if (description.isObject()) {
                assertArrayEquals(
                        Codec.encode(description),
                        Codec.encode(JobSpec.parse(description).toNode()),
                        row[1]);
            }
        }
    }

    @Test
    void peersReadAndWriteTheSameBytes() throws IOException, MalformedMessageException {
        PeerCodec codec = new PeerCodec();
        HexFormat hex = HexFormat.of();
        String fingerprint = Corpus.rows("peer.tsv", 2).get(0)[0].substring(0, 2 * FINGERPRINT_BYTES);
        for (String[] row : Corpus.rows("peer.tsv", 2)) {
            PeerState state = codec.decode(hex.parseHex(row[0]));
            assertEquals(row[1], Corpus.values(state));
            assertEquals(row[0], hex.formatHex(codec.encode(state)));
            assertEquals(fingerprint, row[0].substring(0, 2 * FINGERPRINT_BYTES));
        }
    }
}
