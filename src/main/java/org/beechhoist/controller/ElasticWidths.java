package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.config.Policy;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.controller.worker.LaunchWithdrawal;
import org.beechhoist.controller.worker.TaskEviction;
import org.beechhoist.controller.worker.TaskRemoval;
import org.beechhoist.drain.Cause;
import org.beechhoist.elastic.GuaranteedWidth;
import org.beechhoist.elastic.SurplusTaskSelector;
import org.beechhoist.elastic.TaskTermination;
import org.beechhoist.plan.WidthOptions;
import org.beechhoist.store.Placement;
import org.beechhoist.store.WidthRecord;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Jobs with a width: how many of their tasks the plan may place, and how those that are too many come to their end. A
 * narrower width is committed before anything is stopped; never more tasks are being stopped than the committed width
 * leaves over, so that a leader that takes over half way goes on from the record alone.
 */
public final class ElasticWidths implements LaunchWithdrawal {
    private static final Logger LOG = LoggerFactory.getLogger(ElasticWidths.class);
    /** For a user's own resize, what is over this soon is near: nobody waits for the room. */
    private static final long NEAR_MS = 30_000;

    private static final long REPORT_LATE_MS = 2000;

    private final ControllerContext context;
    private final Policy.Elastic policy;
    private final ClusterState clusterState;
    private final MachineTypeCatalog machineTypes;
    private final DurationEstimates estimates;
    private final TaskEviction eviction;
    private final TaskRemoval taskRemoval;
    private final Map<TaskTermination.Method, Integer> ended = new HashMap<>();
    private int widened;
    private int narrowed;
    private int withdrawn;

    ElasticWidths(
            ControllerContext context,
            Policy.Elastic policy,
            ClusterState clusterState,
            MachineTypeCatalog machineTypes,
            DurationEstimates estimates,
            TaskEviction eviction,
            TaskRemoval taskRemoval) {
        this.context = context;
        this.policy = policy;
        this.clusterState = clusterState;
        this.machineTypes = machineTypes;
        this.estimates = estimates;
        this.eviction = eviction;
        this.taskRemoval = taskRemoval;
    }

    // ---- what the plan may place ----

    /** Tasks that count against the width: those live, less those that are on their way out. */
    static int retainedTaskCount(Job job) {
        return job.record.live.size() - job.endings.size();
    }

    /** How many of the job's waiting tasks are planned like any other work. */
    int regularWaitingCount(Job job) {
        WidthRecord width = job.record.width;
        int waiting = job.record.waitingCount();
        if (width == null) {
            return waiting;
        }
        if (job.spec().isService()) {
            return Math.max(0, Math.min(waiting, width.allowed().max() - job.record.live.size()));
        }
        int unfinished = job.spec().tasks() - job.record.done.size();
        int sure = GuaranteedWidth.width(
                width.allowed(),
                unfinished,
                estimates.expectedMs(job.spec()),
                deadlineMs(job),
                context.now().ms());
        // Those on their way out hold their places in the width until they are gone.
        return Math.max(0, Math.min(waiting, sure - job.record.live.size()));
    }

    /** When an elastic job should be done. */
    long deadlineMs(Job job) {
        Double until = job.record.width.allowed().deadlineS();
        return until == null ? TaskTermination.NEVER : job.submittedAt.ms() + Math.round(1000 * until);
    }

    /** What an elastic job beyond its sure part wishes of a plan; null where there is nothing to wish. */
    WidthOptions wideningOptions(Job job, int sure, Integer fixed) {
        WidthRecord width = job.record.width;
        int from = job.record.live.size() + sure;
        int most = width == null || job.spec().isService() || job.spec().isGang() || job.isCancelled()
                ? 0
                : width.allowed().max();
        if (most <= from
                || job.record.waitingCount() <= sure
                || job.notBefore.ms() > context.now().ms()) {
            return null;
        }
        return new WidthOptions(from, most, deadlineMs(job), policy.worth(), lowestCostPerCpu(job.spec()), fixed);
    }

    private double lowestCostPerCpu(JobSpec spec) {
        double lowest = Double.POSITIVE_INFINITY;
        for (MachineType type : machineTypes.all()) {
            if (spec.fitsType(type)) {
                lowest = Math.min(lowest, type.priceOf(spec.spot()) / Math.max(0.01, type.cpus()));
            }
        }
        return Double.isInfinite(lowest) ? 0 : lowest;
    }

    /** How many more of the job's tasks may be placed, whatever the plan says. */
    static int remainingWidth(Job job) {
        WidthRecord w = job.record.width;
        return w == null ? Integer.MAX_VALUE : w.allowed().max() - job.record.live.size();
    }

    /** The job's tasks were placed: its record says the width that they make, in the same commit. */
    void recordPlaced(Job job) {
        WidthRecord width = job.record.width;
        if (width != null && retainedTaskCount(job) > width.target()) {
            if (width.target() > 0) {
                widened++;
            }
            LOG.info("{} widens from {} to {}", job.id(), width.target(), retainedTaskCount(job));
            job.record.width = width.withTarget(retainedTaskCount(job));
        }
    }

    /** Whether a committed placement must not be launched any more: its machine has begun to go. */
    @Override
    public boolean shouldWithdraw(Job job, Placement placement, Machine machine) {
        boolean going = machine.isLeaving() || (job != null && job.endings.containsKey(placement));
        if (job == null || job.record.width == null || placement.launchSent || !going) {
            return false;
        }
        LOG.info(
                "{} try {} is withdrawn from {}, it or its machine is about to go",
                placement.task,
                placement.attempt,
                machine.id);
        withdrawn++;
        return true;
    }

