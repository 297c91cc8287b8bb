package org.beechhoist.regress;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import picocli.CommandLine;

/** Plays the deployments that a landing owes, and compares them with what the journal last says of the same days. */
@CommandLine.Command(
        name = "regress",
        mixinStandardHelpOptions = true,
        exitCodeOnInvalidInput = 2,
        description =
                "Play the deployments that a landing owes; ends with 1 if a rule broke or a figure fell, 2 for bad arguments,"
                        + " 3 without the bench.")
final class Regress implements Callable<Integer> {
    /** What storage, membership, timers and messages between machines are made of. A change elsewhere owes the operations sites alone. */
    private static final Pattern BETWEEN_MACHINES = Pattern.compile(
            "src/main/(java/org/beechhoist/(store|peer|net|http|wire|controller|daemon|config|plan)/|resources/).*|deploy/service\\.toml|pom\\.xml");
    /** The newest build of the bench, which serves all sites. Figures of an older one are no baseline. */
    private static final String BENCH = "more/hunt/bin/fleetbench";

    private static final int FELL = 1;
    private static final int NO_BENCH = 3;

    @CommandLine.Option(names = "--quick", description = "the two roughest days of each site (the default)")
    private boolean quick;

    @CommandLine.Option(names = "--full", description = "all standard days of each site")
    private boolean full;

    @CommandLine.Option(
            names = "--since",
            paramLabel = "REV",
            description =
                    "the last landing; default: the branch's upstream, and without one both kinds of site are played")
    private String since;

    @CommandLine.Option(
            names = "--kit",
            paramLabel = "DIR",
            defaultValue = "../given/kit",
            description = "where the bench and its sites are; default: ${DEFAULT-VALUE}")
    private Path kit;

    @CommandLine.Option(names = "--journal", paramLabel = "DIR", defaultValue = "journal", hidden = true)
    private Path folder;

    @CommandLine.Option(
            names = "--bound",
            paramLabel = "X",
            defaultValue = "0.03",
            description = "what may fall; default: ${DEFAULT-VALUE}")
    private double bound;

    @CommandLine.Option(
            names = "--why",
            paramLabel = "TEXT",
            defaultValue = "regression run",
            description = "goes into the journal")
    private String why;

    @CommandLine.Option(
            names = "--compare-only",
            description = "play nothing: the journal's newest entry of each day against the one before")
    private boolean compareOnly;

    public static void main(String[] args) {
        System.exit(new CommandLine(new Regress()).execute(args));
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (quick && full) {
            System.err.println("regress: --quick and --full: one of them is expected");
            return 2;
        }
        Journal journal = new Journal(folder);
        List<Day> before;
        List<Day> now;
        if (compareOnly) {
            before = new ArrayList<>();
            now = new ArrayList<>();
            split(journal.days(journal.names()), before, now);
        } else {
            Path bench = kit.resolve(BENCH);
            List<String> sites = sites();
            if (!Files.isExecutable(bench) || sites.isEmpty()) {
                System.err.println("regress: " + bench + ": no bench and sites there, nothing was played");
                return NO_BENCH;
            }
            TreeSet<String> known = journal.names();
            before = journal.days(known);
            List<String> command = new ArrayList<>(List.of(bench.toString(), "score"));
            command.addAll(sites);
            command.addAll(full ? List.of("--why", why) : List.of("--quick", "--why", why));
            int code = new ProcessBuilder(command).inheritIO().start().waitFor();
            if (code != 0) {
                System.err.println("regress: the bench ended with " + code);
                return FELL;
            }
            TreeSet<String> added = journal.names();
            added.removeAll(known);
            now = journal.days(added);
        }
        Comparison.Result result = Comparison.of(before, now, bound);
        result.lines().forEach(System.out::println);
        System.out.println(
                result.broke()
                        ? "regress: a rule broke, a day failed, or less than half of a class was served"
                        : result.fell()
                                ? "regress: something fell by more than " + bound
                                : "regress: nothing fell by more than " + bound);
        return result.broke() || result.fell() ? FELL : 0;
    }

    /** The newest figures of each day, and all that were before. */
    private static void split(List<Day> all, List<Day> before, List<Day> now) {
        for (Day day : all) {
            Day older = now.stream().filter(day::same).findFirst().orElse(null);
            if (older != null) {
                now.remove(older);
                before.add(older);
            }
            now.add(day);
        }
    }

    private List<String> sites() throws IOException, InterruptedException {
        return sites(kit, fleetToo(changed()));
    }

    /** The operations sites, which took the place of the grown ones, and the fleet's where they are owed, with those of the hunt. */
    static List<String> sites(Path kit, boolean fleet) throws IOException {
        List<String> out = files(kit.resolve("more"));
        if (fleet) {
            out.addAll(files(kit.resolve("more/fleet")));
            out.addAll(files(kit.resolve("more/hunt")));
        }
        return out;
    }

    private static List<String> files(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            return new ArrayList<>();
        }
        try (Stream<Path> all = Files.list(folder)) {
            return new ArrayList<>(all.map(Path::toString)
                    .filter(f -> f.endsWith(".toml"))
                    .sorted()
                    .toList());
        }
    }

    /** @param changed files that differ since the last landing, or null where that is not known: in doubt they are played */
    static boolean fleetToo(List<String> changed) {
        return changed == null
                || changed.stream().anyMatch(f -> BETWEEN_MACHINES.matcher(f).matches());
    }

    private List<String> changed() throws IOException, InterruptedException {
        Process git = new ProcessBuilder("git", "diff", "--name-only", since == null ? "@{upstream}" : since)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        String out = new String(git.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return git.waitFor() == 0 ? out.lines().toList() : null;
    }
}
