package org.beechhoist.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import org.beechhoist.http.HttpMessage;
import org.beechhoist.http.HttpParser;
import org.beechhoist.wire.MonotonicTime;

/** An HTTP server on one address. Its handler answers each request exactly once, immediately or later. */
public final class HttpServer {
    /** Sends the response to one request. */
    public interface Responder {
        /** @param retryAfterS the value of the Retry-After header in seconds, or 0 to send none */
        void respond(int status, String contentType, byte[] body, int retryAfterS);
    }

    /** Handles requests. */
    public interface Handler {
        void handle(HttpMessage request, Responder responder);
    }

    /** A connection that has been idle for longer is closed. */
    private static final long MAX_IDLE_MS = 300_000;
    /** A connection used more recently is not closed to accept another one. */
    private static final long MIN_IDLE_BEFORE_CLOSE_MS = 10_000;

    /** Pause in accepting connections while the connection limit is reached. */
    private static final long ACCEPT_PAUSE_MS = 50;
    /** Pause in accepting connections after accepting failed. */
    private static final long ACCEPT_FAILURE_PAUSE_MS = 100;

    private static final int MAX_ACCEPTS_PER_EVENT = 64;
    private static final long IDLE_CHECK_INTERVAL_MS = 5000;
    private static final int LISTEN_BACKLOG = 1024;
    /** A connection that waits longer for the rest of a request is closed, so that slow senders hold no sockets. */
    private static final long MAX_PARTIAL_MESSAGE_MS = 15_000;

    private static final Map<Integer, String> REASON_PHRASES = Map.ofEntries(
            Map.entry(200, "OK"),
            Map.entry(201, "Created"),
            Map.entry(400, "Bad Request"),
            Map.entry(404, "Not Found"),
            Map.entry(405, "Method Not Allowed"),
            Map.entry(409, "Conflict"),
            Map.entry(413, "Content Too Large"),
            Map.entry(421, "Misdirected Request"),
            Map.entry(422, "Unprocessable Content"),
            Map.entry(429, "Too Many Requests"),
            Map.entry(500, "Internal Server Error"),
            Map.entry(503, "Service Unavailable"));

    private final EventLoop loop;
    private final Handler handler;
    private final int maxBodyBytes;
    private final int maxConnections;
    /** Above this number of connections, each connection is closed after its response. */
    private final int closeAfterResponseThreshold;

    private final InetSocketAddress address;
    private final Acceptor acceptor;
    private final LinkedHashSet<Connection> connections = new LinkedHashSet<>();

    /**
     * Starts to listen.
     *
     * @throws IOException if the address cannot be bound
     */
    public HttpServer(EventLoop loop, InetSocketAddress address, int maxBodyBytes, int maxConnections, Handler handler)
            throws IOException {
        this.loop = loop;
        this.handler = handler;
        this.maxBodyBytes = maxBodyBytes;
        this.maxConnections = maxConnections;
        this.closeAfterResponseThreshold =
                maxConnections - Math.min(maxConnections / 2, Math.max(8, maxConnections / 8));
        ServerSocketChannel listener = ServerSocketChannel.open();
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        try {
            listener.bind(address, LISTEN_BACKLOG);
        } catch (IOException e) {
            listener.close();
            throw e;
        }
        this.address = (InetSocketAddress) listener.getLocalAddress();
        acceptor = new Acceptor(listener);
        acceptor.key = loop.register(listener, SelectionKey.OP_ACCEPT, acceptor);
        loop.schedule(IDLE_CHECK_INTERVAL_MS, this::closeIdleConnections);
    }

