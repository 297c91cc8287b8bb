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

/** A single-threaded event loop with a selector and timers. All work of the service runs on its thread. */
public final class EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    /** Receives the events of a registered channel. */
    interface ChannelHandler {
        /** Handles a channel that is ready for the operations set in its key. */
        void onReady(SelectionKey key) throws IOException;

        /** Handles an I/O error or an unexpected exception on the channel. */
        void onFailure(IOException cause);
    }

    /** A scheduled action that can be cancelled. */
    public static final class Timer {
        private final long atMs;
        private final long sequence;
        private Runnable action;

        private Timer(long atMs, long sequence, Runnable action) {
            this.atMs = atMs;
            this.sequence = sequence;
            this.action = action;
        }

        /** Cancels the action; has no effect once it has run. */
        public void cancel() {
            action = null;
        }
    }

    /** Longest wait for channel events. */
    private static final long MAX_SELECT_MS = 1000;

    private final Selector selector;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(
            (a, b) -> a.atMs != b.atMs ? Long.compare(a.atMs, b.atMs) : Long.compare(a.sequence, b.sequence));
    private final long originNanos = System.nanoTime();
    /**
     * Read buffer used by every connection of this loop. It is not static: when two loops of one process shared a buffer, it
     * mixed the bytes of their connections.
     */
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(32 * 1024);

    private final Queue<Runnable> submitted = new ConcurrentLinkedQueue<>();
    private long nextSequence;
    private volatile boolean stopped;
    private Runnable iterationEndAction = () -> {};

    /** Opens the selector. */
    public EventLoop() throws IOException {
        selector = Selector.open();
    }

    /** Returns the monotonic time. It starts well above zero, so that zero can mean "never". */
    public MonotonicTime now() {
        return new MonotonicTime(1_000_000 + (System.nanoTime() - originNanos) / 1_000_000);
    }

    /** Schedules an action to run on this loop after the given delay; must be called on the loop's thread. */
    public Timer schedule(long delayMs, Runnable action) {
        Timer timer = new Timer(now().ms() + Math.max(0, delayMs), nextSequence++, action);
        timers.add(timer);
        return timer;
    }

    /** Sets the action that runs at the end of each loop iteration; it executes the controller's effects. */
    public void onIterationEnd(Runnable action) {
        iterationEndAction = action;
    }

    /** Returns the shared read buffer, which is cleared before each read. */
    ByteBuffer readBuffer() {
        return readBuffer;
    }

    /** Registers a channel for the given operations, in non-blocking mode. */
    SelectionKey register(SelectableChannel channel, int ops, ChannelHandler handler) throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, ops, handler);
    }

    /** Runs an action in one of the next loop iterations. May be called from any thread. */
    public void execute(Runnable action) {
        submitted.add(action);
        selector.wakeup();
    }

    /** Stops the loop after the current iteration and closes its channels. May be called from any thread. */
    public void stop() {
        stopped = true;
        selector.wakeup();
    }

    /** Runs the loop until {@link #stop} is called. */
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
                dispatch(key);
            }
            for (Runnable action = submitted.poll(); action != null; action = submitted.poll()) {
                runGuarded(action);
            }
            runDueTimers();
            runGuarded(iterationEndAction);
        }
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }

    private void dispatch(SelectionKey key) {
        ChannelHandler handler = (ChannelHandler) key.attachment();
        try {
            if (key.isValid()) {
                handler.onReady(key);
            }
        } catch (IOException e) {
            reportFailure(handler, key, e);
        } catch (RuntimeException | StackOverflowError e) {
            LOG.error("unexpected exception in a connection handler", e);
            reportFailure(handler, key, new IOException(e));
        }
    }

    /** Passes a failure to its handler; a handler that fails in turn would be called again at once, so its channel is closed. */
    private static void reportFailure(ChannelHandler handler, SelectionKey key, IOException cause) {
        try {
            handler.onFailure(cause);
        } catch (RuntimeException | StackOverflowError e) {
            LOG.error("unexpected exception in a handler of a connection's failure", e);
            closeChannel(key);
        }
    }

    private static void closeChannel(SelectionKey key) {
        key.cancel();
        try {
            key.channel().close();
        } catch (IOException e) {
            LOG.debug("closing a channel failed", e);
        }
    }

    /** Runs an action; an exception in it is logged, and must not end the loop that all others share. */
    private static void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | StackOverflowError e) {
            LOG.error("unexpected exception in an action of the loop", e);
        }
    }

    private long waitMs() {
        Timer first = timers.peek();
        while (first != null && first.action == null) {
            timers.poll();
            first = timers.peek();
        }
        return first == null ? MAX_SELECT_MS : Math.max(0, Math.min(MAX_SELECT_MS, first.atMs - now().ms()));
    }

    private void runDueTimers() {
        long now = now().ms();
        while (!timers.isEmpty() && timers.peek().atMs <= now) {
            Runnable action = timers.poll().action;
            if (action != null) {
                runGuarded(action);
            }
        }
    }
}
