package org.beechhoist.plan;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MachineType;

/** A machine in the plan: up, booting, or one that might be rented. */
public final class PlanHost {
    final MachineId id;
    final MachineType type;
    final String zone;
    final boolean spot;
    final boolean up;
    final long readyMs;
    Profile profile;
    /** The last answer of {@link #earliest}, for which need, and how often the profile had been changed then. */
    private long found;

    private long foundFor;
    private long foundAt = Long.MIN_VALUE;
    private double foundCpus;
    private double foundGpus;
    private double foundMem;
    private int foundChanges = -1;
    /** Images that it holds; and those that it will hold from a time on. */
    private Set<String> held = Set.of();

    private Map<String, Long> imageReady = new HashMap<>(4);
    private final double costPerCpu;
    /** Whether elastic jobs may grow onto it. */
    boolean widens;
    /** Whether this plan puts anything new on it. */
    boolean planned;
    /** The best place for the next task of the entry being placed: see {@link Plan}. */
    long start;

    long fetch;
    long score;
    double free;
    /** GPUs that it would break for larger tasks, and for a task without GPUs what it would take from those that have some. */
    double breaks;

    public PlanHost(MachineId id, MachineType type, String zone, boolean spot, boolean up, long readyMs) {
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.up = up;
        this.readyMs = readyMs;
        this.costPerCpu = type.priceOf(spot) / Math.max(0.01, type.cpus());
        this.profile = new Profile(readyMs, type.cpus(), type.gpus(), type.memGb());
    }

    /** Elastic jobs may grow onto it: it is up, well, and stays. */
    public void mayWiden() {
        widens = true;
    }

    /** Something is on it until {@code endMs}. */
    public void occupy(long endMs, double cpus, double gpus, double memGb) {
        profile.take(readyMs, endMs, cpus, gpus, memGb);
    }

    /** It holds these images now; the set is not changed here. */
    public void holds(Set<String> images) {
        held = images;
    }

    /** It holds the image from {@code atMs} on. */
    public void image(String image, long atMs) {
        imageReady.merge(image, atMs, Math::min);
    }

    /** The earliest start from {@code at} on; jobs of one class ask the same of a machine one after the other. */
    long earliest(long at, long length, double cpus, double gpus, double memGb) {
        boolean grows = profile.grows();
        if (foundChanges == profile.changes()
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
        foundChanges = profile.changes();
        return found;
    }

    /** How long a task that starts at {@code startMs} waits for its image. */
    long fetchMs(String image, double gb, long startMs) {
        if (held.contains(image)) {
            return 0;
        }
        Long at = imageReady.get(image);
        return at != null ? Math.max(0, at - startMs) : Math.round(1000 * gb / type.fetchGbPerS());
    }

    double costPerCpu() {
        return costPerCpu;
    }

    PlanHost copy() {
        PlanHost machine = new PlanHost(id, type, zone, spot, up, readyMs);
        machine.widens = widens;
        machine.profile = new Profile(profile);
        machine.held = held;
        machine.imageReady = new HashMap<>(imageReady);
        return machine;
    }
}
