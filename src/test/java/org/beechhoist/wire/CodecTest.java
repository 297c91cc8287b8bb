package org.beechhoist.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.beechhoist.peer.CancelledJob;
import org.beechhoist.peer.JobCount;
import org.beechhoist.peer.PeerCodec;
import org.beechhoist.peer.PeerState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class CodecTest {
    private static ObjectNode job() {
        return Codec.map()
                .put("ref", "job-000412")
                .put("jobclass", "train")
                .put("owner", "vision")
                .put("shape", "array")
                .put("urgency", "urgent")
                .put("pieces", 16)
                .put("cores", 8.0)
                .put("accelerators", 1.0)
                .put("memGb", 64.0)
                .put("bundle", "img-07")
                .put("pullGb", 6.2)
                .putNull("yard")
                .put("samePlace", true)
                .put("apart", false)
                .put("loaner", true)
                .put("guessS", 240.0)
                .put("snapshotEveryS", 30.0)
                .put("snapshotCostS", 4.0)
                .put("dueS", 900.0);
    }

    private static void refused(String field, Consumer<ObjectNode> change) {
        ObjectNode n = job();
        change.accept(n);
        MalformedMessageException e =
                assertThrows(MalformedMessageException.class, () -> JobSpec.parse(Codec.decodeMap(Codec.encode(n))));
        assertTrue(e.getMessage().startsWith(field), e.getMessage());
    }

    @Test
    void aJobSurvivesTheWire() throws MalformedMessageException {
        JobSpec s = JobSpec.parse(Codec.decodeMap(Codec.encode(job())));
        assertEquals(s, JobSpec.parse(Codec.decodeMap(Codec.encode(s.toNode()))));
        assertEquals(16, s.tasks());
    }

    @Test
    void whatIsWrongWithAJobIsNamed() {
        for (String field : List.of(
                "ref",
                "jobclass",
                "owner",
                "shape",
                "urgency",
                "pieces",
                "cores",
                "accelerators",
                "memGb",
                "bundle",
                "pullGb",
                "samePlace",
                "apart",
                "loaner",
                "guessS",
                "snapshotEveryS",
                "snapshotCostS")) {
            refused(field, n -> n.remove(field));
            refused(field, n -> n.putArray(field));
        }
        refused("pieces", n -> n.put("pieces", 0));
        refused("pieces", n -> n.put("pieces", 100_001));
        refused("pieces", n -> n.put("pieces", 1.5));
        refused("cores", n -> n.put("cores", Double.NaN));
        refused("cores", n -> n.put("cores", Double.POSITIVE_INFINITY));
        refused("cores", n -> n.put("cores", -1.0));
        refused("dueS", n -> n.put("dueS", "soon"));
        refused("shape", n -> n.put("shape", "ring"));
        refused("urgency", n -> n.put("urgency", "now"));
        refused("hosttypes", n -> n.putArray("hosttypes").add(3));
        refused("ref", n -> n.put("ref", "job-"));
        refused("ref", n -> n.put("ref", "job-1/2"));
    }

    @Test
    void damagedBodiesAreMalformedOrReadNeverFatal() {
        byte[] good = Codec.encode(job());
        int refused = 0;
        for (long seed = 0; seed < 5000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            byte[] b = java.util.Arrays.copyOf(good, seed % 3 == 0 ? random.nextInt(good.length) : good.length);
            for (int i = 0; i < 2 && b.length > 0; i++) {
                b[random.nextInt(b.length)] = (byte) random.nextInt(256);
            }
            try {
                JobSpec.parse(Codec.decodeMap(b));
            } catch (MalformedMessageException e) {
                refused++;
            }
        }
        assertTrue(refused > 2000, "only " + refused + " refused");
    }

    /** Guards against text that is no Unicode entering a node: no answer or transaction that repeats it can be encoded. */
    @ParameterizedTest
    @CsvSource({"EDA182", "EDB082", "EDA182EDA182", "F7BFBFBF", "F0808080"})
    void textThatIsNotUnicodeIsMalformed(String bytes) {
        byte[] text = HexFormat.of().parseHex(bytes);
        byte[] quoted = concat(new byte[] {(byte) (0x60 | text.length)}, text);
        byte[] letter = {0x61, 'a'};
        byte[] map = {(byte) 0xA1};
        for (byte[] body : List.of(
                concat(map, letter, quoted),
                concat(map, quoted, letter),
                concat(map, letter, new byte[] {(byte) 0x82}, letter, quoted),
                concat(map, letter, map, quoted, letter))) {
            MalformedMessageException e =
                    assertThrows(MalformedMessageException.class, () -> Codec.decodeMap(body), () -> bytes);
            assertEquals("body has text that is not Unicode", e.getMessage());
        }
    }

    /** Guards against names outside the basic plane being refused with those that are cut in a character. */
    @Test
    void textOutsideTheBasicPlaneIsRead() throws MalformedMessageException {
        ObjectNode job = job().put("jobclass", "keysign-\uD842\uDFB7");
        assertEquals(
                "keysign-\uD842\uDFB7",
                JobSpec.parse(Codec.decodeMap(Codec.encode(job))).jobClass());
    }

    private static byte[] concat(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }

    /** Guards against a damaged body that is read, but that nothing can repeat: what is read is encoded again. */
    @Test
    void whateverIsReadCanBeSentOn() {
        byte[] good = Codec.encode(job().put("jobclass", "\u9E97\uD842\uDFB7"));
        int read = 0;
        for (long seed = 0; seed < 20_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            byte[] body = good.clone();
            body[random.nextInt(body.length)] = (byte) random.nextInt(256);
            try {
                Codec.encode(Codec.decodeMap(body));
                read++;
            } catch (MalformedMessageException e) {
                assertTrue(e.getMessage().length() < 60);
            }
        }
        assertTrue(read > 2000, "only " + read + " read");
    }

    /** Guards against the protocol's integers being cut to 10^12, or to 63 bits, where they are read or written. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "0",
                "1000000000001",
                "9007199254740993",
                "9223372036854775807",
                "9223372036854775808",
                "18446744073709551615"
            })
    void integersBelowTwoToThe64AreWrittenAndReadInFull(String number) throws MalformedMessageException {
        long bits = Long.parseUnsignedLong(number);
        byte[] body = Codec.encode(Codec.putUnsigned(Codec.map(), "n", bits).put("after", true));
        assertTrue(body.length <= "n".length() + "after".length() + 14, "an integer, no big number");
        assertEquals(bits, Codec.unsignedNumber(Codec.decodeMap(body), "n"));
        assertTrue(Codec.bool(Codec.decodeMap(body), "after"));
        assertEquals(number, new Revision(bits).text());
        assertTrue(bits == 0 || new FencingToken(bits).compareTo(FencingToken.NONE) > 0);
    }

    @Test
    void otherNumbersAreNoIntegersOfTheProtocol() throws MalformedMessageException {
        ObjectNode node = Codec.map()
                .put("large", new java.math.BigInteger("18446744073709551616"))
                .put("negative", -1)
                .put("fraction", 0.5)
                .put("float", 1e20)
                .put("text", "7")
                .put("decimal", 3.0);
        for (String field : List.of("large", "negative", "fraction", "float", "text", "absent")) {
            MalformedMessageException e =
                    assertThrows(MalformedMessageException.class, () -> Codec.unsignedNumber(node, field));
            assertTrue(e.getMessage().startsWith(field + ": "), e.getMessage());
        }
        assertEquals(3, Codec.unsignedNumber(node, "decimal"));
    }

    @Test
    void peersUnderstandOneAnotherAndRefuseRubbish() throws MalformedMessageException {
        PeerCodec codec = new PeerCodec();
        PeerState s = new PeerState(
                "node-1",
                true,
                new FencingToken(412),
                17,
                true,
                200,
                4.5,
                60,
                List.of(new JobCount(new JobId("job-000001"), 3, 13), new JobCount(new JobId("job-2"), 0, 0)),
                List.of(new CancelledJob(new JobId("job-000003"), 1_800_000_000_123L)),
                List.of(new JobId("job-000004")));
        byte[] good = codec.encode(s);
        assertEquals(s, codec.decode(good));
        for (long seed = 0; seed < 2000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            byte[] b = java.util.Arrays.copyOf(good, random.nextInt(good.length));
            if (b.length > 0) {
                b[random.nextInt(b.length)] = (byte) random.nextInt(256);
            }
            try {
                codec.decode(b);
            } catch (MalformedMessageException e) {
                assertTrue(e.getMessage().length() < 40);
            }
        }
    }

    private static PeerState peerState(double writeDemand, int heartbeats, JobId job) {
        return new PeerState(
                "n",
                true,
                new FencingToken(1),
                1,
                true,
                heartbeats,
                writeDemand,
                1,
                List.of(new JobCount(job, 1, 2)),
                List.of(),
                List.of());
    }

    /** Guards against limits of requests that become no numbers, and keys with spaces, because a peer's message has such values. */
    @Test
    void valuesThatNoPeerSendsAreMalformed() throws MalformedMessageException {
        PeerCodec codec = new PeerCodec();
        JobId job = new JobId("job-1");
        assertEquals(peerState(0, 0, job), codec.decode(codec.encode(peerState(0, 0, job))));
        for (PeerState state : List.of(
                peerState(Double.NaN, 1, job),
                peerState(Double.POSITIVE_INFINITY, 1, job),
                peerState(-1, 1, job),
                peerState(1, -1, job),
                peerState(1, 1, new JobId("job-1 HTTP/1.1\r\n")))) {
            assertThrows(
                    MalformedMessageException.class, () -> codec.decode(codec.encode(state)), () -> state.toString());
        }
    }

    /** Guards against a message of a few bytes that uses up a node's heap because it announces a long list or text. */
    @ParameterizedTest
    @ValueSource(longs = {100_000, 50_000_000, 2_147_483_639})
    void announcedLengthsAreBounded(long announced) {
        PeerCodec codec = new PeerCodec();
        byte[] good = codec.encode(
                new PeerState("n", true, new FencingToken(1), 1, true, 1, 1, 1, List.of(), List.of(), List.of()));
        byte[] beforeLists = Arrays.copyOf(good, good.length - 3);
        byte[] afterName = Arrays.copyOfRange(good, 9, good.length);
        MalformedMessageException list = assertThrows(
                MalformedMessageException.class, () -> codec.decode(concat(beforeLists, avroLength(announced))));
        MalformedMessageException name = assertThrows(
                MalformedMessageException.class,
                () -> codec.decode(concat(Arrays.copyOf(good, 8), avroLength(announced), afterName)));
        assertEquals(list.getMessage(), name.getMessage());
    }

    private static byte[] avroLength(long length) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        long rest = length << 1;
        while (rest > 0x7F) {
            out.write((int) (rest & 0x7F | 0x80));
            rest >>>= 7;
        }
        out.write((int) rest);
        return out.toByteArray();
    }
}
