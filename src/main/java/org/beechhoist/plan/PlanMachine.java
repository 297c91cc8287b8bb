package org.beechhoist.plan;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MachineType;

/** A machine in the plan: up, booting, or one that might be rented. */
public final class PlanMachine {
    /** Stands for the CPUs of a machine type that has none. */
    private static final double MIN_CPUS = 0.01;

    private static final int MS_PER_SECOND = 1000;
    /** Few images become ready on one machine within one plan. */
    private static final int IMAGES_EXPECTED = 4;

    final MachineId id;
    final MachineType type;
    final String zone;
    final boolean spot;
    final boolean up;
    final long readyMs;
    AvailabilityProfile profile;
    /** The last answer of {@link #earliest}, the request it answered, and how often the profile had been changed then. */
    private long found;

    private long foundFor;
    private long foundAt = Long.MIN_VALUE;
    private double foundCpus;
    private double foundGpus;
    private double foundMem;
    private int foundChanges = -1;
    /** The images that it holds. */
    private Set<String> heldImages = Set.of();

    /** The images that it will hold, with the time from which on. */
    private Map<String, Long> imageReady = new HashMap<>(IMAGES_EXPECTED);

    private final double costPerCpu;
    /** Whether elastic jobs may grow onto it. */
    boolean allowsElasticGrowth;
    /** Whether this plan puts anything new on it. */
    boolean planned;
    /** The start of the best place for the next task of the entry that is being placed; see {@link CandidateMachines}. */
    long candidateStartMs;

    /** How long the task would wait there for its image. */
    long candidateFetchMs;
    /** When its work would begin, with the price as a delay added. */
    long candidateScoreMs;
    /** The CPUs that are free there at the start. */
    double candidateFreeCpus;
    /** Free GPUs that the task would make useless for larger ones; for a task without GPUs, all of the machine's. */
    double candidateFragmentation;

    /**
     * Makes a machine with nothing on it.
     *
     * @param readyMs from when on it can run tasks
     */
    public PlanMachine(MachineId id, MachineType type, String zone, boolean spot, boolean up, long readyMs) {
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.up = up;
        this.readyMs = readyMs;
        this.costPerCpu = type.priceOf(spot) / Math.max(MIN_CPUS, type.cpus());
        this.profile = new AvailabilityProfile(readyMs, type.cpus(), type.gpus(), type.memGb());
    }

    /** Allows elastic jobs to grow onto it: it is up, healthy, and stays. */
    public void allowElasticGrowth() {
        allowsElasticGrowth = true;
    }

    /** Enters something that is on it until {@code endMs}. */
    public void occupy(long endMs, double cpus, double gpus, double memGb) {
        profile.reserve(readyMs, endMs, cpus, gpus, memGb);
    }

    /** Sets the images that it holds now; the set is not changed here. */
    public void setCachedImages(Set<String> images) {
        heldImages = images;
    }

    /** Enters that it will hold the image from {@code atMs} on. */
    public void addExpectedImage(String image, long atMs) {
        imageReady.merge(image, atMs, Math::min);
    }

    /**
     * Returns the earliest start from {@code at} on. The last answer is kept, for jobs of one class ask the same of a machine one
     * after the other.
     */
    long earliest(long at, long length, double cpus, double gpus, double memGb) {
        boolean grows = profile.isNonDecreasing();
        if (foundChanges == profile.changeCount()
                && foundAt == at
                && cpus == foundCpus
                && gpus == foundGpus
                && memGb == foundMem
                && (grows || length == foundFor)) {
            return found;
        }
        found = profile.earliest(at, length, cpus, gpus, memGb);
        foundFor = length;
        foundAt = at;
        foundCpus = cpus;
        foundGpus = gpus;
        foundMem = memGb;
        foundChanges = profile.changeCount();
        return found;
    }

    /** Returns how long a task that starts at {@code startMs} waits for its image. */
    long fetchMs(String image, double gb, long startMs) {
        if (heldImages.contains(image)) {
            return 0;
        }
        Long readyAt = imageReady.get(image);
        return readyAt != null ? Math.max(0, readyAt - startMs) : Math.round(MS_PER_SECOND * gb / type.fetchGbPerS());
    }

    double costPerCpu() {
        return costPerCpu;
    }

    /** Returns a copy to try placements on; what was found for the next task is not copied. */
    PlanMachine copy() {
        PlanMachine machine = new PlanMachine(id, type, zone, spot, up, readyMs);
        machine.allowsElasticGrowth = allowsElasticGrowth;
        machine.profile = new AvailabilityProfile(profile);
        machine.heldImages = heldImages;
        machine.imageReady = new HashMap<>(imageReady);
        return machine;
    }
}
