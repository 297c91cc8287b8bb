package org.beechhoist.plan;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.beechhoist.packing.GpuSizeDistribution;
import org.beechhoist.wire.JobSpec;

/**
 * The machines that the tasks of one entry may use, ordered by the placement found for the next task: a binary heap
 * that is refilled for each entry. Each machine stores the placement that was found for the next task on it.
 */
final class CandidateMachines {
    /** Starts that differ by less than this are treated as equal; then fragmentation and price decide. */
    private static final long TIE_MS = 400;

    private static final double EPSILON = 1e-6;
    private static final int INITIAL_CAPACITY = 64;
    /**
     * The price of a machine, above the lowest price and as a multiple of it, for which an entry accepts its full
     * {@code patienceMs} as delay.
     */
    private static final int FULL_PATIENCE_PRICE_RATIO = 3;

    private final long nowMs;
    private final double lowestCost;
    private GpuSizeDistribution gpuSizes = GpuSizeDistribution.NONE;
    private PlanMachine[] heap = new PlanMachine[INITIAL_CAPACITY];
    private int count;
    private long gapSearchCount;
    private Plan.Entry entry;
    private AvailabilityProfile teamProfile;
    private AvailabilityProfile widthProfile;

    CandidateMachines(long nowMs, double lowestCost) {
        this.nowMs = nowMs;
        this.lowestCost = lowestCost;
    }

    void setGpuSizes(GpuSizeDistribution requested) {
        gpuSizes = requested;
    }

    /** Returns the number of gap searches. */
    long gapSearches() {
        return gapSearchCount;
    }

    boolean isEmpty() {
        return count == 0;
    }

    PlanMachine first() {
        return heap[0];
    }

    /**
     * Fills the heap with the machines that have a gap for one of the entry's tasks.
     *
     * @param onlyZone the zone to use, or null for all zones
     * @param team what the team's quota leaves free, or null if it is not limiting
     * @param width what the job's width limit leaves free, or null if there is no such limit
     */
    void fill(
            Map<String, List<PlanMachine>> zones,
            Plan.Entry forEntry,
            String onlyZone,
            AvailabilityProfile team,
            AvailabilityProfile width) {
        entry = forEntry;
        teamProfile = team;
        widthProfile = width;
        count = 0;
        for (Map.Entry<String, List<PlanMachine>> zone : zones.entrySet()) {
            if (onlyZone != null && !onlyZone.equals(zone.getKey())) {
                continue;
            }
            for (PlanMachine machine : zone.getValue()) {
                if ((!entry.hasWidthLimit() || machine.allowsElasticGrowth)
                        && entry.spec().mayRunOn(machine.type, machine.zone, machine.spot)
                        && findGap(machine)) {
                    add(machine);
                }
            }
        }
        for (int i = count / 2 - 1; i >= 0; i--) {
            siftDown(i);
        }
    }

    private void add(PlanMachine machine) {
        if (count == heap.length) {
            heap = Arrays.copyOf(heap, 2 * count);
        }
        heap[count++] = machine;
    }

    /**
     * Searches the first machine's gap again if a limit may have changed it. Returns false if the machine is no
     * longer first, because tasks placed since then use up the limit at that time; the machine is then moved
     * back or dropped.
     */
    boolean recheckFirst() {
        if (teamProfile == null && widthProfile == null) {
            return true;
        }
        PlanMachine machine = heap[0];
        long before = machine.candidateScoreMs;
        if (!findGap(machine)) {
            dropFirst();
            return false;
        }
        if (machine.candidateScoreMs > before) {
            siftDown(0);
            return false;
        }
        return true;
    }

    /** Searches the next gap on the first machine after a task was placed on it, and restores the heap order. */
    void updateFirst() {
        if (findGap(heap[0])) {
            siftDown(0);
        } else {
            dropFirst();
        }
    }

    void dropFirst() {
        count--;
        heap[0] = heap[count];
        heap[count] = null;
        if (count > 0) {
            siftDown(0);
        }
    }

