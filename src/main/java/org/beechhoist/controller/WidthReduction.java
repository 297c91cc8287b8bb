package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.config.Policy;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.elastic.SurplusTaskSelector;
import org.beechhoist.elastic.TaskTermination;
import org.beechhoist.plan.Plan;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineType;

/**
 * Reduces the width of elastic jobs for tasks that would otherwise start too late, before a machine is rented for them and before
 * tasks of lower rank are preempted.
 */
final class WidthReduction {
    /** The maximum number of jobs for which widths are reduced in one plan. */
    private static final int MAX_JOBS = 20;
    /** The minimum interval between two width reductions for the same job. */
    private static final long REDUCTION_INTERVAL_MS = 600;
    /** A task that starts within this time is not helped, and a reduction must bring a start forward by more than this. */
    private static final long IMMINENT_START_MS = 700;
    /** The time within which capacity is freed for jobs within their team's quota that have no open objective. */
    private static final long GUARANTEED_START_WITHIN_MS = 10_000;
    /** Rounding tolerance of sums of CPUs. */
    private static final double CPU_TOLERANCE = 1e-6;

    private final ControllerContext context;
    private final Policy policy;
    private final MachineTypeCatalog machineTypes;
    private final ClusterState clusterState;
    private final JobOrdering ordering;
    private final Admission admission;
    private final ScaleOutPolicy scaleOut;
    private final ElasticWidths elastic;

    /** Tasks to end on one machine, the number of tasks that fit afterwards, the time at which they fit, and the lost work. */
    private record ReductionOption(
            Machine machine,
            List<SurplusTaskSelector.Candidate<Placement>> endedTasks,
            int taskCount,
            long freesAtMs,
            double lostCpuS) {
        double lostCpuSPerTask() {
            return lostCpuS / taskCount;
        }
    }

    /** Late tasks of a job: their number, the latest start, and whether work of other tasks may be lost to start them in time. */
    private record LateTasks(int count, long latestStartMs, boolean mayKill) {
        LateTasks plus(LateTasks late) {
            return new LateTasks(
                    count + late.count, Math.max(latestStartMs, late.latestStartMs), mayKill || late.mayKill);
        }
    }

    WidthReduction(
            ControllerContext context,
            Policy policy,
            MachineTypeCatalog machineTypes,
            ClusterState clusterState,
            JobOrdering ordering,
            Admission admission,
            ScaleOutPolicy scaleOut,
            ElasticWidths elastic) {
        this.context = context;
        this.policy = policy;
        this.machineTypes = machineTypes;
        this.clusterState = clusterState;
        this.ordering = ordering;
        this.admission = admission;
        this.scaleOut = scaleOut;
        this.elastic = elastic;
    }

    /** Reduces the width of elastic jobs for the jobs with late tasks in the plan. */
    void reduceForLateJobs(Plan plan, Map<String, double[]> used) {
        List<Job> reducibleJobs = new ArrayList<>();
        for (Job job : clusterState.jobs()) {
            if (reducibleTaskCount(job) > 0) {
                reducibleJobs.add(job);
            }
        }
        if (reducibleJobs.isEmpty()) {
            return;
        }
        int examined = 0;
        for (Map.Entry<Job, LateTasks> entry : lateTasks(plan).entrySet()) {
            Job job = entry.getKey();
            List<Job> candidates = reducibleJobs.stream()
                    .filter(reducible ->
                            reducible != job && reducibleTaskCount(reducible) > 0 && givesWayTo(reducible, job))
                    .toList();
            if (candidates.isEmpty()) {
                continue;
            }
            if (examined++ == MAX_JOBS) {
                return;
            }
            if (reduceFor(job, entry.getValue(), candidates, admission.exceedsTeamLimit(job, used))) {
                job.nextWidthReductionAt = context.now().plusMs(REDUCTION_INTERVAL_MS);
                scaleOut.ignorePlansUntil(context.now());
            }
        }
    }

    /** Returns the number of tasks by which the job's width may be reduced. */
    private static int reducibleTaskCount(Job job) {
        return job.record.width == null || job.spec().isService() || job.isCancelled()
                ? 0
                : ElasticWidths.retainedTaskCount(job)
                        - job.record.width.allowed().min();
    }

