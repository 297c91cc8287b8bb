package org.beechhoist.keyset;

/**
 * The decision whether a job that is bound to a key set may run, with its reason.
 *
 * @param sinceMs wall-clock time since which the job must not run; 0 if unknown
 * @param decidedBy the person, node or service that the decision comes from
 * @param reason the reason sent to clients
 */
public record RunDecision(Kind kind, long sinceMs, String decidedBy, String reason) {
    /** The consequence for the job. */
    public enum Kind {
        /** The job may start and run. */
        MAY_RUN,
        /** The key sets are not read yet: no task of the job is started, and running tasks are not stopped. */
        UNKNOWN,
        /** No task of the job is started, and running tasks are stopped. */
        HELD
    }

    static final RunDecision MAY_RUN = new RunDecision(Kind.MAY_RUN, 0, "", "");
    /** The decision until the key sets are read. */
    public static final RunDecision UNKNOWN =
            new RunDecision(Kind.UNKNOWN, 0, "this node", "the key sets are not read yet");

    static RunDecision held(long sinceMs, String decidedBy, String reason) {
        return new RunDecision(Kind.HELD, sinceMs, decidedBy, reason);
    }

    /** Returns whether the job may start and run. */
    public boolean mayRun() {
        return kind == Kind.MAY_RUN;
    }

    /** Returns whether the job must not run. */
    public boolean isHeld() {
        return kind == Kind.HELD;
    }
}
