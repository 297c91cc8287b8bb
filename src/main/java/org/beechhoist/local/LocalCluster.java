package org.beechhoist.local;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Function;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.daemon.Node;
import org.beechhoist.net.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A region and its controllers in one process, on free loopback ports: each has a thread and a loop of its own and
 * talks to the others over sockets only. For trying things out and for trials; it keeps nothing.
 */
public final class LocalCluster implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(LocalCluster.class);
    private static final long JOIN_MS = 5000;

    /** What the cluster is made of. {@code deployment}: the rest of the settings file, from [deployment] on. */
    public record Layout(int nodes, String deployment, Policy policy, LoopbackRegion.Layout region) {}

    private static final class Controller {
        private final Settings settings;
        private Node node;
        private Thread thread;

        Controller(Settings settings) {
            this.settings = settings;
        }
    }

    private final EventLoop loop = new EventLoop();
    private final LoopbackRegion region;
    private final Thread regionThread;
    private final Policy policy;
    private final InetSocketAddress state;
    private final InetSocketAddress cloud;
    private final List<Controller> controllers = new ArrayList<>();

    public LocalCluster(Layout layout, LoopbackRegion.Tasks tasks) throws IOException, Settings.Bad {
        policy = layout.policy();
        region = new LoopbackRegion(loop, layout.region(), tasks);
        state = region.serveState(loopback(0));
        cloud = region.serveCloud(loopback(0));
        int[] ports = freePorts(2 * layout.nodes());
        Map<String, InetSocketAddress> byName = new LinkedHashMap<>();
        for (int i = 0; i < layout.nodes(); i++) {
            Settings settings = Settings.parse(settings(layout, ports, i));
            controllers.add(new Controller(settings));
            byName.put(settings.node(), settings.publicAddress());
        }
        region.controllers(byName);
        region.start();
        regionThread = thread("region", loop::run);
        for (int i = 0; i < controllers.size(); i++) {
            boot(i);
        }
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Ports that were free a moment ago: the controllers must know one another's before they listen. */
    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        int[] out = new int[count];
        for (int i = 0; i < count; i++) {
            held.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            out[i] = held.get(i).getLocalPort();
        }
        for (ServerSocket s : held) {
            s.close();
        }
        return out;
    }

    private String settings(Layout layout, int[] ports, int index) {
        StringBuilder out = new StringBuilder();
        out.append("host_name = \"node-")
                .append(index)
                .append("\"\nsite = \"a\"\npublic_addr = \"127.0.0.1:")
                .append(ports[2 * index])
                .append("\"\ninternal_addr = \"127.0.0.1:")
                .append(ports[2 * index + 1])
                .append("\"\n");
        for (int k = 0; k < layout.nodes(); k++) {
            if (k != index) {
                out.append("[[seeds]]\nhost_name = \"node-")
                        .append(k)
                        .append("\"\nsite = \"a\"\naddress = \"127.0.0.1:")
                        .append(ports[2 * k + 1])
                        .append("\"\n");
            }
        }
        out.append("[outside]\ncloud = \"")
                .append(text(cloud))
                .append("\"\nstate = \"")
                .append(text(state))
                .append("\"\n");
        return out.append(layout.deployment()).toString();
    }

    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private interface Work {
        void run() throws IOException;
    }

    private static Thread thread(String name, Work work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (IOException | RuntimeException e) {
                        LOG.error("{} ended by itself", name, e);
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Starts a controller that does not run. */
    public void boot(int index) throws IOException {
        Controller controller = controllers.get(index);
        controller.node = new Node(controller.settings, policy);
        controller.thread = thread(controller.settings.node(), controller.node::run);
    }

    /** Ends a controller as a kill would; returns once its sockets are closed. */
    public void kill(int index) {
        Controller controller = controllers.get(index);
        controller.node.stop();
        join(controller.thread);
    }

    private static void join(Thread thread) {
        try {
            thread.join(JOIN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public List<InetSocketAddress> nodes() {
        return controllers.stream().map(c -> c.settings.publicAddress()).toList();
    }

    public InetSocketAddress state() {
        return state;
    }

    public InetSocketAddress cloud() {
        return cloud;
    }

    /** Runs something with the region on its own thread, and waits for what it says. */
    public <T> T inRegion(Function<LoopbackRegion, T> action) {
        CompletableFuture<T> out = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                out.complete(action.apply(region));
            } catch (RuntimeException e) {
                out.completeExceptionally(e);
            }
        });
        try {
            return out.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        controllers.forEach(c -> c.node.stop());
        controllers.forEach(c -> join(c.thread));
        loop.stop();
        join(regionThread);
    }
}
