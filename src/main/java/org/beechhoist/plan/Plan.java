package org.beechhoist.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.beechhoist.packing.GpuSizeDistribution;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineId;

/**
 * A plan of the waiting tasks: the machines of each zone with their gaps and reservations, and each team's quota
 * over time. Entries are placed in order, each task in the earliest gap that does not change earlier reservations.
 * Rebuilding the plan in the same order therefore closes the gaps that have opened since.
 */
public final class Plan {
    /** Maximum number of tasks planned for one entry; further tasks are beyond the planning horizon. */
    static final int MAX_TASKS_PER_ENTRY = 700;

    /** Maximum number of tasks planned in one plan. */
    private static final int MAX_TASKS_PER_PLAN = 6000;
    /** Maximum number of start times tried for a gang until all its tasks fit. */
    private static final int MAX_GANG_START_COUNT = 12;
    /** Delay that an unplaced task counts as when zones are compared. */
    private static final double UNPLACED_DELAY_MS = 1e9;

    /**
     * Waiting tasks of one job with equal requirements.
     *
     * @param waiting number of waiting tasks
     * @param lengthMs expected run time of a task, without the transfer of its image
     * @param liveByZone number of the job's live or placed tasks, by zone
     * @param notBeforeMs earliest start of the tasks
     * @param patienceMs longest extra delay accepted for a machine at the lowest price instead of one at four
     *     times that price
     * @param widthLimit the planned width if these are an elastic job's tasks beyond the guaranteed ones; null for
     *     other entries
     */
    public record Entry(
            JobId job,
            JobSpec spec,
            int waiting,
            long lengthMs,
            Map<String, Integer> liveByZone,
            long notBeforeMs,
            long patienceMs,
            WidthLimit widthLimit) {
        /** Creates an entry without a width limit. */
        public Entry(
                JobId job,
                JobSpec spec,
                int waiting,
                long lengthMs,
                Map<String, Integer> liveByZone,
                long notBeforeMs,
                long patienceMs) {
            this(job, spec, waiting, lengthMs, liveByZone, notBeforeMs, patienceMs, null);
        }

        Entry withNotBefore(long ms) {
            return new Entry(job, spec, waiting, lengthMs, liveByZone, ms, patienceMs, widthLimit);
        }

        Entry withWidthLimit(WidthLimit limit) {
            return new Entry(job, spec, waiting, lengthMs, liveByZone, notBeforeMs, patienceMs, limit);
        }

        boolean hasWidthLimit() {
            return widthLimit != null;
        }
    }

    /**
     * The planned machine and time of one task.
     *
     * @param machineUp whether the machine is up
     * @param startMs when the task is launched
     * @param fetchMs how long the task then waits for its image
     * @param beyondGuarantee whether the task is beyond an elastic job's guaranteed ones; no machine is rented and
     *     no task stopped for it
     */
    public record Reservation(
            JobId job,
            JobSpec spec,
            MachineId machine,
            boolean machineUp,
            String zone,
            long startMs,
            long fetchMs,
            long endMs,
            boolean beyondGuarantee) {
        /** Returns when the task's work begins: after the start and the transfer of its image. */
        public long beginMs() {
            return startMs + fetchMs;
        }
    }

    private final long nowMs;
    private final Map<String, List<PlanMachine>> zones = new TreeMap<>();
    private final Map<String, TeamQuotaProfile> teamQuotas = new HashMap<>();
    private final List<Reservation> reservations = new ArrayList<>();
    private final Map<JobId, Integer> unplacedCounts = new HashMap<>();
    private final Map<JobId, Long> firstStart = new HashMap<>();
    private final CandidateMachines candidates;
    /** Cost of keeping machines for the selected widths of elastic jobs, including the cost of lateness. */
    private double elasticCost;

    private int lateElasticJobs;

    /** Creates an empty plan on these machines; placing tasks modifies them. */
    public Plan(long nowMs, Collection<PlanMachine> machines) {
        this.nowMs = nowMs;
        double lowestCost = Double.POSITIVE_INFINITY;
        for (PlanMachine machine : machines) {
            lowestCost = Math.min(lowestCost, machine.costPerCpu());
            zones.computeIfAbsent(machine.zone, name -> new ArrayList<>()).add(machine);
        }
        candidates = new CandidateMachines(nowMs, lowestCost);
    }

    /**
     * Sets the distribution of GPU requests. Of machines with equal start times, the one where a task fragments fewer
     * free GPUs is preferred.
     */
    public void setGpuSizes(GpuSizeDistribution requested) {
        candidates.setGpuSizes(requested);
    }

    /** Sets a team's maximum quota; called before {@link #addTeamUsage}. */
    public void setTeamQuota(String team, double cpus, double gpus) {
        teamQuotas.put(team, new TeamQuotaProfile(nowMs, cpus, gpus));
    }

    /** Adds what a team uses until a given time; ignored for a team without a quota. */
    public void addTeamUsage(String team, long endMs, double cpus, double gpus) {
        TeamQuotaProfile quota = teamQuotas.get(team);
        if (quota != null) {
            quota.reserve(nowMs, endMs, cpus, gpus);
        }
    }

