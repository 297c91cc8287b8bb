package org.beechhoist.controller.state;

import java.util.Set;
import org.beechhoist.store.Transaction;

/** Conditions beyond a job's own version under which its new placements may be written. */
public interface CommitGuards {
    /**
     * Whether the job's placements may be written now. The decision is made on the same version that {@link #addGuard} names in the
     * transaction.
     */
    boolean mayWrite(Job job);

    /** The key that guards the job's new placements, or null where none does. */
    String guardKey(Job job);

    /** Adds the guard of {@link #guardKey} to the transaction. */
    void addGuard(Transaction transaction, Job job);

    /**
     * Whether a transaction failed for these guards alone.
     *
     * @param failed all keys whose guard failed
     * @return true if none of them is a job's: the other writes can be sent again at once
     */
    boolean handleGuardConflict(Set<String> failed);
}
