package org.beechhoist.floor;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the jobs that were due and served within the last minutes, by group and time step. Memory is bounded by the
 * number of steps and the number of groups; groups beyond that number are not counted.
 */
public final class ServiceShareWindow {
    /** The length of a time step. */
    public static final long STEP_MS = 15_000;

    /** The number of steps in the window. */
    public static final int STEP_COUNT = 20;

    private static final int MAX_GROUPS = 256;

    /** The counts by group, then by step. Steps are numbered by wall-clock time, so that all leaders number them alike. */
    private final Map<String, TreeMap<Long, ServiceShare>> groups = new LinkedHashMap<>();

    /** Counts one job of the group that has finished or whose time limit has passed. */
    public void recordOutcome(String group, long wallMs, boolean served) {
        addCounts(group, wallMs / STEP_MS, new ServiceShare(1, served ? 1 : 0));
    }

    /** Adds the counts of an earlier leader. */
    public void addCounts(String group, long step, ServiceShare share) {
        if (groups.containsKey(group) || groups.size() < MAX_GROUPS) {
            groups.computeIfAbsent(group, name -> new TreeMap<>()).merge(step, share, ServiceShare::plus);
        }
    }

    /** Returns the sums over the window, by group, and removes groups without counts in the window. */
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

    /** Returns all steps in the window, by group, to be stored. */
    public Map<String, Map<Long, ServiceShare>> stepsByGroup(long wallMs) {
        shares(wallMs);
        Map<String, Map<Long, ServiceShare>> out = new TreeMap<>();
        groups.forEach((group, steps) -> out.put(group, new TreeMap<>(steps)));
        return out;
    }

    /** Removes all counts. */
    public void clear() {
        groups.clear();
    }
}
