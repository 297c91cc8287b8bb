package org.beechhoist.cron;

/** State service keys of cron tables, calendars and cursors; a cursor is the occurrence up to which a schedule has been processed. */
public final class ScheduleKeys {
    /** Prefix of tables and calendars. Cursors have a separate prefix because they change with every run. */
    public static final String DEFINITIONS_PREFIX = "sched/";

    /** Prefix of calendars. */
    public static final String CALENDARS_PREFIX = DEFINITIONS_PREFIX + "cal/";
    /** Prefix of the records that give the installed generation of each table. */
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

    /** Returns the table to which a cursor key belongs. */
    public static String tableOfCursorKey(String key) {
        return key.substring(CURSORS_PREFIX.length(), key.lastIndexOf('/'));
    }
}
