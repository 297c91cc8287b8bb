package org.beechhoist.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.Pipe;
import java.nio.channels.SelectionKey;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a loop, and with it a node, that ends because one action or handler throws an exception. */
@Timeout(20)
class EventLoopTest {
    private EventLoop loop;
    private Thread thread;

    @BeforeEach
    void createLoop() throws IOException {
        loop = new EventLoop();
        thread = new Thread(() -> {
            try {
                loop.run();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        thread.setUncaughtExceptionHandler((ended, cause) -> {});
    }

    @AfterEach
    void stopLoop() throws InterruptedException {
        loop.stop();
        thread.join(5000);
        assertFalse(thread.isAlive());
    }

    private void assertGoesOn() throws InterruptedException {
        CountDownLatch ran = new CountDownLatch(1);
        loop.execute(() -> loop.schedule(1, ran::countDown));
        assertTrue(ran.await(5, TimeUnit.SECONDS), "the loop has ended");
    }

    /** Guards against the end of the loop by an action handed over from another thread. */
    @Test
    void failureOfASubmittedActionDoesNotEndTheLoop() throws Exception {
        loop.execute(() -> {
            throw new IllegalStateException("an expected failure");
        });
        thread.start();
        assertGoesOn();
    }

    /** Guards against the end of the loop by a stack that overflows, as the encoding of deeply nested data does. */
    @Test
    void overflowOfTheStackDoesNotEndTheLoop() throws Exception {
        loop.execute(this::recurse);
        loop.schedule(0, this::recurse);
        thread.start();
        assertGoesOn();
    }

    private void recurse() {
        recurse();
        loop.now();
    }

    /** Guards against the end of the loop by what carries out the controller's effects after each iteration. */
    @Test
    void failureAtTheEndOfAnIterationDoesNotEndTheLoop() throws Exception {
        AtomicInteger iterations = new AtomicInteger();
        loop.onIterationEnd(() -> {
            if (iterations.incrementAndGet() < 3) {
                throw new IllegalStateException("an expected failure");
            }
        });
        thread.start();
        loop.execute(() -> {});
        assertGoesOn();
        assertGoesOn();
        assertGoesOn();
        assertTrue(iterations.get() >= 3);
    }

    /** Guards against the end of the loop by a handler that fails while it is told of a failure; its channel is closed. */
    @Test
    void failureOfAFailureHandlerDoesNotEndTheLoop() throws Exception {
        Pipe pipe = Pipe.open();
        AtomicInteger told = new AtomicInteger();
        loop.register(pipe.source(), SelectionKey.OP_READ, new EventLoop.ChannelHandler() {
            @Override
            public void onReady(SelectionKey key) throws IOException {
                throw new IOException("an expected failure");
            }

            @Override
            public void onFailure(IOException cause) {
                told.incrementAndGet();
                throw new IllegalStateException("an expected failure");
            }
        });
        pipe.sink().write(ByteBuffer.wrap(new byte[1]));
        thread.start();
        assertGoesOn();
        assertGoesOn();
        assertTrue(told.get() == 1 && !pipe.source().isOpen(), "told " + told + " times");
    }
}
