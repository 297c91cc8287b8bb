package org.beechhoist.packing;

import java.util.Map;
import java.util.TreeMap;

/**
 * The sizes, in GPUs a task, that are asked for: lately, and by what is open. What is free on a machine is a fragment for whoever
 * asks for more than that; a task goes where it makes the least of such (the fragmentation gradient of Weng et al., "Beware of
 * Fragmentation: Scheduling GPU-Sharing Workloads with Fragmentation Gradient Descent", USENIX ATC 2023, over sizes alone).
 */
public final class Sizes {
    public static final Sizes NONE = new Sizes(Map.of());
    private static final double EPSILON = 1e-6;

    private final double[] sizes;
    /** The part of all tasks that asks for this size or more, by size. */
    private final double[] atLeast;

    /** @param asked how often each size is asked for */
    public Sizes(Map<Double, Double> asked) {
        TreeMap<Double, Double> sorted = new TreeMap<>(asked);
        sizes = new double[sorted.size()];
        atLeast = new double[sorted.size()];
        double all = sorted.values().stream().mapToDouble(Double::doubleValue).sum();
        double left = all;
        int index = 0;
        for (Map.Entry<Double, Double> entry : sorted.entrySet()) {
            sizes[index] = entry.getKey();
            atLeast[index++] = all == 0 ? 0 : left / all;
            left -= entry.getValue();
        }
    }

    /** Free GPUs of a machine, by the part of tasks that can't use them for there are too few. */
    double fragment(double free) {
        for (int i = 0; i < sizes.length; i++) {
            if (sizes[i] > free + EPSILON) {
                return free * atLeast[i];
            }
        }
        return 0;
    }

    /** What a task that takes so many breaks on a machine with so many free; less than nothing where it uses up a fragment. */
    public double broken(double free, double takes) {
        return fragment(free - takes) - fragment(free);
    }
}