    /** Returns the bound address, with the actual port if port 0 was requested. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    private void closeIdleConnections() {
        loop.schedule(IDLE_CHECK_INTERVAL_MS, this::closeIdleConnections);
        MonotonicTime now = loop.now();
        List<Connection> idle = new ArrayList<>();
        for (Connection connection : connections) {
            long idleMs = now.since(connection.lastReceivedAt);
            if (!connection.busy
                    && (idleMs > MAX_IDLE_MS
                            || (connection.parser.hasPartialMessage() && idleMs > MAX_PARTIAL_MESSAGE_MS))) {
                idle.add(connection);
            }
        }
        idle.forEach(Connection::drop);
    }

    private final class Acceptor implements EventLoop.ChannelHandler {
        private final ServerSocketChannel listener;
        private SelectionKey key;
        private boolean paused;

        Acceptor(ServerSocketChannel listener) {
            this.listener = listener;
        }

        @Override
        public void onReady(SelectionKey key) throws IOException {
            for (int i = 0; i < MAX_ACCEPTS_PER_EVENT; i++) {
                if (!ensureCapacity()) {
                    // The next response frees a connection: above the threshold, each closes its own.
                    pause(ACCEPT_PAUSE_MS);
                    return;
                }
                SocketChannel channel = listener.accept();
                if (channel == null) {
                    return;
                }
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                Connection connection = new Connection(channel);
                connection.key = loop.register(channel, SelectionKey.OP_READ, connection);
                connections.add(connection);
            }
        }

        /**
         * Returns true if one more connection may be accepted. At the connection limit, it first closes the least recently
         * used idle connection. One that was used recently is not closed, because its next request may be on the way and
         * its client would take the close for a failure.
         */
        private boolean ensureCapacity() {
            if (connections.size() < maxConnections) {
                return true;
            }
            for (Connection connection : connections) {
                if (!connection.busy) {
                    if (loop.now().since(connection.lastReceivedAt) < MIN_IDLE_BEFORE_CLOSE_MS) {
                        return false;
                    }
                    connection.drop();
                    return true;
                }
            }
            return false;
        }

        private void pause(long delayMs) {
            key.interestOps(0);
            paused = true;
            loop.schedule(delayMs, this::resume);
        }

        private void resume() {
            if (paused && key.isValid()) {
                paused = false;
                key.interestOps(SelectionKey.OP_ACCEPT);
            }
        }

        @Override
        public void onFailure(IOException cause) {
            // No sockets are left. The listener stays ready, so retrying at once would busy-loop.
            pause(ACCEPT_FAILURE_PAUSE_MS);
        }
    }

    private final class Connection extends HttpConnection {
        private boolean busy;
        private boolean closeAfter;
        private MonotonicTime lastReceivedAt = loop.now();

        Connection(SocketChannel channel) {
            super(loop, channel, new HttpParser(true, maxBodyBytes));
        }

        @Override
        boolean acceptsMessage() {
            lastReceivedAt = loop.now();
            return !busy;
        }

        @Override
        void onMessage(HttpMessage message) {
            busy = true;
            connections.remove(this); // re-added at the end: the set is ordered by last use
            connections.add(this);
            closeAfter |= message.closesConnection();
            boolean[] responded = new boolean[1];
            handler.handle(message, (status, type, body, retry) -> {
                if (responded[0]) {
                    throw new IllegalStateException("a second response to one request");
                }
                responded[0] = true;
                respond(status, type, body, retry);
            });
        }

        private void respond(int status, String type, byte[] body, int retryAfterS) {
            if (closed) {
                return;
            }
            busy = false;
            // With more workers than sockets, workers must take turns. A client that reads "Connection: close"
            // reconnects at once, while one whose connection is closed during its next request takes that for a
            // failure and tries another node.
            closeAfter |= connections.size() > closeAfterResponseThreshold;
            StringBuilder head = new StringBuilder(128)
                    .append("HTTP/1.1 ")
                    .append(status)
                    .append(' ')
                    .append(REASON_PHRASES.getOrDefault(status, "Status"))
                    .append("\r\nContent-Type: ")
                    .append(type)
                    .append("\r\nContent-Length: ")
                    .append(body.length)
                    .append("\r\n");
            if (retryAfterS > 0) {
                head.append("Retry-After: ").append(retryAfterS).append("\r\n");
            }
            if (closeAfter) {
                head.append("Connection: close\r\n");
            }
            try {
                send(ascii(head.append("\r\n").toString()), body);
                if (!closed && !closeAfter) {
                    deliverMessages();
                }
            } catch (IOException e) {
                onFailure(e);
            }
        }

        @Override
        void onFlushed() {
            if (closeAfter && !busy) {
                drop();
            }
        }

        @Override
        void onUnparsable(HttpParser.UnparsableMessageException cause) {
            closeAfter = true; // the start of the next message is unknown
            respond(cause.status, "text/plain", ascii(cause.getMessage() + "\n"), 0);
        }

        @Override
        public void onFailure(IOException cause) {
            drop();
        }

        private void drop() {
            close();
            if (connections.remove(this)) {
                acceptor.resume();
            }
        }
    }
}
