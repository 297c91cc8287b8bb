package org.beechhoist.floor;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Determines the largest jobs of each class, by requested CPU time: the largest half, quarter and tenth of a class
 * are groups in addition to class and team. A job's groups are fixed when it is recorded. The sizes restored from an
 * earlier leader are used until this leader has recorded enough jobs of a class.
 */
public final class LargestJobGroups {
    /** The fractions of a class, each with the number of recorded jobs of the class that it requires. */
    private enum Fraction {
        HALF(50, 8),
        QUARTER(75, 12),
        TENTH(90, 20);

        private final double percentile;
        private final int minJobs;

        Fraction(double percentile, int minJobs) {
            this.percentile = percentile;
            this.minJobs = minJobs;
        }

        private String group(String jobClass) {
            return name().toLowerCase(Locale.ROOT) + ":" + jobClass;
        }
    }

    private static final int MAX_CLASSES = 64;
    /** Number of significant digits of the histograms. */
    private static final int HISTOGRAM_DIGIT_COUNT = 2;

    private static final long MAX_CPU_S = 100_000_000_000L;

    private final Map<String, Histogram> sizes = new LinkedHashMap<>();
    /** The smallest size of each fraction, by class, restored from an earlier leader. */
    private final Map<String, long[]> restoredMinSizes = new TreeMap<>();

    /** Removes all sizes, including those restored from an earlier leader. */
    public void clear() {
        sizes.clear();
        restoredMinSizes.clear();
    }

    /** Records a job's size and returns the size groups that it belongs to; none if too few jobs of its class are known. */
    public Set<String> recordJob(String jobClass, double cpuS) {
        long size = Math.max(1, Math.min(MAX_CPU_S, Math.round(cpuS)));
        if (!sizes.containsKey(jobClass) && sizes.size() == MAX_CLASSES) {
            return Set.of();
        }
        sizes.computeIfAbsent(jobClass, name -> new Histogram(HISTOGRAM_DIGIT_COUNT))
                .recordValue(size);
        Set<String> out = new LinkedHashSet<>();
        for (Fraction fraction : Fraction.values()) {
            long minSize = minSize(jobClass, fraction);
            if (minSize > 0 && size >= minSize) {
                out.add(fraction.group(jobClass));
            }
        }
        return out;
    }

    /** Returns the smallest size that belongs to the fraction; 0 if it is not known. */
    private long minSize(String jobClass, Fraction fraction) {
        Histogram histogram = sizes.get(jobClass);
        if (histogram != null && histogram.getTotalCount() >= fraction.minJobs) {
            // If all jobs of a class have the same size, none of them is large.
            long at = histogram.getValueAtPercentile(fraction.percentile);
            return histogram.valuesAreEquivalent(at, histogram.getMinValue()) ? 0 : at;
        }
        long[] old = restoredMinSizes.get(jobClass);
        return old == null || old.length != Fraction.values().length ? 0 : old[fraction.ordinal()];
    }

    /** Returns the smallest size of each fraction, by class, to be stored for the next leader. */
    public Map<String, long[]> minSizes() {
        Map<String, long[]> out = new TreeMap<>(restoredMinSizes);
        for (String jobClass : sizes.keySet()) {
            long[] row = new long[Fraction.values().length];
            for (Fraction fraction : Fraction.values()) {
                row[fraction.ordinal()] = minSize(jobClass, fraction);
            }
            out.put(jobClass, row);
        }
        return out;
    }

    /** Restores the smallest size of each fraction, as stored by an earlier leader. */
    public void restoreMinSizes(String jobClass, long[] minSizes) {
        if (restoredMinSizes.size() < MAX_CLASSES) {
            restoredMinSizes.put(jobClass, minSizes.clone());
        }
    }

    /**
     * Returns whether a group is a size group. Size groups are compared with classes, because their jobs wait in
     * favor of the other jobs of a class.
     */
    public static boolean isSizeGroup(String group) {
        for (Fraction fraction : Fraction.values()) {
            if (group.startsWith(fraction.group(""))) {
                return true;
            }
        }
        return false;
    }
}
