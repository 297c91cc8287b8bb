package org.beechhoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;
import picocli.CommandLine;

/** Key sets; exit codes as of the other users' commands. */
final class KeySetCommands {
    private static final String PATH = "/v1/keysets";

    private KeySetCommands() {}

    /** Proposes a set, or its next version. */
    @CommandLine.Command(
            name = "propose",
            mixinStandardHelpOptions = true,
            description =
                    "Propose a key set, or its next version: a TOML file with name, owner, fingerprints and perhaps classes.")
    static final class Propose implements Callable<Integer> {
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
                ObjectNode body = change.to(Codec.map()).put("owner", Codec.text(given, "owner"));
                body.set("fingerprints", strings(given, "fingerprints"));
                if (!Codec.isAbsent(given, "classes")) {
                    body.set("classes", strings(given, "classes"));
                }
                return UserCommands.ask(nodes, "POST", PATH + "/" + name + "/propose", body, name);
            });
        }

        private static JsonNode strings(JsonNode given, String field) throws MalformedMessageException {
            Codec.textList(given.get(field), field);
            return given.get(field);
        }
    }

    /** Approves a version. */
    @CommandLine.Command(
            name = "approve",
            mixinStandardHelpOptions = true,
            description =
                    "Approve this very version, by its digest; the one before is superseded, and jobs bound to it run on for a while.")
    static final class Approve implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Mixin
        private Change change;

        @CommandLine.Parameters(paramLabel = "NAME")
        private String name;

        @CommandLine.Option(names = "--version", required = true)
        private int version;

        @CommandLine.Option(
                names = "--digest",
                required = true,
                description = "of what was looked at: keyset show tells it")
        private String digest;

        @CommandLine.Option(
                names = "--drain",
                paramLabel = "S",
                defaultValue = "86400",
                description =
                        "seconds that jobs bound to the version before may still run; 0: none; default: ${DEFAULT-VALUE}")
        private long drainS;

        @Override
        public Integer call() {
            return UserCommands.ask(
                    nodes,
                    "POST",
                    PATH + "/" + name + "/approve",
                    change.to(Codec.map())
                            .put("version", version)
                            .put("digest", digest)
                            .put("drainS", drainS),
                    name);
        }
    }

    /** Revokes a version. */
    @CommandLine.Command(
            name = "revoke",
            mixinStandardHelpOptions = true,
            description =
                    "Revoke a version: nothing that is bound to it starts from the answer on, and what runs is gone as soon as a cancelled job's.")
    static final class Revoke implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Mixin
        private Change change;

        @CommandLine.Parameters(paramLabel = "NAME")
        private String name;

        @CommandLine.Option(names = "--version", required = true)
        private int version;

        @Override
        public Integer call() {
            return UserCommands.ask(
                    nodes,
                    "POST",
                    PATH + "/" + name + "/revoke",
                    change.to(Codec.map()).put("version", version),
                    name);
        }
    }

    /** Says which jobs need a set. */
    @CommandLine.Command(
            name = "require",
            mixinStandardHelpOptions = true,
            description =
                    "Say for which classes and teams every job must be bound to a key set; what was said before is replaced.")
    static final class Require implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Option(names = "--class", split = ",", paramLabel = "CLASS")
        private List<String> classes = List.of();

        @CommandLine.Option(names = "--team", split = ",", paramLabel = "TEAM")
        private List<String> teams = List.of();

        @Override
        public Integer call() {
            ObjectNode body = Codec.map();
            classes.forEach(body.putArray("classes")::add);
            teams.forEach(body.putArray("teams")::add);
            return UserCommands.ask(nodes, "POST", PATH + "/required", body, "required");
        }
    }

    /** Shows all sets. */
    @CommandLine.Command(
            name = "list",
            mixinStandardHelpOptions = true,
            description = "Show all key sets, and who needs one.")
    static final class ListAll implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @Override
        public Integer call() {
            return UserCommands.ask(nodes, "GET", PATH, null, "keysets");
        }
    }

    /** Shows one set. */
    @CommandLine.Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Show a key set's versions, digests, and who decided what.")
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

    /** Shows who is bound to a set. */
    @CommandLine.Command(
            name = "jobs",
            mixinStandardHelpOptions = true,
            description = "Show the jobs bound to a key set, and where they run.")
    static final class Jobs implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Parameters(paramLabel = "NAME")
        private String name;

        @Override
        public Integer call() {
            return UserCommands.ask(nodes, "GET", PATH + "/" + name + "/jobs", null, name);
        }
    }

    /** Key sets. */
    @CommandLine.Command(
            name = "keyset",
            mixinStandardHelpOptions = true,
            description = "Key sets that jobs are bound to.",
            subcommands = {
                Propose.class,
                Approve.class,
                Revoke.class,
                Require.class,
                ListAll.class,
                Show.class,
                Jobs.class
            })
    static final class KeySets {}
}