    private void siftDown(int position) {
        PlanMachine machine = heap[position];
        int index = position;
        while (2 * index + 1 < count) {
            int child = 2 * index + 1;
            if (child + 1 < count && isBetter(heap[child + 1], heap[child])) {
                child++;
            }
            if (!isBetter(heap[child], machine)) {
                break;
            }
            heap[index] = heap[child];
            index = child;
        }
        heap[index] = machine;
    }

    /** Finds and scores the earliest gap for one of the entry's tasks on the machine; returns false if there is none. */
    private boolean findGap(PlanMachine machine) {
        JobSpec spec = entry.spec();
        gapSearchCount++;
        long at = Math.max(nowMs, Math.max(machine.readyMs, entry.notBeforeMs()));
        long length = entry.lengthMs() + machine.fetchMs(spec.image(), spec.imageGb(), at);
        long start = earliestStart(machine, at, length, spec);
        if (start == AvailabilityProfile.NEVER) {
            return false;
        }
        machine.candidateStartMs = start;
        machine.candidateFetchMs = machine.fetchMs(spec.image(), spec.imageGb(), start);
        machine.candidateScoreMs = start + machine.candidateFetchMs + pricePenaltyMs(machine);
        machine.candidateFreeCpus = machine.profile.freeCpusAt(start);
        machine.candidateFragmentation = fragmentation(machine, start, spec);
        return true;
    }

    /**
     * Returns the number of GPUs that a task fragments. For a task without GPUs these are all GPUs of the machine, so
     * that it avoids such machines if it can start as soon on another one.
     */
    private double fragmentation(PlanMachine machine, long start, JobSpec spec) {
        if (machine.type.gpus() == 0) {
            return 0;
        }
        if (spec.gpus() == 0) {
            return machine.type.gpus();
        }
        return gpuSizes.fragmentationChange(machine.profile.freeGpusAt(start), spec.gpus());
    }

    /**
     * Returns the earliest start that the machine, the team's quota and the width limit all allow, or {@link
     * AvailabilityProfile#NEVER}.
     */
    private long earliestStart(PlanMachine machine, long at, long length, JobSpec spec) {
        long start = at;
        while (true) {
            start = machine.earliest(start, length, spec.cpus(), spec.gpus(), spec.memGb());
            long allowed = start;
            if (teamProfile != null && allowed != AvailabilityProfile.NEVER) {
                allowed = teamProfile.earliest(allowed, length, spec.cpus(), spec.gpus(), 0);
            }
            if (widthProfile != null && allowed != AvailabilityProfile.NEVER) {
                allowed = widthProfile.earliest(allowed, length, 1, 0, 0);
            }
            if (allowed == start || allowed == AvailabilityProfile.NEVER) {
                return allowed;
            }
            start = allowed;
        }
    }

    /** Returns a machine's price as a delay: the time that the entry would rather wait for a machine at the lowest price. */
    private long pricePenaltyMs(PlanMachine machine) {
        double over = lowestCost > 0 ? (machine.costPerCpu() / lowestCost - 1) / FULL_PATIENCE_PRICE_RATIO : 0;
        return Math.round(entry.patienceMs() * Math.max(0, Math.min(1, over)));
    }

    /**
     * Returns whether the placement on the first machine is better than on the second: by start, fragmentation,
     * price, and then by free CPUs.
     */
    private boolean isBetter(PlanMachine first, PlanMachine second) {
        long firstStep = (first.candidateScoreMs - nowMs) / TIE_MS;
        long secondStep = (second.candidateScoreMs - nowMs) / TIE_MS;
        if (firstStep != secondStep) {
            return firstStep < secondStep;
        }
        if (Math.abs(first.candidateFragmentation - second.candidateFragmentation) > EPSILON) {
            return first.candidateFragmentation < second.candidateFragmentation;
        }
        if (first.costPerCpu() != second.costPerCpu()) {
            return first.costPerCpu() < second.costPerCpu();
        }
        return first.candidateFreeCpus != second.candidateFreeCpus
                ? first.candidateFreeCpus < second.candidateFreeCpus
                : first.candidateScoreMs < second.candidateScoreMs;
    }
}
