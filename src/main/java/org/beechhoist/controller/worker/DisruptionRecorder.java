package org.beechhoist.controller.worker;

import org.beechhoist.drain.Cause;
import org.beechhoist.store.Placement;

/** Is told of each task that has to leave its machine though it could go on. */
public interface DisruptionRecorder {
    /** A task has to leave its machine for this cause. */
    void recordDisruption(Placement placement, Cause cause);
}
