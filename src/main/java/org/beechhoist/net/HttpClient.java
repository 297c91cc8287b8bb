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
 * Requests to other services over kept connections, each with a deadline. Connections that nobody uses are kept up to
 * a number, the latest used ones: with a thousand workers each kept socket is one that their reports may need.
 */
public final class HttpClient {
    /** How a request ended. */
    public sealed interface Outcome permits Response, NotSent, Unknown {}

    /** An answer came. */
    public record Response(int status, byte[] body) implements Outcome {}

    /** Certain never to reach the other side. */
    public record NotSent() implements Outcome {}

    /** It may have been executed, or may still be executed later. */
    public record Unknown() implements Outcome {}

    /** Takes an outcome. */
    public interface Callback {
        void onOutcome(Outcome outcome);
    }

    private static final int MAX_PER_ADDRESS = 24;

    private record Pending(
            String method,
            String path,
            byte[] body,
            MonotonicTime notAfter,
            Callback callback,
            EventLoop.Timer[] deadline) {}

    private final class Pool {
        private final InetSocketAddress address;
        private final ArrayDeque<Conn> idle = new ArrayDeque<>();
        private final ArrayDeque<Pending> waiting = new ArrayDeque<>();
        private int open;

        Pool(InetSocketAddress address) {
            this.address = address;
        }
    }

    private final EventLoop loop;
    private final String contentType;
    private final int maxIdle;
    private final Map<InetSocketAddress, Pool> pools = new HashMap<>();
    /** Idle connections of all pools, the longest idle first. */
    private final LinkedHashSet<Conn> kept = new LinkedHashSet<>();

    public HttpClient(EventLoop loop, String contentType, int maxIdle) {
        this.loop = loop;
        this.contentType = contentType;
        this.maxIdle = maxIdle;
    }

    public void request(
            InetSocketAddress address, String method, String path, byte[] body, long timeoutMs, Callback callback) {
        request(address, method, path, body, timeoutMs, null, callback);
    }

    /** @param notAfter from then on it is not written any more, null: no bound; connecting may take a while */
    public void request(
            InetSocketAddress address,
            String method,
            String path,
            byte[] body,
            long timeoutMs,
            MonotonicTime notAfter,
            Callback callback) {
        Pool pool = pools.computeIfAbsent(address, Pool::new);
        Pending pending = new Pending(method, path, body, notAfter, callback, new EventLoop.Timer[1]);
        Conn conn = idle(pool);
        if (conn == null && pool.open >= MAX_PER_ADDRESS) {
            pool.waiting.add(pending);
            pending.deadline[0] = loop.schedule(timeoutMs, () -> {
                pool.waiting.remove(pending);
                callback.onOutcome(new NotSent());
            });
            return;
        }
        start(pool, conn, pending, timeoutMs);
    }

    /** The pool's warmest idle connection, or null. */
    private Conn idle(Pool pool) {
        Conn conn = pool.idle.pollLast();
        if (conn != null) {
            kept.remove(conn);
        }
        return conn;
    }

    private void keep(Conn conn) {
        conn.pool.idle.addLast(conn);
        kept.add(conn);
        if (kept.size() > maxIdle) {
            kept.iterator().next().drop();
        }
    }

    private void start(Pool pool, Conn idle, Pending pending, long timeoutMs) {
        Conn conn = idle;
        try {
            if (conn == null) {
                SocketChannel channel = SocketChannel.open();
                channel.configureBlocking(false);
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                conn = new Conn(pool, channel);
                pool.open++;
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
        Conn connection = conn;
        pending.deadline[0] = loop.schedule(timeoutMs, () -> connection.fail());
        if (conn.connected) {
            conn.write();
        }
    }

    private final class Conn extends HttpConnection {
        private final Pool pool;
        private boolean connected;
        private boolean written;
        private Pending current;

        Conn(Pool pool, SocketChannel channel) {
            super(loop, channel, new HttpParser(false, 0));
            this.pool = pool;
        }

        @Override
        public void onReady(SelectionKey key) throws IOException {
            if (!connected && key.isConnectable()) {
                channel.finishConnect();
                connected = true;
                key.interestOps(SelectionKey.OP_READ);
                write();
                return;
            }
            super.onReady(key);
        }

        void write() {
            if (current.notAfter != null && !loop.now().isBefore(current.notAfter)) {
                fail();
                return;
            }
            written = true;
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
            Pending pending = current;
            if (pending == null) {
                drop(); // an answer nobody asked for: the connection can't be trusted
                return;
            }
            current = null;
            written = false;
            pending.deadline[0].cancel();
            if (message.closesConnection() || !isFlushed()) {
                drop();
            } else {
                keep(this);
            }
            next(pool);
            pending.callback.onOutcome(new Response(message.status(), message.body()));
        }

        @Override
        void onUnparsable(HttpParser.UnparsableMessageException why) {
            fail();
        }

        @Override
        public void onFailure(IOException cause) {
            fail();
        }

        void fail() {
            Pending pending = current;
            current = null;
            drop();
            next(pool);
            if (pending != null) {
                pending.deadline[0].cancel();
                pending.callback.onOutcome(written ? new Unknown() : new NotSent());
            }
        }

        private void drop() {
            if (!closed) {
                close();
                pool.idle.remove(this);
                kept.remove(this);
                pool.open--;
                if (pool.open == 0 && pool.waiting.isEmpty()) {
                    pools.remove(pool.address, pool); // machines come and go; their addresses would gather here
                }
            }
        }
    }

    private void next(Pool pool) {
        if (pool.waiting.isEmpty() || (pool.idle.isEmpty() && pool.open >= MAX_PER_ADDRESS)) {
            return;
        }
        Pending pending = pool.waiting.poll();
        pending.deadline[0].cancel();
        start(pool, idle(pool), pending, 2000);
    }
}
