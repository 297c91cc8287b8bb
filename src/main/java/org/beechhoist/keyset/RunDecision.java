package org.beechhoist.keyset;

/**
 * Whether a job that is bound to a key set may run.
 *
 * @param sinceMs since when it may not, by the time of day; 0 if that is not known
 * @param decidedBy who or what decided it
 * @param reason the reason, as it is shown
 */
public record RunDecision(Kind kind, long sinceMs, String decidedBy, String reason) {
    /** What follows for the job. */
    public enum Kind {
        /** It may start and run. */
        MAY_RUN,
        /** Nothing is known yet: nothing new of it starts, and nothing that runs is stopped. */
        UNKNOWN,
        /** Nothing of it starts, and what runs is stopped. */
        HELD
    }

    static final RunDecision MAY_RUN = new RunDecision(Kind.MAY_RUN, 0, "", "");
    /** The verdict while the key sets are not read yet. */
    public static final RunDecision UNKNOWN =
            new RunDecision(Kind.UNKNOWN, 0, "this node", "the key sets are not read yet");

    static RunDecision held(long sinceMs, String decidedBy, String why) {
        return new RunDecision(Kind.HELD, sinceMs, decidedBy, why);
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
