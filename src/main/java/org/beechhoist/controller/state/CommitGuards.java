package org.beechhoist.controller.state;

import java.util.Set;
import org.beechhoist.store.Transaction;

/** Conditions on writing a job's new placements, in addition to the version of its record. */
public interface CommitGuards {
    /**
     * Returns whether the job's placements may be written now. The decision is based on the version that {@link #addGuard} adds to
     * the transaction.
     */
    boolean mayWrite(Job job);

    /** Returns the key that guards the job's new placements, or null if there is none. */
    String guardKey(Job job);

    /** Adds the guard on {@link #guardKey} to the transaction. */
    void addGuard(Transaction transaction, Job job);

    /**
     * Handles a conflict and returns whether only guards of this interface failed.
     *
     * @param failedKeys all keys whose guard failed
     * @return true if none of them is a job's key, so that the other writes can be sent again at once
     */
    boolean handleGuardConflict(Set<String> failedKeys);
}