    /** Returns the time for which the plan was created. */
    public long createdAtMs() {
        return nowMs;
    }

    /** Returns the number of gap searches, a measure of the time that building this plan took. */
    public long gapSearches() {
        return candidates.gapSearches();
    }

    /** Returns the reservations of all planned tasks, in the order in which they were planned. */
    public List<Reservation> reservations() {
        return reservations;
    }

    /** Returns how many tasks of the job could not be placed within the limits of the plan. */
    public int unplacedCount(JobId job) {
        return unplacedCounts.getOrDefault(job, 0);
    }

    /** Returns the planned start of the job's first waiting task, or null. */
    public Long plannedStart(JobId job) {
        return firstStart.get(job);
    }

    /** Returns the machines on which something is planned. */
    public Set<MachineId> plannedMachines() {
        Set<MachineId> machines = new HashSet<>();
        reservations.forEach(reservation -> machines.add(reservation.machine()));
        return machines;
    }

    /** Places an entry's tasks, each in its earliest gap; those of a gang at the earliest time at which all fit. */
    public void place(Entry entry) {
        int maxTasks = plannableCount(entry);
        String onlyZone = entry.spec().sameZone() ? chooseZone(entry, maxTasks) : null;
        int placed =
                entry.spec().isGang() ? placeGang(entry, maxTasks, onlyZone) : placeEach(entry, maxTasks, onlyZone);
        if (placed < entry.waiting()) {
            unplacedCounts.merge(entry.job(), entry.waiting() - placed, Integer::sum);
        }
    }

    private int plannableCount(Entry entry) {
        return Math.min(entry.waiting(), Math.min(MAX_TASKS_PER_ENTRY, MAX_TASKS_PER_PLAN - reservations.size()));
    }

    /**
     * Places the rest of an elastic job's waiting tasks, after all other work, onto machines that are up and would
     * be idle, at the width with the lowest cost, and returns that width.
     *
     * @param busyUntil end times of the job's live tasks
     */
    public int placeElastic(Entry entry, List<Long> busyUntil, WidthOptions options) {
        Map<MachineId, Long> busyByOthers = new HashMap<>();
        Map<MachineId, PlanMachine> byId = new HashMap<>();
        zones.values()
                .forEach(list -> list.forEach(machine -> {
                    byId.put(machine.id, machine);
                    busyByOthers.put(machine.id, machine.profile.lastStepMs());
                }));
        List<Long> inUse = new ArrayList<>(busyUntil);
        for (Reservation reservation : reservations) {
            if (reservation.job().equals(entry.job())) {
                inUse.add(reservation.endMs());
            }
        }
        List<WidthComparison.WidthCost> costs = new ArrayList<>();
        for (int width : WidthComparison.candidateWidths(options)) {
            costs.add(runTrial(entry, () -> {
                int first = reservations.size();
                placeBeyondGuarantee(entry.withWidthLimit(new WidthLimit(width, inUse)));
                List<Reservation> made = reservations.subList(first, reservations.size());
                return WidthComparison.costOf(entry, options, width, made, byId, busyByOthers, nowMs);
            }));
        }
        WidthComparison.WidthCost best = WidthComparison.cheapest(costs);
        placeBeyondGuarantee(entry.withWidthLimit(new WidthLimit(best.width(), inUse)));
        elasticCost += Math.max(0, best.netCost() + best.workValue());
        lateElasticJobs += best.finishMs() > options.deadlineMs() ? 1 : 0;
        return best.width();
    }

    private void placeBeyondGuarantee(Entry entry) {
        int maxTasks = plannableCount(entry);
        placeEach(entry, maxTasks, entry.spec().sameZone() ? chooseZone(entry, maxTasks) : null);
    }

    /** Returns the cost of keeping machines for the widths of elastic jobs, including the cost of lateness. */
    public double elasticCost() {
        return elasticCost;
    }

    /** Returns how many elastic jobs would miss their deadlines. */
    public int lateElasticJobs() {
        return lateElasticJobs;
    }

