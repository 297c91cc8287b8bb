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
 * Detects that the demand exceeds the capacity of all machines, booting ones included, while the cloud offers no more, and sheds
 * jobs so that as many others as possible meet their deadlines. Without load shedding all jobs started as late as possible and
 * nearly all of them were late.
 */
final class LoadShedding {
    private static final Logger LOG = LoggerFactory.getLogger(LoadShedding.class);
    private static final long UPDATE_INTERVAL_MS = 1000;

    private final ControllerContext context;
    private final Settings settings;
    private final MachineTypeCatalog machineTypes;
    private final ClusterState clusterState;
    private final DurationEstimates estimates;
    private final JobOrdering ordering;
    private final Admission admission;
    private final ScaleOutPolicy scaleOut;
    private final Supplier<Map<String, ServiceShare>> recentShares;
    private final Function<Job, Set<String>> shareGroups;
    private long nextUpdateMs;
    private Set<JobId> shedJobs = Set.of();

    LoadShedding(
            ControllerContext context,
            Settings settings,
            MachineTypeCatalog machineTypes,
            ClusterState clusterState,
            DurationEstimates estimates,
            JobOrdering ordering,
            Admission admission,
            ScaleOutPolicy scaleOut,
            Supplier<Map<String, ServiceShare>> recentShares,
            Function<Job, Set<String>> shareGroups) {
        this.shareGroups = shareGroups;
        this.recentShares = recentShares;
        this.context = context;
        this.settings = settings;
        this.machineTypes = machineTypes;
        this.clusterState = clusterState;
        this.estimates = estimates;
        this.ordering = ordering;
        this.admission = admission;
        this.scaleOut = scaleOut;
    }

    /** Updates the set of shed jobs, which the next plan uses. */
    void updateShedJobs() {
        if (context.now().ms() < nextUpdateMs) {
            return;
        }
        nextUpdateMs = context.now().ms() + UPDATE_INTERVAL_MS;
        Map<String, Boolean> mayGrowByShape = new HashMap<>();
        List<Demand> demands = new ArrayList<>();
        List<Job> missedJobs = new ArrayList<>();
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
            boolean mayGrow = mayGrowByShape.computeIfAbsent(
                    spec.machineTypes() + "/" + spec.zone() + "/" + spec.spot() + "/" + spec.cpus() + "/" + spec.gpus()
                            + "/" + spec.memGb(),
                    k -> scaleOut.mayHaveCapacityFor(spec));
            Long due = ordering.earliestAchievableDueMs(job);
            boolean late = due == null && ordering.hasCompletionLimit(spec);
            if (late && !mayGrow && ordering.releaseOrderKey(job) == ReleaseOrder.NO_KEY) {
                missedJobs.add(job);
            }
            overloaded |= !mayGrow;
            boolean hasBegun = job.hasStarted();
            long durationMs = estimates.expectedMs(spec);
            demands.add(new Demand(
                    job.id(),
                    shareGroups.apply(job),
                    job.prioritized ? -1 : JobOrdering.baseRank(job),
                    spec.team(),
                    spec.cpus() * durationMs * job.record.waitingCount(),
                    spec.gpus() * durationMs * job.record.waitingCount(),
                    durationMs,
                    due == null ? Demand.NO_DEADLINE : due,
                    late,
                    mayGrow || hasBegun || job.prioritized || ordering.releaseOrderKey(job) != ReleaseOrder.NO_KEY));
        }
        Set<JobId> newlyShed = !overloaded ? Set.of() : ShedJobSelector.select(demands, capacity());
        if (!newlyShed.isEmpty()) {
            newlyShed = new HashSet<>(newlyShed);
            for (Job job : missedJobs) {
                // It has missed all its limits and must not delay jobs that can still meet theirs.
                newlyShed.add(job.id());
            }
        }
        if (newlyShed.isEmpty() != shedJobs.isEmpty()) {
            LOG.info(
                    newlyShed.isEmpty()
                            ? "load shedding ended: shed_jobs={}"
                            : "load shedding started, no more machines can be rented: shed_jobs={}",
                    newlyShed.size());
        }
        shedJobs = newlyShed;
        ordering.setOverloaded(!newlyShed.isEmpty());
        for (Job job : clusterState.jobs()) {
            job.shed = !job.prioritized && shedJobs.contains(job.id());
        }
    }

    /** Returns the capacity of all machines, less that used by services, and the remaining work of running tasks. */
    private Capacity capacity() {
        double cpus = 0;
        double busyCpuMs = 0;
        double gpus = 0;
        double busyGpuMs = 0;
        Map<String, Double> busyCpuMsByTeam = new HashMap<>();
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
                    long remainingMs = Math.max(
                            0, estimates.expectedEnd(placement, context.now()).since(context.now()));
                    busyCpuMs += remainingMs * job.spec().cpus();
                    busyGpuMs += remainingMs * job.spec().gpus();
                    busyCpuMsByTeam.merge(
                            job.spec().team(), remainingMs * job.spec().cpus(), Double::sum);
                }
            }
        }
        Map<String, Capacity.TeamQuota> teams = new HashMap<>();
        for (Settings.Team team : settings.teams().values()) {
            if (team.cpusMax() < Double.POSITIVE_INFINITY && team.cpusMax() > 0) {
                teams.put(
                        team.name(),
                        new Capacity.TeamQuota(team.cpusMax(), busyCpuMsByTeam.getOrDefault(team.name(), 0.0)));
            }
        }
        return new Capacity(context.now().ms(), cpus, busyCpuMs, gpus, busyGpuMs, teams, recentShares.get());
    }
}
