package org.beechhoist.controller.worker;

import org.beechhoist.controller.state.Job;

/** The holds of jobs: nothing of a held job may run until the hold is lifted. */
public interface JobHolds {
    /** The wall-clock time by which every task of the held job must be gone. */
    long terminationDeadlineWallMs(Job job);
}
