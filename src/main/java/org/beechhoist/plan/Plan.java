package org.beechhoist.plan;

import java.util.ArrayList;
import java.util.Arrays;
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
 * The plan: per zone, machines with their gaps and the reservations in them; and each team's limit over time.
 * Entries are placed in order, each task in the earliest gap that spares what was placed before it, so building
 * the plan anew in the kept order is its compression.
 */
public final class Plan {
    /** Tasks planned one by one for one entry, and for the whole plan; the rest of a run is beyond the horizon. */
    static final int MAX_PER_ENTRY = 700;

    private static final int MAX_TASKS = 6000;
    /** How often a gang's start is moved on in search of room for all of it. */
    private static final int MAX_GANG_MOVES = 12;
    /** Begins closer together than this are equally good, and money decides. */
    private static final long TIE_MS = 400;

    private static final double EPSILON = 1e-6;

    /**
     * A run of like tasks of one job that wait for a machine. {@code patienceMs}: how much later it may begin for the
     * sake of a machine at the lowest price rather than one at four times that.
     */
    public record Entry(
            JobId job,
            JobSpec spec,
            int waiting,
            long lengthMs,
            Map<String, Integer> liveByZone,
            long notBeforeMs,
            long patienceMs,
            Cap cap) {
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
            return new Entry(job, spec, waiting, lengthMs, liveByZone, ms, patienceMs, cap);
        }

        Entry capped(int width, List<Long> busyUntil) {
            return new Entry(
                    job, spec, waiting, lengthMs, liveByZone, notBeforeMs, patienceMs, new Cap(width, busyUntil));
        }

