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
    /** The maximum number of elastic jobs whose width one plan chooses: each needs several trial placements of its tasks. */
    private static final int MAX_CHOSEN_WIDTHS = 8;
    /** The slack of an elastic job without a deadline, from which its wait for a machine at the lowest price is computed. */
    private static final long NO_DEADLINE_SLACK_MS = 3_600_000;
    /** The assumed duration of a migration's reservation, and of a task on a machine that is not part of the plan. */
    private static final long UNKNOWN_DURATION_MS = 3_600_000;
    /** The minimum remaining fetch time of the image of a task that is not running yet. */
    private static final long MIN_REMAINING_FETCH_MS = 500;

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
    private final MigrationController migrationController;
    private final PreemptionNoticeHandler preemptionNotices;

    PlanBuilder(
            WorkerComponents workers,
            Policy policy,
            MachineTypeCatalog machineTypes,
            Admission admission,
            MigrationController migrationController,
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
        this.migrationController = migrationController;
        this.preemptionNotices = preemptionNotices;
    }

    /** Builds a plan from the running tasks and, in the given order, the waiting jobs; chooses the elastic widths that are not given. */
    Plan build(List<Job> order, Map<JobId, Integer> widths) {
        long now = context.now().ms();
        Set<MachineId> plannedIds = new HashSet<>();
        Plan plan = new Plan(now, planMachines(plannedIds));
        plan.setGpuSizes(migrationController.requestedSizes());
        addTeamUsage(plan, plannedIds);
        placeWaiting(plan, order);
        widenElasticJobs(plan, order, widths);
        return plan;
    }

    /** Returns the machines that a plan may use and adds their ids to {@code plannedIds}. */
    private List<PlanMachine> planMachines(Set<MachineId> plannedIds) {
        List<PlanMachine> planMachines = new ArrayList<>();
        for (Machine machine : clusterState.machines()) {
            MachineType type = machine.isTypeKnown() ? machineTypes.get(machine.type) : null;
            if (type == null
                    || (!admission.isUsable(machine) && (machine.up || machine.releasing))
                    || coldStart.isPresumedAbsent(machine)) {
                continue;
            }
            planMachines.add(planMachine(machine, type));
            plannedIds.add(machine.id);
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
        for (JobSpec reserved : migrationController.reservedOn(machine.id)) {
            planMachine.occupy(now + UNKNOWN_DURATION_MS, reserved.cpus(), reserved.gpus(), reserved.memGb());
        }
        if (machine.up && admission.mayWiden(machine)) {
            planMachine.allowElasticGrowth();
        }
        return planMachine;
    }

    /** Reserves the machine's capacity for the tasks placed on it, up to their expected ends. */
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
                                : Math.max(now + MIN_REMAINING_FETCH_MS, placement.placedAt.ms() + placement.fetchMs));
            }
        }
    }

    /** Adds the limits of the teams and the usage of their live tasks. */
    private void addTeamUsage(Plan plan, Set<MachineId> plannedIds) {
        long now = context.now().ms();
        for (Settings.Team team : settings.teams().values()) {
            plan.setTeamQuota(team.name(), team.cpusMax(), team.gpusMax());
        }
        for (Job job : clusterState.jobs()) {
            for (Placement placement : job.record.live.values()) {
                Machine machine = clusterState.findMachine(placement.machine);
                long end = plannedIds.contains(placement.machine)
                                || machine != null && (machine.preemptionAt != null || machine.cordonedBy != null)
                        ? preemptionNotices.expectedEnd(machine, placement).ms()
                        : now + UNKNOWN_DURATION_MS;
                plan.addTeamUsage(
                        job.spec().team(), end, job.spec().cpus(), job.spec().gpus());
            }
        }
    }

    /** Places the waiting tasks: first the expedited tasks and those with reserved capacity of all jobs, then all others. */
    private void placeWaiting(Plan plan, List<Job> order) {
        for (Job job : order) {
            if (expeditedTasks(job) > 0) {
                plan.place(planEntry(
                        job, Math.min(expeditedTasks(job), job.maxPlaceable(elastic.regularWaitingCount(job))), 0));
            }
        }
        for (Job job : order) {
            if (job.spec().isGang() && !job.record.live.isEmpty()) {
                continue; // a gang restarts as a unit once its remaining live tasks have ended
            }
            int regular = job.maxPlaceable(elastic.regularWaitingCount(job))
                    - expeditedTasks(job)
                    - migrationController.migratingTaskCount(job);
            if (regular > 0) {
                plan.place(planEntry(job, regular, ordering.patienceMs(job)));
            }
        }
    }

    /** Returns how many tasks of the job are placed before all others: expedited ones and those for which a migration frees capacity. */
    private int expeditedTasks(Job job) {
        return Math.max(job.expeditedTasks(), migrationController.pendingMigrationCount(job));
    }

    private Plan.Entry planEntry(Job job, int waiting, long patienceMs) {
        return new Plan.Entry(
                job.id(),
                job.spec(),
                waiting,
                estimates.expectedMs(job.spec()),
                admission.liveByZone(job),
                job.notBefore.ms(),
                patienceMs);
    }

    /** Widens elastic jobs onto the capacity that is idle after all other tasks are placed. */
    private void widenElasticJobs(Plan plan, List<Job> order, Map<JobId, Integer> widths) {
        int chosenWidths = 0;
        for (Job job : order) {
            if (job.record.width == null) {
                continue;
            }
            int regular = elastic.regularWaitingCount(job);
            WidthOptions options = elastic.wideningOptions(job, regular, widths.get(job.id()));
            if (options == null) {
                continue;
            }
            if (options.fixedWidth() == null && chosenWidths++ >= MAX_CHOSEN_WIDTHS) {
                options = options.withFixedWidth(job.width()); // keeps its current width
            }
            List<Long> busyUntil = new ArrayList<>();
            for (Placement placement : job.record.live.values()) {
                busyUntil.add(estimates.expectedEnd(placement, context.now()).ms());
            }
            long slack = options.deadlineMs() == TaskTermination.NEVER
                    ? NO_DEADLINE_SLACK_MS
                    : Math.max(0, options.deadlineMs() - context.now().ms());
            plan.placeElastic(
                    planEntry(job, job.record.waitingCount() - regular, Math.round(policy.patience() * slack)),
                    busyUntil,
                    options);
        }
    }
}
