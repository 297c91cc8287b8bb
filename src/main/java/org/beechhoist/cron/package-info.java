/**
 * Parsing of cron tables and calendars, and the times at which schedules run.
 *
 * <p>{@link org.beechhoist.cron.CronTable} reads a table's text into schedules ({@link org.beechhoist.cron.Schedule}). {@link
 * org.beechhoist.cron.Occurrences} computes when a schedule runs, taking into account time zones and a {@link org.beechhoist.cron.Calendar};
 * {@link org.beechhoist.cron.CatchUpDecision} decides which missed occurrences run. {@link org.beechhoist.cron.CalendarFile} and
 * {@link org.beechhoist.cron.ShipDates} read files for the command line.
 *
 * <p>The package defines the stored forms of schedules and calendars and their keys ({@link org.beechhoist.cron.ScheduleKeys}). It keeps no
 * state: the records in memory belong to {@code ScheduleRegistry} and {@code CronController} of package {@code controller}. It depends
 * on {@code wire} and on the parser that is generated from {@code Crontab.g4}.
 */
package org.beechhoist.cron;
