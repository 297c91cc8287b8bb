package org.beechhoist.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.beechhoist.config.Policy;
import org.beechhoist.config.PolicyScript;
import org.beechhoist.config.Settings;
import org.beechhoist.daemon.Node;
import picocli.CommandLine;

/** Runs a controller node until it is killed. */
@CommandLine.Command(name = "serve", mixinStandardHelpOptions = true, description = "Run a controller node.")
final class Serve implements Callable<Integer> {
    @CommandLine.Option(names = "--config", required = true, paramLabel = "FILE", description = "settings file (TOML)")
    private Path config;

    @CommandLine.Option(names = "--script", paramLabel = "FILE", description = "operators' script (Lua)")
    private Path script;

    @Override
    public Integer call() {
        Settings settings;
        Policy policy;
        try {
            settings = Settings.load(config);
            policy = PolicyScript.load(script);
        } catch (Settings.Bad | PolicyScript.Bad e) {
            System.err.println("beechhoist: " + e.getMessage());
            return 1;
        }
        try {
            new Node(settings, policy).run();
            return 0;
        } catch (IOException e) {
            System.err.println("beechhoist: public_addr = " + settings.publicAddress() + " or internal_addr = "
                    + settings.internalAddress() + ": an address this machine can listen on is expected: "
                    + e.getMessage());
            return 1;
        }
    }
}
