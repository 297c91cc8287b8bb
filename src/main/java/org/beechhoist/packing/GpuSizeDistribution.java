package org.beechhoist.packing;

import java.util.Map;
import java.util.TreeMap;

/**
 * The sizes of tasks, in GPUs, that are asked for: lately, and by open jobs. What is free on a machine is a fragment for a task that
 * asks for more than that; a task goes where it adds the least to such fragments (the fragmentation gradient of Weng et al., "Beware of
 * Fragmentation: Scheduling GPU-Sharing Workloads with Fragmentation Gradient Descent", USENIX ATC 2023, over sizes alone).
 */
public final class GpuSizeDistribution {
    /** No sizes are known: nothing counts as a fragment. */
    public static final GpuSizeDistribution NONE = new GpuSizeDistribution(Map.of());

    private static final double EPSILON = 1e-6;

    private final double[] sizes;
    /** For each of the sizes, the part of all tasks that asks for it or more. */
    private final double[] atLeast;

    /**
     * Makes the distribution of sizes.
     *
     * @param asked how often each size is asked for
     */
    public GpuSizeDistribution(Map<Double, Double> asked) {
        TreeMap<Double, Double> sorted = new TreeMap<>(asked);
        sizes = new double[sorted.size()];
        atLeast = new double[sorted.size()];
        double all = sorted.values().stream().mapToDouble(Double::doubleValue).sum();
        double left = all;
        int index = 0;
        for (Map.Entry<Double, Double> entry : sorted.entrySet()) {
            sizes[index] = entry.getKey();
            atLeast[index] = all == 0 ? 0 : left / all;
            index++;
            left -= entry.getValue();
        }
    }

    /** Returns the free GPUs of a machine, times the part of all tasks for which they are too few. */
    double fragmentedGpus(double free) {
        for (int i = 0; i < sizes.length; i++) {
            if (sizes[i] > free + EPSILON) {
                return free * atLeast[i];
            }
        }
        return 0;
    }

    /**
     * Returns by how much the fragment of a machine with so many GPUs free grows when a task takes so many; it is negative where the
     * task uses up a fragment.
     */
    public double fragmentationChange(double free, double takes) {
        return fragmentedGpus(free - takes) - fragmentedGpus(free);
    }
}