    /**
     * Returns whether the elastic job gives way to the other job: one that may preempt it, one of another team that is within its
     * quota, or one with an open objective and at least the same priority.
     */
    private boolean givesWayTo(Job elasticJob, Job other) {
        boolean guaranteed = other.withinGuarantee
                && !other.spec().team().equals(elasticJob.spec().team());
        boolean samePriorityOrHigher =
                other.spec().priority().compareTo(elasticJob.spec().priority()) <= 0;
        return other.mayPreempt(elasticJob) || guaranteed || (samePriorityOrHigher && ordering.hasOpenObjective(other));
    }

    /** Returns the jobs with tasks that start later than they should, or late enough for a machine to be rented. */
    private Map<Job, LateTasks> lateTasks(Plan plan) {
        Map<JobId, Long> lateAfter = new HashMap<>();
        Map<Job, LateTasks> out = new LinkedHashMap<>();
        for (Plan.Reservation reservation : plan.reservations()) {
            long lateAfterMs =
                    lateAfter.computeIfAbsent(reservation.job(), jobId -> lateAfterMs(clusterState.job(jobId)));
            if (!reservation.beyondGuarantee() && reservation.beginMs() > lateAfterMs) {
                Job job = clusterState.job(reservation.job());
                out.merge(
                        job,
                        new LateTasks(1, reservation.beginMs(), mayKillFor(job, reservation.beginMs())),
                        LateTasks::plus);
            }
        }
        for (Job job : clusterState.jobs()) {
            if (plan.unplacedCount(job.id()) > 0 && lateAfterMs(job) < Long.MAX_VALUE) {
                out.merge(
                        job,
                        new LateTasks(plan.unplacedCount(job.id()), Long.MAX_VALUE, mayKillFor(job, Long.MAX_VALUE)),
                        LateTasks::plus);
            }
        }
        return out;
    }

    /** Returns whether work may be lost for the job's task: for a quota or an objective, but not to avoid a rental. */
    private boolean mayKillFor(Job job, long startMs) {
        return job.withinGuarantee
                || (ordering.hasOpenObjective(job)
                        && startMs
                                > Math.max(
                                        ordering.latestStartMs(job),
                                        context.now().ms() + IMMINENT_START_MS));
    }

    /** Returns the start time after which a task of the job is late; {@code Long.MAX_VALUE} if nothing may be freed for the job. */
    private long lateAfterMs(Job job) {
        boolean eligible = job != null
                && !job.spec().isGang()
                && !job.spec().sameZone()
                && !job.spec().antiAffinity()
                && job.notBefore.ms() <= context.now().ms()
                && !context.now().isBefore(job.nextWidthReductionAt);
        if (!eligible) {
            return Long.MAX_VALUE;
        }
        long now = context.now().ms();
        long lateAfterMs = Math.min(now + scaleOut.toleratedDelayMs(job), Math.max(ordering.latestStartMs(job), now));
        return Math.max(
                now + IMMINENT_START_MS,
                job.withinGuarantee ? Math.min(lateAfterMs, now + IMMINENT_START_MS) : lateAfterMs);
    }

    /** Returns the time by which capacity for the job has to be free. */
    private long neededByMs(Job job) {
        long now = context.now().ms();
        long latest = ordering.latestStartMs(job);
        return ordering.hasOpenObjective(job)
                ? Math.max(latest, now + IMMINENT_START_MS)
                : now + GUARANTEED_START_WITHIN_MS;
    }

    /** Ends tasks of the reducible jobs for the job's late tasks; returns whether any task was scheduled to be terminated. */
    private boolean reduceFor(Job job, LateTasks late, List<Job> reducibleJobs, boolean limited) {
        int tasks = late.count;
        List<ReductionOption> options = new ArrayList<>();
        for (Machine machine : clusterState.machines()) {
            if (!machine.placements.isEmpty() && admission.isUsable(machine)) {
                ReductionOption option = reductionOption(machine, job, late, reducibleJobs, limited);
                // The limit on work lost per started task is the same as for preemption.
                if (option != null
                        && option.lostCpuSPerTask()
                                <= policy.preemptCpuS() * Math.max(1, job.spec().cpus())) {
                    options.add(option);
                }
            }
        }
        options.sort(Comparator.comparingDouble(ReductionOption::lostCpuSPerTask)
                .thenComparingLong(ReductionOption::freesAtMs));
        int helped = 0;
        for (ReductionOption option : options) {
            if (helped >= tasks) {
                break;
            }
            Map<Job, Integer> endedByJob = new HashMap<>();
            option.endedTasks.forEach(
                    c -> endedByJob.merge(clusterState.job(c.task().task.job()), 1, Integer::sum));
            if (endedByJob.entrySet().stream().anyMatch(w -> reducibleTaskCount(w.getKey()) < w.getValue())) {
                continue; // the width was already reduced for an earlier option
            }
            for (SurplusTaskSelector.Candidate<Placement> c : option.endedTasks) {
                elastic.scheduleTermination(
                        clusterState.job(c.task().task.job()),
                        c.task(),
                        c.termination(),
                        "capacity needed by " + job.id());
            }
            option.machine.growthBackoff = option.machine.growthBackoff.afterNarrowing(
                    context.now().ms(), policy.elastic().settleMs());
            helped += option.taskCount;
        }
        return helped > 0;
    }

