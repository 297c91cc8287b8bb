package org.beechhoist.daemon;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a node that fails to start because the process it replaces still holds its addresses. */
@Tag("clock")
class NodeStartTest {
    private static Settings settings(int publicPort, int internalPort) throws Exception {
        return Settings.parse(
                """
                host_name = "node-0"
                site = "a"
                public_addr = "127.0.0.1:%d"
                internal_addr = "127.0.0.1:%d"
                [outside]
                cloud = "127.0.0.1:1"
                state = "127.0.0.1:2"
                [deployment]
                nodes = 1
                zones = ["a"]
                clock_error_ms = 100.0
                [[deployment.teams]]
                name = "blue"
                [deployment.workers]
                report_s = 3
                lease_s = 20
                cancel_s = 45.0
                [deployment.state]
                rps = 150.0
                write_rps = 50.0
                value_kb = 8.0
                txn_ops = 16
                [deployment.cloud]
                rps = 5
                list_lag_s = 5
                [deployment.quota]
                max_sockets = 2000
                """
                        .formatted(publicPort, internalPort));
    }

    @Test
    @Timeout(20)
    void addressInUseIsBoundOnceReleased() throws Exception {
        int internal;
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            internal = probe.getLocalPort();
        }
        ServerSocket previous = new ServerSocket();
        previous.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Settings settings = settings(previous.getLocalPort(), internal);
        CompletableFuture<Node> started = CompletableFuture.supplyAsync(() -> {
            try {
                return new Node(settings, Policy.DEFAULT);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        Thread.sleep(300);
        assertFalse(started.isDone(), "the node started while its address was in use");
        previous.close();
        Node node = started.get(10, TimeUnit.SECONDS);
        assertNotNull(node);
        node.stop();
        node.run(); // closes its channels
    }
}
