package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.config.Policy;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.controller.worker.TaskEviction;
import org.beechhoist.plan.Plan;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineType;

/** Preempts tasks of lower rank, losing as little work as possible, where a more urgent task would otherwise start too late. */
final class Preemption {
    /** The minimum time by which preemption must bring forward the start of a task. */
    private static final long MIN_GAIN_MS = 500;

    /** The time a job waits for the effect of a preemption before it may preempt again. */
    private static final long PREEMPTION_INTERVAL_MS = 600;
    /** Preemption does not help a task that starts within this time. */
    private static final long IMMINENT_START_MS = 700;
    /** The maximum number of jobs considered per plan, most urgent first: each one requires a scan of all machines. */
    private static final int MAX_JOBS = 20;

    private final ControllerContext context;
    private final Policy policy;
    private final MachineTypeCatalog machineTypes;
    private final ClusterState clusterState;
    private final JobOrdering ordering;
    private final Admission admission;
    private final TaskEviction eviction;

    /** The tasks to preempt on one machine, the number of tasks that fit afterwards, the cost, and the start of these tasks. */
    private record PreemptionOption(List<Placement> victims, int taskCount, double cost, long startMs) {
        double costPerTask() {
            return cost / taskCount;
        }
    }

    Preemption(
            ControllerContext context,
            Policy policy,
            MachineTypeCatalog machineTypes,
            ClusterState clusterState,
            JobOrdering ordering,
            Admission admission,
            TaskEviction eviction) {
        this.context = context;
        this.policy = policy;
        this.machineTypes = machineTypes;
        this.clusterState = clusterState;
        this.ordering = ordering;
        this.admission = admission;
        this.eviction = eviction;
    }

    /** Preempts tasks for the jobs with late tasks in the plan. */
    void preemptForLateJobs(Plan plan, Map<String, double[]> used) {
        Map<JobId, List<Long>> lateStarts = new LinkedHashMap<>();
        Map<JobId, Long> lateAfter = new LinkedHashMap<>();
        for (Plan.Reservation reservation : plan.reservations()) {
            Long lateAfterMs = lateAfter.computeIfAbsent(reservation.job(), this::lateAfterMs);
            if (!reservation.beyondGuarantee() && reservation.beginMs() > lateAfterMs) {
                lateStarts
                        .computeIfAbsent(reservation.job(), k -> new ArrayList<>())
                        .add(reservation.beginMs());
            }
        }
        int jobs = 0;
        for (Map.Entry<JobId, List<Long>> entry : lateStarts.entrySet()) {
            Job job = clusterState.job(entry.getKey());
            if (!isEligible(job) || admission.exceedsTeamLimit(job, used) || jobs++ == MAX_JOBS) {
                continue;
            }
            if (preemptFor(job, entry.getValue())) {
                job.nextPreemptionAt = context.now().plusMs(PREEMPTION_INTERVAL_MS);
            }
        }
    }

    /** Returns the start time after which a task of the job is late, or {@code Long.MAX_VALUE} if the job may not preempt. */
    private long lateAfterMs(JobId jobId) {
        Job job = clusterState.job(jobId);
        return job == null || !isEligible(job)
                ? Long.MAX_VALUE
                : Math.max(ordering.latestStartMs(job), context.now().ms() + IMMINENT_START_MS);
    }

    /** Returns whether tasks may be preempted for the job now. */
    private boolean isEligible(Job job) {
        JobSpec spec = job.spec();
        return !job.shed
                && !job.isSuspect()
                && !spec.isGang()
                && !spec.sameZone()
                && !spec.antiAffinity()
                && job.notBefore.ms() <= context.now().ms()
                && !context.now().isBefore(job.nextPreemptionAt)
                && !context.now().isBefore(job.nextWidthReductionAt)
                && outranksAnyLiveJob(job);
    }

    /** Returns whether the job may preempt tasks of any job with live tasks. */
    private boolean outranksAnyLiveJob(Job job) {
        for (Job other : clusterState.jobs()) {
            if (!other.record.live.isEmpty() && job.mayPreempt(other)) {
                return true;
            }
        }
        return false;
    }