    /** Returns the tasks to end so that tasks of the job fit on the machine, or null if that is impossible. */
    private ReductionOption reductionOption(
            Machine machine, Job job, LateTasks late, List<Job> reducibleJobs, boolean limited) {
        int tasks = late.count;
        JobSpec spec = job.spec();
        MachineType type = machineTypes.get(machine.type);
        Admission.FreeResources freeAfterOne = spec.mayRunOn(type, machine.zone, machine.spot)
                ? admission.freeResourcesAfterPlacing(machine, type, spec)
                : null;
        if (freeAfterOne == null) {
            return null;
        }
        long fetchMs = machine.fetchMs(spec, type);
        TaskTermination.CapacityNeed need = new TaskTermination.CapacityNeed(neededByMs(job) - fetchMs, late.mayKill);
        List<SurplusTaskSelector.Candidate<Placement>> candidates = new ArrayList<>();
        for (Placement placement : machine.placements.values()) {
            Job owner = clusterState.job(placement.task.job());
            boolean counts = reducibleJobs.contains(owner)
                    && (!limited || owner.spec().team().equals(spec.team()));
            if (counts && ElasticWidths.mayBeTerminated(owner, placement)) {
                candidates.add(new SurplusTaskSelector.Candidate<>(
                        placement, elastic.chooseTermination(owner, placement, need)));
            }
        }
        candidates.sort(SurplusTaskSelector.LEAST_LOSS_FIRST);
        List<SurplusTaskSelector.Candidate<Placement>> endedTasks = new ArrayList<>();
        int taskCount = limited ? 0 : fittingTaskCount(freeAfterOne, spec, tasks);
        if (taskCount > 0) {
            return null; // a task fits already: it is waiting for another reason
        }
        double freedCpus = 0;
        for (SurplusTaskSelector.Candidate<Placement> choice : candidates) {
            if (taskCount >= tasks) {
                break;
            }
            JobSpec endedSpec = clusterState.job(choice.task().task.job()).spec();
            freeAfterOne = freeAfterOne.plus(endedSpec, 1);
            freedCpus += endedSpec.cpus();
            endedTasks.add(choice);
            taskCount = Math.min(
                    fittingTaskCount(freeAfterOne, spec, tasks),
                    limited ? (int) ((freedCpus + CPU_TOLERANCE) / Math.max(CPU_TOLERANCE, spec.cpus())) : tasks);
        }
        if (taskCount == 0) {
            return null;
        }
        long freesAtMs = endedTasks.stream()
                .mapToLong(c -> c.termination().freedAtMs())
                .max()
                .orElse(0);
        double lostCpuS =
                endedTasks.stream().mapToDouble(c -> c.termination().lostCpuS()).sum();
        boolean startsEarlier =
                late.latestStartMs == Long.MAX_VALUE || freesAtMs + fetchMs + IMMINENT_START_MS < late.latestStartMs;
        return startsEarlier ? new ReductionOption(machine, endedTasks, taskCount, freesAtMs, lostCpuS) : null;
    }

    /** Returns how many tasks of the job fit; {@code freeAfterOne} is what remains free after the first one. */
    private static int fittingTaskCount(Admission.FreeResources freeAfterOne, JobSpec spec, int max) {
        int count = 0;
        for (Admission.FreeResources free = freeAfterOne;
                count < max && free.isNonNegative();
                free = free.plus(spec, -1)) {
            count++;
        }
        return count;
    }
}
