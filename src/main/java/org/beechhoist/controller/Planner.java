package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.controller.worker.ColdStartRecovery;
import org.beechhoist.controller.worker.PreemptionNotices;
import org.beechhoist.elastic.Ending;
import org.beechhoist.plan.Evaluation;
import org.beechhoist.plan.Plan;
import org.beechhoist.plan.PlanMachine;
import org.beechhoist.plan.RandomSearch;
import org.beechhoist.plan.WidthOptions;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Makes the plan from the book, as often as its size allows, and searches for better orders in between. */
final class Planner {
    private static final Logger LOG = LoggerFactory.getLogger(Planner.class);
    private static final long PLAN_EVERY_MS = 100;
    /** A plan that looked for this many gaps may be followed by the next one a millisecond later. */
    private static final long FITS_PER_MS = 400;
    /** Plans go on however far behind the node is: nothing would start without them. */
    private static final long MOST_BEHIND_MS = 1500;
    /** Elastic jobs whose widths one plan weighs: each costs a few trials of its part of the plan. */
    private static final int MAX_WEIGHED = 8;
    /** How long an elastic job that nobody waits for would wait for a machine at the lowest price. */
    private static final long NO_HURRY_MS = 3_600_000;
    /** Keeps a team that has used nothing yet from outweighing all others. */
    private static final double USAGE_FLOOR = 0.05;

    private final ControllerContext context;
    private final Settings settings;
    private final Policy policy;
    private final SplittableRandom random;
    private final MachineTypeCatalog machineTypes;
    private final ClusterState clusterState;
    private final DurationEstimates estimates;
    private final JobOrdering ordering;
    private final Admission admission;
    private final Provisioner provisioner;
    private final ElasticWidths elastic;
    private final ColdStartRecovery coldStart;
    private final MigrationController migrations;
    private final PreemptionNotices preemptionNotices;
    private MonotonicTime nextPlan = MonotonicTime.ZERO;
    private Plan plan;
    private RandomSearch<Arrangement> search;
    private MonotonicTime nextSearch = MonotonicTime.ZERO;
    private MonotonicTime searchEnds = MonotonicTime.ZERO;
    /** What the last search liked best, for those of its jobs that still wait. */
    private Arrangement preferred = Arrangement.NONE;

    private long searchSteps;
    private long searchKept;

    Planner(
            ControllerContext context,
            Settings settings,
            Policy policy,
            SplittableRandom random,
            MachineTypeCatalog machineTypes,
            ClusterState clusterState,
            DurationEstimates estimates,
            JobOrdering ordering,
            Admission admission,
            Provisioner provisioner,
            ElasticWidths elastic,
            ColdStartRecovery coldStart,
            MigrationController migrations,
            PreemptionNotices preemptionNotices) {
        this.migrations = migrations;
        this.preemptionNotices = preemptionNotices;
        this.coldStart = coldStart;
        this.context = context;
        this.settings = settings;
        this.policy = policy;
        this.random = random;
        this.machineTypes = machineTypes;
        this.clusterState = clusterState;
        this.estimates = estimates;
        this.ordering = ordering;
        this.admission = admission;
        this.provisioner = provisioner;
        this.elastic = elastic;
    }

    void begin() {
        search = null;
        preferred = Arrangement.NONE;
    }

    void end() {
        search = null;
        plan = null;
    }

    /** Whether something has changed and the last plan has served long enough. */
    boolean due() {
        return clusterState.replanRequested() && !context.now().isBefore(nextPlan);
    }

    /** Makes a new plan. */
    Plan plan() {
        clusterState.replanDone();
        plan = build(ordered(), preferred.fixed());
        return plan;
    }

    /** The plan has been acted on; the larger it is, the longer it must serve before the next. */
    void pace() {
        nextPlan = context.now().plusMs(pause(plan));
    }

    /** When the newest plan has all of the job's tasks over; null where it doesn't reach that far, or has no end. */
    Long plannedEnd(Job job) {
        if (plan == null || job.spec().isService() || plan.unplaced(job.id()) > 0) {
            return null;
        }
        long end = 0;
        int waiting = 0;
        for (Plan.Reservation reservation : plan.reservations()) {
            if (reservation.job().equals(job.id())) {
                waiting++;
                end = Math.max(end, reservation.endMs());
            }
        }
        for (Placement p : job.record.live.values()) {
            end = Math.max(end, estimates.expectedEnd(p, context.now()).ms());
        }
        return waiting + job.record.live.size() + job.record.done.size()
                        < job.spec().tasks()
                ? null
                : end;
    }

