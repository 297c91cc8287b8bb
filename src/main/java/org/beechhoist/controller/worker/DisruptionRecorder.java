package org.beechhoist.controller.worker;

import org.beechhoist.drain.Cause;
import org.beechhoist.store.Placement;

/** Records each task that has to leave its machine though it could continue. */
public interface DisruptionRecorder {
    /** Records that a task has to leave its machine for this cause. */
    void recordDisruption(Placement placement, Cause cause);
}
