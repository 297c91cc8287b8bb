package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.floor.ServiceShare;
import org.beechhoist.release.ReleaseOrder;
import org.beechhoist.store.Placement;
import org.beechhoist.triage.Capacity;
import org.beechhoist.triage.Demand;
import org.beechhoist.triage.ShedJobSelector;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sees that more is asked than machines, those that boot included, can do while the cloud has no more, and leaves jobs behind so
 * that as many others as possible are in time. Without it all jobs began as late as they might, and nearly all were late.
 */
final class LoadShedding {
    private static final Logger LOG = LoggerFactory.getLogger(LoadShedding.class);
    private static final long EVERY_MS = 1000;

    private final ControllerContext context;
    private final Settings settings;
    private final MachineTypeCatalog machineTypes;
    private final ClusterState clusterState;
    private final DurationEstimates estimates;
    private final JobOrdering ordering;
    private final Admission admission;
    private final ScaleOutPolicy scaleOut;
    private final Supplier<Map<String, ServiceShare>> lately;
    private final Function<Job, Set<String>> groups;
    private long next;
    private Set<JobId> behind = Set.of();

    LoadShedding(
            ControllerContext context,
            Settings settings,
            MachineTypeCatalog machineTypes,
            ClusterState clusterState,
            DurationEstimates estimates,
            JobOrdering ordering,
            Admission admission,
            ScaleOutPolicy scaleOut,
            Supplier<Map<String, ServiceShare>> lately,
            Function<Job, Set<String>> groups) {
        this.groups = groups;
        this.lately = lately;
        this.context = context;
        this.settings = settings;
        this.machineTypes = machineTypes;
        this.clusterState = clusterState;
        this.estimates = estimates;
        this.ordering = ordering;
        this.admission = admission;
        this.scaleOut = scaleOut;
    }

    /** Says anew who is left behind; the next plan goes by it. */
    void updateShedJobs() {
        if (context.now().ms() < next) {
            return;
        }
        next = context.now().ms() + EVERY_MS;
        Map<String, Boolean> grows = new HashMap<>();
        List<Demand> demands = new ArrayList<>();
        List<Job> missed = new ArrayList<>();
        boolean overloaded = false;
        for (Job job : clusterState.jobs()) {
            if (job.isCancelled()
                    || job.keySetHold != null
                    || job.spec().isService()
                    || job.record.waitingCount() == 0
                    || !job.notBefore.isBefore(context.now())) {
                continue;
            }
            JobSpec spec = job.spec();
            boolean more = grows.computeIfAbsent(
                    spec.machineTypes() + "/" + spec.zone() + "/" + spec.spot() + "/" + spec.cpus() + "/" + spec.gpus()
                            + "/" + spec.memGb(),
                    k -> scaleOut.mayHaveCapacityFor(spec));
            Long due = ordering.earliestAchievableDueMs(job);
            boolean late = due == null && ordering.hasCompletionLimit(spec);
            if (late && !more && ordering.releaseOrderKey(job) == ReleaseOrder.NO_KEY) {
                missed.add(job);
            }
            overloaded |= !more;
            boolean begun = job.hasStarted();
            long length = estimates.expectedMs(spec);
            demands.add(new Demand(
                    job.id(),
                    groups.apply(job),
                    job.prioritized ? -1 : JobOrdering.baseRank(job),
                    spec.team(),
                    spec.cpus() * length * job.record.waitingCount(),
                    spec.gpus() * length * job.record.waitingCount(),
                    length,
                    due == null ? Demand.NO_DEADLINE : due,
                    late,
                    more || begun || job.prioritized || ordering.releaseOrderKey(job) != ReleaseOrder.NO_KEY));
        }
        Set<JobId> now = !overloaded ? Set.of() : ShedJobSelector.select(demands, capacity());
        if (!now.isEmpty()) {
            now = new HashSet<>(now);
            for (Job j : missed) {
                now.add(j.id()); // it has missed all it was promised, and delays nobody who has not
            }
        }
        if (now.isEmpty() != behind.isEmpty()) {
            LOG.info(
                    now.isEmpty()
                            ? "no job is left behind any more"
                            : "{} jobs are left behind: the cloud has no more machines, and others can be in time",
                    now.size());
        }
        behind = now;
        ordering.setOverloaded(!now.isEmpty());
        for (Job j : clusterState.jobs()) {
            j.shed = !j.prioritized && behind.contains(j.id());
        }
    }

    private Capacity capacity() {
        double cpus = 0;
        double busy = 0;
        double gpus = 0;
        double busyGpus = 0;
        Map<String, Double> busyTeams = new HashMap<>();
        for (Machine machine : clusterState.machines()) {
            MachineType type = machine.isTypeKnown() && !machine.releasing ? machineTypes.get(machine.type) : null;
            if (type == null || machine.up && !admission.isUsable(machine)) {
                continue;
            }
            cpus += type.cpus();
            gpus += type.gpus();
            for (Placement placement : machine.placements.values()) {
                Job job = clusterState.job(placement.task.job());
                if (job != null && job.spec().isService()) {
                    cpus -= job.spec().cpus();
                    gpus -= job.spec().gpus();
                } else if (job != null) {
                    long left = Math.max(
                            0, estimates.expectedEnd(placement, context.now()).since(context.now()));
                    busy += left * job.spec().cpus();
                    busyGpus += left * job.spec().gpus();
                    busyTeams.merge(job.spec().team(), left * job.spec().cpus(), Double::sum);
                }
            }
        }
        Map<String, Capacity.TeamQuota> teams = new HashMap<>();
        for (Settings.Team team : settings.teams().values()) {
            if (team.cpusMax() < Double.POSITIVE_INFINITY && team.cpusMax() > 0) {
                teams.put(
                        team.name(), new Capacity.TeamQuota(team.cpusMax(), busyTeams.getOrDefault(team.name(), 0.0)));
            }
        }
        return new Capacity(context.now().ms(), cpus, busy, gpus, busyGpus, teams, lately.get());
    }
}
