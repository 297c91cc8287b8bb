package org.beechhoist.cron;

/** The keys in the state service of cron tables, calendars and cursors (up to which occurrence each schedule has been processed). */
public final class ScheduleKeys {
    /** Prefix of all that is installed; cursors, which change with every run, have a prefix of their own. */
    public static final String DEFINITIONS = "sched/";

    /** Prefix of calendars. */
    public static final String CALENDARS = DEFINITIONS + "cal/";
    /** Prefix of the records that say which generation of each table is installed. */
    public static final String TABLES = DEFINITIONS + "tab/";
    /** Prefix of cursors. */
    public static final String CURSORS = "cursor/";

    private static final String PART_FORMAT = "%04d";

    private ScheduleKeys() {}

    /** Returns the key of one part of a generation of a table; the cursors of a part have the same number. */
    public static String definition(String table, long generation, int part) {
        return definitions(table) + generation + "/" + String.format(PART_FORMAT, part);
    }

    /** Returns the prefix of all parts of all generations of a table. */
    public static String definitions(String table) {
        return DEFINITIONS + "def/" + table + "/";
    }

    /** Returns the key of the cursors of one part of a table. */
    public static String cursor(String table, int part) {
        return CURSORS + table + "/" + String.format(PART_FORMAT, part);
    }

    /** Returns the table to which the key of cursors belongs. */
    public static String tableOfCursor(String key) {
        return key.substring(CURSORS.length(), key.lastIndexOf('/'));
    }
}
