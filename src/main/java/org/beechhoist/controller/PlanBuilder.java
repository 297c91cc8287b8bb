package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.controller.worker.ColdStartRecovery;
import org.beechhoist.controller.worker.PreemptionNoticeHandler;
import org.beechhoist.elastic.TaskTermination;
import org.beechhoist.plan.Plan;
import org.beechhoist.plan.PlanMachine;
import org.beechhoist.plan.WidthOptions;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MachineType;

/** Builds a plan from the cluster state: machines, running tasks, team limits, waiting jobs in a given order, elastic widths. */
final class PlanBuilder {
    /** Elastic jobs whose widths one plan chooses: each costs a few trials of its part of the plan. */
    private static final int MAX_CHOSEN_WIDTHS = 8;
    /** How long an elastic job without a deadline would wait for a machine at the lowest price. */
    private static final long NO_HURRY_MS = 3_600_000;
    /** How long a migration's reserved place, or a task on a machine that is not planned, is taken to last. */
    private static final long UNKNOWN_END_MS = 3_600_000;
    /** Shortest remaining time until a task that doesn't run yet has its image. */
    private static final long MIN_FETCH_MS = 500;

    private final ControllerContext context;
    private final Settings settings;
    private final Policy policy;
    private final MachineTypeCatalog machineTypes;
    private final ClusterState clusterState;
    private final DurationEstimates estimates;
    private final JobOrdering ordering;
    private final Admission admission;
    private final Provisioner provisioner;
    private final ElasticWidths elastic;
    private final ColdStartRecovery coldStart;
    private final MigrationController migrations;
    private final PreemptionNoticeHandler preemptionNotices;

    PlanBuilder(
            WorkerComponents workers,
            Policy policy,
            MachineTypeCatalog machineTypes,
            Admission admission,
            MigrationController migrations,
            PreemptionNoticeHandler preemptionNotices) {
        this.context = workers.services.context();
        this.settings = workers.services.settings();
        this.policy = policy;
        this.machineTypes = machineTypes;
        this.clusterState = workers.clusterState;
        this.estimates = workers.estimates;
        this.ordering = workers.jobOrdering;
        this.admission = admission;
        this.provisioner = workers.provisioner;
        this.elastic = workers.elasticWidths;
        this.coldStart = workers.coldStart;
        this.migrations = migrations;
        this.preemptionNotices = preemptionNotices;
    }

    /** Builds a plan of what runs and, in the given order, what waits; it chooses the elastic widths that are not given. */
    Plan build(List<Job> order, Map<JobId, Integer> widths) {
        long now = context.now().ms();
        Set<MachineId> planned = new HashSet<>();
        Plan next = new Plan(now, planMachines(planned));
        next.setGpuSizes(migrations.requestedSizes());
        addTeamUsage(next, planned);
        placeWaiting(next, order);
        widen(next, order, widths);
        return next;
    }

    /** Returns the machines that a plan may use, and adds their ids to {@code planned}. */
    private List<PlanMachine> planMachines(Set<MachineId> planned) {
        List<PlanMachine> planMachines = new ArrayList<>();
        for (Machine machine : clusterState.machines()) {
            MachineType type = machine.isTypeKnown() ? machineTypes.get(machine.type) : null;
            if (type == null
                    || (!admission.isUsable(machine) && (machine.up || machine.releasing))
                    || coldStart.isPresumedAbsent(machine)) {
                continue;
            }
            planMachines.add(planMachine(machine, type));
            planned.add(machine.id);
        }
        return planMachines;
    }

    private PlanMachine planMachine(Machine machine, MachineType type) {
        long now = context.now().ms();
        PlanMachine planMachine = new PlanMachine(
                machine.id,
                type,
                machine.zone,
                machine.spot,
                machine.up,
                machine.up ? now : provisioner.expectedReadyAtMs(machine, type));
        planMachine.setCachedImages(machine.images.keySet());
        occupyByTasks(planMachine, machine);
        for (JobSpec kept : migrations.reservedOn(machine.id)) {
            planMachine.occupy(now + UNKNOWN_END_MS, kept.cpus(), kept.gpus(), kept.memGb());
        }
        if (machine.up && admission.mayWiden(machine)) {
            planMachine.allowElasticGrowth();
        }
        return planMachine;
    }

