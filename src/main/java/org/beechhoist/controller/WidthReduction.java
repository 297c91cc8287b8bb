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
 * Lets elastic jobs give room to work that would else begin too late: before a machine is rented for it, and before
 * lower work is stopped.
 */
final class WidthReduction {
    private static final int MAX_JOBS = 20;
    private static final long PAUSE_MS = 600;
    /** What begins this soon is not helped, and room must gain at least this much. */
    private static final long SOON_MS = 700;
    /** By when room is made for guaranteed work that no objective speaks for. */
    private static final long GUARANTEED_MS = 10_000;

    private final ControllerContext context;
    private final Policy policy;
    private final MachineTypeCatalog machineTypes;
    private final ClusterState clusterState;
    private final JobOrdering ordering;
    private final Admission admission;
    private final ScaleOutPolicy scaleOut;
    private final ElasticWidths elastic;

    /** Tasks on one machine that could go, and how many tasks that makes room for by when. */
    private record Offer(
            Machine host,
            List<SurplusTaskSelector.Candidate<Placement>> going,
            int tasks,
            long freesAtMs,
            double lostCpuS) {
        double lostEach() {
            return lostCpuS / tasks;
        }
    }

    /** Work that begins late: how many tasks, the latest of them, and whether more than a rental is at stake. */
    private record Late(int tasks, long lastBegin, boolean atStake) {
        Late and(Late late) {
            return new Late(tasks + late.tasks, Math.max(lastBegin, late.lastBegin), atStake || late.atStake);
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

    void reduceForLateJobs(Plan plan, Map<String, double[]> used) {
        List<Job> givers = new ArrayList<>();
        for (Job job : clusterState.jobs()) {
            if (spare(job) > 0) {
                givers.add(job);
            }
        }
        if (givers.isEmpty()) {
            return;
        }
        int asked = 0;
        for (Map.Entry<Job, Late> entry : late(plan).entrySet()) {
            Job job = entry.getKey();
            List<Job> mine = givers.stream()
                    .filter(g -> g != job && spare(g) > 0 && gives(g, job))
                    .toList();
            if (mine.isEmpty()) {
                continue;
            }
            if (asked++ == MAX_JOBS) {
                return;
            }
            if (serve(job, entry.getValue(), mine, admission.exceedsTeamLimit(job, used))) {
                job.nextWidthReductionAt = context.now().plusMs(PAUSE_MS);
                scaleOut.ignorePlansUntil(context.now());
            }
        }
    }

    /** How many tasks the job could do without. */
    private static int spare(Job job) {
        return job.record.width == null || job.spec().isService() || job.isCancelled()
                ? 0
                : ElasticWidths.retainedTaskCount(job)
                        - job.record.width.allowed().min();
    }

    /** Whether the elastic job gives way: to more urgent work, to a guarantee, to what is promised as urgently. */
    private boolean gives(Job giver, Job to) {
        boolean guaranteed =
                to.withinGuarantee && !to.spec().team().equals(giver.spec().team());
        boolean asUrgent = to.spec().priority().compareTo(giver.spec().priority()) <= 0;
        return to.mayPreempt(giver) || guaranteed || (asUrgent && ordering.hasOpenObjective(to));
    }

    /** Which jobs begin later than they should, or late enough for a machine to be rented. */
    private Map<Job, Late> late(Plan plan) {
        Map<JobId, Long> bounds = new HashMap<>();
        Map<Job, Late> out = new LinkedHashMap<>();
        for (Plan.Reservation reservation : plan.reservations()) {
            long bound = bounds.computeIfAbsent(reservation.job(), jobId -> bound(clusterState.job(jobId)));
            if (!reservation.beyondGuarantee() && reservation.beginMs() > bound) {
                Job j = clusterState.job(reservation.job());
                out.merge(j, new Late(1, reservation.beginMs(), atStake(j, reservation.beginMs())), Late::and);
            }
        }
        for (Job job : clusterState.jobs()) {
            if (plan.unplacedCount(job.id()) > 0 && bound(job) < Long.MAX_VALUE) {
                out.merge(
                        job,
                        new Late(plan.unplacedCount(job.id()), Long.MAX_VALUE, atStake(job, Long.MAX_VALUE)),
                        Late::and);
            }
        }
        return out;
    }

    /** Work may be thrown away for what is promised, not to save a rental. */
    private boolean atStake(Job job, long begin) {
        return job.withinGuarantee
                || (ordering.hasOpenObjective(job)
                        && begin
                                > Math.max(
                                        ordering.latestStartMs(job),
                                        context.now().ms() + SOON_MS));
    }

    private long bound(Job job) {
        boolean asks = job != null
                && !job.spec().isGang()
                && !job.spec().sameZone()
                && !job.spec().antiAffinity()
                && job.notBefore.ms() <= context.now().ms()
                && !context.now().isBefore(job.nextWidthReductionAt);
        if (!asks) {
            return Long.MAX_VALUE;
        }
        long now = context.now().ms();
        long bound = Math.min(now + scaleOut.toleratedDelayMs(job), Math.max(ordering.latestStartMs(job), now));
        return Math.max(now + SOON_MS, job.withinGuarantee ? Math.min(bound, now + SOON_MS) : bound);
    }

    private long neededBy(Job job) {
        long now = context.now().ms();
        long latest = ordering.latestStartMs(job);
        return ordering.hasOpenObjective(job) ? Math.max(latest, now + SOON_MS) : now + GUARANTEED_MS;
    }

    private boolean serve(Job job, Late late, List<Job> givers, boolean limited) {
        int tasks = late.tasks;
        List<Offer> offers = new ArrayList<>();
        for (Machine machine : clusterState.machines()) {
            if (!machine.placements.isEmpty() && admission.isUsable(machine)) {
                Offer offer = offer(machine, job, late, givers, limited);
                // What may be thrown away for one task's sake is the same whoever gives the room.
                if (offer != null
                        && offer.lostEach()
                                <= policy.preemptCpuS() * Math.max(1, job.spec().cpus())) {
                    offers.add(offer);
                }
            }
        }
        offers.sort(Comparator.comparingDouble(Offer::lostEach).thenComparingLong(Offer::freesAtMs));
        int served = 0;
        for (Offer offer : offers) {
            if (served >= tasks) {
                break;
            }
            Map<Job, Integer> wanted = new HashMap<>();
            offer.going.forEach(c -> wanted.merge(clusterState.job(c.task().task.job()), 1, Integer::sum));
            if (wanted.entrySet().stream().anyMatch(w -> spare(w.getKey()) < w.getValue())) {
                continue; // given away to an earlier offer
            }
            for (SurplusTaskSelector.Candidate<Placement> c : offer.going) {
                elastic.scheduleEnding(
                        clusterState.job(c.task().task.job()),
                        c.task(),
                        c.termination(),
                        "its room is for " + job.id());
            }
            offer.host.growthDamping = offer.host.growthDamping.afterNarrowing(
                    context.now().ms(), policy.elastic().settleMs());
            served += offer.tasks;
        }
        return served > 0;
    }

    /** The tasks that would go so that some of the job's fit on the host; null where that can't be. */
    private Offer offer(Machine machine, Job job, Late late, List<Job> givers, boolean limited) {
        int tasks = late.tasks;
        JobSpec spec = job.spec();
        MachineType type = machineTypes.get(machine.type);
        Admission.FreeResources room = spec.mayRunOn(type, machine.zone, machine.spot)
                ? admission.freeResourcesAfterPlacing(machine, type, spec)
                : null;
        if (room == null) {
            return null;
        }
        long fetch = machine.fetchMs(spec, type);
        TaskTermination.CapacityNeed need = new TaskTermination.CapacityNeed(neededBy(job) - fetch, late.atStake);
        List<SurplusTaskSelector.Candidate<Placement>> could = new ArrayList<>();
        for (Placement placement : machine.placements.values()) {
            Job giver = clusterState.job(placement.task.job());
            boolean counts =
                    givers.contains(giver) && (!limited || giver.spec().team().equals(spec.team()));
            if (counts && ElasticWidths.mayBeEnded(giver, placement)) {
                could.add(new SurplusTaskSelector.Candidate<>(placement, elastic.chooseEnding(giver, placement, need)));
            }
        }
        could.sort(SurplusTaskSelector.LEAST_LOSS_FIRST);
        List<SurplusTaskSelector.Candidate<Placement>> going = new ArrayList<>();
        int fits = limited ? 0 : fits(room, spec, tasks);
        if (fits > 0) {
            return null; // there is room already; something else keeps it waiting
        }
        double given = 0;
        for (SurplusTaskSelector.Candidate<Placement> choice : could) {
            if (fits >= tasks) {
                break;
            }
            JobSpec gone = clusterState.job(choice.task().task.job()).spec();
            room = room.plus(gone, 1);
            given += gone.cpus();
            going.add(choice);
            fits = Math.min(
                    fits(room, spec, tasks), limited ? (int) ((given + 1e-6) / Math.max(1e-6, spec.cpus())) : tasks);
        }
        if (fits == 0) {
            return null;
        }
        long frees =
                going.stream().mapToLong(c -> c.termination().freedAtMs()).max().orElse(0);
        double lost =
                going.stream().mapToDouble(c -> c.termination().lostCpuS()).sum();
        boolean gains = late.lastBegin == Long.MAX_VALUE || frees + fetch + SOON_MS < late.lastBegin;
        return gains ? new Offer(machine, going, fits, frees, lost) : null;
    }

    /** How many of the job's tasks fit; {@code room} is what is left once one is there. */
    private static int fits(Admission.FreeResources room, JobSpec spec, int most) {
        int count = 0;
        for (Admission.FreeResources left = room; count < most && left.isNonNegative(); left = left.plus(spec, -1)) {
            count++;
        }
        return count;
    }
}
