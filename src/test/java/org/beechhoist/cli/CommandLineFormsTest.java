package org.beechhoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import org.beechhoist.config.Settings;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Commands, options and complaints about settings are what they were: see corpus/README.md. */
class CommandLineFormsTest {
    private static final Path EXAMPLE = Path.of("deploy/example/node-0.toml");
    /** A text of the example's, and what stands there instead. */
    private static final String[][] FAULTS = {
        {"host_name = \"node-0\"", "host_name = \"\""},
        {"host_name = \"node-0\"", ""},
        {"site = \"a\"\n", "site = 3\n"},
        {"public_addr = \"127.0.0.1:8080\"", "public_addr = \"here\""},
        {"internal_addr = \"127.0.0.1:9080\"", ""},
        {"address = \"127.0.0.1:9081\"", "address = \"127.0.0.1\""},
        {"[outside]", "[elsewhere]"},
        {"cloud = \"127.0.0.1:8443\"", "cloud = 5"},
        {"state = \"127.0.0.1:2379\"", ""},
        {"nodes = 3", "nodes = 0"},
        {"zones = [\"a\", \"b\"]", "zones = \"a\""},
        {"clock_error_ms = 100.0", "clock_error_ms = -1"},
        {"[[deployment.teams]]", "[deployment.teams]"},
        {"name = \"ours\"", "name = 1"},
        {"cpus = 8.0", "cpus = \"many\""},
        {"cpus_max = 16.0", "cpus_max = -2.5"},
        {"report_s = 1.0", "report_s = 0.01"},
        {"lease_s = 20.0", "lease_s = 0"},
        {"lease_s = 20.0", "lease_s = 44.0"},
        {"cancel_s = 45.0", "cancel_s = 20.0"},
        {"rps = 150.0", "rps = 0"},
        {"write_rps = 50.0", ""},
        {"value_kb = 8.0", "value_kb = 2000"},
        {"txn_ops = 40", "txn_ops = 3"},
        {"list_lag_s = 1.0", "list_lag_s = true"},
        {"max_sockets = 500", "max_sockets = 4"},
        {"nodes = 3", "nodes = = 3"},
    };

    static String help() {
        Map<String, String> pages = new TreeMap<>();
        collect("", new CommandLine(Main.class), pages);
        return String.join("\n", pages.values());
    }

    private static void collect(String path, CommandLine command, Map<String, String> pages) {
        String name = (path + " " + command.getCommandName()).trim();
        pages.put(name, "== " + name + "\n" + command.getUsageMessage(CommandLine.Help.Ansi.OFF));
        command.getSubcommands().values().forEach(sub -> collect(name, sub, pages));
    }

    static String complaints() throws IOException {
        String good = Files.readString(EXAMPLE);
        StringBuilder out = new StringBuilder();
        for (String[] fault : FAULTS) {
            String bad = good.replaceFirst(Pattern.quote(fault[0]), fault[1]);
            out.append(complaint(bad).replaceAll("\\R", " / ")).append('\n');
        }
        return out.toString();
    }

    private static String complaint(String settings) {
        try {
            return "good: " + Settings.parse(settings).warnings();
        } catch (Settings.Bad e) {
            return e.getMessage();
        }
    }

    private static String fixture(String name) throws IOException {
        try (InputStream in = CommandLineFormsTest.class.getResourceAsStream("/corpus/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Test
    void helpOfEveryCommandIsUnchanged() throws IOException {
        assertEquals(fixture("help.txt"), help());
    }

    @Test
    void complaintsAboutSettingsAreUnchanged() throws IOException {
        assertEquals(fixture("settings.txt"), complaints());
    }
}
