package org.beechhoist.plan;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.beechhoist.packing.GpuSizeDistribution;
import org.beechhoist.wire.JobSpec;

/**
 * The machines that the tasks of one entry may use, the best place for its next task first: a binary heap that is filled anew
 * for each entry. Each machine holds the place that was found for the next task on it.
 */
final class CandidateMachines {
    /** Begins closer together than this are equally good, and fragmentation and price decide. */
    private static final long TIE_MS = 400;

    private static final double EPSILON = 1e-6;
    private static final int INITIAL_CAPACITY = 64;
    /** An entry's whole patience is worth a price higher than the lowest by this many times the lowest. */
    private static final int PRICE_RANGE = 3;

    private final long nowMs;
    private final double lowestCost;
    private GpuSizeDistribution sizes = GpuSizeDistribution.NONE;
    private PlanMachine[] heap = new PlanMachine[INITIAL_CAPACITY];
    private int count;
    private long searches;
    private Plan.Entry entry;
    private AvailabilityProfile teamProfile;
    private AvailabilityProfile widthProfile;

    CandidateMachines(long nowMs, double lowestCost) {
        this.nowMs = nowMs;
        this.lowestCost = lowestCost;
    }

    void setGpuSizes(GpuSizeDistribution asked) {
        sizes = asked;
    }

    /** Returns how many gaps were looked for. */
    long gapSearches() {
        return searches;
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
     * @param onlyZone the zone to use, or null for all
     * @param team what the team's limit leaves free, or null if it does not bind
     * @param width what the job's width limit leaves free, or null if it has none
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
                        && findPlace(machine)) {
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
     * Looks for the first machine's place again if a limit may have changed it. Returns false if it is no longer the place that put
     * the machine first, because other tasks have taken that moment of the limit meanwhile; the machine is then moved back or dropped.
     */
    boolean recheckFirst() {
        if (teamProfile == null && widthProfile == null) {
            return true;
        }
        PlanMachine machine = heap[0];
        long before = machine.candidateScoreMs;
        if (!findPlace(machine)) {
            dropFirst();
            return false;
        }
        if (machine.candidateScoreMs > before) {
            siftDown(0);
            return false;
        }
        return true;
    }

    /** Looks for the next place on the first machine, after it took a task, and moves the machine to where it belongs. */
    void updateFirst() {
        if (findPlace(heap[0])) {
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
            if (child + 1 < count && better(heap[child + 1], heap[child])) {
                child++;
            }
            if (!better(heap[child], machine)) {
                break;
            }
            heap[index] = heap[child];
            index = child;
        }
        heap[index] = machine;
    }

    /** Finds the earliest gap for one of the entry's tasks on the machine, and what that place is worth; false if there is none. */
    private boolean findPlace(PlanMachine machine) {
        JobSpec spec = entry.spec();
        searches++;
        long at = Math.max(nowMs, Math.max(machine.readyMs, entry.notBeforeMs()));
        long length = entry.lengthMs() + machine.fetchMs(spec.image(), spec.imageGb(), at);
        long start = earliestStart(machine, at, length, spec);
        if (start == AvailabilityProfile.NEVER) {
            return false;
        }
        machine.candidateStartMs = start;
        machine.candidateFetchMs = machine.fetchMs(spec.image(), spec.imageGb(), start);
        machine.candidateScoreMs = start + machine.candidateFetchMs + priceInMs(machine);
        machine.candidateFreeCpus = machine.profile.freeCpusAt(start);
        machine.candidateFragmentation = fragmentation(machine, start, spec);
        return true;
    }

    /** Returns the GPUs that a task breaks; one without GPUs keeps off machines that have some, where it is as soon elsewhere. */
    private double fragmentation(PlanMachine machine, long start, JobSpec spec) {
        if (machine.type.gpus() == 0) {
            return 0;
        }
        if (spec.gpus() == 0) {
            return machine.type.gpus();
        }
        return sizes.fragmentationChange(machine.profile.freeGpusAt(start), spec.gpus());
    }

    /** Returns the earliest start that the machine, the team's limit and the width limit all allow, or {@link AvailabilityProfile#NEVER}. */
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

    /** Returns a machine's price as the delay that a cheap machine would be worth waiting for. */
    private long priceInMs(PlanMachine machine) {
        double over = lowestCost > 0 ? (machine.costPerCpu() / lowestCost - 1) / PRICE_RANGE : 0;
        return Math.round(entry.patienceMs() * Math.max(0, Math.min(1, over)));
    }

    /** Whether the place on one machine is better: by begin, fragmentation, price, and then what is free. */
    private boolean better(PlanMachine machine, PlanMachine than) {
        long step = (machine.candidateScoreMs - nowMs) / TIE_MS;
        long other = (than.candidateScoreMs - nowMs) / TIE_MS;
        if (step != other) {
            return step < other;
        }
        if (Math.abs(machine.candidateFragmentation - than.candidateFragmentation) > EPSILON) {
            return machine.candidateFragmentation < than.candidateFragmentation;
        }
        if (machine.costPerCpu() != than.costPerCpu()) {
            return machine.costPerCpu() < than.costPerCpu();
        }
        return machine.candidateFreeCpus != than.candidateFreeCpus
                ? machine.candidateFreeCpus < than.candidateFreeCpus
                : machine.candidateScoreMs < than.candidateScoreMs;
    }
}
