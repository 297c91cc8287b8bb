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

/** Starts what a plan has due. */
final class Dispatch {
    private final ControllerContext context;
    private final ClusterState clusterState;
    private final Admission admission;
    private final DurationEstimates estimates;
    private final ElasticWidths elastic;
    private final MachineTypeCatalog machineTypes;

    Dispatch(
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

    /** Places what the plan starts now: in the book first, launched once that is committed. */
    void dispatch(Plan next) {
        Map<String, double[]> used = null;
        Map<JobId, ArrayDeque<Integer>> waiting = new HashMap<>();
        Map<JobId, Integer> due = new HashMap<>();
        Map<JobId, Long> attempts = new HashMap<>();
        for (Plan.Reservation reservation : next.reservations()) {
            if (reservation.machineUp()
                    && reservation.startMs() <= context.now().ms()) {
                due.merge(reservation.job(), 1, Integer::sum);
            }
        }
        for (Plan.Reservation reservation : next.reservations()) {
            if (!reservation.machineUp()
                    || reservation.startMs() > context.now().ms()) {
                continue;
            }
            Job job = clusterState.job(reservation.job());
            if (job.spec().isGang() && due.get(reservation.job()) < job.spec().tasks() - job.record.done.size()) {
                continue; // all of it or nothing
            }
            Machine machine = clusterState.findMachine(reservation.machine());
            if (used == null) {
                used = clusterState.teamUsage();
            }
            if (!admission.admissible(job, machine, used)
                    || ElasticWidths.mayPlace(job) <= 0
                    || (reservation.wide() && !admission.mayWiden(machine))) {
                continue;
            }
            ArrayDeque<Integer> free =
                    waiting.computeIfAbsent(reservation.job(), k -> new ArrayDeque<>(job.record.waiting(due.get(k))));
            if (free.isEmpty() || job.notBefore.ms() > context.now().ms()) {
                continue;
            }
            TaskId id = new TaskId(reservation.job(), free.poll());
            // A gang's tasks find one another by their common attempt.
            long attempt = job.spec().isGang()
                    ? attempts.computeIfAbsent(reservation.job(), k -> job.record.nextAttempt++)
                    : job.record.nextAttempt++;
            enter(job, id, attempt, machine, reservation.fetchMs());
            double[] usage = used.computeIfAbsent(job.spec().team(), k -> new double[2]);
            usage[0] += job.spec().cpus();
            usage[1] += job.spec().gpus();
        }
    }

    /** Places one task on this machine, if the rules allow it now, whatever the plan says. */
    boolean place(Job job, int index, Machine machine) {
        if (job.spec().isGang() || !admission.admissible(job, machine, clusterState.teamUsage())) {
            return false;
        }
        enter(
                job,
                new TaskId(job.id(), index),
                job.record.nextAttempt++,
                machine,
                machine.fetchMs(job.spec(), machineTypes.get(machine.type)));
        return true;
    }

    private void enter(Job job, TaskId id, long attempt, Machine machine, long fetchMs) {
        Placement placement = new Placement(id, attempt, machine.id);
        placement.placedAt = context.now();
        placement.placedS =
                (int) Math.max(0, Math.min(Integer.MAX_VALUE, (context.wallMs() - job.record.submittedWallMs) / 1000));
        placement.fetchMs = fetchMs;
        placement.expectedDurationMs = estimates.expectedMs(job.spec());
        job.record.live.put(id.index(), placement);
        machine.placements.put(id, placement);
        job.uncommittedPlacements++;
        elastic.placed(job);
        machine.idleSince = null;
        clusterState.markDirty(job);
    }
}
