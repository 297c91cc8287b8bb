package org.beechhoist.store;

/**
 * How a job's live tasks are cut up, so that whatever happens to them fits the state service's limits: up to
 * {@code inline} of them stand in the record itself, beyond that {@code chunk} task numbers share a key, and tasks start
 * only {@code window} numbers behind the first unfinished one. The window bounds the chunks that one transaction may
 * touch; without it a job whose tasks end in odd order could outgrow a transaction and would never be written again.
 */
public record RecordSizes(int inlineTasks, int chunkTasks, int window, int segmentBytes) {
    /** What a live task takes at most, in the form that limits count. */
    static final int TASK_BYTES = 32;
    /** The record without its live tasks: its description, and the finished tasks of a window. */
    private static final int HEAD_BYTES = 1500;

    private static final int DESCRIPTION_BYTES = 900;
    /** What a task number of the window takes at most as finished or not: every other one, as a run in Base64. */
    private static final double DONE_BYTES = 2.7;

    private static final int MOST_INLINE = 100;
    private static final int MOST_CHUNK = 200;
    private static final int MOST_WINDOW = 1600;
    /** A transaction's share for the record, its end and a rewritten fencing token. */
    private static final int OTHER_OPS = 3;
    /** The smallest limits that everything fits without cutting smaller than usual. */
    public static final int DEFAULT_VALUE_BYTES = 8 * 1024;

    public static final int DEFAULT_TRANSACTION_OPERATIONS = 16;

    public static final RecordSizes DEFAULT = of(DEFAULT_VALUE_BYTES, DEFAULT_TRANSACTION_OPERATIONS);

    /** @param valueBytes what the state service takes as one value; {@code transactionOperations} as changes of one transaction */
    public static RecordSizes of(int valueBytes, int transactionOperations) {
        int inline = Math.min(MOST_INLINE, Math.max(4, (valueBytes - HEAD_BYTES) / TASK_BYTES));
        int chunk = Math.min(MOST_CHUNK, Math.max(8, valueBytes * 4 / 5 / TASK_BYTES));
        int finished = (int) ((valueBytes - DESCRIPTION_BYTES) / DONE_BYTES);
        int window = Math.max(
                8, Math.min(Math.min(MOST_WINDOW, finished), chunk * Math.max(1, transactionOperations - OTHER_OPS)));
        return new RecordSizes(inline, chunk, window, valueBytes * 4 / 5);
    }

    /** What these limits keep from being served as usual, for the operator; null where nothing does. */
    public static String tooSmall(int valueBytes, int transactionOperations) {
        if (valueBytes >= DEFAULT_VALUE_BYTES && transactionOperations >= DEFAULT_TRANSACTION_OPERATIONS) {
            return null;
        }
        RecordSizes sizes = of(valueBytes, transactionOperations);
        return "deployment.state: value_kb = " + valueBytes / 1024 + " and txn_ops = " + transactionOperations
                + " are below "
                + DEFAULT_VALUE_BYTES / 1024 + " and " + DEFAULT_TRANSACTION_OPERATIONS + ": at most " + sizes.window()
                + " tasks of a job run at once";
    }
}