    /**
     * Places each task separately. Each machine's earliest gap is searched once, then again only on the machine on
     * which a task was placed, so that the time is proportional to the sum of machines and tasks, not to their
     * product.
     */
    private int placeEach(Entry entry, int maxTasks, String onlyZone) {
        if (maxTasks <= 0) {
            return 0;
        }
        JobSpec spec = entry.spec();
        TeamQuotaProfile team = teamQuotas.get(spec.team());
        AvailabilityProfile teamProfile = team == null
                ? null
                : team.availabilityIfLimiting(entry.waiting() * spec.cpus(), entry.waiting() * spec.gpus());
        AvailabilityProfile widthProfile =
                entry.widthLimit() == null ? null : entry.widthLimit().toProfile(nowMs);
        candidates.fill(zones, entry, onlyZone, teamProfile, widthProfile);
        int perZone = spec.antiAffinity() ? (spec.tasks() + 1) / 2 : Integer.MAX_VALUE;
        Map<String, Integer> inZone = new HashMap<>(entry.liveByZone());
        int placed = 0;
        while (placed < maxTasks && !candidates.isEmpty()) {
            PlanMachine machine = candidates.first();
            if (perZone < Integer.MAX_VALUE && inZone.getOrDefault(machine.zone, 0) >= perZone) {
                candidates.dropFirst();
                continue;
            }
            if (!candidates.recheckFirst()) {
                continue;
            }
            reserve(machine, entry, team);
            if (widthProfile != null) {
                long endMs = machine.candidateStartMs + machine.candidateFetchMs + entry.lengthMs();
                WidthLimit.reserveTask(widthProfile, nowMs, machine.candidateStartMs, endMs);
            }
            inZone.merge(machine.zone, 1, Integer::sum);
            placed++;
            candidates.updateFirst();
        }
        return placed;
    }

    /** Places a gang: all tasks start at the same time, or none is placed. */
    private int placeGang(Entry entry, int maxTasks, String onlyZone) {
        if (maxTasks < entry.waiting()) {
            return 0; // the gang as a whole is beyond the planning horizon
        }
        long at = Math.max(nowMs, entry.notBeforeMs());
        for (int i = 0; i < MAX_GANG_START_COUNT; i++) {
            Entry moved = entry.withNotBefore(at);
            long[] latest = {at};
            int placed = runTrial(entry, () -> {
                int first = reservations.size();
                int count = placeEach(moved, maxTasks, onlyZone);
                reservations
                        .subList(first, reservations.size())
                        .forEach(reservation -> latest[0] = Math.max(latest[0], reservation.startMs()));
                return count;
            });
            if (placed < maxTasks) {
                return 0;
            }
            if (latest[0] <= at) {
                return placeEach(moved, maxTasks, onlyZone);
            }
            at = latest[0];
        }
        return 0;
    }

    /** Runs {@code attempt} on copies, restores the plan, and returns the result. */
    private <T> T runTrial(Entry entry, Supplier<T> attempt) {
        Map<String, List<PlanMachine>> savedZones = new HashMap<>(zones);
        zones.replaceAll(
                (zone, machines) -> machines.stream().map(PlanMachine::copy).collect(Collectors.toList()));
        TeamQuotaProfile savedQuota = teamQuotas.get(entry.spec().team());
        if (savedQuota != null) {
            teamQuotas.put(entry.spec().team(), new TeamQuotaProfile(savedQuota));
        }
        int before = reservations.size();
        Long first = firstStart.get(entry.job());
        T result = attempt.get();
        reservations.subList(before, reservations.size()).clear();
        if (first == null) {
            firstStart.remove(entry.job());
        } else {
            firstStart.put(entry.job(), first);
        }
        zones.putAll(savedZones);
        if (savedQuota != null) {
            teamQuotas.put(entry.spec().team(), savedQuota);
        }
        return result;
    }

    /** Reserves the gap that was found on the machine for one task of the entry. */
    private void reserve(PlanMachine machine, Entry entry, TeamQuotaProfile team) {
        JobSpec spec = entry.spec();
        Reservation reservation = new Reservation(
                entry.job(),
                spec,
                machine.id,
                machine.up,
                machine.zone,
                machine.candidateStartMs,
                machine.candidateFetchMs,
                machine.candidateStartMs + machine.candidateFetchMs + entry.lengthMs(),
                entry.hasWidthLimit());
        machine.profile.reserve(reservation.startMs(), reservation.endMs(), spec.cpus(), spec.gpus(), spec.memGb());
        machine.addExpectedImage(spec.image(), reservation.beginMs());
        machine.planned = true;
        if (team != null) {
            team.reserve(reservation.startMs(), reservation.endMs(), spec.cpus(), spec.gpus());
        }
        reservations.add(reservation);
        firstStart.merge(entry.job(), reservation.startMs(), Math::min);
    }

    /**
     * Returns the zone for tasks that must share one: the zone of the live tasks, or the one where the tasks begin
     * soonest.
     */
    private String chooseZone(Entry entry, int tasks) {
        if (!entry.liveByZone().isEmpty()) {
            return entry.liveByZone().keySet().iterator().next();
        }
        String best = null;
        double bestBegin = Double.POSITIVE_INFINITY;
        for (String zone : new ArrayList<>(zones.keySet())) {
            double sum = runTrial(entry, () -> {
                int first = reservations.size();
                int placed = placeEach(entry, tasks, zone);
                double begins = placed == 0 ? Double.POSITIVE_INFINITY : (tasks - placed) * UNPLACED_DELAY_MS;
                for (Reservation reservation : reservations.subList(first, reservations.size())) {
                    begins += reservation.beginMs() - nowMs;
                }
                return begins;
            });
            if (sum < bestBegin) {
                bestBegin = sum;
                best = zone;
            }
        }
        return best == null ? "" : best;
    }
}
