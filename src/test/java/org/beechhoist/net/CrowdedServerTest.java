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

/** Guards against failed or late reports when more clients than the connection limit each report periodically. */
@Tag("clock")
class CrowdedServerTest {
    private static final int MAX_CONNECTIONS = 48;
    private static final int CLIENT_COUNT = 130;
    private static final int REPORTS_PER_CLIENT = 6;
    private static final long REPORT_INTERVAL_MS = 250;

    /** No report fails or takes longer than the report interval, and the connection count stays within its limit. */
    @Test
    @Timeout(30)
    void manyClientsAreServedWithinTheReportInterval() throws Exception {
        EventLoop serverLoop = new EventLoop();
        int[] maxOpen = new int[1];
        HttpServer[] server = new HttpServer[1];
        server[0] = new HttpServer(
                serverLoop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                1024,
                MAX_CONNECTIONS,
                (m, responder) -> {
                    maxOpen[0] = Math.max(maxOpen[0], server[0].connectionCount());
                    responder.respond(200, "text/plain", new byte[] {1}, 0);
                });
        EventLoop clientLoop = new EventLoop();
        List<Long> latenciesMs = new ArrayList<>();
        List<String> failures = new ArrayList<>();
        CountDownLatch pendingReports = new CountDownLatch(CLIENT_COUNT * REPORTS_PER_CLIENT);
        for (int i = 0; i < CLIENT_COUNT; i++) {
            HttpClient client = new HttpClient(clientLoop, "text/plain", 1);
            clientLoop.schedule(
                    i * REPORT_INTERVAL_MS / CLIENT_COUNT,
                    () -> report(
                            clientLoop,
                            client,
                            server[0].address(),
                            REPORTS_PER_CLIENT,
                            latenciesMs,
                            failures,
                            pendingReports));
        }
        Thread serverThread = run(serverLoop);
        Thread clientThread = run(clientLoop);
        boolean done = pendingReports.await(20, TimeUnit.SECONDS);
        serverLoop.stop();
        clientLoop.stop();
        serverThread.join();
        clientThread.join();
        assertEquals(List.of(), failures);
        assertTrue(done, pendingReports.getCount() + " reports without an answer");
        assertTrue(maxOpen[0] <= MAX_CONNECTIONS, maxOpen[0] + " connections at once");
        assertTrue(maxOpen[0] > MAX_CONNECTIONS / 2, "only " + maxOpen[0] + " connections at once");
        long slowestMs = latenciesMs.stream().mapToLong(Long::longValue).max().orElse(0);
        assertTrue(slowestMs <= REPORT_INTERVAL_MS, "the slowest report took " + slowestMs + " ms");
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
            int remainingReports,
            List<Long> latenciesMs,
            List<String> failures,
            CountDownLatch pendingReports) {
        if (remainingReports == 0) {
            return;
        }
        long sent = loop.now().ms();
        client.request(to, "POST", "/checkin", new byte[] {1}, 4000, o -> {
            if (!(o instanceof HttpClient.Response a && a.status() == 200)) {
                failures.add(o.toString());
            }
            latenciesMs.add(loop.now().ms() - sent);
            pendingReports.countDown();
            loop.schedule(
                    Math.max(0, REPORT_INTERVAL_MS - (loop.now().ms() - sent)),
                    () -> report(loop, client, to, remainingReports - 1, latenciesMs, failures, pendingReports));
        });
    }
}
