package org.beechhoist.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Iterator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.beechhoist.wire.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One thread's selector and deadlines; everything the service does happens inside its turns. */
public final class EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    /** Something that waits on a channel. */
    interface ChannelHandler {
        void onReady(SelectionKey key) throws IOException;

        void onFailure(IOException cause);
    }

    /** A deadline that can be called off. */
    public static final class Timer {
        private final long atMs;
        private final long order;
        private Runnable action;

        private Timer(long atMs, long order, Runnable action) {
            this.atMs = atMs;
            this.order = order;
            this.action = action;
        }

        public void cancel() {
            action = null;
        }
    }

    private final Selector selector;
    private final PriorityQueue<Timer> deadlines = new PriorityQueue<>(
            (a, b) -> a.atMs != b.atMs ? Long.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
    private final long origin = System.nanoTime();
    /** Serves every connection of the loop. Shared by two loops of one process, it once mixed their bytes. */
    private final ByteBuffer in = ByteBuffer.allocateDirect(32 * 1024);

    private final Queue<Runnable> handed = new ConcurrentLinkedQueue<>();
    private long order;
    private volatile boolean stopped;
    private Runnable turnEnd = () -> {};

    public EventLoop() throws IOException {
        selector = Selector.open();
    }

    /** The steady clock; it starts well above zero so that "never" can be zero. */
    public MonotonicTime now() {
        return new MonotonicTime(1_000_000 + (System.nanoTime() - origin) / 1_000_000);
    }

    public Timer schedule(long ms, Runnable action) {
        Timer deadline = new Timer(now().ms() + Math.max(0, ms), order++, action);
        deadlines.add(deadline);
        return deadline;
    }

    /** What runs at the end of each turn: the core's effects are carried out there. */
    public void onTurnEnd(Runnable action) {
        turnEnd = action;
    }

    /** For reading; emptied before the next read. */
    ByteBuffer readBuffer() {
        return in;
    }

    SelectionKey register(SelectableChannel channel, int ops, ChannelHandler handler) throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, ops, handler);
    }

    /** Runs something in one of the loop's next turns; from any thread. */
    public void execute(Runnable action) {
        handed.add(action);
        selector.wakeup();
    }

    /** Ends the loop after this turn and closes its channels; from any thread. */
    public void stop() {
        stopped = true;
        selector.wakeup();
    }

    public void run() throws IOException {
        while (!stopped) {
            long wait = waitMs();
            if (wait == 0) {
                selector.selectNow();
            } else {
                selector.select(wait);
            }
            Iterator<SelectionKey> it = selector.selectedKeys().iterator();
            while (it.hasNext()) {
                SelectionKey key = it.next();
                it.remove();
                serve(key);
            }
            for (Runnable r = handed.poll(); r != null; r = handed.poll()) {
                r.run();
            }
            runDeadlines();
            turnEnd.run();
        }
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }

    private void serve(SelectionKey key) {
        ChannelHandler handler = (ChannelHandler) key.attachment();
        try {
            if (key.isValid()) {
                handler.onReady(key);
            }
        } catch (IOException e) {
            handler.onFailure(e);
        } catch (RuntimeException e) {
            // One connection's bug must not end the node; the connection is given up.
            LOG.error("unexpected failure on a connection", e);
            handler.onFailure(new IOException(e));
        }
    }

    private long waitMs() {
        Timer first = deadlines.peek();
        while (first != null && first.action == null) {
            deadlines.poll();
            first = deadlines.peek();
        }
        return first == null ? 1000 : Math.max(0, Math.min(1000, first.atMs - now().ms()));
    }

    private void runDeadlines() {
        long now = now().ms();
        while (!deadlines.isEmpty() && deadlines.peek().atMs <= now) {
            Runnable action = deadlines.poll().action;
            if (action != null) {
                try {
                    action.run();
                } catch (RuntimeException e) {
                    LOG.error("unexpected failure at a deadline", e);
                }
            }
        }
    }
}
