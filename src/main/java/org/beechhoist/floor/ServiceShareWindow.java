package org.beechhoist.floor;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts what was asked and served within the last minutes, by group, in steps of time. Memory is bounded by the number of steps and
 * by the number of groups, beyond which new ones are not counted.
 */
public final class ServiceShareWindow {
    /** The length of a step. */
    public static final long STEP_MS = 15_000;

    /** The number of steps that count. */
    public static final int STEP_COUNT = 20;

    private static final int MAX_GROUPS = 256;

    /** The counts by group, then by step; a step is numbered by the time of day, so that leaders agree on it. */
    private final Map<String, TreeMap<Long, ServiceShare>> groups = new LinkedHashMap<>();

    /** Counts one job of the group: its time is up, or it was over before that. */
    public void recordOutcome(String group, long wallMs, boolean served) {
        addCounts(group, wallMs / STEP_MS, new ServiceShare(1, served ? 1 : 0));
    }

    /** Adds what an earlier leader counted. */
    public void addCounts(String group, long step, ServiceShare share) {
        if (groups.containsKey(group) || groups.size() < MAX_GROUPS) {
            groups.computeIfAbsent(group, name -> new TreeMap<>()).merge(step, share, ServiceShare::plus);
        }
    }

    /** Returns the sums of the steps that count, by group; groups of which nothing counts any more are forgotten. */
    public Map<String, ServiceShare> shares(long wallMs) {
        long first = wallMs / STEP_MS - STEP_COUNT;
        Map<String, ServiceShare> out = new TreeMap<>();
        groups.values().removeIf(steps -> {
            steps.headMap(first, true).clear();
            return steps.isEmpty();
        });
        groups.forEach((group, steps) ->
                out.put(group, steps.values().stream().reduce(new ServiceShare(0, 0), ServiceShare::plus)));
        return out;
    }

    /** Returns all steps that count, by group, to be stored. */
    public Map<String, Map<Long, ServiceShare>> stepsByGroup(long wallMs) {
        shares(wallMs);
        Map<String, Map<Long, ServiceShare>> out = new TreeMap<>();
        groups.forEach((group, steps) -> out.put(group, new TreeMap<>(steps)));
        return out;
    }

    /** Forgets all counts. */
    public void clear() {
        groups.clear();
    }
}
