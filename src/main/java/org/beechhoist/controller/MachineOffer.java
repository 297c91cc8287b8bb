package org.beechhoist.controller;

import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.MonotonicTime;

/** A kind of machine that can be rented: its type, its zone, and whether it is a spot machine. */
final class MachineOffer {
    private static final double MIN_AMOUNT = 0.01;

    final MachineType type;
    final String zone;
    final boolean spot;
    /** Machines requested and not answered yet. */
    int pendingCount;

    MonotonicTime refusedUntil = MonotonicTime.ZERO;
    /** When it was last refused or granted in part only; null: not since it was granted in full. */
    MonotonicTime shortageAt;
    /** Machines that the current plan needs. */
    int neededCount;

    MachineOffer(MachineType type, String zone, boolean spot) {
        this.type = type;
        this.zone = zone;
        this.spot = spot;
    }

    /** Returns a key that is the same for offers of one kind whose prices differ. */
    String key() {
        return type.name() + "/" + zone + "/" + spot;
    }

    /** Returns the price per GPU for jobs that need GPUs, and per CPU for others. */
    double costFor(JobSpec spec) {
        return type.priceOf(spot) / Math.max(MIN_AMOUNT, spec.gpus() > 0 ? type.gpus() : type.cpus());
    }

    /** Returns whether the job may run on such a machine. */
    boolean suits(JobSpec spec) {
        return spec.mayRunOn(type, zone, spot);
    }
}
