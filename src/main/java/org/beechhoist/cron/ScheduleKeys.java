package org.beechhoist.cron;

/** The keys in the state service of cron tables, calendars and cursors (up to which occurrence each schedule has been processed). */
public final class ScheduleKeys {
    /** Prefix of all that is installed; cursors, which change with every run, have a prefix of their own. */
    public static final String DEFINITIONS_PREFIX = "sched/";

    /** Prefix of calendars. */
    public static final String CALENDARS_PREFIX = DEFINITIONS_PREFIX + "cal/";
    /** Prefix of the records that say which generation of each table is installed. */
    public static final String TABLES_PREFIX = DEFINITIONS_PREFIX + "tab/";
    /** Prefix of cursors. */
    public static final String CURSORS_PREFIX = "cursor/";

    private static final String PART_FORMAT = "%04d";

    private ScheduleKeys() {}

    /** Returns the key of one part of a generation of a table; the cursors of a part have the same number. */
    public static String partKey(String table, long generation, int part) {
        return partPrefix(table) + generation + "/" + String.format(PART_FORMAT, part);
    }

    /** Returns the prefix of all parts of all generations of a table. */
    public static String partPrefix(String table) {
        return DEFINITIONS_PREFIX + "def/" + table + "/";
    }

    /** Returns the key of the cursors of one part of a table. */
    public static String cursorKey(String table, int part) {
        return CURSORS_PREFIX + table + "/" + String.format(PART_FORMAT, part);
    }

    /** Returns the table to which the key of cursors belongs. */
    public static String tableOfCursorKey(String key) {
        return key.substring(CURSORS_PREFIX.length(), key.lastIndexOf('/'));
    }
}
