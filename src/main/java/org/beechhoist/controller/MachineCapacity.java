package org.beechhoist.controller;

import org.beechhoist.wire.JobSpec;

/** The free capacity of a machine that is booting or about to be rented. */
final class MachineCapacity {
    final MachineOffer offer;
    private double cpus;
    private double gpus;
    private double memGb;

    MachineCapacity(MachineOffer offer) {
        this.offer = offer;
        cpus = offer.type.cpus();
        gpus = offer.type.gpus();
        memGb = offer.type.memGb();
    }

    /** Deducts the resources of one task, or returns false if the task does not fit. */
    boolean tryTake(JobSpec spec) {
        if (cpus < spec.cpus() || gpus < spec.gpus() || memGb < spec.memGb()) {
            return false;
        }
        cpus -= spec.cpus();
        gpus -= spec.gpus();
        memGb -= spec.memGb();
        return true;
    }
}
