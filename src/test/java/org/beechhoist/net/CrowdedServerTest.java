package org.beechhoist.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** More clients than sockets, each with a connection of its own and a report to make now and then. */
@Tag("clock")
class CrowdedServerTest {
    private static final int SOCKETS = 48;
    private static final int CLIENTS = 130;
    private static final int ROUNDS = 6;
    private static final long EVERY_MS = 250;

    /** No report fails or waits longer than reports are apart, and the table stays within its bound. */
    @Test
    @Timeout(30)
    void everyClientIsServedInItsTime() throws Exception {
        EventLoop serving = new EventLoop();
        int[] most = new int[1];
        HttpServer[] server = new HttpServer[1];
        server[0] = new HttpServer(
                serving, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024, SOCKETS, (m, responder) -> {
                    most[0] = Math.max(most[0], server[0].connectionCount());
                    responder.respond(200, "text/plain", new byte[] {1}, 0);
                });
        EventLoop asking = new EventLoop();
        List<Long> waits = new ArrayList<>();
        List<String> failures = new ArrayList<>();
        CountDownLatch over = new CountDownLatch(CLIENTS * ROUNDS);
        for (int i = 0; i < CLIENTS; i++) {
            HttpClient client = new HttpClient(asking, "text/plain", 1);
            asking.schedule(
                    i * EVERY_MS / CLIENTS,
                    () -> report(asking, client, server[0].address(), ROUNDS, waits, failures, over));
        }
        Thread a = run(serving);
        Thread b = run(asking);
        boolean done = over.await(20, TimeUnit.SECONDS);
        serving.stop();
        asking.stop();
        a.join();
        b.join();
        assertEquals(List.of(), failures);
        assertTrue(done, over.getCount() + " reports without an answer");
        assertTrue(most[0] <= SOCKETS, most[0] + " connections at once");
        assertTrue(most[0] > SOCKETS / 2, "only " + most[0] + " connections at once");
        long longest = waits.stream().mapToLong(Long::longValue).max().orElse(0);
        assertTrue(longest <= EVERY_MS, longest + " ms for a report");
    }

    private static Thread run(EventLoop loop) {
        Thread t = new Thread(() -> {
            try {
                loop.run();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        t.start();
        return t;
    }

    private static void report(
            EventLoop loop,
            HttpClient client,
            InetSocketAddress to,
            int rounds,
            List<Long> waits,
            List<String> failures,
            CountDownLatch over) {
        if (rounds == 0) {
            return;
        }
        long sent = loop.now().ms();
        client.request(to, "POST", "/checkin", new byte[] {1}, 4000, o -> {
            if (!(o instanceof HttpClient.Response a && a.status() == 200)) {
                failures.add(o.toString());
            }
            waits.add(loop.now().ms() - sent);
            over.countDown();
            loop.schedule(
                    Math.max(0, EVERY_MS - (loop.now().ms() - sent)),
                    () -> report(loop, client, to, rounds - 1, waits, failures, over));
        });
    }
}