    /** Occupies the machine with the tasks placed on it, up to their expected ends. */
    private void occupyByTasks(PlanMachine planMachine, Machine machine) {
        long now = context.now().ms();
        for (Placement placement : machine.placements.values()) {
            Job job = clusterState.job(placement.task.job());
            if (job != null) {
                JobSpec spec = job.spec();
                planMachine.occupy(
                        estimates.expectedEnd(placement, context.now()).ms(), spec.cpus(), spec.gpus(), spec.memGb());
                planMachine.addExpectedImage(
                        spec.image(),
                        placement.runningSince != null
                                ? now
                                : Math.max(now + MIN_FETCH_MS, placement.placedAt.ms() + placement.fetchMs));
            }
        }
    }

    /** Adds the teams' limits and what their live tasks use of them. */
    private void addTeamUsage(Plan next, Set<MachineId> planned) {
        long now = context.now().ms();
        for (Settings.Team team : settings.teams().values()) {
            next.setTeamQuota(team.name(), team.cpusMax(), team.gpusMax());
        }
        for (Job job : clusterState.jobs()) {
            for (Placement placement : job.record.live.values()) {
                Machine machine = clusterState.findMachine(placement.machine);
                long end = planned.contains(placement.machine)
                                || machine != null && (machine.preemptionAt != null || machine.cordonedBy != null)
                        ? preemptionNotices.expectedEnd(machine, placement).ms()
                        : now + UNKNOWN_END_MS;
                next.addTeamUsage(
                        job.spec().team(), end, job.spec().cpus(), job.spec().gpus());
            }
        }
    }

    /** Places the waiting tasks: expedited ones and those with a reserved place of all jobs first, then all others. */
    private void placeWaiting(Plan next, List<Job> order) {
        for (Job job : order) {
            if (expeditedTasks(job) > 0) {
                next.place(entry(
                        job, Math.min(expeditedTasks(job), job.maxPlaceable(elastic.regularWaitingCount(job))), 0));
            }
        }
        for (Job job : order) {
            if (job.spec().isGang() && !job.record.live.isEmpty()) {
                continue; // what is left of a gang ends first, then all of it starts anew
            }
            int unwidened = job.maxPlaceable(elastic.regularWaitingCount(job))
                    - expeditedTasks(job)
                    - migrations.migratingTaskCount(job);
            if (unwidened > 0) {
                next.place(entry(job, unwidened, ordering.patienceMs(job)));
            }
        }
    }

    /** Returns how many of the job's tasks go before all others: expedited ones, and those for which a migration frees capacity. */
    private int expeditedTasks(Job job) {
        return Math.max(job.expeditedTasks(), migrations.pendingMigrationCount(job));
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

    /** Widens elastic jobs onto capacity that would be idle after all other work is placed. */
    private void widen(Plan next, List<Job> order, Map<JobId, Integer> widths) {
        int chosen = 0;
        for (Job job : order) {
            if (job.record.width == null) {
                continue;
            }
            int unwidened = elastic.regularWaitingCount(job);
            WidthOptions options = elastic.wideningOptions(job, unwidened, widths.get(job.id()));
            if (options == null) {
                continue;
            }
            if (options.fixedWidth() == null && chosen++ >= MAX_CHOSEN_WIDTHS) {
                options = options.withFixedWidth(job.width()); // it stays as wide as it is
            }
            List<Long> busyUntil = new ArrayList<>();
            for (Placement placement : job.record.live.values()) {
                busyUntil.add(estimates.expectedEnd(placement, context.now()).ms());
            }
            long slack = options.deadlineMs() == TaskTermination.NEVER
                    ? NO_HURRY_MS
                    : Math.max(0, options.deadlineMs() - context.now().ms());
            next.placeElastic(
                    entry(job, job.record.waitingCount() - unwidened, Math.round(policy.patience() * slack)),
                    busyUntil,
                    options);
        }
    }
}
