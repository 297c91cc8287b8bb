package org.beechhoist.plan;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MachineType;

/** A machine in the plan: one that is up or booting, or one that could be rented. */
public final class PlanMachine {
    /** CPU count used for the cost per CPU of a machine type without CPUs. */
    private static final double MIN_CPUS = 0.01;

    private static final int MS_PER_SECOND = 1000;
    /** Initial size for images that become ready on one machine within one plan, which are few. */
    private static final int EXPECTED_IMAGE_COUNT = 4;

    final MachineId id;
    final MachineType type;
    final String zone;
    final boolean spot;
    final boolean up;
    final long readyMs;
    AvailabilityProfile profile;
    /**
     * The cached result of {@link #earliest}; the following fields hold its arguments and the change count of the
     * profile at that time.
     */
    private long cachedStartMs;

    private long cachedLengthMs;
    private long cachedFromMs = Long.MIN_VALUE;
    private double cachedCpus;
    private double cachedGpus;
    private double cachedMemGb;
    private int cachedChangeCount = -1;
    /** The images that the machine has. */
    private Set<String> cachedImages = Set.of();

    /** The images that the machine will have, with the time from which it has them. */
    private Map<String, Long> expectedImages = new HashMap<>(EXPECTED_IMAGE_COUNT);

    private final double costPerCpu;
    /** Whether elastic jobs may grow onto the machine. */
    boolean allowsElasticGrowth;
    /** Whether this plan places a task on the machine. */
    boolean planned;
    /** The earliest start found for the next task of the entry that is being placed; see {@link CandidateMachines}. */
    long candidateStartMs;

    /** How long the task would wait for its image on the machine. */
    long candidateFetchMs;
    /** The time at which its work would begin, plus the price expressed as a delay. */
    long candidateScoreMs;
    /** The free CPUs of the machine at that start. */
    double candidateFreeCpus;
    /**
     * The number of free GPUs that the task would make useless for larger ones; for a task without GPUs, all GPUs of
     * the machine.
     */
    double candidateFragmentation;

    /**
     * Creates a machine without tasks.
     *
     * @param readyMs the time from which it can run tasks
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

    /** Allows elastic jobs to grow onto the machine, which is up, healthy and not about to be returned. */
    public void allowElasticGrowth() {
        allowsElasticGrowth = true;
    }

    /** Reserves resources for a task that runs on the machine until {@code endMs}. */
    public void occupy(long endMs, double cpus, double gpus, double memGb) {
        profile.reserve(readyMs, endMs, cpus, gpus, memGb);
    }

    /** Sets the images that the machine has now; the set is not modified. */
    public void setCachedImages(Set<String> images) {
        cachedImages = images;
    }

    /** Records that the machine will have the image from {@code atMs} on. */
    public void addExpectedImage(String image, long atMs) {
        expectedImages.merge(image, atMs, Math::min);
    }

    /**
     * Returns the earliest start from {@code at} on. The last result is cached, because jobs of one class make the
     * same request one after the other.
     */
    long earliest(long at, long length, double cpus, double gpus, double memGb) {
        boolean nonDecreasing = profile.isNonDecreasing();
        if (cachedChangeCount == profile.changeCount()
                && cachedFromMs == at
                && cpus == cachedCpus
                && gpus == cachedGpus
                && memGb == cachedMemGb
                && (nonDecreasing || length == cachedLengthMs)) {
            return cachedStartMs;
        }
        cachedStartMs = profile.earliest(at, length, cpus, gpus, memGb);
        cachedLengthMs = length;
        cachedFromMs = at;
        cachedCpus = cpus;
        cachedGpus = gpus;
        cachedMemGb = memGb;
        cachedChangeCount = profile.changeCount();
        return cachedStartMs;
    }

    /** Returns how long a task that starts at {@code startMs} waits for its image. */
    long fetchMs(String image, double gb, long startMs) {
        if (cachedImages.contains(image)) {
            return 0;
        }
        Long readyAt = expectedImages.get(image);
        return readyAt != null ? Math.max(0, readyAt - startMs) : Math.round(MS_PER_SECOND * gb / type.fetchGbPerS());
    }

    double costPerCpu() {
        return costPerCpu;
    }

    /** Returns a copy for trial placements; the placement found for the next task is not copied. */
    PlanMachine copy() {
        PlanMachine machine = new PlanMachine(id, type, zone, spot, up, readyMs);
        machine.allowsElasticGrowth = allowsElasticGrowth;
        machine.profile = new AvailabilityProfile(profile);
        machine.cachedImages = cachedImages;
        machine.expectedImages = new HashMap<>(expectedImages);
        return machine;
    }
}