    /** Whether a plan or a step of the search is to follow, at {@link #next}. */
    boolean wantsTurn() {
        return clusterState.replanRequested() || search != null;
    }

    MonotonicTime next() {
        return search != null ? context.now().plusMs(1) : nextPlan;
    }

    long searchSteps() {
        return searchSteps;
    }

    long searchKept() {
        return searchKept;
    }

    /** A plan with what runs and, in the given order, what waits; widths that are not given are weighed. */
    private Plan build(List<Job> order, Map<JobId, Integer> widths) {
        long now = context.now().ms();
        List<PlanMachine> planMachines = new ArrayList<>();
        Set<MachineId> planned = new HashSet<>();
        for (Machine machine : clusterState.machines()) {
            MachineType type = machine.isKnown() ? machineTypes.get(machine.type) : null;
            if (type == null
                    || (!admission.usable(machine) && (machine.up || machine.releasing))
                    || coldStart.isDoubted(machine)) {
                continue;
            }
            PlanMachine planMachine = new PlanMachine(
                    machine.id,
                    type,
                    machine.zone,
                    machine.spot,
                    machine.up,
                    machine.up ? now : provisioner.readyAt(machine, type));
            planMachine.holds(machine.images.keySet());
            for (Placement placement : machine.placements.values()) {
                Job job = clusterState.job(placement.task.job());
                if (job != null) {
                    JobSpec spec = job.spec();
                    planMachine.occupy(
                            estimates.expectedEnd(placement, context.now()).ms(),
                            spec.cpus(),
                            spec.gpus(),
                            spec.memGb());
                    planMachine.image(
                            spec.image(),
                            placement.runningSince != null
                                    ? now
                                    : Math.max(now + 500, placement.placedAt.ms() + placement.fetchMs));
                }
            }
            for (JobSpec kept : migrations.keptOn(machine.id)) {
                planMachine.occupy(now + 3_600_000, kept.cpus(), kept.gpus(), kept.memGb());
            }
            if (machine.up && admission.mayWiden(machine)) {
                planMachine.mayWiden();
            }
            planMachines.add(planMachine);
            planned.add(machine.id);
        }
        Plan next = new Plan(now, planMachines);
        next.sizes(migrations.sizes());
        for (Settings.Team t : settings.teams().values()) {
            next.limit(t.name(), t.cpusMax(), t.gpusMax());
        }
        for (Job job : clusterState.jobs()) {
            for (Placement placement : job.record.live.values()) {
                Machine machine = clusterState.findMachine(placement.machine);
                long end = planned.contains(placement.machine)
                                || machine != null && (machine.preemptedAt != null || machine.cordonedBy != null)
                        ? preemptionNotices.expectedEnd(machine, placement).ms()
                        : now + 3_600_000;
                next.use(job.spec().team(), end, job.spec().cpus(), job.spec().gpus());
            }
        }
        for (Job job : order) {
            if (first(job) > 0) {
                next.place(entry(job, Math.min(first(job), job.maxPlaceable(elastic.sure(job))), 0));
            }
        }
        for (Job job : order) {
            if (job.spec().isGang() && !job.record.live.isEmpty()) {
                continue; // what is left of a gang ends first, then all of it starts anew
            }
            int sure = job.maxPlaceable(elastic.sure(job)) - first(job) - migrations.underWay(job);
            if (sure > 0) {
                next.place(entry(job, sure, ordering.patience(job)));
            }
        }
        widen(next, order, widths);
        return next;
    }

    /** Tasks of it that come before all others: what has waited for long, and whom room is made for. */
    private int first(Job job) {
        return Math.max(job.expeditedTasks(), migrations.roomsFor(job));
    }

    private Plan.Entry entry(Job job, int waiting, long patienceMs) {
        return new Plan.Entry(
                job.id(),
                job.spec(),
                waiting,
                estimates.expectedMs(job.spec()),
                admission.liveByZone(job),
                job.notBefore.ms(),
                patienceMs);
    }

