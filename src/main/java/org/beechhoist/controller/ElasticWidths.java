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
 * Determines how many tasks of an elastic job the plan may place, and ends the tasks that exceed the job's width. A smaller width is
 * committed before any task is stopped, and never more tasks are being stopped than exceed the committed width, so that a new leader
 * can continue an interrupted reduction from the job's record alone.
 */
public final class ElasticWidths implements LaunchWithdrawal {
    private static final Logger LOG = LoggerFactory.getLogger(ElasticWidths.class);
    /** After a resize by the user, capacity need only be free within this time, because no other job is waiting for it. */
    private static final long RESIZE_FREE_WITHIN_MS = 30_000;

    private static final long MAX_REPORT_DELAY_MS = 2000;
    /** Lower bound of the CPUs of a machine type, which avoids a division by zero. */
    private static final double MIN_TYPE_CPUS = 0.01;

    private final ControllerContext context;
    private final Policy.Elastic policy;
    private final ClusterState clusterState;
    private final MachineTypeCatalog machineTypes;
    private final DurationEstimates estimates;
    private final TaskEviction eviction;
    private final TaskRemoval taskRemoval;
    private final Map<TaskTermination.Method, Integer> endedByMethod = new HashMap<>();
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

    // ---- planning ----

    /** Returns the number of tasks that count against the width: the live tasks less those that are being ended. */
    static int retainedTaskCount(Job job) {
        return job.record.live.size() - job.terminations.size();
    }