    /** Preempts tasks for as many of the job's late tasks as possible within the cost limit; returns whether any was preempted. */
    private boolean preemptFor(Job job, List<Long> startTimes) {
        double maxCost = policy.preemptCpuS() * Math.max(1, job.spec().cpus());
        long latestStartMs =
                startTimes.stream().mapToLong(Long::longValue).max().orElse(0);
        List<PreemptionOption> options = new ArrayList<>();
        for (Machine machine : clusterState.machines()) {
            if (machine.placements.isEmpty() || machine.commandsInFlight > 0 || !admission.isUsable(machine)) {
                continue;
            }
            // If the machine has to fetch the image first, the task may start later than already planned. Preempting
            // anyway lets the next waiting job use the freed capacity, only to be preempted again and again.
            long startMs = startAfterPreemptionMs(machine, job);
            if (startMs + MIN_GAIN_MS > latestStartMs) {
                continue;
            }
            PreemptionOption option = preemptionOption(machine, job, startTimes.size(), startMs);
            if (option != null && option.cost() < maxCost) {
                options.add(option);
            }
        }
        options.sort(Comparator.comparingDouble(PreemptionOption::costPerTask));
        List<Long> waiting = new ArrayList<>(startTimes);
        waiting.sort(Comparator.reverseOrder());
        int helped = 0;
        for (PreemptionOption option : options) {
            if (helped >= waiting.size()) {
                break;
            }
            if (option.startMs() + MIN_GAIN_MS <= waiting.get(helped)) {
                option.victims().forEach(v -> eviction.preempt(v, job));
                helped += option.taskCount();
            }
        }
        return helped > 0;
    }

    /** Returns when a task of the job would start on the machine if tasks were preempted there now. */
    private long startAfterPreemptionMs(Machine machine, Job job) {
        return context.now().ms() + IMMINENT_START_MS / 2 + machine.fetchMs(job.spec(), machineTypes.get(machine.type));
    }

    /** Returns the tasks to preempt, youngest first, so that tasks of the job fit on the machine, or null if that is impossible. */
    private PreemptionOption preemptionOption(Machine machine, Job job, int waiting, long startMs) {
        JobSpec spec = job.spec();
        MachineType type = machineTypes.get(machine.type);
        Admission.FreeResources free = spec.mayRunOn(type, machine.zone, machine.spot)
                ? admission.freeResourcesAfterPlacing(machine, type, spec)
                : null;
        if (free == null || free.isNonNegative()) {
            return null;
        }
        List<Placement> preemptible = new ArrayList<>();
        for (Placement placement : machine.placements.values()) {
            if (placement.launchSent
                    && !placement.stopRequested
                    && job.mayPreempt(clusterState.job(placement.task.job()))) {
                preemptible.add(placement);
            }
        }
        preemptible.sort(Comparator.comparing((Placement p) -> p.placedAt).reversed());
        List<Placement> victims = new ArrayList<>();
        for (Placement placement : preemptible) {
            if (free.isNonNegative()) {
                break;
            }
            free = free.plus(clusterState.job(placement.task.job()).spec(), 1);
            victims.add(placement);
        }
        if (!free.isNonNegative()) {
            return null;
        }
        // One preempted large task frees capacity for several small ones. Counting one for one, a job of thirty small
        // tasks preempted thirty large ones.
        int taskCount = 1;
        for (Admission.FreeResources left = free.plus(spec, -1);
                taskCount < waiting && left.isNonNegative();
                left = left.plus(spec, -1)) {
            taskCount++;
        }
        return new PreemptionOption(victims, taskCount, lostCpuS(victims) + fetchCost(machine, job), startMs);
    }

    /** Returns the CPU seconds of work that are lost if the tasks are stopped. */
    private double lostCpuS(List<Placement> placements) {
        double sum = 0;
        for (Placement placement : placements) {
            JobSpec spec = clusterState.job(placement.task.job()).spec();
            // The time spent fetching the image also occupied the machine.
            double ranS = context.now().since(placement.placedAt) / 1000.0;
            double lostS = spec.checkpointEveryS() > 0 ? Math.min(ranS, spec.checkpointEveryS()) : ranS;
            sum += (1 + lostS) * spec.cpus();
        }
        return sum;
    }

    private static double fetchCost(Machine machine, Job job) {
        return machine.images.containsKey(job.spec().image())
                ? 0
                : job.spec().imageGb() * job.spec().cpus();
    }
}
