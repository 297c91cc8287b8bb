package org.beechhoist.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.beechhoist.cron.Calendar;
import org.beechhoist.cron.CalendarFile;
import org.beechhoist.cron.CronTable;
import org.beechhoist.cron.Occurrences;
import org.beechhoist.cron.Schedule;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;
import picocli.CommandLine;

/** Cron tables and calendars; exit codes as of the other users' commands. */
final class CronCommands {
    private static final int USAGE = 2;
    private static final int YEARS = 3;
    private static final int MOST_RUNS = 10_000;

    private CronCommands() {}

    /** Where calendars come from while a table is only looked at. */
    static final class Source {
        @CommandLine.Option(
                names = "--calendars",
                paramLabel = "DIR",
                description = "calendars as NAME.toml or NAME.ics")
        private Path dir;

        @CommandLine.Option(
                names = "--business",
                split = ",",
                paramLabel = "DAY",
                description = "weekdays on which business is done, for .ics files; all if left out")
        private List<String> business;

        private Map<String, Calendar> read() throws MalformedMessageException, IOException {
            Map<String, Calendar> out = new HashMap<>();
            if (dir != null) {
                try (var files = Files.list(dir)) {
                    for (Path path : files.sorted().toList()) {
                        String name = path.getFileName().toString();
                        if (name.endsWith(".toml") || name.endsWith(".ics")) {
                            String base = name.substring(0, name.lastIndexOf('.'));
                            out.put(base, calendar(path, base, business));
                        }
                    }
                }
            }
            return out;
        }
    }

    private static Calendar calendar(Path file, String name, List<String> business)
            throws MalformedMessageException, IOException {
        LocalDate from = LocalDate.now(ZoneId.of("UTC")).withDayOfYear(1);
        return CalendarFile.read(file, name, business, from, from.plusYears(YEARS));
    }

    private static String base(Path file) {
        String name = file.getFileName().toString();
        int dot = name.lastIndexOf('.');
        return dot < 0 ? name : name.substring(0, dot);
    }

    /** A table that is only looked at. */
    static final class Table {
        @CommandLine.Parameters(paramLabel = "TABLE", description = "the cron table's file")
        private Path file;

        @CommandLine.Mixin
        private Source source;

        private Map<String, Calendar> calendars;

        private List<Schedule> read(long since)
                throws MalformedMessageException, IOException, CronTable.InvalidTableException {
            calendars = source.read();
            List<Schedule> all = CronTable.parse(base(file), Files.readString(file), since);
            for (Schedule entry : all) {
                if (source.dir != null && entry.calendar() != null && !calendars.containsKey(entry.calendar())) {
                    throw new MalformedMessageException("line " + entry.line() + ": calendar = " + entry.calendar()
                            + ": one of those in " + source.dir + " is expected");
                }
            }
            return all;
        }
    }

    private interface Look {
        int at(List<Schedule> lines) throws MalformedMessageException, IOException;
    }

    private static int look(Table table, long since, Look look) {
        try {
            return look.at(table.read(since));
        } catch (CronTable.InvalidTableException | MalformedMessageException e) {
            System.err.println("beechhoist: " + table.file + ": " + e.getMessage());
        } catch (IOException e) {
            System.err.println("beechhoist: " + table.file + ": readable files are expected: " + e.getMessage());
        }
        return USAGE;
    }

    /** Says what is wrong with a table. */
    @CommandLine.Command(name = "check", mixinStandardHelpOptions = true, description = "Check a cron table.")
    static final class Check implements Callable<Integer> {
        @CommandLine.Mixin
        private Table table;

        @Override
        public Integer call() {
            return look(table, Instant.now().getEpochSecond(), lines -> {
                System.out.println(table.file + ": good: " + lines.size() + " lines");
                return 0;
            });
        }
    }

    /** Shows the runs to come. */
    @CommandLine.Command(
            name = "preview",
            mixinStandardHelpOptions = true,
            description = "Show a table's runs between two days, and the days that calendars leave out.")
    static final class Preview implements Callable<Integer> {
        @CommandLine.Mixin
        private Table table;

        @CommandLine.Option(
                names = "--from",
                paramLabel = "DATE",
                description = "first day, in each line's zone; default: today")
        private LocalDate from;

        @CommandLine.Option(
                names = "--until",
                paramLabel = "DATE",
                description = "first day that is not shown; default: a week on")
        private LocalDate until;

        private record Row(Instant at, String text) {}

