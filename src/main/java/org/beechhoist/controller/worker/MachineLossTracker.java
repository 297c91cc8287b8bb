package org.beechhoist.controller.worker;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.Priority;
import org.beechhoist.wire.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The recovery from losing many machines at once: what comes first, and its progress. The order of calls to the cloud:
 * the release of machines whose tasks can't start anew before the cloud confirms that they are gone, the most urgent
 * work first; then new machines; then the list of machines; then the release of machines that only cost money. What is
 * known of a loss is known for this term alone, and decides nothing by itself.
 */
public final class MachineLossTracker {
    private static final Logger LOG = LoggerFactory.getLogger(MachineLossTracker.class);
    /** Losses belong to one event while they follow one another this closely. */
    private static final long SAME_EVENT_MS = 20_000;
    /** An event of fewer lost tasks is neither logged nor shown. */
    private static final int MIN_TASKS = 10;
    /** The most events that are remembered. */
    private static final int MAX_REMEMBERED = 20;

    /** Losses of machines that came together, and the tasks on them that are not placed again yet. */
    private static final class LossEvent {
        private final MonotonicTime began;
        private MonotonicTime last;
        private final Set<MachineId> machines = new HashSet<>();
        private final Set<TaskId> urgent = new HashSet<>();
        private final Set<TaskId> waiting = new HashSet<>();
        private int tasks;
        private int urgentTasks;
        private MonotonicTime urgentRecovered;
        private MonotonicTime allRecovered;

        private LossEvent(MonotonicTime began) {
            this.began = began;
            this.last = began;
        }
    }

    private final ControllerContext context;
    private final ClusterState clusterState;
    private final Deque<LossEvent> losses = new ArrayDeque<>();

    /** Creates it without any losses. */
    public MachineLossTracker(ControllerContext context, ClusterState clusterState) {
        this.context = context;
        this.clusterState = clusterState;
    }

    /** Forgets all losses: a new term begins. */
    public void reset() {
        losses.clear();
    }

    /** Whether the job has the priority urgent or a higher one. */
    public static boolean isUrgent(Job job) {
        return job.spec().priority().compareTo(Priority.URGENT) <= 0;
    }

    // ---- what comes first ----

    /**
     * The machines to be released that the cloud has not been asked to end yet.
     *
     * @param withTasks true: those that hold tasks, first those on which something must be gone soonest, then those
     *     with the most urgent work, then those that have been silent longest; false: those without tasks
     */
    public List<Machine> machinesToRelease(boolean withTasks) {
        List<Machine> out = new ArrayList<>();
        for (Machine machine : clusterState.machines()) {
            if (machine.releasing && !machine.releaseInFlight && withTasks != machine.placements.isEmpty()) {
                out.add(machine);
            }
        }
        if (withTasks) {
            out.sort(Comparator.<Machine>comparingLong(machine -> machine.stopDeadlineMs)
                    .thenComparingInt(this::highestPriorityOrdinal)
                    .thenComparing(machine -> clusterState.lastContactAt(machine)));
        }
        return out;
    }

    /** The ordinal of the highest priority of the tasks on the machine; beyond all priorities if there are none. */
    int highestPriorityOrdinal(Machine machine) {
        int least = Priority.values().length;
        for (Placement placement : machine.placements.values()) {
            Job job = clusterState.job(placement.task.job());
            least = job == null ? least : Math.min(least, job.spec().priority().ordinal());
        }
        return least;
    }

    // ---- progress ----

    /** Records that the task was lost with its machine. */
    void recordTaskLost(Job job, Placement placement) {
        if (job.isCancelled() || job.record.done.contains(placement.task.index())) {
            return;
        }
        LossEvent loss = currentEvent();
        loss.last = context.now();
        loss.machines.add(placement.machine);
        if (loss.waiting.add(placement.task)) {
            loss.tasks++;
            loss.allRecovered = null;
            if (isUrgent(job)) {
                loss.urgentTasks++;
                loss.urgent.add(placement.task);
                loss.urgentRecovered = null;
            }
        }
    }

    /** The event that a loss belongs to now; a new one if the last loss was too long ago. */
    private LossEvent currentEvent() {
        LossEvent loss = losses.peekLast();
        if (loss == null || context.now().since(loss.last) > SAME_EVENT_MS) {
            if (loss != null && loss.tasks < MIN_TASKS) {
                losses.removeLast();
            }
            loss = new LossEvent(context.now());
            losses.addLast(loss);
            if (losses.size() > MAX_REMEMBERED) {
                losses.removeFirst();
            }
        }
        return loss;
    }

    /** Records that the task is placed again, which is committed. */
    public void recordTaskPlaced(Placement placement) {
        losses.forEach(loss -> recordRecovered(loss, placement.task));
    }

    /** Stops waiting for tasks of the job: it is cancelled. */
    public void stopTrackingJob(JobId job) {
        for (LossEvent loss : losses) {
            List<TaskId> tasksOfJob =
                    loss.waiting.stream().filter(task -> task.job().equals(job)).toList();
            tasksOfJob.forEach(task -> recordRecovered(loss, task));
        }
    }

    private void recordRecovered(LossEvent loss, TaskId task) {
        if (!loss.waiting.remove(task)) {
            return;
        }
        if (loss.urgent.remove(task) && loss.urgent.isEmpty()) {
            loss.urgentRecovered = context.now();
            logRecovered(loss, "urgent tasks");
        }
        if (loss.waiting.isEmpty()) {
            loss.allRecovered = context.now();
            logRecovered(loss, "all tasks");
        }
    }

    private void logRecovered(LossEvent loss, String recovered) {
        if (loss.tasks >= MIN_TASKS) {
            LOG.info(
                    "lost tasks recovered: which=\"{}\" tasks={} urgentTasks={} machines={} sinceLossS={}",
                    recovered,
                    loss.tasks,
                    loss.urgentTasks,
                    loss.machines.size(),
                    context.now().since(loss.began) / 1000);
        }
    }

    /** The number of machines with tasks lost in the events whose last loss was within the last so many ms. */
    public int countRecentlyLostMachines(long withinMs) {
        return losses.stream()
                .filter(loss -> context.now().since(loss.last) <= withinMs)
                .mapToInt(loss -> loss.machines.size())
                .sum();
    }

    /** The operators' view of this term's loss events, the newest last. */
    public ObjectNode view() {
        ObjectNode out = Codec.map();
        ArrayNode rows = out.putArray("falls");
        for (LossEvent loss : losses) {
            if (loss.tasks < MIN_TASKS) {
                continue;
            }
            ObjectNode node = rows.addObject()
                    .put("agoS", context.now().since(loss.began) / 1000.0)
                    .put("machines", loss.machines.size())
                    .put("tasks", loss.tasks)
                    .put("urgentTasks", loss.urgentTasks)
                    .put("waiting", loss.waiting.size())
                    .put("urgentWaiting", loss.urgent.size());
            if (loss.urgentRecovered != null) {
                node.put("urgentAgainAfterS", loss.urgentRecovered.since(loss.began) / 1000.0);
            }
            if (loss.allRecovered != null) {
                node.put("allAgainAfterS", loss.allRecovered.since(loss.began) / 1000.0);
            }
        }
        return out;
    }
}
