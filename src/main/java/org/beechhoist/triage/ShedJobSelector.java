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
 * Selects the jobs that are shed under overload. The order by deadlines begins every job as late as it may, and under overload
 * nearly all of them end just too late. This class keeps as many jobs as possible that can be in time, by the Moore-Hodgson rule:
 * take the jobs by deadline, and whenever one would be late, shed the largest taken so far. All machines together are modelled as
 * one machine that is as fast as all of them; a team's limit, and the GPUs, as further machines that jobs which need them have to
 * get through as well.
 */
public final class ShedJobSelector {
    /** The part of the CPUs that is counted on: tasks do not fit exactly, images are fetched, machines stop. */
    private static final double USABLE_PART = 0.9;
    /** A job ends with its longest task, which takes this many times its owner's estimate of the usual one. */
    private static final double LONGEST_TASK_FACTOR = 1.25;

    /** The part of a group that is to be kept: half of it, and some for jobs that end late all the same. */
    private static final double KEPT_PART = 0.6;

    /** One resource that jobs have to get through: all machines, their GPUs, or a team's limit. */
    private static final class Resource {
        private final double width;
        /** How much of it a job asks for, in milliseconds of one CPU or GPU. */
        private final ToDoubleFunction<Demand> demanded;

        private final Comparator<Demand> largestFirst;
        private double queuedMs;
        /**
         * Jobs of the current rank taken so far that may be shed, by their groups, the largest first; some were shed for another
         * resource's sake.
         */
        private final Map<Set<String>, PriorityQueue<Demand>> taken = new HashMap<>();

        Resource(double width, double busyMs, ToDoubleFunction<Demand> demanded) {
            this.width = width;
            this.queuedMs = busyMs;
            this.demanded = demanded;
            this.largestFirst = Comparator.comparingDouble(demanded)
                    .reversed()
                    .thenComparing(Comparator.comparingLong(Demand::deadlineMs).reversed())
                    .thenComparing(Demand::job);
        }

        void take(Demand demand) {
            queuedMs += demanded.applyAsDouble(demand);
            if (!demand.keep()) {
                taken.computeIfAbsent(demand.groups(), groups -> new PriorityQueue<>(largestFirst))
                        .add(demand);
            }
        }

        boolean inTime(Demand demand, long nowMs) {
            double through = queuedMs / (USABLE_PART * width) + LONGEST_TASK_FACTOR * demand.lengthMs() / 2;
            return nowMs + Math.max(LONGEST_TASK_FACTOR * demand.lengthMs(), through) <= demand.deadlineMs();
        }
    }

    /** Jobs of one group, those served lately included. */
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
    /** Null if no machine has GPUs; a job that needs GPUs has to get through both. */
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

    /** Returns the jobs that are shed, so that others are in time; none if all can be in time, or if there is no machine. */
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

    /** Takes the jobs of one rank; what is kept of it goes before the next rank's. */
    private void selectOfRank(List<Demand> demands) {
        demands.sort(Comparator.comparingLong(Demand::deadlineMs).thenComparing(Demand::job));
        machines.taken.clear();
        if (gpus != null) {
            gpus.taken.clear();
        }
        teams.values().forEach(team -> team.taken.clear());
        for (Demand demand : demands) {
            if (demand.deadlineMs() == Demand.NO_DEADLINE) {
                continue; // it waits for all that can be late, and delays none of them
            }
            List<Resource> needed = resources(demand);
            needed.forEach(resource -> resource.take(demand));
            for (Resource resource : needed) {
                if (!shed.contains(demand.job()) && !resource.inTime(demand, capacity.nowMs())) {
                    shedLargest(resource);
                }
            }
        }
    }

    /** Returns what the job has to get through, in the order of checking: its team's limit, GPUs, all machines. */
    private List<Resource> resources(Demand demand) {
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
     * Sheds the largest job of those taken on the resource whose groups keep the most without it; of equal ones the larger job. Does
     * nothing if there is none that may be shed.
     */
    private void shedLargest(Resource resource) {
        PriorityQueue<Demand> from = null;
        double best = -1;
        for (Map.Entry<Set<String>, PriorityQueue<Demand>> entry : resource.taken.entrySet()) {
            PriorityQueue<Demand> queue = entry.getValue();
            while (!queue.isEmpty() && shed.contains(queue.peek().job())) {
                queue.poll();
            }
            double kept = queue.isEmpty() ? -1 : keptPartWithoutOne(entry.getKey());
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
        resources(largest).forEach(used -> used.queuedMs -= used.demanded.applyAsDouble(largest));
    }

    /** Returns the mean part of the groups that is kept if one more job is shed; what a group has above its half does not count. */
    private double keptPartWithoutOne(Set<String> groups) {
        double sum = 0;
        for (String group : groups) {
            GroupCount count = counts.get(group);
            sum += Math.min(KEPT_PART, (count.kept - 1.0) / count.asked);
        }
        return Math.max(0, sum / groups.size());
    }
}
