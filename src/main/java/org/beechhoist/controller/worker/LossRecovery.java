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
    private static final long TOGETHER_MS = 20_000;

    private static final int LEAST_TASKS = 10;
    private static final int REMEMBERED = 20;

    /** Losses that came together. */
    private static final class LossEvent {
        private final MonotonicTime began;
        private MonotonicTime last;
        private final Set<MachineId> machines = new HashSet<>();
        private final Set<TaskId> urgent = new HashSet<>();
        private final Set<TaskId> open = new HashSet<>();
        private int tasks;
        private int urgentTasks;
        private MonotonicTime urgentAgain;
        private MonotonicTime allAgain;

        private LossEvent(MonotonicTime began) {
            this.began = began;
            this.last = began;
        }
    }

    private final ControllerContext turn;
    private final ClusterState book;
    private final Deque<LossEvent> falls = new ArrayDeque<>();

    public LossRecovery(ControllerContext turn, ClusterState book) {
        this.turn = turn;
        this.book = book;
    }

    public void reset() {
        falls.clear();
    }

    public static boolean urgent(Job job) {
        return job.spec().urgency().compareTo(Priority.URGENT) <= 0;
    }

    // ---- what comes first ----

    /** Machines on their way out that the cloud has not been asked to end yet, those first on which something must be gone soon, then those whose tasks wait for it. */
    public List<Machine> toReturn(boolean withTasks) {
        List<Machine> out = new ArrayList<>();
        for (Machine machine : book.hosts()) {
            if (machine.returning && !machine.returnAsked && withTasks != machine.placements.isEmpty()) {
                out.add(machine);
            }
        }
        if (withTasks) {
            out.sort(Comparator.<Machine>comparingLong(h -> h.goneByMs)
                    .thenComparingInt(this::firstUrgency)
                    .thenComparing(h -> book.heard(h)));
        }
        return out;
    }

    /** The most urgent work on it; beyond all urgencies where there is none. */
    int firstUrgency(Machine machine) {
        int least = Priority.values().length;
        for (Placement placement : machine.placements.values()) {
            Job j = book.job(placement.task.job());
            least = j == null ? least : Math.min(least, j.spec().urgency().ordinal());
        }
        return least;
    }

    // ---- how far it has come ----

    /** The task was lost with its machine. */
    void lost(Job job, Placement placement) {
        if (job.cancelled() || job.record.done.contains(placement.task.index())) {
            return;
        }
        LossEvent loss = falls.peekLast();
        if (loss == null || turn.now().since(loss.last) > TOGETHER_MS) {
            if (loss != null && loss.tasks < LEAST_TASKS) {
                falls.removeLast();
            }
            loss = new LossEvent(turn.now());
            falls.addLast(loss);
            if (falls.size() > REMEMBERED) {
                falls.removeFirst();
            }
        }
        loss.last = turn.now();
        loss.machines.add(placement.host);
        if (loss.open.add(placement.task)) {
            loss.tasks++;
            loss.allAgain = null;
            if (urgent(job)) {
                loss.urgentTasks++;
                loss.urgent.add(placement.task);
                loss.urgentAgain = null;
            }
        }
    }

    /** The task is placed again, and that is committed. */
    public void placed(Placement placement) {
        falls.forEach(f -> back(f, placement.task));
    }

    /** Nothing of the job is wanted any more. */
    public void over(JobId job) {
        for (LossEvent loss : falls) {
            for (TaskId t : loss.open.stream().filter(t -> t.job().equals(job)).toList()) {
                back(loss, t);
            }
        }
    }

    private void back(LossEvent loss, TaskId task) {
        if (!loss.open.remove(task)) {
            return;
        }
        if (loss.urgent.remove(task) && loss.urgent.isEmpty()) {
            loss.urgentAgain = turn.now();
            tell(loss, loss.urgentTasks + " urgent ones placed again");
        }
        if (loss.open.isEmpty()) {
            loss.allAgain = turn.now();
            tell(loss, "all placed again");
        }
    }

    private void tell(LossEvent loss, String what) {
        if (loss.tasks >= LEAST_TASKS) {
            LOG.info(
                    "{} tasks lost on {} machines from {} s ago on: {}",
                    loss.tasks,
                    loss.machines.size(),
                    turn.now().since(loss.began) / 1000,
                    what);
        }
    }

    /** Machines with work on them that were lost within the last so many ms, by the falls that go on. */
    public int machinesLost(long withinMs) {
        return falls.stream()
                .filter(f -> turn.now().since(f.last) <= withinMs)
                .mapToInt(f -> f.machines.size())
                .sum();
    }

    /** The falls of this leadership, the newest last. */
    public ObjectNode view() {
        ObjectNode out = Codec.map();
        ArrayNode rows = out.putArray("falls");
        for (LossEvent loss : falls) {
            if (loss.tasks < LEAST_TASKS) {
                continue;
            }
            ObjectNode node = rows.addObject()
                    .put("agoS", turn.now().since(loss.began) / 1000.0)
                    .put("machines", loss.machines.size())
                    .put("tasks", loss.tasks)
                    .put("urgentTasks", loss.urgentTasks)
                    .put("waiting", loss.open.size())
                    .put("urgentWaiting", loss.urgent.size());
            if (loss.urgentAgain != null) {
                node.put("urgentAgainAfterS", loss.urgentAgain.since(loss.began) / 1000.0);
            }
            if (loss.allAgain != null) {
                node.put("allAgainAfterS", loss.allAgain.since(loss.began) / 1000.0);
            }
        }
        return out;
    }
}
