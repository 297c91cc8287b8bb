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
import java.util.function.ToDoubleFunction;
import org.beechhoist.wire.JobId;

/**
 * Under overload the order by deadlines begins every job as late as it may, and nearly all of them end just too late. Here as
 * many as possible are kept that can be in time, by Moore and Hodgson's rule: take the jobs by when they are due, and where one
 * would be late, leave the largest taken so far behind. Machines are taken for one that is as fast as all of them; a team's
 * limit, and the GPUs, for others that jobs which need them have to get through as well.
 */
public final class Triage {
    /** Rooms are not filled to the last CPU: tasks do not fit, images are fetched, machines stop. */
    private static final double FILLED = 0.9;
    /** A job is over with its longest task, which takes more than its owner's guess of the usual one. */
    private static final double LONGEST = 1.25;

    /** What of a group is kept: half of it, and some for jobs that end late all the same. */
    private static final double HALF = 0.6;

    /** One queue that jobs have to get through: all machines, their GPUs, or a team's limit. */
    private static final class Line {
        private final double width;
        /** What of it a job asks for. */
        private final ToDoubleFunction<Demand> takes;

        private final Comparator<Demand> largest;
        private double queuedMs;
        /** Taken so far in this rank, by class and team, the largest first; some were left behind for another line's sake. */
        private final Map<Set<String>, PriorityQueue<Demand>> taken = new HashMap<>();

        Line(double width, double busyMs, ToDoubleFunction<Demand> takes) {
            this.width = width;
            this.queuedMs = busyMs;
            this.takes = takes;
            this.largest = Comparator.comparingDouble(takes)
                    .reversed()
                    .thenComparing(Comparator.comparingLong(Demand::dueMs).reversed())
                    .thenComparing(Demand::job);
        }

        boolean inTime(Demand demand, long nowMs) {
            double through = queuedMs / (FILLED * width) + LONGEST * demand.lengthMs() / 2;
            return nowMs + Math.max(LONGEST * demand.lengthMs(), through) <= demand.dueMs();
        }
    }

    private final Means means;
    private final Line machines;
    /** Null where no machine has any: what needs some has to get through both. */
    private final Line gpus;

    private final Map<String, Line> teams = new HashMap<>();
    private final Set<JobId> behind = new HashSet<>();

    /** Jobs asked for and kept, of each group, what was served lately included. */
    private final Map<String, int[]> kept = new HashMap<>();

    private Triage(List<Demand> demands, Means means) {
        this.means = means;
        this.machines = new Line(means.cpus(), means.busyCpuMs(), Demand::cpuMs);
        this.gpus = means.gpus() > 0 ? new Line(means.gpus(), means.busyGpuMs(), Demand::gpuMs) : null;
        means.lately().forEach((group, s) -> kept.put(group, new int[] {s.asked(), s.served()}));
        for (Demand demand : demands) {
            demand.groups().forEach(group -> {
                int[] counts = kept.computeIfAbsent(group, x -> new int[2]);
                counts[0]++;
                counts[1] += demand.missed() ? 0 : 1;
            });
        }
        means.teams().forEach((name, t) -> teams.put(name, new Line(t.cpus(), t.busyCpuMs(), Demand::cpuMs)));
    }

    /** The jobs that are left behind, so that others are in time; empty where all can be, or no machine is there. */
    public static Set<JobId> behind(List<Demand> demands, Means means) {
        if (means.cpus() <= 0) {
            return Set.of();
        }
        Triage triage = new Triage(demands, means);
        Map<Integer, List<Demand>> byRank = new TreeMap<>();
        demands.forEach(
                d -> byRank.computeIfAbsent(d.rank(), k -> new ArrayList<>()).add(d));
        byRank.values().forEach(triage::rank);
        return triage.behind;
    }

    /** Takes one rank's jobs; what is kept of it goes before the next rank's. */
    private void rank(List<Demand> demands) {
        demands.sort(Comparator.comparingLong(Demand::dueMs).thenComparing(Demand::job));
        machines.taken.clear();
        if (gpus != null) {
            gpus.taken.clear();
        }
        teams.values().forEach(l -> l.taken.clear());
        for (Demand demand : demands) {
            Line team = teams.get(demand.team());
            if (demand.dueMs() == Demand.NO_DUE) {
                continue; // it waits for all that can be late, and delays none of them
            }
            List<Line> lines = lines(demand, team);
            lines.forEach(l -> take(demand, l));
            for (Line line : lines) {
                if (!behind.contains(demand.job()) && !line.inTime(demand, means.nowMs())) {
                    leaveLargest(line);
                }
            }
        }
    }

    /** What the job has to get through, in the order of looking: its team's limit, GPUs, all machines. */
    private List<Line> lines(Demand demand, Line team) {
        List<Line> out = new ArrayList<>();
        if (team != null) {
            out.add(team);
        }
        if (gpus != null && demand.gpuMs() > 0) {
            out.add(gpus);
        }
        out.add(machines);
        return out;
    }

    private static void take(Demand demand, Line line) {
        line.queuedMs += line.takes.applyAsDouble(demand);
        if (!demand.keep()) {
            line.taken
                    .computeIfAbsent(demand.groups(), k -> new PriorityQueue<>(line.largest))
                    .add(demand);
        }
    }

    private void leaveLargest(Line line) {
        PriorityQueue<Demand> from = null;
        double best = -1;
        for (Map.Entry<Set<String>, PriorityQueue<Demand>> entry : line.taken.entrySet()) {
            PriorityQueue<Demand> queue = entry.getValue();
            while (!queue.isEmpty() && behind.contains(queue.peek().job())) {
                queue.poll();
            }
            double rest = queue.isEmpty() ? -1 : leftToIts(entry.getKey());
            if (rest > best || rest == best && from != null && line.largest.compare(queue.peek(), from.peek()) < 0) {
                best = rest;
                from = queue;
            }
        }
        if (from == null) {
            return;
        }
        Demand largest = from.poll();
        behind.add(largest.job());
        largest.groups().forEach(g -> kept.get(g)[1]--);
        lines(largest, teams.get(largest.team())).forEach(l -> l.queuedMs -= l.takes.applyAsDouble(largest));
    }

    /** How much of their halves a job's groups still have without one more job, on the mean; above the half does not count. */
    private double leftToIts(Set<String> groups) {
        double sum = 0;
        for (String group : groups) {
            int[] k = kept.get(group);
            sum += Math.min(HALF, (k[1] - 1.0) / k[0]);
        }
        return Math.max(0, sum / groups.size());
    }
}
