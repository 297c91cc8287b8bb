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
 * Selects the jobs that are shed under overload. Ordering by deadline starts every job as late as allowed, and under
 * overload nearly all of them then finish just too late. This class keeps as many jobs in time as possible by the
 * Moore-Hodgson rule: add the jobs in order of deadline, and whenever one would be late, shed the largest one added
 * so far. All machines together are modelled as one resource with their total speed; a team's quota and the GPUs are
 * further resources that jobs which need them also use.
 */
public final class ShedJobSelector {
    /** Usable fraction of the CPUs; the rest is lost to fragmentation, image transfers and machine failures. */
    private static final double USABLE_CPU_FRACTION = 0.9;
    /** Duration of a job's longest task, with which the job ends, relative to the user's estimate of a usual task. */
    private static final double LONGEST_TASK_FACTOR = 1.25;

    /** Fraction of a group to keep: half of it, plus a reserve for jobs that finish late anyway. */
    private static final double KEPT_FRACTION = 0.6;

    /** One resource that jobs use: all machines, their GPUs, or a team's quota. */
    private static final class Resource {
        private final double width;
        /** Returns a job's demand for it, in milliseconds of one CPU or GPU. */
        private final ToDoubleFunction<Demand> demandOf;

        private final Comparator<Demand> largestFirst;
        private double queuedMs;
        /**
         * Jobs of the current rank added so far that may be shed, by their groups, the largest first. Some of them
         * may already have been shed because of another resource.
         */
        private final Map<Set<String>, PriorityQueue<Demand>> added = new HashMap<>();

        Resource(double width, double busyMs, ToDoubleFunction<Demand> demanded) {
            this.width = width;
            this.queuedMs = busyMs;
            this.demandOf = demanded;
            this.largestFirst = Comparator.comparingDouble(demanded)
                    .reversed()
                    .thenComparing(Comparator.comparingLong(Demand::deadlineMs).reversed())
                    .thenComparing(Demand::job);
        }

        void add(Demand demand) {
            queuedMs += demandOf.applyAsDouble(demand);
            if (!demand.keep()) {
                added.computeIfAbsent(demand.groups(), groups -> new PriorityQueue<>(largestFirst))
                        .add(demand);
            }
        }

        boolean isInTime(Demand demand, long nowMs) {
            double queueTimeMs = queuedMs / (USABLE_CPU_FRACTION * width) + LONGEST_TASK_FACTOR * demand.lengthMs() / 2;
            return nowMs + Math.max(LONGEST_TASK_FACTOR * demand.lengthMs(), queueTimeMs) <= demand.deadlineMs();
        }
    }

    /** Number of jobs of one group, including those that were due recently. */
    private static final class GroupCount {
        private int asked;
        private int kept;

        GroupCount(int asked, int kept) {
            this.asked = asked;
            this.kept = kept;
        }
    }

    private final Capacity capacity;
    private final Resource machines;
    /** Null if no machine has GPUs; a job that needs GPUs uses both resources. */
    private final Resource gpus;

    private final Map<String, Resource> teams = new HashMap<>();
    private final Set<JobId> shed = new HashSet<>();
    private final Map<String, GroupCount> counts = new HashMap<>();

    private ShedJobSelector(List<Demand> demands, Capacity capacity) {
        this.capacity = capacity;
        this.machines = new Resource(capacity.cpus(), capacity.busyCpuMs(), Demand::cpuMs);
        this.gpus = capacity.gpus() > 0 ? new Resource(capacity.gpus(), capacity.busyGpuMs(), Demand::gpuMs) : null;
        capacity.recentShares()
                .forEach((group, share) -> counts.put(group, new GroupCount(share.asked(), share.served())));
        for (Demand demand : demands) {
            demand.groups().forEach(group -> {
                GroupCount count = counts.computeIfAbsent(group, name -> new GroupCount(0, 0));
                count.asked++;
                count.kept += demand.missed() ? 0 : 1;
            });
        }
        capacity.teams()
                .forEach((name, team) -> teams.put(name, new Resource(team.cpus(), team.busyCpuMs(), Demand::cpuMs)));
    }

    /** Returns the jobs to shed so that others finish in time; none if all can finish in time, or if there is no machine. */
    public static Set<JobId> select(List<Demand> demands, Capacity capacity) {
        if (capacity.cpus() <= 0) {
            return Set.of();
        }
        ShedJobSelector selector = new ShedJobSelector(demands, capacity);
        Map<Integer, List<Demand>> byRank = new TreeMap<>();
        demands.forEach(demand ->
                byRank.computeIfAbsent(demand.rank(), rank -> new ArrayList<>()).add(demand));
        byRank.values().forEach(selector::selectOfRank);
        return selector.shed;
    }

    /** Adds the jobs of one rank; those that are kept use the resources before the jobs of the next rank. */
    private void selectOfRank(List<Demand> demands) {
        demands.sort(Comparator.comparingLong(Demand::deadlineMs).thenComparing(Demand::job));
        machines.added.clear();
        if (gpus != null) {
            gpus.added.clear();
        }
        teams.values().forEach(team -> team.added.clear());
        for (Demand demand : demands) {
            if (demand.deadlineMs() == Demand.NO_DEADLINE) {
                continue; // planned after all jobs with a deadline, so it delays none of them
            }
            List<Resource> needed = resourcesOf(demand);
            needed.forEach(resource -> resource.add(demand));
            for (Resource resource : needed) {
                if (!shed.contains(demand.job()) && !resource.isInTime(demand, capacity.nowMs())) {
                    shedLargest(resource);
                }
            }
        }
    }

    /**
     * Returns the resources that the job uses, in the order in which they are checked: its team's quota, GPUs, all
     * machines.
     */
    private List<Resource> resourcesOf(Demand demand) {
        List<Resource> out = new ArrayList<>();
        Resource team = teams.get(demand.team());
        if (team != null) {
            out.add(team);
        }
        if (gpus != null && demand.gpuMs() > 0) {
            out.add(gpus);
        }
        out.add(machines);
        return out;
    }

    /**
     * Sheds one of the resource's largest jobs per set of groups: the one whose groups keep the largest fraction
     * without it, or the larger job if these are equal. Does nothing if no job may be shed.
     */
    private void shedLargest(Resource resource) {
        PriorityQueue<Demand> from = null;
        double best = -1;
        for (Map.Entry<Set<String>, PriorityQueue<Demand>> entry : resource.added.entrySet()) {
            PriorityQueue<Demand> queue = entry.getValue();
            while (!queue.isEmpty() && shed.contains(queue.peek().job())) {
                queue.poll();
            }
            double kept = queue.isEmpty() ? -1 : keptFractionWithoutOne(entry.getKey());
            if (kept > best
                    || kept == best && from != null && resource.largestFirst.compare(queue.peek(), from.peek()) < 0) {
                best = kept;
                from = queue;
            }
        }
        if (from == null) {
            return;
        }
        Demand largest = from.poll();
        shed.add(largest.job());
        largest.groups().forEach(group -> counts.get(group).kept--);
        resourcesOf(largest).forEach(used -> used.queuedMs -= used.demandOf.applyAsDouble(largest));
    }

    /**
     * Returns the mean kept fraction of the groups if one more job is shed; a group counts with at most {@link
     * #KEPT_FRACTION}.
     */
    private double keptFractionWithoutOne(Set<String> groups) {
        double sum = 0;
        for (String group : groups) {
            GroupCount count = counts.get(group);
            sum += Math.min(KEPT_FRACTION, (count.kept - 1.0) / count.asked);
        }
        return Math.max(0, sum / groups.size());
    }
}
