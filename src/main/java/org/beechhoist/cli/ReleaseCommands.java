package org.beechhoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import org.beechhoist.cron.ShipDates;
import org.beechhoist.release.Release;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;
import picocli.CommandLine;

/** The release calendar; exit codes as of the other users' commands. */
final class ReleaseCommands {
    private static final int USAGE = 2;
    private static final String PATH = "/v1/releases";

    private ReleaseCommands() {}

    /** Puts a release, or what it is from now on. */
    @CommandLine.Command(
            name = "put",
            mixinStandardHelpOptions = true,
            description = "Put a release: a TOML file with name, maker, ship, zone, and perhaps "
                    + "factory, leadDays, calendar, team, class, bundle.")
    static final class Put implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Mixin
        private Change change;

        @CommandLine.Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() {
            return TomlFile.use(file, given -> {
                String name = Codec.text(given, "name");
                Release.parseDescription(name, given);
                return UserCommands.ask(nodes, "POST", PATH + "/" + name + "/put", change.to(given.deepCopy()), name);
            });
        }
    }

    /** Puts a release for each event of an iCalendar file. */
    @CommandLine.Command(
            name = "import",
            mixinStandardHelpOptions = true,
            description = "Put a release for each event of an iCalendar (.ics) file: its "
                    + "summary is the name, its start the ship date; the rest is in the TOML file.")
    static final class Import implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Mixin
        private Change change;

        @CommandLine.Parameters(index = "0", paramLabel = "FILE.ics")
        private Path file;

        @CommandLine.Option(
                names = "--with",
                required = true,
                paramLabel = "FILE",
                description = "maker, zone and what else all of them share")
        private Path shared;

        @Override
        public Integer call() {
            try {
                JsonNode given = TomlFile.read(shared);
                Map<String, String> dates = ShipDates.read(file, Codec.text(given, "zone"));
                for (Map.Entry<String, String> entry : dates.entrySet()) {
                    ObjectNode body = change.to(((ObjectNode) given).deepCopy())
                            .put("name", entry.getKey())
                            .put("ship", entry.getValue());
                    Release.parseDescription(entry.getKey(), body);
                    int code =
                            UserCommands.ask(nodes, "POST", PATH + "/" + entry.getKey() + "/put", body, entry.getKey());
                    if (code != 0) {
                        return code;
                    }
                }
                return 0;
            } catch (MalformedMessageException e) {
                System.err.println("beechhoist: " + file + ": " + e.getMessage());
            } catch (IOException e) {
                System.err.println("beechhoist: " + file + ", " + shared + ": readable files are expected");
            }
            return USAGE;
        }
    }

    /** Moves a ship date. */
    @CommandLine.Command(name = "move", mixinStandardHelpOptions = true, description = "Move a release's ship date.")
    static final class Move implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Mixin
        private Change change;

        @CommandLine.Parameters(index = "0", paramLabel = "NAME")
        private String name;

        @CommandLine.Parameters(
                index = "1",
                paramLabel = "DATE",
                description = "such as 2026-12-20T17:00, by the clock of the release's zone")
        private String ship;

        @Override
        public Integer call() {
            return UserCommands.ask(
                    nodes,
                    "POST",
                    PATH + "/" + name + "/move",
                    change.to(Codec.map().put("ship", ship)),
                    name);
        }
    }

    /** Takes a release out. */
    @CommandLine.Command(
            name = "remove",
            mixinStandardHelpOptions = true,
            description = "Remove a release: its jobs go on as those without one.")
    static final class Remove implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Mixin
        private Change change;

        @CommandLine.Parameters(paramLabel = "NAME")
        private String name;

        @Override
        public Integer call() {
            return UserCommands.ask(nodes, "POST", PATH + "/" + name + "/remove", change.to(Codec.map()), name);
        }
    }

    /** Shows all releases. */
    @CommandLine.Command(
            name = "list",
            mixinStandardHelpOptions = true,
            description =
                    "Show all releases, the nearest first, with what is done, when it will be over, and what is at risk: the leading node knows.")
    static final class ListAll implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @Override
        public Integer call() {
            return UserCommands.ask(nodes, "GET", PATH, null, "releases");
        }
    }

    /** Shows which release goes first. */
    @CommandLine.Command(
            name = "next",
            mixinStandardHelpOptions = true,
            description = "Show all releases in their order; every node knows it.")
    static final class Next implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @Override
        public Integer call() {
            return UserCommands.ask(nodes, "GET", PATH + "/", null, "releases");
        }
    }

    /** Shows one release. */
    @CommandLine.Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Show a release with its history: who moved which date, and which jobs' order it changed.")
    static final class Show implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Parameters(paramLabel = "NAME")
        private String name;

        @Override
        public Integer call() {
            return UserCommands.ask(nodes, "GET", PATH + "/" + name, null, name);
        }
    }

    /** The release calendar. */
    @CommandLine.Command(
            name = "release",
            mixinStandardHelpOptions = true,
            description = "Makers' promised ship dates.",
            subcommands = {Put.class, Import.class, Move.class, Remove.class, ListAll.class, Next.class, Show.class})
    static final class Releases {}
}
