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

/** Starts the tasks that a plan has due. */
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

    /** Places the tasks that the plan starts now: recorded in the cluster state first, launched once that is committed. */
    void placeDueTasks(Plan next) {
        Map<JobId, Integer> due = dueTasks(next);
        Run run = new Run(due);
        for (Plan.Reservation reservation : next.reservations()) {
            if (!isDue(reservation)) {
                continue;
            }
            Job job = clusterState.job(reservation.job());
            if (job.spec().isGang() && due.get(reservation.job()) < job.spec().tasks() - job.record.done.size()) {
                continue; // a gang starts as a whole or not at all
            }
            placeReserved(run, job, reservation);
        }
    }

    /** What one call of {@link #placeDueTasks} has to remember from one reservation to the next. */
    private static final class Run {
        private final Map<JobId, ArrayDeque<Integer>> waiting = new HashMap<>();
        private final Map<JobId, Long> attempts = new HashMap<>();
        private final Map<JobId, Integer> due;
        /** CPUs and GPUs that each team uses; null until first needed. */
        private Map<String, double[]> used;

        private Run(Map<JobId, Integer> due) {
            this.due = due;
        }
    }

    /** Returns how many tasks of each job the plan starts now. */
    private Map<JobId, Integer> dueTasks(Plan next) {
        Map<JobId, Integer> due = new HashMap<>();
        for (Plan.Reservation reservation : next.reservations()) {
            if (isDue(reservation)) {
                due.merge(reservation.job(), 1, Integer::sum);
            }
        }
        return due;
    }

    private boolean isDue(Plan.Reservation reservation) {
        return reservation.machineUp() && reservation.startMs() <= context.now().ms();
    }

    /** Places the job's next waiting task as reserved, if it is admissible now. */
    private void placeReserved(Run run, Job job, Plan.Reservation reservation) {
        Machine machine = clusterState.findMachine(reservation.machine());
        if (run.used == null) {
            run.used = clusterState.teamResourceUsage();
        }
        if (!admission.admits(job, machine, run.used)
                || ElasticWidths.remainingWidth(job) <= 0
                || (reservation.beyondGuarantee() && !admission.mayWiden(machine))) {
            return;
        }
        ArrayDeque<Integer> free = run.waiting.computeIfAbsent(
                reservation.job(), k -> new ArrayDeque<>(job.record.waiting(run.due.get(k))));
        if (free.isEmpty() || job.notBefore.ms() > context.now().ms()) {
            return;
        }
        TaskId id = new TaskId(reservation.job(), free.poll());
        // A gang's tasks find one another by their common attempt.
        long attempt = job.spec().isGang()
                ? run.attempts.computeIfAbsent(reservation.job(), k -> job.record.nextAttempt++)
                : job.record.nextAttempt++;
        recordPlacement(job, id, attempt, machine, reservation.fetchMs());
        double[] usage = run.used.computeIfAbsent(job.spec().team(), k -> new double[2]);
        usage[0] += job.spec().cpus();
        usage[1] += job.spec().gpus();
    }

    /** Places one task on the machine if admission allows it now, whatever the plan says; returns whether it did. */
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

    /** Records the placement in the cluster state, to be committed and then launched. */
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
