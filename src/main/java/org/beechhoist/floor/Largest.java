package org.beechhoist.floor;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Which of a class's jobs are its largest, by what they ask for: a group beside class and team for each of the largest half,
 * quarter and tenth. A job's groups are fixed when it is first met. What an earlier leader knew of a class's sizes serves until
 * this one has met enough jobs of it.
 */
public final class Largest {
    /** The parts, and how many jobs of a class must have been met for one of them to mean anything. */
    private enum Part {
        HALF(50, 8),
        QUARTER(75, 12),
        TENTH(90, 20);

        private final double percentile;
        private final int least;

        Part(double percentile, int least) {
            this.percentile = percentile;
            this.least = least;
        }

        private String group(String jobClass) {
            return name().toLowerCase(java.util.Locale.ROOT) + ":" + jobClass;
        }
    }

    private static final int MOST_CLASSES = 64;
    private static final int DIGITS = 2;
    private static final long MOST_CPU_S = 100_000_000_000L;

    private final Map<String, Histogram> sizes = new LinkedHashMap<>();
    /** By class: the least size of each part, as an earlier leader knew it. */
    private final Map<String, long[]> before = new TreeMap<>();

    public void clear() {
        sizes.clear();
        before.clear();
    }

    /** Meets a job: the groups that it belongs to for its size, none where too few of its class are known. */
    public Set<String> meet(String jobClass, double cpuS) {
        long size = Math.max(1, Math.min(MOST_CPU_S, Math.round(cpuS)));
        if (!sizes.containsKey(jobClass) && sizes.size() == MOST_CLASSES) {
            return Set.of();
        }
        sizes.computeIfAbsent(jobClass, k -> new Histogram(DIGITS)).recordValue(size);
        Set<String> out = new LinkedHashSet<>();
        for (Part part : Part.values()) {
            long from = from(jobClass, part);
            if (from > 0 && size >= from) {
                out.add(part.group(jobClass));
            }
        }
        return out;
    }

    /** The least size that belongs to the part; 0: nothing can be said. */
    private long from(String jobClass, Part part) {
        Histogram histogram = sizes.get(jobClass);
        if (histogram != null && histogram.getTotalCount() >= part.least) {
            // Of a class whose jobs are all alike none is large.
            long at = histogram.getValueAtPercentile(part.percentile);
            return histogram.valuesAreEquivalent(at, histogram.getMinValue()) ? 0 : at;
        }
        long[] old = before.get(jobClass);
        return old == null || old.length != Part.values().length ? 0 : old[part.ordinal()];
    }

    /** What the next leader needs: by class, the least size of each part. */
    public Map<String, long[]> known() {
        Map<String, long[]> out = new TreeMap<>(before);
        for (String jobClass : sizes.keySet()) {
            long[] row = new long[Part.values().length];
            for (Part p : Part.values()) {
                row[p.ordinal()] = from(jobClass, p);
            }
            out.put(jobClass, row);
        }
        return out;
    }

    /** Takes over what an earlier leader knew. */
    public void take(String jobClass, long[] from) {
        if (before.size() < MOST_CLASSES) {
            before.put(jobClass, from.clone());
        }
    }

    /** Whether a group is one of size: it is held against classes and teams, for whose sake its jobs wait. */
    public static boolean ofSize(String group) {
        for (Part part : Part.values()) {
            if (group.startsWith(part.group(""))) {
                return true;
            }
        }
        return false;
    }
}
