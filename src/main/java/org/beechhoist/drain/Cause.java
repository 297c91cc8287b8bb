package org.beechhoist.drain;

/**
 * The cause for which a task that could have continued was taken off its machine. Each disruption has one cause, and is charged once. The
 * names are stored and shown.
 */
public enum Cause {
    /** Its machine is drained. */
    DRAIN(true),
    /** Its machine is replaced in a rolling replacement. */
    ROLLOUT(true),
    /** It is migrated to free capacity for a larger task; its new placement is reserved. */
    MOVE(true),
    /** It is preempted by work of higher priority, or for a team's guaranteed quota. */
    PREEMPTION(false),
    /** Its job's width is reduced. */
    NARROWING(false),
    /** Its gang (tasks that only run together) has lost a task. */
    GANG(false),
    /** The cloud has announced that it takes the machine back (preemption notice). */
    NOTICE(false),
    /** Its machine was lost, or was returned while the task was on it. */
    MACHINE(false);

    private final boolean onPurpose;

    Cause(boolean onPurpose) {
        this.onPurpose = onPurpose;
    }

    /**
     * Returns whether the scheduler decides the disruption freely, so that a budget may refuse it; other disruptions are charged but
     * never refused.
     */
    public boolean onPurpose() {
        return onPurpose;
    }
}