    /** Returns how many of the job's waiting tasks are placed like those of any other job, without widening. */
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
        int guaranteed = GuaranteedWidth.width(
                width.allowed(),
                unfinished,
                estimates.expectedMs(job.spec()),
                deadlineMs(job),
                context.now().ms());
        // Tasks that are being ended count against the width until they are gone.
        return Math.max(0, Math.min(waiting, guaranteed - job.record.live.size()));
    }

    /** Returns the deadline of an elastic job, or {@link TaskTermination#NEVER} if it has none. */
    long deadlineMs(Job job) {
        Double deadlineS = job.record.width.allowed().deadlineS();
        return deadlineS == null ? TaskTermination.NEVER : job.submittedAt.ms() + Math.round(1000 * deadlineS);
    }

    /** Returns the options for widening the job beyond its regular tasks, or null if it cannot be widened. */
    WidthOptions wideningOptions(Job job, int regular, Integer fixedWidth) {
        WidthRecord width = job.record.width;
        int currentWidth = job.record.live.size() + regular;
        int maxWidth = width == null || job.spec().isService() || job.spec().isGang() || job.isCancelled()
                ? 0
                : width.allowed().max();
        if (maxWidth <= currentWidth
                || job.record.waitingCount() <= regular
                || job.notBefore.ms() > context.now().ms()) {
            return null;
        }
        return new WidthOptions(
                currentWidth, maxWidth, deadlineMs(job), policy.worth(), lowestCostPerCpu(job.spec()), fixedWidth);
    }

    private double lowestCostPerCpu(JobSpec spec) {
        double lowest = Double.POSITIVE_INFINITY;
        for (MachineType type : machineTypes.all()) {
            if (spec.fitsType(type)) {
                lowest = Math.min(lowest, type.priceOf(spec.spot()) / Math.max(MIN_TYPE_CPUS, type.cpus()));
            }
        }
        return Double.isInfinite(lowest) ? 0 : lowest;
    }

    /** Returns how many more of the job's tasks its width allows to be placed, independently of the plan. */
    static int remainingWidth(Job job) {
        WidthRecord width = job.record.width;
        return width == null ? Integer.MAX_VALUE : width.allowed().max() - job.record.live.size();
    }

    /** Raises the job's recorded width to the number of its placed tasks, to be stored in the same commit as the placements. */
    void recordPlaced(Job job) {
        WidthRecord width = job.record.width;
        if (width != null && retainedTaskCount(job) > width.target()) {
            if (width.target() > 0) {
                widened++;
            }
            LOG.info("job widened: job={} from={} to={}", job.id(), width.target(), retainedTaskCount(job));
            job.record.width = width.withTarget(retainedTaskCount(job));
        }
    }

    /** Returns whether a committed placement must not be launched because its task or its machine is about to go; counts it. */
    @Override
    public boolean shouldWithdraw(Job job, Placement placement, Machine machine) {
        boolean aboutToGo = machine.isLeaving() || (job != null && job.terminations.containsKey(placement));
        if (job == null || job.record.width == null || placement.launchSent || !aboutToGo) {
            return false;
        }
        LOG.info(
                "launch withdrawn, task or machine is about to be removed: task={} attempt={} machine={}",
                placement.task,
                placement.attempt,
                machine.id);
        withdrawn++;
        return true;
    }

    // ---- width reduction ----

    /** Returns how the task is best terminated for the given need of capacity. */
    TaskTermination chooseTermination(Job job, Placement placement, TaskTermination.CapacityNeed need) {
        JobSpec spec = job.spec();
        // Reports arrive late: a task whose image should be fetched by now, or soon, may be running when the kill
        // arrives.
        boolean running = placement.runningSince != null
                || context.now().since(placement.placedAt) > placement.fetchMs - MAX_REPORT_DELAY_MS;
        long ranMs = placement.runningSince != null ? Math.max(0, context.now().since(placement.runningSince)) : 0;
        long leftMs = spec.isService()
                ? TaskTermination.NEVER
                : Math.max(0, estimates.expectedEnd(placement, context.now()).since(context.now()));
        return TaskTermination.choose(
                new TaskTermination.LiveTask(
                        placement.launchSent,
                        running,
                        ranMs,
                        leftMs,
                        spec.cpus(),
                        Math.round(1000 * spec.checkpointEveryS()),
                        Math.round(1000 * spec.checkpointCostS())),
                context.now().ms(),
                need);
    }

    /** Returns whether the task may be terminated: it is neither being stopped nor already scheduled to be terminated. */
    static boolean mayBeTerminated(Job job, Placement placement) {
        return !placement.stopRequested && !job.terminations.containsKey(placement);
    }

    /** Schedules the termination of a task and reduces the job's width; no command is sent before the smaller width is committed. */
    void scheduleTermination(Job job, Placement placement, TaskTermination termination, String reason) {
        if (job.terminations.isEmpty() || retainedTaskCount(job) == job.record.width.target()) {
            narrowed++;
        }
        job.terminations.put(placement, termination);
        placement.expectedGoneAtMs = termination.freedAtMs();
        WidthRecord width = job.record.width;
        job.record.width = width.withTarget(Math.min(width.target(), retainedTaskCount(job)));
        LOG.info(
                "job width reduced: job={} width={} task={} attempt={} termination={} reason={}",
                job.id(),
                job.record.width.target(),
                placement.task,
                placement.attempt,
                termination.method(),
                reason);
        clusterState.markDirty(job);
    }

    /** Ends live tasks that exceed the job's width; called after a resize, after a change of leader and periodically. */
    void reconcileWidth(Job job) {
        WidthRecord width = job.record.width;
        if (width == null || job.isCancelled()) {
            return;
        }
        int surplus = retainedTaskCount(job) - width.target();
        if (surplus > 0) {
            TaskTermination.CapacityNeed need =
                    new TaskTermination.CapacityNeed(context.now().ms() + RESIZE_FREE_WITHIN_MS, false);
            List<Placement> candidates = new ArrayList<>();
            for (Placement placement : job.record.live.values()) {
                if (mayBeTerminated(job, placement)) {
                    candidates.add(placement);
                }
            }
            for (SurplusTaskSelector.Candidate<Placement> c :
                    SurplusTaskSelector.select(candidates, surplus, p -> chooseTermination(job, p, need))) {
                scheduleTermination(job, c.task(), c.termination(), "task count exceeds width " + width.target());
            }
        }
        executeDueTerminations(job);
    }

    /** Executes the terminations that are due, for at most as many tasks as exceed the committed width. */
    private void executeDueTerminations(Job job) {
        for (Map.Entry<Placement, TaskTermination> entry : new ArrayList<>(job.terminations.entrySet())) {
            Placement placement = entry.getKey();
            TaskTermination termination = entry.getValue();
            if (job.record.live.size() - stopRequestedCount(job) <= job.committedWidth
                    || placement.stopRequested
                    || termination.atMs() > context.now().ms()) {
                continue;
            }
            if (!placement.launchSent) {
                endedByMethod.merge(TaskTermination.Method.WITHDRAW, 1, Integer::sum);
                taskRemoval.remove(job, placement);
            } else if (termination.method() == TaskTermination.Method.AT_END) {
                // The task runs longer than expected: it is checkpointed now if it can be.
                TaskTermination.CapacityNeed need =
                        new TaskTermination.CapacityNeed(context.now().ms() + RESIZE_FREE_WITHIN_MS, false);
                TaskTermination newTermination = chooseTermination(job, placement, need);
                job.terminations.put(placement, newTermination);
                placement.expectedGoneAtMs = newTermination.freedAtMs();
            } else {
                endedByMethod.merge(termination.method(), 1, Integer::sum);
                eviction.evict(
                        placement,
                        termination.method() == TaskTermination.Method.KILL
                                ? 0
                                : job.spec().checkpointCostS(),
                        Cause.NARROWING);
            }
        }
    }

    private static int stopRequestedCount(Job job) {
        int count = 0;
        for (Placement p : job.terminations.keySet()) {
            count += p.stopRequested ? 1 : 0;
        }
        return count;
    }

    /** Reconciles the live tasks of all jobs with their widths. */
    void reconcileAllWidths() {
        for (Job job : clusterState.jobs()) {
            reconcileWidth(job);
        }
    }

    // ---- views ----

    /** Returns the counts of width changes and terminations by name. */
    Map<String, Integer> counts() {
        Map<String, Integer> out =
                new HashMap<>(Map.of("widened", widened, "narrowed", narrowed, "withdrawn", withdrawn));
        endedByMethod.forEach((method, n) -> out.put("ended_" + method.name().toLowerCase(java.util.Locale.ROOT), n));
        return out;
    }

    /** Returns the reason why no task of the job may start, or null if its width is not 0. */
    static String pauseReason(Job job) {
        return job.record.width != null && job.record.width.isPaused() ? "paused: its width is 0" : null;
    }
}
