package org.beechhoist.controller;

import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.MonotonicTime;

/** A combination of machine type, zone and spot or ordinary rental that the cloud offers. */
final class MachineOffer {
    private static final double MIN_AMOUNT = 0.01;

    final MachineType type;
    final String zone;
    final boolean spot;
    /** Machines requested whose request is not answered yet. */
    int pendingCount;

    MonotonicTime refusedUntil = MonotonicTime.ZERO;
    /** The time of the last refusal or partial grant; null if there was none since the last full grant. */
    MonotonicTime shortageAt;
    /** Machines still to be requested for the current plan. */
    int neededCount;

    MachineOffer(MachineType type, String zone, boolean spot) {
        this.type = type;
        this.zone = zone;
        this.spot = spot;
    }

    /** Returns a key that does not depend on the price. */
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
