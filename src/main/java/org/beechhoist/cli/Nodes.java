package org.beechhoist.cli;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.beechhoist.config.Addresses;
import org.beechhoist.wire.ApiClient;
import picocli.CommandLine;

/** The option that every user's command has. */
final class Nodes {
    @CommandLine.Option(
            names = "--node",
            required = true,
            split = ",",
            paramLabel = "ADDRESS",
            description = "public addresses of controllers or of the load balancer, such as 127.0.0.1:8080")
    private List<String> addresses;

    @CommandLine.Spec(CommandLine.Spec.Target.MIXEE)
    private CommandLine.Model.CommandSpec spec;

    ApiClient client() {
        List<InetSocketAddress> out = new ArrayList<>();
        for (String address : addresses) {
            InetSocketAddress parsed = Addresses.parse(address);
            if (parsed == null) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--node = " + address + ": an IPv4 address and port is expected");
            }
            out.add(parsed);
        }
        return new ApiClient(out);
    }
}
