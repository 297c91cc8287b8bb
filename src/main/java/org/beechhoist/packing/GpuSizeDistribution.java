package org.beechhoist.packing;

import java.util.Map;
import java.util.TreeMap;

/**
 * The distribution of the GPU counts that tasks request, from recent and open jobs. The free GPUs of a machine are a
 * fragment for a task that requests more than that; a task is placed where it adds the least to such fragments (the
 * fragmentation gradient of Weng et al., "Beware of
 * Fragmentation: Scheduling GPU-Sharing Workloads with Fragmentation Gradient Descent", USENIX ATC 2023, over sizes alone).
 */
public final class GpuSizeDistribution {
    /** The distribution without any sizes, for which nothing is a fragment. */
    public static final GpuSizeDistribution NONE = new GpuSizeDistribution(Map.of());

    private static final double EPSILON = 1e-6;

    private final double[] sizes;
    /** For each size, the fraction of all tasks that request at least that size. */
    private final double[] atLeast;

    /**
     * Creates the distribution.
     *
     * @param asked how often each size is requested
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

    /** Returns the free GPUs of a machine multiplied by the fraction of all tasks for which they are too few. */
    double fragmentedGpus(double free) {
        for (int i = 0; i < sizes.length; i++) {
            if (sizes[i] > free + EPSILON) {
                return free * atLeast[i];
            }
        }
        return 0;
    }

    /**
     * Returns the change of the fragmented GPUs of a machine with {@code free} free GPUs when a task takes {@code
     * takes} of them. It is negative if the task uses up a fragment.
     */
    public double fragmentationChange(double free, double takes) {
        return fragmentedGpus(free - takes) - fragmentedGpus(free);
    }
}
