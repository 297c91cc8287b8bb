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
 * A plan of the waiting tasks: per zone, machines with their gaps and the reservations in them; and each team's limit over
 * time. Entries are placed in order, each task in the earliest gap that leaves what was placed before it as it is. Building the
 * plan anew in the same order therefore closes the gaps that have opened since.
 */
public final class Plan {
    /** Tasks planned one by one for one entry; the rest of a run of tasks is beyond the horizon. */
    static final int MAX_TASKS_PER_ENTRY = 700;

    /** Tasks planned one by one for the whole plan. */
    private static final int MAX_TASKS = 6000;
    /** How often a gang's start is moved later in search of space for all of it. */
    private static final int MAX_GANG_MOVES = 12;
    /** What an unplaced task counts as a begin, in milliseconds, where zones are compared. */
    private static final double UNPLACED_BEGIN_MS = 1e9;

    /**
     * A run of like tasks of one job that wait for a machine.
     *
     * @param waiting how many tasks wait
     * @param lengthMs how long a task is expected to run, its image's transfer left aside
     * @param liveByZone the job's tasks that are live or placed already, by zone
     * @param notBeforeMs when they may start at the earliest
     * @param patienceMs how much later they may begin for the sake of a machine at the lowest price rather than one at four
     *     times that
     * @param widthLimit the width that is planned for the tasks beyond an elastic job's guaranteed ones; null for other entries
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
        /** Makes an entry without a width limit. */
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
     * One task's planned place.
     *
     * @param machineUp whether the machine is up already
     * @param startMs when the task is launched
     * @param fetchMs how long it then waits for its image
     * @param beyondGuarantee whether it is beyond an elastic job's guaranteed tasks; nothing is rented or stopped for it
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
        /** Returns when its work begins: after the start and the transfer of its image. */
        public long beginMs() {
            return startMs + fetchMs;
        }
    }

    private final long nowMs;
    private final Map<String, List<PlanMachine>> zones = new TreeMap<>();
    private final Map<String, TeamQuotaProfile> limits = new HashMap<>();
    private final List<Reservation> reservations = new ArrayList<>();
    private final Map<JobId, Integer> unplaced = new HashMap<>();
    private final Map<JobId, Long> firstStart = new HashMap<>();
    private final CandidateMachines candidates;
    /** What it costs to keep machines for the elastic jobs' chosen widths, with what lateness costs. */
    private double elasticCost;

    private int lateElasticJobs;

    /** Makes an empty plan on these machines, which it changes as it places tasks. */
    public Plan(long nowMs, Collection<PlanMachine> machines) {
        this.nowMs = nowMs;
        double lowestCost = Double.POSITIVE_INFINITY;
        for (PlanMachine machine : machines) {
            lowestCost = Math.min(lowestCost, machine.costPerCpu());
            zones.computeIfAbsent(machine.zone, name -> new ArrayList<>()).add(machine);
        }
        candidates = new CandidateMachines(nowMs, lowestCost);
    }

    /** Sets the sizes of GPU requests: of places equal in time, the one that fragments fewer free GPUs for these is better. */
    public void setGpuSizes(GpuSizeDistribution asked) {
        candidates.setGpuSizes(asked);
    }

    /** Sets a team's limit, before {@link #addTeamUsage}. */
    public void setTeamQuota(String team, double cpus, double gpus) {
        limits.put(team, new TeamQuotaProfile(nowMs, cpus, gpus));
    }

    /** Enters what a team uses until a given time; ignored for a team without a limit. */
    public void addTeamUsage(String team, long endMs, double cpus, double gpus) {
        TeamQuotaProfile limit = limits.get(team);
        if (limit != null) {
            limit.reserve(nowMs, endMs, cpus, gpus);
        }
    }

    /** Returns the time for which the plan was made. */
    public long createdAtMs() {
        return nowMs;
    }

    /** Returns how many gaps were looked for, a measure of what this plan has cost to make. */
    public long gapSearches() {
        return candidates.gapSearches();
    }

    /** Returns the places of all planned tasks, in the order in which they were planned. */
    public List<Reservation> reservations() {
        return reservations;
    }

    /** Returns how many tasks of the job found no place within the plan's bounds. */
    public int unplacedCount(JobId job) {
        return unplaced.getOrDefault(job, 0);
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

    /** Places an entry's tasks, each in its earliest gap; a gang's at the first moment that has space for all. */
    public void place(Entry entry) {
        int most = plannable(entry);
        String onlyZone = entry.spec().sameZone() ? chooseZone(entry, most) : null;
        int placed = entry.spec().isGang() ? placeTogether(entry, most, onlyZone) : placeEach(entry, most, onlyZone);
        if (placed < entry.waiting()) {
            unplaced.merge(entry.job(), entry.waiting() - placed, Integer::sum);
        }
    }

    private int plannable(Entry entry) {
        return Math.min(entry.waiting(), Math.min(MAX_TASKS_PER_ENTRY, MAX_TASKS - reservations.size()));
    }

    /**
     * Places the rest of an elastic job's waiting tasks, after all others, onto machines that are up and would stand
     * idle, at the width that is worth most, and returns that width.
     *
     * @param busyUntil when its live tasks end
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
            costs.add(trial(entry, () -> {
                int first = reservations.size();
                placeWide(entry.withWidthLimit(new WidthLimit(width, inUse)));
                List<Reservation> made = reservations.subList(first, reservations.size());
                return WidthComparison.costOf(entry, options, width, made, byId, busyByOthers, nowMs);
            }));
        }
        WidthComparison.WidthCost best = WidthComparison.cheapest(costs);
        placeWide(entry.withWidthLimit(new WidthLimit(best.width(), inUse)));
        elasticCost += Math.max(0, best.netCost() + best.workValue());
        lateElasticJobs += best.finishMs() > options.deadlineMs() ? 1 : 0;
        return best.width();
    }

    private void placeWide(Entry entry) {
        int most = plannable(entry);
        placeEach(entry, most, entry.spec().sameZone() ? chooseZone(entry, most) : null);
    }

    /** Returns what it costs to keep machines for the elastic jobs' widths, with what lateness costs. */
    public double elasticCost() {
        return elasticCost;
    }

    /** Returns how many elastic jobs would be done later than they should. */
    public int lateElasticJobs() {
        return lateElasticJobs;
    }

    /**
     * Each machine's earliest gap is looked for once, then again only on the machine that took a task: an entry costs
     * its machines and tasks, not their product.
     */
    private int placeEach(Entry entry, int most, String onlyZone) {
        if (most <= 0) {
            return 0;
        }
        JobSpec spec = entry.spec();
        TeamQuotaProfile team = limits.get(spec.team());
        AvailabilityProfile teamProfile = team == null
                ? null
                : team.availabilityIfLimiting(entry.waiting() * spec.cpus(), entry.waiting() * spec.gpus());
        AvailabilityProfile widthProfile =
                entry.widthLimit() == null ? null : entry.widthLimit().toProfile(nowMs);
        candidates.fill(zones, entry, onlyZone, teamProfile, widthProfile);
        int perZone = spec.antiAffinity() ? (spec.tasks() + 1) / 2 : Integer.MAX_VALUE;
        Map<String, Integer> inZone = new HashMap<>(entry.liveByZone());
        int placed = 0;
        while (placed < most && !candidates.isEmpty()) {
            PlanMachine machine = candidates.first();
            if (perZone < Integer.MAX_VALUE && inZone.getOrDefault(machine.zone, 0) >= perZone) {
                candidates.dropFirst();
                continue;
            }
            if (!candidates.recheckFirst()) {
                continue;
            }
            commit(machine, entry, team);
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

    /** Places a gang: all tasks start at one moment or none is placed. */
    private int placeTogether(Entry entry, int most, String onlyZone) {
        if (most < entry.waiting()) {
            return 0; // beyond the horizon as a whole
        }
        long at = Math.max(nowMs, entry.notBeforeMs());
        for (int i = 0; i < MAX_GANG_MOVES; i++) {
            Entry moved = entry.withNotBefore(at);
            long[] latest = {at};
            int placed = trial(entry, () -> {
                int first = reservations.size();
                int count = placeEach(moved, most, onlyZone);
                reservations
                        .subList(first, reservations.size())
                        .forEach(reservation -> latest[0] = Math.max(latest[0], reservation.startMs()));
                return count;
            });
            if (placed < most) {
                return 0;
            }
            if (latest[0] <= at) {
                return placeEach(moved, most, onlyZone);
            }
            at = latest[0];
        }
        return 0;
    }

    /** Runs {@code attempt} on copies, leaves the plan as it was, and returns the result. */
    private <T> T trial(Entry entry, Supplier<T> attempt) {
        Map<String, List<PlanMachine>> kept = new HashMap<>(zones);
        zones.replaceAll(
                (zone, machines) -> machines.stream().map(PlanMachine::copy).collect(Collectors.toList()));
        TeamQuotaProfile keptLimit = limits.get(entry.spec().team());
        if (keptLimit != null) {
            limits.put(entry.spec().team(), new TeamQuotaProfile(keptLimit));
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
        zones.putAll(kept);
        if (keptLimit != null) {
            limits.put(entry.spec().team(), keptLimit);
        }
        return result;
    }

    /** Reserves the place that was found on the machine for one task of the entry. */
    private void commit(PlanMachine machine, Entry entry, TeamQuotaProfile team) {
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

    /** Returns the zone for tasks that must share one: that of the live ones, else the one where they begin soonest. */
    private String chooseZone(Entry entry, int tasks) {
        if (!entry.liveByZone().isEmpty()) {
            return entry.liveByZone().keySet().iterator().next();
        }
        String best = null;
        double bestBegin = Double.POSITIVE_INFINITY;
        for (String zone : new ArrayList<>(zones.keySet())) {
            double sum = trial(entry, () -> {
                int first = reservations.size();
                int placed = placeEach(entry, tasks, zone);
                double begins = placed == 0 ? Double.POSITIVE_INFINITY : (tasks - placed) * UNPLACED_BEGIN_MS;
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
