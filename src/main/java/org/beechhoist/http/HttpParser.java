package org.beechhoist.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * An incremental HTTP/1.1 parser for one connection: it is fed the received bytes and returns complete messages. After an
 * exception the start of the next message is unknown, so the connection must be closed.
 */
public final class HttpParser {
    /** Thrown for bytes that are not a valid HTTP message, and for a message that is too large. */
    public static final class UnparsableMessageException extends Exception {
        /** The HTTP status code of the error response. */
        public final int status;

        UnparsableMessageException(int status, String message) {
            super(message, null, false, false);
            this.status = status;
        }
    }

    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final byte[] EMPTY = new byte[0];

    private final boolean parsesRequests;
    private final int maxBodyBytes;
    private byte[] buf = EMPTY;
    private int len;
    private int scannedBytes;
    private HttpMessage head;
    private int bodyOffset;
    private int bodyLen;

    /**
     * @param parsesRequests true to parse requests, false to parse responses
     * @param maxBodyBytes the longest body accepted, or 0 for no limit
     */
    public HttpParser(boolean parsesRequests, int maxBodyBytes) {
        this.parsesRequests = parsesRequests;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Adds received bytes. */
    public void feed(ByteBuffer bytes) {
        int available = bytes.remaining();
        if (len + available > buf.length) {
            buf = Arrays.copyOf(buf, Math.max(len + available, Math.min(2 * buf.length, len + available + 65536)));
        }
        bytes.get(buf, len, available);
        len += available;
    }

    /** Returns the next complete message, or null if more bytes are needed. */
    public HttpMessage next() throws UnparsableMessageException {
        if (head == null && !parseHead()) {
            return null;
        }
        if (len < bodyOffset + bodyLen) {
            return null;
        }
        HttpMessage message = new HttpMessage(
                head.method(),
                head.target(),
                head.status(),
                head.headers(),
                bodyLen == 0 ? EMPTY : Arrays.copyOfRange(buf, bodyOffset, bodyOffset + bodyLen));
        int used = bodyOffset + bodyLen;
        int left = len - used;
        buf = left == 0 ? EMPTY : Arrays.copyOfRange(buf, used, len);
        len = left;
        scannedBytes = 0;
        head = null;
        return message;
    }

    /** Returns true if bytes of an incomplete message are buffered. */
    public boolean hasPartialMessage() {
        return len > 0;
    }

    private boolean parseHead() throws UnparsableMessageException {
        int skip = 0;
        while (scannedBytes == 0 && skip + 1 < len && buf[skip] == '\r' && buf[skip + 1] == '\n') {
            skip += 2; // empty lines before a message are ignored
        }
        if (skip > 0) {
            buf = Arrays.copyOfRange(buf, skip, len);
            len = buf.length;
        }
        int end = -1;
        for (int i = Math.max(3, scannedBytes); i < len; i++) {
            if (buf[i] == '\n' && buf[i - 1] == '\r' && buf[i - 2] == '\n' && buf[i - 3] == '\r') {
                end = i + 1;
                break;
            }
        }
        if (end < 0) {
            scannedBytes = Math.max(0, len);
            if (len > MAX_HEAD_BYTES) {
                throw new UnparsableMessageException(431, "head too long");
            }
            return false;
        }
        if (end > MAX_HEAD_BYTES) {
            throw new UnparsableMessageException(431, "head too long");
        }
        String[] lines = new String(buf, 0, end - 4, StandardCharsets.ISO_8859_1).split("\r\n", -1);
        Map<String, String> headers = headers(lines);
        String[] first = lines[0].split(" ", 3);
        HttpMessage parsed = parsesRequests ? requestLine(first, headers) : statusLine(first, headers);
        bodyLen = bodyLength(headers, parsed.status());
        bodyOffset = end;
        head = parsed;
        return true;
    }

    private static HttpMessage requestLine(String[] first, Map<String, String> headers)
            throws UnparsableMessageException {
        if (first.length != 3
                || first[0].isEmpty()
                || !first[0].chars().allMatch(c -> c >= 'A' && c <= 'Z')
                || !isTarget(first[1])) {
            throw new UnparsableMessageException(400, "malformed request line");
        }
        if (!first[2].equals("HTTP/1.1") && !first[2].equals("HTTP/1.0")) {
            throw new UnparsableMessageException(first[2].startsWith("HTTP/") ? 505 : 400, "HTTP/1.1 expected");
        }
        if (first[2].equals("HTTP/1.0")) {
            headers.putIfAbsent("connection", "close");
        }
        return new HttpMessage(first[0], first[1], 0, headers, EMPTY);
    }

    /** Whether it has visible ASCII characters only (RFC 9112, 3.2): parts of it go into requests to the state service. */
    private static boolean isTarget(String text) {
        return !text.isEmpty() && text.chars().allMatch(c -> c > ' ' && c <= '~');
    }

    private static HttpMessage statusLine(String[] first, Map<String, String> headers)
            throws UnparsableMessageException {
        if (first.length < 2 || !first[0].startsWith("HTTP/1.") || !first[1].matches("[1-5][0-9][0-9]")) {
            throw new UnparsableMessageException(502, "malformed status line");
        }
        return new HttpMessage(null, null, Integer.parseInt(first[1]), headers, EMPTY);
    }

    private static Map<String, String> headers(String[] lines) throws UnparsableMessageException {
        Map<String, String> headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon <= 0
                    || lines[i].charAt(colon - 1) == ' '
                    || lines[i].charAt(0) == ' '
                    || lines[i].charAt(0) == '\t') {
                throw new UnparsableMessageException(400, "malformed header");
            }
            String name = lines[i].substring(0, colon).toLowerCase(Locale.ROOT);
            String old = headers.put(name, lines[i].substring(colon + 1).trim());
            if (old != null && name.equals("content-length") && !old.equals(headers.get(name))) {
                throw new UnparsableMessageException(400, "two lengths");
            }
        }
        return headers;
    }

    private int bodyLength(Map<String, String> headers, int status) throws UnparsableMessageException {
        if (headers.containsKey("transfer-encoding")) {
            throw new UnparsableMessageException(501, "transfer codings are not served");
        }
        String text = headers.get("content-length");
        if (text == null || status == 204 || status == 304) {
            return 0;
        }
        if (text.isEmpty() || text.length() > 9 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new UnparsableMessageException(text.matches("[0-9]{10,}") ? 413 : 400, "malformed length");
        }
        int length = Integer.parseInt(text);
        if (maxBodyBytes > 0 && length > maxBodyBytes) {
            throw new UnparsableMessageException(413, "body too long");
        }
        return length;
    }
}