    // ---- narrowing ----

    TaskTermination chooseEnding(Job job, Placement placement, TaskTermination.CapacityNeed need) {
        JobSpec spec = job.spec();
        // Reports come late: what should have its image by now, or soon, may be running when the stop arrives.
        boolean running = placement.runningSince != null
                || context.now().since(placement.placedAt) > placement.fetchMs - REPORT_LATE_MS;
        long ran = placement.runningSince != null ? Math.max(0, context.now().since(placement.runningSince)) : 0;
        long left = spec.isService()
                ? TaskTermination.NEVER
                : Math.max(0, estimates.expectedEnd(placement, context.now()).since(context.now()));
        return TaskTermination.choose(
                new TaskTermination.LiveTask(
                        placement.launchSent,
                        running,
                        ran,
                        left,
                        spec.cpus(),
                        Math.round(1000 * spec.checkpointEveryS()),
                        Math.round(1000 * spec.checkpointCostS())),
                context.now().ms(),
                need);
    }

    /** Whether the task may still be chosen to go. */
    static boolean mayBeEnded(Job job, Placement placement) {
        return !placement.stopRequested && !job.endings.containsKey(placement);
    }

    /** The task is to go. Nothing is sent before the narrower width is committed. */
    void scheduleEnding(Job job, Placement placement, TaskTermination ending, String why) {
        if (job.endings.isEmpty() || retainedTaskCount(job) == job.record.width.target()) {
            narrowed++;
        }
        job.endings.put(placement, ending);
        placement.expectedGoneAtMs = ending.freedAtMs();
        WidthRecord width = job.record.width;
        job.record.width = width.withTarget(Math.min(width.target(), retainedTaskCount(job)));
        LOG.info(
                "{} narrows to {}: {} try {} goes, {}, {}",
                job.id(),
                job.record.width.target(),
                placement.task,
                placement.attempt,
                ending.method(),
                why);
        clusterState.markDirty(job);
    }

    /** Holds the job's live tasks against its width: after a resize, a take-over, and every now and then. */
    void reconcileWidth(Job job) {
        WidthRecord width = job.record.width;
        if (width == null || job.isCancelled()) {
            return;
        }
        int surplus = retainedTaskCount(job) - width.target();
        if (surplus > 0) {
            TaskTermination.CapacityNeed need =
                    new TaskTermination.CapacityNeed(context.now().ms() + NEAR_MS, false);
            List<Placement> live = new ArrayList<>();
            for (Placement placement : job.record.live.values()) {
                if (mayBeEnded(job, placement)) {
                    live.add(placement);
                }
            }
            for (SurplusTaskSelector.Candidate<Placement> c :
                    SurplusTaskSelector.select(live, surplus, p -> chooseEnding(job, p, need))) {
                scheduleEnding(job, c.task(), c.termination(), "its width is " + width.target());
            }
        }
        carryOut(job);
    }

    /** Stops what is to go and due, as far as the committed width leaves tasks over. */
    private void carryOut(Job job) {
        for (Map.Entry<Placement, TaskTermination> entry : new ArrayList<>(job.endings.entrySet())) {
            Placement placement = entry.getKey();
            TaskTermination end = entry.getValue();
            if (job.record.live.size() - stopped(job) <= job.committedWidth
                    || placement.stopRequested
                    || end.atMs() > context.now().ms()) {
                continue;
            }
            if (!placement.launchSent) {
                ended.merge(TaskTermination.Method.WITHDRAW, 1, Integer::sum);
                taskRemoval.remove(job, placement);
            } else if (end.method() == TaskTermination.Method.AT_END) {
                // It runs longer than expected: where it can save, it does so now.
                TaskTermination.CapacityNeed need =
                        new TaskTermination.CapacityNeed(context.now().ms() + NEAR_MS, false);
                TaskTermination again = chooseEnding(job, placement, need);
                job.endings.put(placement, again);
                placement.expectedGoneAtMs = again.freedAtMs();
            } else {
                ended.merge(end.method(), 1, Integer::sum);
                eviction.evict(
                        placement,
                        end.method() == TaskTermination.Method.KILL
                                ? 0
                                : job.spec().checkpointCostS(),
                        Cause.NARROWING);
            }
        }
    }

    private static int stopped(Job job) {
        int count = 0;
        for (Placement p : job.endings.keySet()) {
            count += p.stopRequested ? 1 : 0;
        }
        return count;
    }

    void reconcileAllWidths() {
        for (Job j : clusterState.jobs()) {
            reconcileWidth(j);
        }
    }

    // ---- what can be seen of it ----

    /** Counts since this leadership began. */
    Map<String, Integer> counts() {
        Map<String, Integer> out =
                new HashMap<>(Map.of("widened", widened, "narrowed", narrowed, "withdrawn", withdrawn));
        ended.forEach((way, n) -> out.put("ended_" + way.name().toLowerCase(java.util.Locale.ROOT), n));
        return out;
    }

    /** Why nothing of the job may start, or null. */
    static String pauseReason(Job job) {
        return job.record.width != null && job.record.width.isPaused() ? "paused: its width is 0" : null;
    }
}
