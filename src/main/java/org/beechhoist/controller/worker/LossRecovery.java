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
 * When much is lost at once: what comes first, and how far it has come. The order: machines whose tasks can't start
 * anew before the cloud confirms that they are gone, the most urgent work first; then new machines; then the list; then
 * machines that only cost money. What it knows of a fall is this leadership's knowledge; it decides nothing alone.
 */
public final class LossRecovery {
    private static final Logger LOG = LoggerFactory.getLogger(LossRecovery.class);
    /** Losses are one fall while they follow one another this closely, and count as one from so many tasks on. */
    private static final long SAME_EVENT_MS = 20_000;

    private static final int MIN_TASKS = 10;
    private static final int MAX_REMEMBERED = 20;

    /** Losses that came together. */
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

    public LossRecovery(ControllerContext context, ClusterState clusterState) {
        this.context = context;
        this.clusterState = clusterState;
    }

    public void reset() {
        losses.clear();
    }

    public static boolean isUrgent(Job job) {
        return job.spec().priority().compareTo(Priority.URGENT) <= 0;
    }

    // ---- what comes first ----

    /** Machines on their way out that the cloud has not been asked to end yet, those first on which something must be gone soon, then those whose tasks wait for it. */
    public List<Machine> machinesToRelease(boolean withTasks) {
        List<Machine> out = new ArrayList<>();
        for (Machine machine : clusterState.machines()) {
            if (machine.releasing && !machine.releaseRequested && withTasks != machine.placements.isEmpty()) {
                out.add(machine);
            }
        }
        if (withTasks) {
            out.sort(Comparator.<Machine>comparingLong(h -> h.mustBeGoneByMs)
                    .thenComparingInt(this::highestPriority)
                    .thenComparing(h -> clusterState.lastHeardOf(h)));
        }
        return out;
    }

    /** The most urgent work on it; beyond all urgencies where there is none. */
    int highestPriority(Machine machine) {
        int least = Priority.values().length;
        for (Placement placement : machine.placements.values()) {
            Job j = clusterState.job(placement.task.job());
            least = j == null ? least : Math.min(least, j.spec().priority().ordinal());
        }
        return least;
    }

    // ---- how far it has come ----

    /** The task was lost with its machine. */
    void recordLost(Job job, Placement placement) {
        if (job.isCancelled() || job.record.done.contains(placement.task.index())) {
            return;
        }
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

    /** The task is placed again, and that is committed. */
    public void recordPlaced(Placement placement) {
        losses.forEach(f -> recordRecovered(f, placement.task));
    }

    /** Nothing of the job is wanted any more. */
    public void forgetJob(JobId job) {
        for (LossEvent loss : losses) {
            for (TaskId t :
                    loss.waiting.stream().filter(t -> t.job().equals(job)).toList()) {
                recordRecovered(loss, t);
            }
        }
    }

    private void recordRecovered(LossEvent loss, TaskId task) {
        if (!loss.waiting.remove(task)) {
            return;
        }
        if (loss.urgent.remove(task) && loss.urgent.isEmpty()) {
            loss.urgentRecovered = context.now();
            logRecovered(loss, loss.urgentTasks + " urgent ones placed again");
        }
        if (loss.waiting.isEmpty()) {
            loss.allRecovered = context.now();
            logRecovered(loss, "all placed again");
        }
    }

    private void logRecovered(LossEvent loss, String what) {
        if (loss.tasks >= MIN_TASKS) {
            LOG.info(
                    "{} tasks lost on {} machines from {} s ago on: {}",
                    loss.tasks,
                    loss.machines.size(),
                    context.now().since(loss.began) / 1000,
                    what);
        }
    }

    /** Machines with work on them that were lost within the last so many ms, by the falls that go on. */
    public int recentlyLostMachines(long withinMs) {
        return losses.stream()
                .filter(f -> context.now().since(f.last) <= withinMs)
                .mapToInt(f -> f.machines.size())
                .sum();
    }

    /** The falls of this leadership, the newest last. */
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
