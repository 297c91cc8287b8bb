package org.beechhoist.controller.worker;

import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.store.Placement;

/** Decides whether a committed placement that was not launched yet is taken back. */
public interface LaunchWithdrawal {
    /** Whether the placement must not be launched any more. */
    boolean shouldWithdraw(Job job, Placement placement, Machine machine);
}
