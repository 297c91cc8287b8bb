package org.beechhoist.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.beechhoist.config.PolicyScript;
import org.beechhoist.config.Settings;
import picocli.CommandLine;

/** Reads a settings file and says what is wrong with it. */
@CommandLine.Command(name = "check", mixinStandardHelpOptions = true, description = "Check a settings file.")
final class Check implements Callable<Integer> {
    @CommandLine.Option(names = "--config", required = true, paramLabel = "FILE", description = "settings file (TOML)")
    private Path config;

    @CommandLine.Option(names = "--script", paramLabel = "FILE", description = "operators' script (Lua)")
    private Path script;

    @Override
    public Integer call() {
        try {
            Settings settings = Settings.load(config);
            PolicyScript.load(script);
            System.out.printf(
                    "%s: good: node %s of %d, %d teams%n",
                    config, settings.node(), settings.nodes(), settings.teams().size());
            settings.warnings().forEach(w -> System.out.println("warning: " + w));
            return 0;
        } catch (Settings.Bad | PolicyScript.Bad e) {
            System.err.println("beechhoist: " + e.getMessage());
            return 1;
        }
    }
}
