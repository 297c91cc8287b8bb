package org.beechhoist.controller.worker;

import org.beechhoist.controller.state.Machine;
import org.beechhoist.wire.MachineId;

/** Returns machines to the cloud. */
public interface MachineReleases {
    /** Whether the machine has been returned, and all that may still come of it is late. */
    boolean isReleased(MachineId machine);

    /** Has the machine returned to the cloud, with all that is on it. */
    void releaseMachine(Machine machine, String cause);
}