        @Override
        public Integer call() {
            LocalDate first = from != null ? from : LocalDate.now(ZoneId.of("UTC"));
            LocalDate last = until != null ? until : first.plusDays(7);
            return look(table, 0, lines -> {
                List<Row> rows = new ArrayList<>();
                for (Schedule entry : lines) {
                    Calendar calendar = table.calendars.get(entry.calendar());
                    Instant begin = first.atStartOfDay(entry.zone()).toInstant();
                    for (Instant instant : Occurrences.between(
                            entry,
                            calendar,
                            begin.minusMillis(1),
                            last.atStartOfDay(entry.zone()).toInstant().minusMillis(1),
                            MOST_RUNS)) {
                        ZonedDateTime local = instant.atZone(entry.zone());
                        rows.add(new Row(
                                instant,
                                String.format(
                                        "%s %s UTC%s  line %d  %s  %s",
                                        local.toLocalDate(),
                                        local.toLocalTime(),
                                        local.getOffset().getId().equals("Z") ? "" : local.getOffset(),
                                        entry.line(),
                                        entry.jobName(),
                                        entry.jobId(instant))));
                    }
                    Occurrences.reportClosedDays(
                            entry,
                            calendar,
                            first,
                            last,
                            (day, why) -> rows.add(new Row(
                                    day.atStartOfDay(entry.zone()).toInstant(),
                                    String.format(
                                            "%s left out        line %d  %s  %s%s",
                                            day,
                                            entry.line(),
                                            entry.jobName(),
                                            why,
                                            entry.nextBusinessDay() ? ", moved to the next open day" : ""))));
                }
                rows.sort(Comparator.comparing(Row::at));
                rows.forEach(r -> System.out.println(r.text));
                return 0;
            });
        }
    }

    /** Puts a table into service, or its new version. */
    @CommandLine.Command(
            name = "install",
            mixinStandardHelpOptions = true,
            description = "Install a cron table, or its next version: lines that stay go on where they were.")
    static final class Install implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Parameters(paramLabel = "TABLE")
        private Path file;

        @CommandLine.Option(names = "--name", description = "default: the file's name")
        private String name;

        @Override
        public Integer call() {
            String table = name == null ? base(file) : name;
            try {
                String text = Files.readString(file);
                CronTable.parse(table, text, 0);
                return UserCommands.ask(
                        nodes, "POST", "/v1/cron/" + table, Codec.map().put("text", text), table);
            } catch (CronTable.InvalidTableException e) {
                System.err.println("beechhoist: " + file + ": " + e.getMessage());
            } catch (IOException e) {
                System.err.println("beechhoist: " + file + ": a readable cron table is expected");
            }
            return USAGE;
        }
    }

    /** Shows what is installed. */
    @CommandLine.Command(
            name = "list",
            mixinStandardHelpOptions = true,
            description =
                    "Show the installed tables and calendars, or one table's lines: last run, next run, why one is held.")
    static final class ListAll implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Parameters(arity = "0..1", paramLabel = "TABLE")
        private String table;

        @CommandLine.Option(
                names = "--after",
                paramLabel = "LINE",
                defaultValue = "0",
                description = "lines after this one")
        private int after;

        @Override
        public Integer call() {
            return UserCommands.ask(
                    nodes,
                    "GET",
                    table == null ? "/v1/cron" : "/v1/cron/" + table + "?after=" + after,
                    null,
                    table == null ? "cron" : table);
        }
    }

    /** Takes a table out of service. */
    @CommandLine.Command(
            name = "remove",
            mixinStandardHelpOptions = true,
            description = "Remove a cron table; runs go on.")
    static final class Remove implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Parameters(paramLabel = "TABLE")
        private String table;

        @Override
        public Integer call() {
            return UserCommands.ask(nodes, "POST", "/v1/cron/" + table + "/remove", Codec.map(), table);
        }
    }

    /** Cron tables. */
    @CommandLine.Command(
            name = "cron",
            mixinStandardHelpOptions = true,
            description = "Cron tables.",
            subcommands = {Check.class, Preview.class, Install.class, ListAll.class, Remove.class})
    static final class Cron {}

    /** Puts a calendar into service. */
    @CommandLine.Command(
            name = "install",
            mixinStandardHelpOptions = true,
            description = "Install a calendar, or its next version.")
    static final class InstallCalendar implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Parameters(paramLabel = "FILE", description = "TOML or iCalendar (.ics)")
        private Path file;

        @CommandLine.Option(names = "--name", description = "default: the file's name")
        private String name;

        @CommandLine.Option(
                names = "--business",
                split = ",",
                paramLabel = "DAY",
                description = "weekdays on which business " + "is done, for .ics files; all if left out")
        private List<String> business;

        @Override
        public Integer call() {
            String calendar = name == null ? base(file) : name;
            try {
                ObjectNode body = calendar(file, calendar, business).toNode();
                return UserCommands.ask(nodes, "POST", "/v1/calendars/" + calendar, body, calendar);
            } catch (MalformedMessageException e) {
                System.err.println("beechhoist: " + file + ": " + e.getMessage());
            } catch (IOException | UncheckedIOException e) {
                System.err.println("beechhoist: " + file + ": a readable calendar is expected");
            }
            return USAGE;
        }
    }

    /** Shows a calendar. */
    @CommandLine.Command(name = "show", mixinStandardHelpOptions = true, description = "Show an installed calendar.")
    static final class ShowCalendar implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Parameters(paramLabel = "NAME")
        private String name;

        @Override
        public Integer call() {
            return UserCommands.ask(nodes, "GET", "/v1/calendars/" + name, null, name);
        }
    }

    /** Calendars. */
    @CommandLine.Command(
            name = "calendar",
            mixinStandardHelpOptions = true,
            description = "Calendars of holidays and business days.",
            subcommands = {InstallCalendar.class, ShowCalendar.class})
    static final class Calendars {}
}
