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

/** Listens on one address and hands requests on; each is answered once, in its own time. */
public final class HttpServer {
    /** Where an answer goes. */
    public interface Responder {
        /** @param retryAfterS seconds the client should wait, or 0 for none stated */
        void respond(int status, String contentType, byte[] body, int retryAfterS);
    }

    /** Takes requests. */
    public interface Handler {
        void handle(HttpMessage request, Responder responder);
    }

    private static final long IDLE_MS = 300_000;
    /** A connection that has been used within this time is not closed for another's sake. */
    private static final long QUIET_MS = 10_000;

    private static final long PAUSE_MS = 50;
    /** A request that has begun must be whole by then, so that slow senders hold no sockets. */
    private static final long PARTIAL_MS = 15_000;

    private static final Map<Integer, String> REASONS = Map.ofEntries(
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
            Map.entry(503, "Service Unavailable"));

    private final EventLoop loop;
    private final Handler handler;
    private final int maxBody;
    private final int maxConnections;
    /** From here on connections are closed after their answer. */
    private final int crowded;

    private final InetSocketAddress address;
    private final Acceptor acceptor;
    private final LinkedHashSet<Conn> connections = new LinkedHashSet<>();

    public HttpServer(EventLoop loop, InetSocketAddress address, int maxBody, int maxConnections, Handler handler)
            throws IOException {
        this.loop = loop;
        this.handler = handler;
        this.maxBody = maxBody;
        this.maxConnections = maxConnections;
        this.crowded = maxConnections - Math.min(maxConnections / 2, Math.max(8, maxConnections / 8));
        ServerSocketChannel listener = ServerSocketChannel.open();
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        try {
            listener.bind(address, 1024);
        } catch (IOException e) {
            listener.close();
            throw e;
        }
        this.address = (InetSocketAddress) listener.getLocalAddress();
        acceptor = new Acceptor(listener);
        acceptor.key = loop.register(listener, SelectionKey.OP_ACCEPT, acceptor);
        loop.schedule(5000, this::sweep);
    }

    /** Where it listens: the port that was chosen, where any was allowed. */
    public InetSocketAddress address() {
        return address;
    }

    public int connectionCount() {
        return connections.size();
    }

    private void sweep() {
        loop.schedule(5000, this::sweep);
        MonotonicTime now = loop.now();
        List<Conn> idle = new ArrayList<>();
        for (Conn connection : connections) {
            long quiet = now.since(connection.lastHeard);
            if (!connection.busy
                    && (quiet > IDLE_MS || (connection.parser.hasPartialMessage() && quiet > PARTIAL_MS))) {
                idle.add(connection);
            }
        }
        idle.forEach(Conn::drop);
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
            for (int i = 0; i < 64; i++) {
                if (!room()) {
                    pause(PAUSE_MS); // the next answer makes room: beyond the crowded mark each closes its connection
                    return;
                }
                SocketChannel channel = listener.accept();
                if (channel == null) {
                    return;
                }
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                Conn connection = new Conn(channel);
                connection.key = loop.register(channel, SelectionKey.OP_READ, connection);
                connections.add(connection);
            }
        }

        /**
         * Whether one more connection may be taken. A full table closes one that has been quiet for long; one that was used
         * lately may have its next request on the way, and closed under it, its client would take that for a failure.
         */
        private boolean room() {
            if (connections.size() < maxConnections) {
                return true;
            }
            for (Conn connection : connections) {
                if (!connection.busy) {
                    if (loop.now().since(connection.lastHeard) < QUIET_MS) {
                        return false;
                    }
                    connection.drop();
                    return true;
                }
            }
            return false;
        }

        private void pause(long ms) {
            key.interestOps(0);
            paused = true;
            loop.schedule(ms, this::resume);
        }

        private void resume() {
            if (paused && key.isValid()) {
                paused = false;
                key.interestOps(SelectionKey.OP_ACCEPT);
            }
        }

        @Override
        public void onFailure(IOException cause) {
            // No sockets left: the listener stays ready, so asking again at once would spin.
            pause(100);
        }
    }

    private final class Conn extends HttpConnection {
        private boolean busy;
        private boolean closeAfter;
        private MonotonicTime lastHeard = loop.now();

        Conn(SocketChannel channel) {
            super(loop, channel, new HttpParser(true, maxBody));
        }

        @Override
        boolean acceptsMessage() {
            lastHeard = loop.now();
            return !busy;
        }

        @Override
        void onMessage(HttpMessage message) {
            busy = true;
            connections.remove(this); // re-added last: the set is in order of use
            connections.add(this);
            closeAfter |= message.closesConnection();
            boolean[] answered = new boolean[1];
            handler.handle(message, (status, type, body, retry) -> {
                if (answered[0]) {
                    throw new IllegalStateException("answered twice");
                }
                answered[0] = true;
                respond(status, type, body, retry);
            });
        }

        private void respond(int status, String type, byte[] body, int retryAfterS) {
            if (closed) {
                return;
            }
            busy = false;
            // With more workers than sockets each gets its turn: told so, a client comes again at once, while one whose
            // connection is closed under its next request takes that for a failure and looks for another node.
            closeAfter |= connections.size() > crowded;
            StringBuilder head = new StringBuilder(128)
                    .append("HTTP/1.1 ")
                    .append(status)
                    .append(' ')
                    .append(REASONS.getOrDefault(status, "Status"))
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
        void onUnparsable(HttpParser.UnparsableMessageException why) {
            closeAfter = true; // framing is lost
            respond(why.status, "text/plain", ascii(why.getMessage() + "\n"), 0);
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