        boolean wide() {
            return cap != null;
        }
    }

    /** A width over time, as a team's limit is: so many of the job's tasks at once, some in use until given times. */
    record Cap(int width, List<Long> busyUntil) {
        Profile profile(long nowMs) {
            Profile profile = new Profile(nowMs, width, 0, 0);
            busyUntil.forEach(end -> profile.take(nowMs, whole(nowMs, end), 1, 0, 0));
            return profile;
        }

        /** In whole seconds, on the safe side, so that a thousand tasks' ends make few steps. */
        static long whole(long nowMs, long end) {
            return nowMs + (end - nowMs + 999) / 1000 * 1000;
        }
    }

    /**
     * What is known of an elastic job beside its entry.
     *
     * @param from how many of its tasks are live or placed already
     * @param most how many may be
     * @param untilMs when it should be done; Long.MAX_VALUE: no hurry
     * @param worth what a second beyond that is worth, in seconds of the whole wide job at the lowest price
     * @param lowestCostPerCpu an hour of one CPU at the lowest price that the job may use
     * @param fixed a width that is not to be weighed, or null
     */
    public record Wish(int from, int most, long untilMs, double worth, double lowestCostPerCpu, Integer fixed) {
        public Wish fixedAt(int width) {
            return new Wish(from, most, untilMs, worth, lowestCostPerCpu, width);
        }
    }

    /**
     * One task's place. Its work begins at {@code startMs + fetchMs}. {@code wide}: an elastic job's beyond what is sure;
     * nothing is rented or stopped for it.
     */
    public record Reservation(
            JobId job,
            JobSpec spec,
            MachineId host,
            boolean hostUp,
            String zone,
            long startMs,
            long fetchMs,
            long endMs,
            boolean wide) {
        public long beginMs() {
            return startMs + fetchMs;
        }
    }

    private final long nowMs;
    private double lowestCost = Double.POSITIVE_INFINITY;
    private Sizes sizes = Sizes.NONE;
    private final Map<String, List<PlanHost>> zones = new TreeMap<>();
    private final Map<String, TeamLimit> limits = new HashMap<>();
    private final List<Reservation> reservations = new ArrayList<>();
    private final Map<JobId, Integer> unplaced = new HashMap<>();
    private final Map<JobId, Long> firstStart = new HashMap<>();
    /** The machines an entry may use, the best place for its next task first; a heap, made anew for each entry. */
    private PlanHost[] candidates = new PlanHost[64];

    private int candidateCount;
    private long fits;
    /** What the elastic jobs' chosen widths cost beyond the work itself, lateness included. */
    private double money;

    private int lateWide;

    public Plan(long nowMs, Collection<PlanHost> hosts) {
        this.nowMs = nowMs;
        for (PlanHost machine : hosts) {
            lowestCost = Math.min(lowestCost, machine.costPerCpu());
            zones.computeIfAbsent(machine.zone, z -> new ArrayList<>()).add(machine);
        }
    }

    /** What tasks ask for of GPUs: where equal in time, a place is better that breaks less of what is still whole for them. */
    public void sizes(Sizes asked) {
        sizes = asked;
    }

    /** A team's limit, and what it has in use until given times. */
    public void limit(String team, double cpus, double gpus) {
        limits.put(team, new TeamLimit(nowMs, cpus, gpus));
    }

    public void use(String team, long endMs, double cpus, double gpus) {
        TeamLimit limit = limits.get(team);
        if (limit != null) {
            limit.take(nowMs, endMs, cpus, gpus);
        }
    }

    public long madeAtMs() {
        return nowMs;
    }

    /** How many gaps were looked for: what this plan has cost. */
    public long fits() {
        return fits;
    }

    public List<Reservation> reservations() {
        return reservations;
    }

    /** Tasks of the job that found no place within the plan's bounds. */
    public int unplaced(JobId job) {
        return unplaced.getOrDefault(job, 0);
    }

    /** The planned start of the job's first waiting task, or null. */
    public Long plannedStart(JobId job) {
        return firstStart.get(job);
    }

    public Set<MachineId> plannedHosts() {
        Set<MachineId> out = new HashSet<>();
        reservations.forEach(r -> out.add(r.host()));
        return out;
    }

    /** Places an entry's tasks, each in its earliest gap; a gang's at the first moment that has room for all. */
    public void place(Entry entry) {
        int most = Math.min(entry.waiting(), Math.min(MAX_PER_ENTRY, MAX_TASKS - reservations.size()));
        String only = entry.spec().sameZone() ? chooseZone(entry, most) : null;
        int placed = entry.spec().isGang() ? placeTogether(entry, most, only) : placeEach(entry, most, only);
        if (placed < entry.waiting()) {
            unplaced.merge(entry.job(), entry.waiting() - placed, Integer::sum);
        }
    }

    /**
     * Places the rest of an elastic job's waiting tasks, after all others, onto machines that are up and would stand
     * idle, at the width that is worth most; hands over that width.
     *
     * @param busyUntil when its live tasks are over
     */
    public int widen(Entry entry, List<Long> busyUntil, Wish wish) {
        Map<MachineId, Long> others = new HashMap<>();
        Map<MachineId, PlanHost> byId = new HashMap<>();
        zones.values()
                .forEach(list -> list.forEach(machine -> {
                    byId.put(machine.id, machine);
                    others.put(machine.id, machine.profile.lastChange());
                }));
        List<Long> inUse = new ArrayList<>(busyUntil);
        for (Reservation reservation : reservations) {
            if (reservation.job().equals(entry.job())) {
                inUse.add(reservation.endMs());
            }
        }
        List<Widening.Outcome> outcomes = new ArrayList<>();
        for (int width : Widening.candidates(wish)) {
            outcomes.add(trial(entry, () -> {
                int first = reservations.size();
                placeWide(entry.capped(width, inUse));
                return Widening.outcome(
                        entry, wish, width, reservations.subList(first, reservations.size()), byId, others, nowMs);
            }));
        }
        Widening.Outcome best = Widening.best(outcomes);
        placeWide(entry.capped(best.width(), inUse));
        money += Math.max(0, best.cost() + best.work());
        lateWide += best.finishMs() > wish.untilMs() ? 1 : 0;
        return best.width();
    }

    private void placeWide(Entry entry) {
        int most = Math.min(entry.waiting(), Math.min(MAX_PER_ENTRY, MAX_TASKS - reservations.size()));
        placeEach(entry, most, entry.spec().sameZone() ? chooseZone(entry, most) : null);
    }

    /** What the elastic jobs' widths cost. */
    public double money() {
        return money;
    }

    /** Elastic jobs that would be done later than they should. */
    public int lateWide() {
        return lateWide;
    }

    /**
     * Each machine's earliest gap is looked for once, then again only on the machine that took a task: an entry costs
     * its machines and tasks, not their product.
     */
    private int placeEach(Entry entry, int most, String only) {
        JobSpec spec = entry.spec();
        if (most <= 0) {
            return 0;
        }
        TeamLimit team = limits.get(spec.team());
        Profile limit = team == null ? null : team.within(entry.waiting() * spec.cpus(), entry.waiting() * spec.gpus());
        Profile cap = entry.cap() == null ? null : entry.cap().profile(nowMs);
        gather(entry, only, limit, cap);
        int perZone = spec.antiAffinity() ? (spec.tasks() + 1) / 2 : Integer.MAX_VALUE;
        Map<String, Integer> inZone = new HashMap<>(entry.liveByZone());
        int placed = 0;
        while (placed < most && candidateCount > 0) {
            PlanHost machine = candidates[0];
            if (perZone < Integer.MAX_VALUE && inZone.getOrDefault(machine.zone, 0) >= perZone) {
                dropFirst();
                continue;
            }
            if (limit != null || cap != null) {
                long before = machine.score;
                if (!look(machine, entry, limit, cap)) {
                    dropFirst();
                    continue;
                }
                if (machine.score > before) { // its team's other tasks have taken that moment meanwhile
                    sift(0);
                    continue;
                }
            }
            commit(machine, entry, team);
            if (cap != null) {
                cap.take(
                        nowMs + (machine.start - nowMs) / 1000 * 1000,
                        Cap.whole(nowMs, machine.start + machine.fetch + entry.lengthMs()),
                        1,
                        0,
                        0);
            }
            inZone.merge(machine.zone, 1, Integer::sum);
            placed++;
            if (look(machine, entry, limit, cap)) {
                sift(0);
            } else {
                dropFirst();
            }
        }
        return placed;
    }

    private void gather(Entry entry, String only, Profile limit, Profile cap) {
        candidateCount = 0;
        for (Map.Entry<String, List<PlanHost>> zone : zones.entrySet()) {
            if (only != null && !only.equals(zone.getKey())) {
                continue;
            }
            for (PlanHost machine : zone.getValue()) {
                if ((!entry.wide() || machine.widens)
                        && entry.spec().mayRunOn(machine.type, machine.zone, machine.spot)
                        && look(machine, entry, limit, cap)) {
                    if (candidateCount == candidates.length) {
                        candidates = Arrays.copyOf(candidates, 2 * candidateCount);
                    }
                    candidates[candidateCount++] = machine;
                }
            }
        }
        for (int i = candidateCount / 2 - 1; i >= 0; i--) {
            sift(i);
        }
    }

    private void sift(int at) {
        PlanHost machine = candidates[at];
        int index = at;
        while (2 * index + 1 < candidateCount) {
            int child = 2 * index + 1;
            if (child + 1 < candidateCount && better(candidates[child + 1], candidates[child])) {
                child++;
            }
            if (!better(candidates[child], machine)) {
                break;
            }
            candidates[index] = candidates[child];
            index = child;
        }
        candidates[index] = machine;
    }

    private void dropFirst() {
        candidates[0] = candidates[--candidateCount];
        candidates[candidateCount] = null;
        if (candidateCount > 0) {
            sift(0);
        }
    }

    private int placeTogether(Entry entry, int most, String only) {
        if (most < entry.waiting()) {
            return 0; // beyond the horizon as a whole
        }
        long at = Math.max(nowMs, entry.notBeforeMs());
        for (int i = 0; i < MAX_GANG_MOVES; i++) {
            Entry moved = entry.notBefore(at);
            long[] latest = {at};
            int placed = trial(entry, () -> {
                int first = reservations.size();
                int otherPlaced = placeEach(moved, most, only);
                reservations
                        .subList(first, reservations.size())
                        .forEach(r -> latest[0] = Math.max(latest[0], r.startMs()));
                return otherPlaced;
            });
            if (placed < most) {
                return 0;
            }
            if (latest[0] <= at) {
                return placeEach(moved, most, only);
            }
            at = latest[0];
        }
        return 0;
    }

    /** Runs {@code attempt} on copies and leaves the plan as it was. */
    private <T> T trial(Entry entry, Supplier<T> attempt) {
        Map<String, List<PlanHost>> kept = new HashMap<>(zones);
        zones.replaceAll((z, hosts) -> hosts.stream().map(PlanHost::copy).collect(Collectors.toList()));
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

    private void commit(PlanHost machine, Entry entry, TeamLimit team) {
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

    /** Where tasks of a job may be that must share a zone: with its live ones, else where its tasks begin soonest. */
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
                double begins = placed == 0 ? Double.POSITIVE_INFINITY : (tasks - placed) * 1e9;
                for (Reservation r : reservations.subList(first, reservations.size())) {
                    begins += r.beginMs() - nowMs;
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

    /** Finds the earliest gap for one of the entry's tasks on the machine, and what that place is worth. */
    private boolean look(PlanHost machine, Entry entry, Profile limit, Profile cap) {
        JobSpec spec = entry.spec();
        fits++;
        long at = Math.max(nowMs, Math.max(machine.readyMs, entry.notBeforeMs()));
        long start = fit(
                machine, limit, cap, at, entry.lengthMs() + machine.fetchMs(spec.image(), spec.imageGb(), at), spec);
        if (start == Profile.NEVER) {
            return false;
        }
        machine.start = start;
        machine.fetch = machine.fetchMs(spec.image(), spec.imageGb(), start);
        machine.score = start + machine.fetch + priceInMs(machine, entry);
        machine.free = machine.profile.freeCpusAt(start);
        // Work without GPUs keeps off machines that have some, where it is as soon elsewhere.
        machine.breaks = machine.type.gpus() == 0
                ? 0
                : spec.gpus() == 0 ? machine.type.gpus() : sizes.broken(machine.profile.freeGpusAt(start), spec.gpus());
        return true;
    }

    private static long fit(PlanHost machine, Profile team, Profile cap, long at, long length, JobSpec spec) {
        long start = at;
        while (true) {
            start = machine.earliest(start, length, spec.cpus(), spec.gpus(), spec.memGb());
            long allowed = start;
            if (team != null && allowed != Profile.NEVER) {
                allowed = team.earliest(allowed, length, spec.cpus(), spec.gpus(), 0);
            }
            if (cap != null && allowed != Profile.NEVER) {
                allowed = cap.earliest(allowed, length, 1, 0, 0);
            }
            if (allowed == start || allowed == Profile.NEVER) {
                return allowed;
            }
            start = allowed;
        }
    }

    /** A machine's price as the delay that a cheap machine would be worth waiting for. */
    private long priceInMs(PlanHost machine, Entry entry) {
        double over = lowestCost > 0 ? (machine.costPerCpu() / lowestCost - 1) / 3 : 0;
        return Math.round(entry.patienceMs() * Math.max(0, Math.min(1, over)));
    }

    private boolean better(PlanHost machine, PlanHost than) {
        long step = (machine.score - nowMs) / TIE_MS;
        long other = (than.score - nowMs) / TIE_MS;
        if (step != other) {
            return step < other;
        }
        if (Math.abs(machine.breaks - than.breaks) > EPSILON) {
            return machine.breaks < than.breaks;
        }
        if (machine.costPerCpu() != than.costPerCpu()) {
            return machine.costPerCpu() < than.costPerCpu();
        }
        return machine.free != than.free ? machine.free < than.free : machine.score < than.score;
    }
}
