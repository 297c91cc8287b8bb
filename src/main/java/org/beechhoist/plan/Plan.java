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
import org.beechhoist.packing.Sizes;
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
    static final int MAX_PER_ENTRY = 700;

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

        Entry notBefore(long ms) {
            return new Entry(job, spec, waiting, lengthMs, liveByZone, ms, patienceMs, widthLimit);
        }

        Entry limitedTo(WidthLimit limit) {
            return new Entry(job, spec, waiting, lengthMs, liveByZone, notBeforeMs, patienceMs, limit);
        }

        boolean wide() {
            return widthLimit != null;
        }
    }

    /**
     * One task's planned place.
     *
     * @param machineUp whether the machine is up already
     * @param startMs when the task is launched
     * @param fetchMs how long it then waits for its image
     * @param wide whether it is beyond an elastic job's guaranteed tasks; nothing is rented or stopped for it
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
            boolean wide) {
        /** Returns when its work begins: after the start and the transfer of its image. */
        public long beginMs() {
            return startMs + fetchMs;
        }
    }

    private final long nowMs;
    private final Map<String, List<PlanMachine>> zones = new TreeMap<>();
    private final Map<String, TeamLimit> limits = new HashMap<>();
    private final List<Reservation> reservations = new ArrayList<>();
    private final Map<JobId, Integer> unplaced = new HashMap<>();
    private final Map<JobId, Long> firstStart = new HashMap<>();
    private final CandidateMachines candidates;
    /** What it costs to keep machines for the elastic jobs' chosen widths, with what lateness costs. */
    private double money;

    private int lateWide;

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
    public void sizes(Sizes asked) {
        candidates.sizes(asked);
    }

    /** Sets a team's limit, before {@link #use}. */
    public void limit(String team, double cpus, double gpus) {
        limits.put(team, new TeamLimit(nowMs, cpus, gpus));
    }

    /** Enters what a team uses until a given time; ignored for a team without a limit. */
    public void use(String team, long endMs, double cpus, double gpus) {
        TeamLimit limit = limits.get(team);
        if (limit != null) {
            limit.take(nowMs, endMs, cpus, gpus);
        }
    }

    /** Returns the time for which the plan was made. */
    public long madeAtMs() {
        return nowMs;
    }

    /** Returns how many gaps were looked for, a measure of what this plan has cost to make. */
    public long fits() {
        return candidates.searches();
    }

    /** Returns the places of all planned tasks, in the order in which they were planned. */
    public List<Reservation> reservations() {
        return reservations;
    }

    /** Returns how many tasks of the job found no place within the plan's bounds. */
    public int unplaced(JobId job) {
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
        return Math.min(entry.waiting(), Math.min(MAX_PER_ENTRY, MAX_TASKS - reservations.size()));
    }

    /**
     * Places the rest of an elastic job's waiting tasks, after all others, onto machines that are up and would stand
     * idle, at the width that is worth most, and returns that width.
     *
     * @param busyUntil when its live tasks end
     */
    public int widen(Entry entry, List<Long> busyUntil, WidthOptions options) {
        Map<MachineId, Long> busyByOthers = new HashMap<>();
        Map<MachineId, PlanMachine> byId = new HashMap<>();
        zones.values()
                .forEach(list -> list.forEach(machine -> {
                    byId.put(machine.id, machine);
                    busyByOthers.put(machine.id, machine.profile.lastChange());
                }));
        List<Long> inUse = new ArrayList<>(busyUntil);
        for (Reservation reservation : reservations) {
            if (reservation.job().equals(entry.job())) {
                inUse.add(reservation.endMs());
            }
        }
        List<Widening.WidthCost> costs = new ArrayList<>();
        for (int width : Widening.candidates(options)) {
            costs.add(trial(entry, () -> {
                int first = reservations.size();
                placeWide(entry.limitedTo(new WidthLimit(width, inUse)));
                List<Reservation> made = reservations.subList(first, reservations.size());
                return Widening.costOf(entry, options, width, made, byId, busyByOthers, nowMs);
            }));
        }
        Widening.WidthCost best = Widening.best(costs);
        placeWide(entry.limitedTo(new WidthLimit(best.width(), inUse)));
        money += Math.max(0, best.cost() + best.work());
        lateWide += best.finishMs() > options.untilMs() ? 1 : 0;
        return best.width();
    }

    private void placeWide(Entry entry) {
        int most = plannable(entry);
        placeEach(entry, most, entry.spec().sameZone() ? chooseZone(entry, most) : null);
    }

    /** Returns what it costs to keep machines for the elastic jobs' widths, with what lateness costs. */
    public double money() {
        return money;
    }

    /** Returns how many elastic jobs would be done later than they should. */
    public int lateWide() {
        return lateWide;
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
        TeamLimit team = limits.get(spec.team());
        Profile teamProfile =
                team == null ? null : team.within(entry.waiting() * spec.cpus(), entry.waiting() * spec.gpus());
        Profile widthProfile =
                entry.widthLimit() == null ? null : entry.widthLimit().profile(nowMs);
        candidates.gather(zones, entry, onlyZone, teamProfile, widthProfile);
        int perZone = spec.antiAffinity() ? (spec.tasks() + 1) / 2 : Integer.MAX_VALUE;
        Map<String, Integer> inZone = new HashMap<>(entry.liveByZone());
        int placed = 0;
        while (placed < most && !candidates.isEmpty()) {
            PlanMachine machine = candidates.first();
            if (perZone < Integer.MAX_VALUE && inZone.getOrDefault(machine.zone, 0) >= perZone) {
                candidates.dropFirst();
                continue;
            }
            if (!candidates.confirmFirst()) {
                continue;
            }
            commit(machine, entry, team);
            if (widthProfile != null) {
                long endMs = machine.start + machine.fetch + entry.lengthMs();
                WidthLimit.takeOne(widthProfile, nowMs, machine.start, endMs);
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
            Entry moved = entry.notBefore(at);
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
        TeamLimit keptLimit = limits.get(entry.spec().team());
        if (keptLimit != null) {
            limits.put(entry.spec().team(), new TeamLimit(keptLimit));
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
    private void commit(PlanMachine machine, Entry entry, TeamLimit team) {
        JobSpec spec = entry.spec();
        Reservation reservation = new Reservation(
                entry.job(),
                spec,
                machine.id,
                machine.up,
                machine.zone,
                machine.start,
                machine.fetch,
                machine.start + machine.fetch + entry.lengthMs(),
                entry.wide());
        machine.profile.take(reservation.startMs(), reservation.endMs(), spec.cpus(), spec.gpus(), spec.memGb());
        machine.image(spec.image(), reservation.beginMs());
        machine.planned = true;
        if (team != null) {
            team.take(reservation.startMs(), reservation.endMs(), spec.cpus(), spec.gpus());
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
