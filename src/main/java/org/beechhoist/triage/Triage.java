package org.beechhoist.triage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import org.beechhoist.wire.JobRef;

/**
 * Under overload the order by deadlines begins every job as late as it may, and nearly all of them end just too late. Here as
 * many as possible are kept that can be in time, by Moore and Hodgson's rule: take the jobs by when they are due, and where one
 * would be late, leave the largest taken so far behind. Machines are taken for one that is as fast as all of them; a team's
 * limit for another that its jobs have to get through as well.
 */
public final class Triage {
    /** Rooms are not filled to the last CPU: tasks do not fit, images are fetched, machines stop. */
    private static final double FILLED = 0.9;
    /** A job is over with its longest task, which takes more than its owner's guess of the usual one. */
    private static final double LONGEST = 1.25;

    /** One queue that jobs have to get through: all machines, or a team's limit. */
    private static final class Line {
        private final double cpus;
        private double cpuMs;
        /** Taken so far in this rank, the largest first; some of them were left behind for another line's sake. */
        private final PriorityQueue<Demand> taken = new PriorityQueue<>(
                Comparator.comparingDouble(Demand::cpuMs).reversed()
                        .thenComparing(Comparator.comparingLong(Demand::dueMs).reversed()).thenComparing(Demand::job));

        Line(double cpus, double busyCpuMs) {
            this.cpus = cpus;
            this.cpuMs = busyCpuMs;
        }

        boolean inTime(Demand d, long nowMs) {
            double through = cpuMs / (FILLED * cpus) + LONGEST * d.lengthMs() / 2;
            return nowMs + Math.max(LONGEST * d.lengthMs(), through) <= d.dueMs();
        }
    }

    private final Means means;
    private final Line machines;
    private final Map<String, Line> teams = new HashMap<>();
    private final Set<JobRef> behind = new HashSet<>();

    private Triage(Means means) {
        this.means = means;
        this.machines = new Line(means.cpus(), means.busyCpuMs());
        means.teams().forEach((name, t) -> teams.put(name, new Line(t.cpus(), t.busyCpuMs())));
    }

    /** The jobs that are left behind, so that others are in time; empty where all can be, or no machine is there. */
    public static Set<JobRef> behind(List<Demand> demands, Means means) {
        if (means.cpus() <= 0) {
            return Set.of();
        }
        Triage t = new Triage(means);
        Map<Integer, List<Demand>> byRank = new TreeMap<>();
        demands.forEach(d -> byRank.computeIfAbsent(d.rank(), k -> new ArrayList<>()).add(d));
        byRank.values().forEach(t::rank);
        return t.behind;
    }

    /** Takes one rank's jobs; what is kept of it goes before the next rank's. */
    private void rank(List<Demand> demands) {
        demands.sort(Comparator.comparingLong(Demand::dueMs).thenComparing(Demand::job));
        machines.taken.clear();
        teams.values().forEach(l -> l.taken.clear());
        for (Demand d : demands) {
            Line team = teams.get(d.team());
            if (d.dueMs() == Demand.NO_DUE) {
                continue; // it waits for all that can be late, and delays none of them
            }
            take(d, machines);
            if (team != null) {
                take(d, team);
                if (!team.inTime(d, means.nowMs())) {
                    leaveLargest(team);
                }
            }
            if (!behind.contains(d.job()) && !machines.inTime(d, means.nowMs())) {
                leaveLargest(machines);
            }
        }
    }

    private static void take(Demand d, Line line) {
        line.cpuMs += d.cpuMs();
        if (!d.grows()) {
            line.taken.add(d);
        }
    }

    private void leaveLargest(Line line) {
        Demand largest = line.taken.poll();
        while (largest != null && behind.contains(largest.job())) {
            largest = line.taken.poll();
        }
        if (largest == null) {
            return;
        }
        behind.add(largest.job());
        machines.cpuMs -= largest.cpuMs();
        Line team = teams.get(largest.team());
        if (team != null) {
            team.cpuMs -= largest.cpuMs();
        }
    }
}
