package org.beechhoist.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class HttpParserTest {
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private static byte[] bytes(String s) {
        return s.replace("\n", "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    private static int status(String text) {
        HttpParser p = new HttpParser(true, MAX_BODY_BYTES);
        p.feed(ByteBuffer.wrap(bytes(text)));
        return assertThrows(HttpParser.UnparsableMessageException.class, p::next).status;
    }

    @ParameterizedTest
    @CsvSource({
        "'nonsense\n\n',400",
        "'GET /\n\n',400",
        "'get / HTTP/1.1\n\n',400",
        "'GET / HTTP/2.0\n\n',505",
        "'GET / HTTP/1.1\nno colon\n\n',400",
        "'GET / HTTP/1.1\nX : 1\n\n',400",
        "'POST / HTTP/1.1\nContent-Length: x\n\n',400",
        "'POST / HTTP/1.1\nContent-Length: -1\n\n',400",
        "'POST / HTTP/1.1\nContent-Length: 65537\n\n',413",
        "'POST / HTTP/1.1\nContent-Length: 99999999999\n\n',413",
        "'POST / HTTP/1.1\nContent-Length: 1\nContent-Length: 2\n\n',400",
        "'POST / HTTP/1.1\nTransfer-Encoding: chunked\n\n',501"
    })
    void malformedHeadGivesExpectedStatus(String text, int expected) {
        assertEquals(expected, status(text));
    }

    /** Guards against a line end within a path, which would end the request line of a request to the state service. */
    @ParameterizedTest
    @ValueSource(ints = {0, 9, 11, 0x0A, 0x0D, 0x7F, 0x85, 0xE9, 0xFF})
    void targetWithOtherThanVisibleAsciiGets400(int character) {
        HttpParser parser = new HttpParser(true, MAX_BODY_BYTES);
        String head = "GET /v1/calendars/a" + (char) character + "b HTTP/1.1\r\n\r\n";
        parser.feed(ByteBuffer.wrap(head.getBytes(StandardCharsets.ISO_8859_1)));
        HttpParser.UnparsableMessageException refused =
                assertThrows(HttpParser.UnparsableMessageException.class, parser::next);
        assertEquals(400, refused.status);
    }

    @Test
    void headWithoutEndIsRefusedWith431() {
        HttpParser p = new HttpParser(true, MAX_BODY_BYTES);
        p.feed(ByteBuffer.wrap(new byte[20_000]));
        assertEquals(431, assertThrows(HttpParser.UnparsableMessageException.class, p::next).status);
    }

    @Test
    void fragmentedInputYieldsSameMessages() throws HttpParser.UnparsableMessageException {
        for (long seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<byte[]> bodies = new ArrayList<>();
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 4; i++) {
                byte[] body = new byte[random.nextInt(300)];
                random.nextBytes(body);
                bodies.add(body);
                all.append("POST /p")
                        .append(i)
                        .append(" HTTP/1.1\r\nContent-Length: ")
                        .append(body.length)
                        .append("\r\n\r\n")
                        .append(new String(body, StandardCharsets.ISO_8859_1));
            }
            ByteBuffer in = ByteBuffer.wrap(all.toString().getBytes(StandardCharsets.ISO_8859_1));
            HttpParser p = new HttpParser(true, MAX_BODY_BYTES);
            int got = 0;
            while (in.hasRemaining()) {
                ByteBuffer fragment = in.slice();
                fragment.limit(Math.min(fragment.remaining(), 1 + random.nextInt(60)));
                in.position(in.position() + fragment.remaining());
                p.feed(fragment);
                for (HttpMessage m = p.next(); m != null; m = p.next()) {
                    assertEquals("/p" + got, m.target(), "seed " + seed);
                    assertArrayEquals(bodies.get(got++), m.body(), "seed " + seed);
                }
            }
            assertEquals(4, got, "seed " + seed);
        }
    }

    @Test
    void corruptedInputParsesOrFailsWithoutLooping() {
        int rejectedCount = 0;
        for (long seed = 0; seed < 2000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            byte[] input = bytes("POST /checkin HTTP/1.1\nContent-Length: 5\nHost: a\n\nhello");
            for (int i = 0; i < 3; i++) {
                input[random.nextInt(input.length)] = (byte) random.nextInt(256);
            }
            HttpParser p = new HttpParser(true, MAX_BODY_BYTES);
            p.feed(ByteBuffer.wrap(input));
            try {
                for (int i = 0; i < 10 && p.next() != null; i++) {
                    assertTrue(i < 9, "messages without input bytes, seed " + seed);
                }
            } catch (HttpParser.UnparsableMessageException e) {
                rejectedCount++;
                assertTrue(e.status >= 400 && e.status < 600, "seed " + seed);
            }
        }
        assertTrue(rejectedCount > 500, "too few corrupted inputs were rejected: " + rejectedCount);
    }
}
