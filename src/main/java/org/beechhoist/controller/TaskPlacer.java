package org.beechhoist.controller;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.plan.Plan;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.TaskId;

/** Places the tasks whose reserved start in the plan is due. */
final class TaskPlacer {
    private final ControllerContext context;
    private final ClusterState clusterState;
    private final Admission admission;
    private final DurationEstimates estimates;
    private final ElasticWidths elastic;
    private final MachineTypeCatalog machineTypes;

    TaskPlacer(
            ControllerContext context,
            ClusterState clusterState,
            Admission admission,
            DurationEstimates estimates,
            ElasticWidths elastic,
            MachineTypeCatalog machineTypes) {
        this.machineTypes = machineTypes;
        this.context = context;
        this.clusterState = clusterState;
        this.admission = admission;
        this.estimates = estimates;
        this.elastic = elastic;
    }

    /** Places the tasks that the plan starts now. A placement is recorded in the cluster state and launched once it is committed. */
    void placeDueTasks(Plan plan) {
        Map<JobId, Integer> taskCounts = dueTaskCounts(plan);
        PlacementRound round = new PlacementRound(taskCounts);
        for (Plan.Reservation reservation : plan.reservations()) {
            if (!isDue(reservation)) {
                continue;
            }
            Job job = clusterState.job(reservation.job());
            if (job.spec().isGang()
                    && taskCounts.get(reservation.job()) < job.spec().tasks() - job.record.done.size()) {
                continue; // all tasks of a gang start together or none does
            }
            placeReserved(round, job, reservation);
        }
    }

    /** The state that one call of {@link #placeDueTasks} keeps between reservations. */
    private static final class PlacementRound {
        private final Map<JobId, ArrayDeque<Integer>> waitingIndexes = new HashMap<>();
        private final Map<JobId, Long> attempts = new HashMap<>();
        private final Map<JobId, Integer> dueTaskCounts;
        /** The CPUs and GPUs used by each team; null until first needed. */
        private Map<String, double[]> teamUsage;

        private PlacementRound(Map<JobId, Integer> dueTaskCounts) {
            this.dueTaskCounts = dueTaskCounts;
        }
    }

    /** Returns the number of tasks that the plan starts now, by job. */
    private Map<JobId, Integer> dueTaskCounts(Plan plan) {
        Map<JobId, Integer> taskCounts = new HashMap<>();
        for (Plan.Reservation reservation : plan.reservations()) {
            if (isDue(reservation)) {
                taskCounts.merge(reservation.job(), 1, Integer::sum);
            }
        }
        return taskCounts;
    }

    private boolean isDue(Plan.Reservation reservation) {
        return reservation.machineUp() && reservation.startMs() <= context.now().ms();
    }

    /** Places the job's next waiting task on the reserved machine if admission allows it now. */
    private void placeReserved(PlacementRound round, Job job, Plan.Reservation reservation) {
        Machine machine = clusterState.findMachine(reservation.machine());
        if (round.teamUsage == null) {
            round.teamUsage = clusterState.teamResourceUsage();
        }
        if (!admission.admits(job, machine, round.teamUsage)
                || ElasticWidths.remainingWidth(job) <= 0
                || (reservation.beyondGuarantee() && !admission.mayWiden(machine))) {
            return;
        }
        ArrayDeque<Integer> indexes = round.waitingIndexes.computeIfAbsent(
                reservation.job(), k -> new ArrayDeque<>(job.record.waiting(round.dueTaskCounts.get(k))));
        if (indexes.isEmpty() || job.notBefore.ms() > context.now().ms()) {
            return;
        }
        TaskId id = new TaskId(reservation.job(), indexes.poll());
        // The tasks of a gang find each other by their common attempt number.
        long attempt = job.spec().isGang()
                ? round.attempts.computeIfAbsent(reservation.job(), k -> job.record.nextAttempt++)
                : job.record.nextAttempt++;
        recordPlacement(job, id, attempt, machine, reservation.fetchMs());
        double[] usage = round.teamUsage.computeIfAbsent(job.spec().team(), k -> new double[2]);
        usage[0] += job.spec().cpus();
        usage[1] += job.spec().gpus();
    }

    /** Places one task on the machine if admission allows it now, independently of the plan; returns whether it was placed. */
    boolean place(Job job, int index, Machine machine) {
        if (job.spec().isGang() || !admission.admits(job, machine, clusterState.teamResourceUsage())) {
            return false;
        }
        recordPlacement(
                job,
                new TaskId(job.id(), index),
                job.record.nextAttempt++,
                machine,
                machine.fetchMs(job.spec(), machineTypes.get(machine.type)));
        return true;
    }

    /** Records the placement in the cluster state; it is launched once it is committed. */
    private void recordPlacement(Job job, TaskId id, long attempt, Machine machine, long fetchMs) {
        Placement placement = new Placement(id, attempt, machine.id);
        placement.placedAt = context.now();
        placement.placedS =
                (int) Math.max(0, Math.min(Integer.MAX_VALUE, (context.wallMs() - job.record.submittedWallMs) / 1000));
        placement.fetchMs = fetchMs;
        placement.expectedDurationMs = estimates.expectedMs(job.spec());
        job.record.live.put(id.index(), placement);
        machine.placements.put(id, placement);
        job.uncommittedPlacements++;
        elastic.recordPlaced(job);
        machine.idleSince = null;
        clusterState.markDirty(job);
    }
}
