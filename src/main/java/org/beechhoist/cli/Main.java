package org.beechhoist.cli;

import picocli.CommandLine;

/** The program: {@code serve} runs a controller, the rest are an operator's and a user's commands. */
@CommandLine.Command(
        name = "beechhoist",
        mixinStandardHelpOptions = true,
        version = "beechhoist 0.1.0",
        description = "A planning cluster scheduler.",
        subcommands = {
            Try.class,
            Serve.class,
            Check.class,
            UserCommands.Submit.class,
            UserCommands.Status.class,
            UserCommands.Cancel.class,
            UserCommands.ResizeJob.class,
            UserCommands.View.class,
            CronCommands.Cron.class,
            CronCommands.Calendars.class,
            KeySetCommands.KeySets.class,
            ReleaseCommands.Releases.class,
            DrainCommands.Drains.class,
            DrainCommands.Budgets.class,
            Region.class,
            Warm.class
        })
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        // slf4j-simple reads its level from a property; it must be set before the first logger is made.
        String level = System.getenv("LOG_LEVEL");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level == null || level.isBlank() ? "info" : level);
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        int code = new CommandLine(new Main()).execute(args);
        if (code != 0) {
            System.exit(code);
        }
    }
}
