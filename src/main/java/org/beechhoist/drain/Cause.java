package org.beechhoist.drain;

/** Why a task that could have gone on had to leave its machine. Each disturbed task has one cause, and is charged for it once. */
public enum Cause {
    /** Its machine is emptied. */
    DRAIN(true),
    /** Its machine is replaced. */
    ROLLOUT(true),
    /** It makes room for a larger one, and has a place kept. */
    MOVE(true),
    /** It makes room for more urgent work, or for a team's guarantee. */
    PREEMPTION(false),
    /** Its job's width shrinks. */
    NARROWING(false),
    /** Its gang has lost a task. */
    GANG(false),
    /** The cloud is about to take its machine. */
    NOTICE(false),
    /** Its machine was lost, or returned with it. */
    MACHINE(false);

    private final boolean onPurpose;

    Cause(boolean onPurpose) {
        this.onPurpose = onPurpose;
    }

    /** Whether a budget may refuse it; what happens by itself is charged and never refused. */
    public boolean onPurpose() {
        return onPurpose;
    }
}
