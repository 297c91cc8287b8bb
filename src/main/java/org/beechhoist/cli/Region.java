package org.beechhoist.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import org.beechhoist.config.Addresses;
import org.beechhoist.local.LoopbackRegion;
import org.beechhoist.net.EventLoop;
import picocli.CommandLine;

/** A region to try the service in: stand-ins of state service, cloud and workers on loopback. It keeps nothing. */
@CommandLine.Command(
        name = "region",
        mixinStandardHelpOptions = true,
        description = "Run stand-ins of the state service, the cloud and its workers on loopback, for trials.")
final class Region implements Callable<Integer> {
    @CommandLine.Option(names = "--state", defaultValue = "127.0.0.1:2379", description = "default: ${DEFAULT-VALUE}")
    private String stateAddress;

    @CommandLine.Option(names = "--cloud", defaultValue = "127.0.0.1:8443", description = "default: ${DEFAULT-VALUE}")
    private String cloudAddress;

    @CommandLine.Option(
            names = "--node",
            split = ",",
            paramLabel = "ADDRESS",
            description = "controllers by name, such " + "as node-0=127.0.0.1:8080",
            defaultValue = "node-0=127.0.0.1:8080")
    private Map<String, String> nodes;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        EventLoop loop = new EventLoop();
        LoopbackRegion region =
                new LoopbackRegion(loop, Trials.REGION, new Trials.Sleeping(line -> System.out.println(line)));
        Map<String, InetSocketAddress> controllers = new LinkedHashMap<>();
        nodes.forEach((name, a) -> controllers.put(name, address("--node", a)));
        region.controllers(controllers);
        region.serveState(address("--state", stateAddress));
        region.serveCloud(address("--cloud", cloudAddress));
        System.out.println("state service on " + stateAddress + ", cloud on " + cloudAddress + "; end with Ctrl-C");
        region.start();
        loop.run();
        return 0;
    }

    private InetSocketAddress address(String option, String text) {
        InetSocketAddress address = Addresses.parse(text);
        if (address == null) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), option + " = " + text + ": an IPv4 address and port is expected");
        }
        return address;
    }
}
