package org.beechhoist.floor;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Knows which jobs of a class are its largest, by the CPU time that they ask for: the largest half, quarter and tenth of a class are
 * groups beside class and team. A job's groups are fixed when it is recorded. The sizes that an earlier leader knew of a class are
 * used until this one has recorded enough jobs of it.
 */
public final class LargestJobGroups {
    /** The parts, and how many jobs of a class must have been recorded before a part is used. */
    private enum Part {
        HALF(50, 8),
        QUARTER(75, 12),
        TENTH(90, 20);

        private final double percentile;
        private final int minJobs;

        Part(double percentile, int minJobs) {
            this.percentile = percentile;
            this.minJobs = minJobs;
        }

        private String group(String jobClass) {
            return name().toLowerCase(Locale.ROOT) + ":" + jobClass;
        }
    }

    private static final int MAX_CLASSES = 64;
    /** Significant digits of the histograms. */
    private static final int DIGITS = 2;

    private static final long MAX_CPU_S = 100_000_000_000L;

    private final Map<String, Histogram> sizes = new LinkedHashMap<>();
    /** The least size of each part as an earlier leader knew it, by class. */
    private final Map<String, long[]> before = new TreeMap<>();

    /** Forgets all sizes, those of an earlier leader included. */
    public void clear() {
        sizes.clear();
        before.clear();
    }

    /** Records a job's size and returns the groups that it belongs to for it; none if too few jobs of its class are known. */
    public Set<String> recordJob(String jobClass, double cpuS) {
        long size = Math.max(1, Math.min(MAX_CPU_S, Math.round(cpuS)));
        if (!sizes.containsKey(jobClass) && sizes.size() == MAX_CLASSES) {
            return Set.of();
        }
        sizes.computeIfAbsent(jobClass, name -> new Histogram(DIGITS)).recordValue(size);
        Set<String> out = new LinkedHashSet<>();
        for (Part part : Part.values()) {
            long minSize = minSize(jobClass, part);
            if (minSize > 0 && size >= minSize) {
                out.add(part.group(jobClass));
            }
        }
        return out;
    }

    /** Returns the least size that belongs to the part; 0 if it is not known. */
    private long minSize(String jobClass, Part part) {
        Histogram histogram = sizes.get(jobClass);
        if (histogram != null && histogram.getTotalCount() >= part.minJobs) {
            // Of a class whose jobs are all of the same size none is large.
            long at = histogram.getValueAtPercentile(part.percentile);
            return histogram.valuesAreEquivalent(at, histogram.getMinValue()) ? 0 : at;
        }
        long[] old = before.get(jobClass);
        return old == null || old.length != Part.values().length ? 0 : old[part.ordinal()];
    }

    /** Returns what the next leader needs: the least size of each part, by class. */
    public Map<String, long[]> minSizes() {
        Map<String, long[]> out = new TreeMap<>(before);
        for (String jobClass : sizes.keySet()) {
            long[] row = new long[Part.values().length];
            for (Part part : Part.values()) {
                row[part.ordinal()] = minSize(jobClass, part);
            }
            out.put(jobClass, row);
        }
        return out;
    }

    /** Sets the least size of each part as an earlier leader knew it. */
    public void restoreMinSizes(String jobClass, long[] minSizes) {
        if (before.size() < MAX_CLASSES) {
            before.put(jobClass, minSizes.clone());
        }
    }

    /** Returns whether a group is one of size; such a group is compared with classes, for whose sake its jobs wait. */
    public static boolean isSizeGroup(String group) {
        for (Part part : Part.values()) {
            if (group.startsWith(part.group(""))) {
                return true;
            }
        }
        return false;
    }
}
