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

/** Stops lower work, the least of it, where a more urgent task would otherwise begin too late. */
final class Preemption {
    /** What making room must gain a task, and how long a job waits for the effect before it asks for more. */
    private static final long LEAST_GAIN_MS = 500;

    private static final long PAUSE_MS = 600;
    /** What begins this soon is not helped by stopping others. */
    private static final long SOON_MS = 700;
    /** Jobs that room is looked for in one plan, most urgent first: each costs a look at every machine. */
    private static final int MAX_JOBS = 20;

    private final ControllerContext context;
    private final Policy policy;
    private final MachineTypeCatalog machineTypes;
    private final ClusterState clusterState;
    private final JobOrdering ordering;
    private final Admission admission;
    private final TaskEviction eviction;

    /** What would be stopped on one machine, how many tasks that makes room for, and what it throws away. */
    private record Offer(List<Placement> victims, int tasks, double cost, long beginsMs) {
        double costEach() {
            return cost / tasks;
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

    void preemptForLateJobs(Plan plan, Map<String, double[]> used) {
        Map<JobId, List<Long>> late = new LinkedHashMap<>();
        Map<JobId, Long> bounds = new LinkedHashMap<>();
        for (Plan.Reservation reservation : plan.reservations()) {
            Long bound = bounds.computeIfAbsent(reservation.job(), this::lateFrom);
            if (!reservation.beyondGuarantee() && reservation.beginMs() > bound) {
                late.computeIfAbsent(reservation.job(), k -> new ArrayList<>()).add(reservation.beginMs());
            }
        }
        int jobs = 0;
        for (Map.Entry<JobId, List<Long>> entry : late.entrySet()) {
            Job job = clusterState.job(entry.getKey());
            if (!mayAsk(job) || admission.exceedsTeamLimit(job, used) || jobs++ == MAX_JOBS) {
                continue;
            }
            if (serve(job, entry.getValue())) {
                job.nextPreemptionAt = context.now().plusMs(PAUSE_MS);
            }
        }
    }

    /** Work that begins by then, or that may stop nobody, is not late. */
    private long lateFrom(JobId jobId) {
        Job job = clusterState.job(jobId);
        return job == null || !mayAsk(job)
                ? Long.MAX_VALUE
                : Math.max(ordering.latestStartMs(job), context.now().ms() + SOON_MS);
    }

    private boolean mayAsk(Job job) {
        JobSpec spec = job.spec();
        return !job.shed
                && !job.isSuspect()
                && !spec.isGang()
                && !spec.sameZone()
                && !spec.antiAffinity()
                && job.notBefore.ms() <= context.now().ms()
                && !context.now().isBefore(job.nextPreemptionAt)
                && !context.now().isBefore(job.nextWidthReductionAt)
                && outranksSome(job);
    }

    private boolean outranksSome(Job job) {
        for (Job other : clusterState.jobs()) {
            if (!other.record.live.isEmpty() && job.mayPreempt(other)) {
                return true;
            }
        }
        return false;
    }

    /** Makes room for as many of the job's late tasks as there are machines where that costs little enough. */
    private boolean serve(Job job, List<Long> begins) {
        double most = policy.preemptCpuS() * Math.max(1, job.spec().cpus());
        long last = begins.stream().mapToLong(Long::longValue).max().orElse(0);
        List<Offer> offers = new ArrayList<>();
        for (Machine machine : clusterState.machines()) {
            if (machine.placements.isEmpty() || machine.commandsInFlight > 0 || !admission.isUsable(machine)) {
                continue;
            }
            // Room that must first fetch the image may begin later than what is planned already. Made all the
            // same, it is filled by the next in line, who is then stopped for it again, and again.
            long roomAt = roomBegins(machine, job);
            if (roomAt + LEAST_GAIN_MS > last) {
                continue;
            }
            Offer offer = offer(machine, job, begins.size(), roomAt);
            if (offer != null && offer.cost() < most) {
                offers.add(offer);
            }
        }
        offers.sort(Comparator.comparingDouble(Offer::costEach));
        List<Long> waiting = new ArrayList<>(begins);
        waiting.sort(Comparator.reverseOrder());
        int served = 0;
        for (Offer offer : offers) {
            if (served >= waiting.size()) {
                break;
            }
            if (offer.beginsMs() + LEAST_GAIN_MS <= waiting.get(served)) {
                offer.victims().forEach(v -> eviction.preempt(v, job));
                served += offer.tasks();
            }
        }
        return served > 0;
    }

    /** When a task of the job would begin on the host if room were made there now. */
    private long roomBegins(Machine machine, Job job) {
        return context.now().ms() + SOON_MS / 2 + machine.fetchMs(job.spec(), machineTypes.get(machine.type));
    }

    /** The tasks to stop so that the job's fit on the host, youngest first; null where that can't be. */
    private Offer offer(Machine machine, Job job, int waiting, long beginsMs) {
        JobSpec spec = job.spec();
        MachineType type = machineTypes.get(machine.type);
        Admission.FreeResources room = spec.mayRunOn(type, machine.zone, machine.spot)
                ? admission.freeResourcesAfterPlacing(machine, type, spec)
                : null;
        if (room == null || room.isNonNegative()) {
            return null;
        }
        List<Placement> lower = new ArrayList<>();
        for (Placement placement : machine.placements.values()) {
            if (placement.launchSent
                    && !placement.stopRequested
                    && job.mayPreempt(clusterState.job(placement.task.job()))) {
                lower.add(placement);
            }
        }
        lower.sort(Comparator.comparing((Placement p) -> p.placedAt).reversed());
        List<Placement> out = new ArrayList<>();
        for (Placement placement : lower) {
            if (room.isNonNegative()) {
                break;
            }
            room = room.plus(clusterState.job(placement.task.job()).spec(), 1);
            out.add(placement);
        }
        if (!room.isNonNegative()) {
            return null;
        }
        // One large task stopped makes room for several small ones; taken for one each, a job of thirty small tasks
        // once had thirty large ones stopped.
        int tasks = 1;
        for (Admission.FreeResources more = room.plus(spec, -1);
                tasks < waiting && more.isNonNegative();
                more = more.plus(spec, -1)) {
            tasks++;
        }
        return new Offer(out, tasks, lost(out) + fetchCost(machine, job), beginsMs);
    }

    /** CPU seconds of work that stopping them throws away. */
    private double lost(List<Placement> set) {
        double sum = 0;
        for (Placement placement : set) {
            JobSpec spec = clusterState.job(placement.task.job()).spec();
            // The time it waited for its image has held its share of the machine too.
            double ran = context.now().since(placement.placedAt) / 1000.0;
            double kept = spec.checkpointEveryS() > 0 ? Math.min(ran, spec.checkpointEveryS()) : ran;
            sum += (1 + kept) * spec.cpus();
        }
        return sum;
    }

    private static double fetchCost(Machine machine, Job job) {
        return machine.images.containsKey(job.spec().image())
                ? 0
                : job.spec().imageGb() * job.spec().cpus();
    }
}
