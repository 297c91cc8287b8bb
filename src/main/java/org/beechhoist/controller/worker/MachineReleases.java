package org.beechhoist.controller.worker;

import org.beechhoist.controller.state.Machine;
import org.beechhoist.wire.MachineId;

/** Checks machines, and returns them to the cloud. */
public interface MachineReleases {
    /** Returns whether the machine has been returned, so that any message that still comes from it is late. */
    boolean isReleased(MachineId machine);

    /** Probes the machine at once, because its worker may have restarted. */
    void probeForRestart(Machine machine);

    /** Returns the machine to the cloud, with all its tasks; the cause is only logged. */
    void releaseMachine(Machine machine, String cause);
}
