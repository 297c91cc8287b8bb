package org.beechhoist.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.beechhoist.drain.DisruptionBudget;
import org.beechhoist.drain.Drain;
import org.beechhoist.wire.Codec;
import picocli.CommandLine;

/** Emptying and replacing machines, and budgets of disruption; exit codes as of the other users' commands. */
final class DrainCommands {
    private static final String DRAINS = "/v1/drains";
    private static final String BUDGETS = "/v1/budgets";
    /** Only checks of the file's fields need a moment, and any will do. */
    private static final long SOME_MOMENT = 1;

    private DrainCommands() {}

    /** Puts a drain. */
    @CommandLine.Command(
            name = "put",
            mixinStandardHelpOptions = true,
            description =
                    "Have machines emptied, or replaced in steps, as a TOML file says: name; machines, "
                            + "or type, zone, spot, olderThanS, share, all; inS, forS, keep, waitS; replace, with, canary, atOnce, perZone, spare, holdS; from, to, clock, calendar.")
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
                Drain.fromRequest(name, given, SOME_MOMENT);
                return UserCommands.ask(nodes, "POST", DRAINS + "/" + name + "/put", change.to(given.deepCopy()), name);
            });
        }
    }

    /** Says what a drain would cost. */
    @CommandLine.Command(
            name = "plan",
            mixinStandardHelpOptions = true,
            description = "Say what such a drain would cost now, by team and class, and how long it would "
                    + "take; nothing is changed.")
    static final class Plan implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() {
            return TomlFile.use(file, given -> {
                String name = Codec.text(given, "name");
                Drain.fromRequest(name, given, SOME_MOMENT);
                return UserCommands.ask(nodes, "POST", DRAINS + "/" + name + "/plan", given, name);
            });
        }
    }

    /** What is done with a drain by its name. */
    private abstract static class ByName implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Mixin
        private Change change;

        @CommandLine.Parameters(paramLabel = "NAME")
        private String name;

        abstract String verb();

        @Override
        public Integer call() {
            return UserCommands.ask(nodes, "POST", DRAINS + "/" + name + "/" + verb(), change.to(Codec.map()), name);
        }
    }

    /** Nothing more is begun or stopped. */
    @CommandLine.Command(
            name = "pause",
            mixinStandardHelpOptions = true,
            description = "Stop nothing more for it; what is in hand gets no new work.")
    static final class Pause extends ByName {
        @Override
        String verb() {
            return "pause";
        }
    }

    /** It goes on. */
    @CommandLine.Command(name = "resume", mixinStandardHelpOptions = true, description = "Go on with it.")
    static final class Resume extends ByName {
        @Override
        String verb() {
            return "resume";
        }
    }

    /** It is undone. */
    @CommandLine.Command(
            name = "abort",
            mixinStandardHelpOptions = true,
            description = "Undo it: machines that are still there are used again.")
    static final class Abort extends ByName {
        @Override
        String verb() {
            return "abort";
        }
    }

    /** Its record goes. */
    @CommandLine.Command(
            name = "remove",
            mixinStandardHelpOptions = true,
            description = "Remove a drain that is over or was aborted.")
    static final class Remove extends ByName {
        @Override
        String verb() {
            return "remove";
        }
    }

    /** Shows all drains. */
    @CommandLine.Command(
            name = "list",
            mixinStandardHelpOptions = true,
            description = "Show all drains: how far each is, what keeps it, what it costs; the leading node knows.")
    static final class ListAll implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @Override
        public Integer call() {
            return UserCommands.ask(nodes, "GET", DRAINS, null, "drains");
        }
    }

    /** Shows one drain. */
    @CommandLine.Command(name = "show", mixinStandardHelpOptions = true, description = "Show a drain.")
    static final class Show implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Parameters(paramLabel = "NAME")
        private String name;

        @Override
        public Integer call() {
            return UserCommands.ask(nodes, "GET", DRAINS + "/" + name, null, name);
        }
    }

    /** Drains and replacements. */
    @CommandLine.Command(
            name = "drain",
            mixinStandardHelpOptions = true,
            description = "Machines that are to be empty, or replaced.",
            subcommands = {
                Put.class,
                Plan.class,
                Pause.class,
                Resume.class,
                Abort.class,
                Remove.class,
                ListAll.class,
                Show.class
            })
    static final class Drains {}

    /** Puts a budget. */
    @CommandLine.Command(
            name = "put",
            mixinStandardHelpOptions = true,
            description = "Say how much of a team's work, or of one of its classes, may be disturbed on purpose: a "
                    + "TOML file with team (or default), and perhaps class, atOnce, lostCpuSPerHour, leastUp, againS.")
    static final class PutBudget implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Mixin
        private Change change;

        @CommandLine.Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() {
            return TomlFile.use(file, given -> {
                String key = DisruptionBudget.fromRequest(given, "", SOME_MOMENT, "", 1)
                        .key();
                return UserCommands.ask(nodes, "POST", BUDGETS + "/" + key + "/put", change.to(given.deepCopy()), key);
            });
        }
    }

    /** Takes a budget out. */
    @CommandLine.Command(
            name = "remove",
            mixinStandardHelpOptions = true,
            description = "Remove a budget; the default holds again.")
    static final class RemoveBudget implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Mixin
        private Change change;

        @CommandLine.Parameters(paramLabel = "TEAM", description = "or TEAM~CLASS")
        private String key;

        @Override
        public Integer call() {
            return UserCommands.ask(nodes, "POST", BUDGETS + "/" + key + "/remove", change.to(Codec.map()), key);
        }
    }

    /** Shows all budgets. */
    @CommandLine.Command(
            name = "list",
            mixinStandardHelpOptions = true,
            description = "Show each team's budget and what is used of it, by cause; the leading node knows.")
    static final class ListBudgets implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @Override
        public Integer call() {
            return UserCommands.ask(nodes, "GET", BUDGETS, null, "budgets");
        }
    }

    /** Budgets of disruption. */
    @CommandLine.Command(
            name = "budget",
            mixinStandardHelpOptions = true,
            description = "How much of each team's work may be disturbed on purpose.",
            subcommands = {PutBudget.class, RemoveBudget.class, ListBudgets.class})
    static final class Budgets {}
}