    /** After all others, elastic jobs onto what would stand idle. */
    private void widen(Plan next, List<Job> order, Map<JobId, Integer> widths) {
        int weighed = 0;
        for (Job job : order) {
            if (job.record.width == null) {
                continue;
            }
            int sure = elastic.sure(job);
            WidthOptions wish = elastic.wish(job, sure, widths.get(job.id()));
            if (wish == null) {
                continue;
            }
            if (wish.fixed() == null && weighed++ >= MAX_WEIGHED) {
                wish = wish.fixedAt(job.width()); // it stays as wide as it is
            }
            List<Long> busyUntil = new ArrayList<>();
            for (Placement p : job.record.live.values()) {
                busyUntil.add(estimates.expectedEnd(p, context.now()).ms());
            }
            long slack = wish.untilMs() == Ending.NEVER
                    ? NO_HURRY_MS
                    : Math.max(0, wish.untilMs() - context.now().ms());
            next.widen(
                    entry(job, job.record.waitingCount() - sure, Math.round(policy.patience() * slack)),
                    busyUntil,
                    wish);
        }
    }

    /** One step of the periodic search, if it is time for one; other inputs come in between. */
    void searchStep() {
        if (search == null) {
            if (context.now().isBefore(nextSearch) || policy.searchIterations() == 0) {
                return;
            }
            nextSearch = context.now().plusMs(policy.searchEveryMs());
            searchEnds = context.now().plusMs(policy.searchMs());
            // Where an objective still speaks for a job it decides the order, and search was measured to spend the
            // slack that objectives need; what none speaks for is ordered by waits, slowdown and fairness.
            List<JobId> free = ordered().stream()
                    .filter(j -> !ordering.objectiveOpen(j))
                    .map(Job::id)
                    .toList();
            Arrangement start = arrangement(free);
            search = new RandomSearch<>(
                    start,
                    Arrangement::moved,
                    this::evaluate,
                    policy.weights(),
                    start.movable() ? policy.searchIterations() : 0,
                    random);
        }
        if (search.finished() || !context.now().isBefore(searchEnds)) {
            searchSteps += search.steps();
            searchKept += search.kept();
            if (search.kept() > 0) {
                preferred = search.best();
                clusterState.requestReplan();
                LOG.debug("search kept {} of {} moves", search.kept(), search.steps());
            } else if (!preferred.fixed().isEmpty()) {
                preferred = preferred.unfixed(); // the plan weighs them again
                clusterState.requestReplan();
            }
            search = null;
            return;
        }
        search.step();
    }

    private Arrangement arrangement(List<JobId> free) {
        List<JobId> wide = new ArrayList<>();
        Map<JobId, Integer> widest = new HashMap<>();
        for (Job job : clusterState.jobs()) {
            if (job.record.width != null && elastic.wish(job, elastic.sure(job), null) != null) {
                wide.add(job.id());
                widest.put(
                        job.id(),
                        Math.min(job.record.width.allowed().max(), job.spec().tasks()));
            }
        }
        return new Arrangement(free, wide, widest, Map.of());
    }

    private Evaluation evaluate(Arrangement arrangement) {
        List<Job> list = JobOrdering.withPreferredOrder(ordering.byObjective(), arrangement.order());
        Map<JobId, Evaluation.Facts> facts = new HashMap<>();
        for (Job job : list) {
            facts.put(
                    job.id(),
                    new Evaluation.Facts(
                            job.spec().team(),
                            job.submittedAt.ms(),
                            ordering.latestStart(job),
                            estimates.expectedMs(job.spec())));
        }
        Map<String, Double> usage = new HashMap<>();
        double all = Math.max(
                1,
                clusterState.teamCpuMs().values().stream()
                        .mapToDouble(Double::doubleValue)
                        .sum());
        for (String team : settings.teams().keySet()) {
            usage.put(team, USAGE_FLOOR + clusterState.teamCpuMs().getOrDefault(team, 0.0) / all);
        }
        return Evaluation.of(build(list, arrangement.fixed()), facts, usage);
    }

    /** How long a plan must serve before the next: the larger it is, and the further this node is behind, the longer. */
    private long pause(Plan plan) {
        return PLAN_EVERY_MS + plan.fits() / FITS_PER_MS + Math.min(MOST_BEHIND_MS, context.lagMs());
    }

    /** The newest plan, or null. */
    Plan current() {
        return plan;
    }

    private List<Job> ordered() {
        return JobOrdering.withPreferredOrder(ordering.byObjective(), preferred.order());
    }
}
