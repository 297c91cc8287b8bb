package org.beechhoist.keyset;

/**
 * Whether a job that is bound to a key set may run.
 *
 * @param sinceMs since when it may not, by the time of day; 0 if that is not known
 * @param by who or what decided it
 * @param why the reason, as it is shown
 */
public record Verdict(Kind kind, long sinceMs, String by, String why) {
    /** What follows for the job. */
    public enum Kind {
        /** It may start and run. */
        MAY_RUN,
        /** Nothing is known yet: nothing new of it starts, and nothing that runs is stopped. */
        NOT_KNOWN,
        /** Nothing of it starts, and what runs is stopped. */
        HELD
    }

    static final Verdict MAY_RUN = new Verdict(Kind.MAY_RUN, 0, "", "");
    /** The verdict while the key sets are not read yet. */
    public static final Verdict NOT_KNOWN =
            new Verdict(Kind.NOT_KNOWN, 0, "this node", "the key sets are not read yet");

    static Verdict held(long sinceMs, String decidedBy, String why) {
        return new Verdict(Kind.HELD, sinceMs, decidedBy, why);
    }

    /** Returns whether the job may start and run. */
    public boolean mayRun() {
        return kind == Kind.MAY_RUN;
    }

    /** Returns whether the job must not run. */
    public boolean held() {
        return kind == Kind.HELD;
    }
}
