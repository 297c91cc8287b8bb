package org.beechhoist.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import org.beechhoist.http.HttpMessage;
import org.beechhoist.http.HttpParser;
import org.beechhoist.wire.MonotonicTime;

/**
 * An HTTP client with a connection pool per address and a timeout per request. Idle connections are kept up to a limit,
 * the most recently used ones: with a thousand workers, each idle socket is one that their heartbeats may need.
 */
public final class HttpClient {
    /** The result of a request. */
    public sealed interface Outcome permits Response, NotSent, Unknown {}

    /** A response was received. */
    public record Response(int status, byte[] body) implements Outcome {}

    /** The request was not sent and will not be sent. */
    public record NotSent() implements Outcome {}

    /** No response: the request may have been executed, or may still be executed later. */
    public record Unknown() implements Outcome {}

    /** Receives the outcome of a request. */
    public interface Callback {
        void onOutcome(Outcome outcome);
    }

    private static final int MAX_CONNECTIONS_PER_ADDRESS = 24;
    /** Timeout of a request that had to wait for a free connection, from the time it gets one. */
    private static final long QUEUED_REQUEST_TIMEOUT_MS = 2000;

    private record PendingRequest(
            String method,
            String path,
            byte[] body,
            MonotonicTime notAfter,
            Callback callback,
            EventLoop.Timer[] timeoutTimer) {}

    private final class Pool {
        private final InetSocketAddress address;
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();
        private final ArrayDeque<PendingRequest> waiting = new ArrayDeque<>();
        private int openCount;

        Pool(InetSocketAddress address) {
            this.address = address;
        }
    }

    private final EventLoop loop;
    private final String contentType;
    private final int maxIdle;
    private final Map<InetSocketAddress, Pool> pools = new HashMap<>();
    /** Idle connections of all pools, longest idle first. */
    private final LinkedHashSet<Connection> idleConnections = new LinkedHashSet<>();

    /** @param maxIdle the number of idle connections kept, over all addresses */
    public HttpClient(EventLoop loop, String contentType, int maxIdle) {
        this.loop = loop;
        this.contentType = contentType;
        this.maxIdle = maxIdle;
    }

    /** Sends a request. The callback is called once, with its outcome. */
    public void request(
            InetSocketAddress address, String method, String path, byte[] body, long timeoutMs, Callback callback) {
        request(address, method, path, body, timeoutMs, null, callback);
    }

    /**
     * Sends a request, unless connecting takes until {@code notAfter}.
     *
     * @param notAfter the time from which the request is no longer written, or null for no limit
     */
    public void request(
            InetSocketAddress address,
            String method,
            String path,
            byte[] body,
            long timeoutMs,
            MonotonicTime notAfter,
            Callback callback) {
        Pool pool = pools.computeIfAbsent(address, Pool::new);
        PendingRequest pending = new PendingRequest(method, path, body, notAfter, callback, new EventLoop.Timer[1]);
        Connection conn = takeIdle(pool);
        if (conn == null && pool.openCount >= MAX_CONNECTIONS_PER_ADDRESS) {
            pool.waiting.add(pending);
            pending.timeoutTimer[0] = loop.schedule(timeoutMs, () -> {
                pool.waiting.remove(pending);
                callback.onOutcome(new NotSent());
            });
            return;
        }
        start(pool, conn, pending, timeoutMs);
    }

    /** Removes and returns the pool's most recently used idle connection, or null if there is none. */
    private Connection takeIdle(Pool pool) {
        Connection conn = pool.idle.pollLast();
        if (conn != null) {
            idleConnections.remove(conn);
        }
        return conn;
    }

    private void addIdle(Connection conn) {
        conn.pool.idle.addLast(conn);
        idleConnections.add(conn);
        if (idleConnections.size() > maxIdle) {
            idleConnections.iterator().next().drop();
        }
    }

    private void start(Pool pool, Connection idle, PendingRequest pending, long timeoutMs) {
        Connection conn = idle;
        try {
            if (conn == null) {
                SocketChannel channel = SocketChannel.open();
                channel.configureBlocking(false);
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                conn = new Connection(pool, channel);
                pool.openCount++;
                boolean connected = channel.connect(pool.address);
                conn.key = loop.register(channel, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, conn);
                conn.connected = connected;
            }
        } catch (IOException | RuntimeException e) {
            if (conn != null) {
                conn.drop();
            }
            loop.schedule(0, () -> pending.callback.onOutcome(new NotSent()));
            return;
        }
        conn.current = pending;
        Connection connection = conn;
        pending.timeoutTimer[0] = loop.schedule(timeoutMs, () -> connection.fail());
        if (conn.connected) {
            conn.writeRequest();
        }
    }

    private final class Connection extends HttpConnection {
        private final Pool pool;
        private boolean connected;
        private boolean requestWritten;
        private PendingRequest current;

        Connection(Pool pool, SocketChannel channel) {
            super(loop, channel, new HttpParser(false, 0));
            this.pool = pool;
        }

        @Override
        public void onReady(SelectionKey key) throws IOException {
            if (!connected && key.isConnectable()) {
                channel.finishConnect();
                connected = true;
                key.interestOps(SelectionKey.OP_READ);
                writeRequest();
                return;
            }
            super.onReady(key);
        }

        void writeRequest() {
            if (current.notAfter != null && !loop.now().isBefore(current.notAfter)) {
                fail();
                return;
            }
            requestWritten = true;
            byte[] body = current.body == null ? new byte[0] : current.body;
            String head = current.method + " " + current.path + " HTTP/1.1\r\nHost: " + pool.address.getHostString()
                    + ":" + pool.address.getPort() + "\r\n"
                    + (current.body == null ? "" : "Content-Type: " + contentType + "\r\n") + "Content-Length: "
                    + body.length + "\r\n\r\n";
            try {
                send(ascii(head), body);
            } catch (IOException e) {
                fail();
            }
        }

        @Override
        void onMessage(HttpMessage message) {
            PendingRequest pending = current;
            if (pending == null) {
                drop(); // a response without a request: the state of the connection is unknown
                return;
            }
            current = null;
            requestWritten = false;
            pending.timeoutTimer[0].cancel();
            if (message.closesConnection() || !isFlushed()) {
                drop();
            } else {
                addIdle(this);
            }
            startNextWaiting(pool);
            pending.callback.onOutcome(new Response(message.status(), message.body()));
        }

        @Override
        void onUnparsable(HttpParser.UnparsableMessageException cause) {
            fail();
        }

        @Override
        public void onFailure(IOException cause) {
            fail();
        }

        void fail() {
            PendingRequest pending = current;
            current = null;
            drop();
            startNextWaiting(pool);
            if (pending != null) {
                pending.timeoutTimer[0].cancel();
                pending.callback.onOutcome(requestWritten ? new Unknown() : new NotSent());
            }
        }

        private void drop() {
            if (!closed) {
                close();
                pool.idle.remove(this);
                idleConnections.remove(this);
                pool.openCount--;
                if (pool.openCount == 0 && pool.waiting.isEmpty()) {
                    // Machines are rented and returned, so pools of unused addresses would accumulate.
                    pools.remove(pool.address, pool);
                }
            }
        }
    }

    private void startNextWaiting(Pool pool) {
        if (pool.waiting.isEmpty() || (pool.idle.isEmpty() && pool.openCount >= MAX_CONNECTIONS_PER_ADDRESS)) {
            return;
        }
        PendingRequest pending = pool.waiting.poll();
        pending.timeoutTimer[0].cancel();
        start(pool, takeIdle(pool), pending, QUEUED_REQUEST_TIMEOUT_MS);
    }
}
