package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Job;
import org.beechhoist.floor.StarvingJobSelector;
import org.beechhoist.release.ReleaseOrder;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;

/** Determines the order in which waiting jobs are planned: by priority and quota, then by objectives and deadlines. */
final class JobOrdering {
    /** The maximum wait of a job that has no objective that can still be met. */
    private static final long DEFAULT_MAX_WAIT_MS = 300_000;
    /** Safety margin before the starvation limit, because capacity is not freed at the exact second that the plan predicts. */
    private static final long START_MARGIN_MS = 30_000;

    private static final int PRIORITIZED_RANK = -1;
    private static final int SHED_RANK = Integer.MAX_VALUE;
    /** A job that is late by less than this may still meet its objective, because durations are estimates. */
    private static final long ESTIMATE_TOLERANCE_MS = 3000;

    /** A job counts as served if it ends within this multiple of its deadline. */
    private static final double SERVED_DEADLINE_FACTOR = 1.5;
    /** Tolerance of comparisons between sums of CPUs or GPUs and a quota. */
    private static final double QUOTA_TOLERANCE = 1e-6;

    private final ControllerContext context;
    private final Settings settings;
    private final Policy policy;
    private final ClusterState clusterState;
    private final DurationEstimates estimates;
    private boolean overloaded;
    private ReleaseController releases;

    JobOrdering(
            ControllerContext context,
            Settings settings,
            Policy policy,
            ClusterState clusterState,
            DurationEstimates estimates) {
        this.context = context;
        this.settings = settings;
        this.policy = policy;
        this.clusterState = clusterState;
        this.estimates = estimates;
    }

    /** Sets the source of release order and due times; until it is set, jobs are ordered without regard to releases. */
    void setReleases(ReleaseController releaseController) {
        releases = releaseController;
    }

    /** Returns the sort key of the job's release among jobs of the same rank. */
    long releaseOrderKey(Job job) {
        return releases == null ? ReleaseOrder.NO_KEY : releases.orderKey(job);
    }

    /**
     * Returns the latest time at which the job's waiting tasks should start to meet the earliest objective that can still be met. A
     * job without any started task should also start within the starvation limit, however large it is.
     */
    long latestStartMs(Job job) {
        long latest = latestStartByObjectiveMs(job);
        Long dueWallMs = releases == null ? null : releases.dueMs(job);
        if (dueWallMs != null) {
            latest = earlierIfAchievable(
                    latest, context.now().ms() + dueWallMs - context.wallMs() - estimates.expectedMs(job.spec()));
        }
        return job.hasStarted()
                ? latest
                : earlierIfAchievable(
                        latest, job.submittedAt.ms() + StarvingJobSelector.MAX_TIME_TO_START_MS - START_MARGIN_MS);
    }

    /** Returns the latest start by deadline, class objectives and quota guarantee, or by the default wait if none can be met. */
    private long latestStartByObjectiveMs(Job job) {
        long durationMs = estimates.expectedMs(job.spec());
        long submittedMs = job.submittedAt.ms();
        long latest = Math.max(submittedMs, context.now().ms()) + DEFAULT_MAX_WAIT_MS;
        if (job.spec().deadlineS() != null) {
            latest = earlierIfAchievable(
                    latest, submittedMs + Math.round(1000 * job.spec().deadlineS()) - durationMs);
        }
        for (Settings.Objective objective : settings.objectives()) {
            if (job.spec().jobClass().equals(objective.jobClass())) {
                switch (objective.kind()) {
                    case "finished" ->
                        latest = earlierIfAchievable(
                                latest, submittedMs + Math.round(1000 * objective.withinS()) - durationMs);
                    case "wait" ->
                        latest = earlierIfAchievable(latest, submittedMs + Math.round(1000 * objective.withinS()));
                    case "deadline" -> {
                        if (job.spec().deadlineS() != null) {
                            latest = earlierIfAchievable(
                                    latest,
                                    submittedMs
                                            + Math.round(1000
                                                    * objective.times()
                                                    * job.spec().deadlineS())
                                            - durationMs);
                        }
                    }
                    default -> {}
                }
            } else if (objective.kind().equals("guarantee") && job.withinGuarantee) {
                latest = earlierIfAchievable(latest, submittedMs + Math.round(1000 * objective.withinS()));
            }
        }
        return latest;
    }

    /** Returns whether the job has a release or an objective that can still be met. */
    boolean hasOpenObjective(Job job) {
        return releaseOrderKey(job) != ReleaseOrder.NO_KEY
                || latestStartByObjectiveMs(job)
                        < Math.max(job.submittedAt.ms(), context.now().ms()) + DEFAULT_MAX_WAIT_MS;
    }

    /** Returns the earlier of the two times, or {@code latest} if the candidate can no longer be met. */
    private long earlierIfAchievable(long latest, long candidate) {
        return candidate + ESTIMATE_TOLERANCE_MS < context.now().ms() ? latest : Math.min(latest, candidate);
    }

    /**
     * Returns the time after submission within which the job counts as served: the longest completion objective of its class or 1.5
     * times its deadline, whichever is longer.
     */
    long servedWithinMs(JobSpec spec) {
        double longestS = spec.deadlineS() == null ? 0 : SERVED_DEADLINE_FACTOR * spec.deadlineS();
        for (Settings.Objective objective : settings.objectives()) {
            if (objective.kind().equals("finished") && spec.jobClass().equals(objective.jobClass())) {
                longestS = Math.max(longestS, objective.withinS());
            }
        }
        return longestS == 0 ? DEFAULT_MAX_WAIT_MS : Math.round(1000 * longestS);
    }

    /** Returns the earliest completion limit that the job can still meet, or null if there is none. */
    Long earliestAchievableDueMs(Job job) {
        long earliestEndMs = context.now().ms() + estimates.expectedMs(job.spec()) - ESTIMATE_TOLERANCE_MS;
        Long earliest = null;
        for (long within : completionLimitsMs(job.spec())) {
            long due = job.submittedAt.ms() + within;
            earliest = due >= earliestEndMs && (earliest == null || due < earliest) ? Long.valueOf(due) : earliest;
        }
        return earliest;
    }

    /** Returns whether the job has a deadline or a completion objective. */
    boolean hasCompletionLimit(JobSpec spec) {
        return !completionLimitsMs(spec).isEmpty();
    }

    /** Returns all limits of the time from submission to completion, from the deadline and the class objectives. */
    private List<Long> completionLimitsMs(JobSpec spec) {
        List<Long> out = new ArrayList<>();
        if (spec.deadlineS() != null) {
            out.add(Math.round(1000 * spec.deadlineS()));
            out.add(Math.round(1000 * SERVED_DEADLINE_FACTOR * spec.deadlineS()));
        }
        for (Settings.Objective objective : settings.objectives()) {
            if (spec.jobClass().equals(objective.jobClass()) && objective.kind().equals("finished")) {
                out.add(Math.round(1000 * objective.withinS()));
            } else if (spec.jobClass().equals(objective.jobClass())
                    && objective.kind().equals("deadline")
                    && spec.deadlineS() != null) {
                out.add(Math.round(1000 * objective.times() * spec.deadlineS()));
            }
        }
        return out;
    }

    /**
     * Returns the time by which the job should start. Under overload the latest start that still allows completion in time is used:
     * ordering by start objectives would start every job, the newest first, and complete none.
     */
    private long startByMs(Job job) {
        Long due = overloaded ? earliestAchievableDueMs(job) : null;
        return due == null ? latestStartMs(job) : due - estimates.expectedMs(job.spec());
    }

    /** Sets whether the cluster is overloaded, which changes how {@link #waitingJobsByObjective} orders jobs. */
    void setOverloaded(boolean isOverloaded) {
        overloaded = isOverloaded;
    }

    /**
     * Returns how long the job may wait for a machine at the lowest price. A job of a release does not wait, because a job of a
     * later release would start in its place.
     */
    long patienceMs(Job job) {
        return releaseOrderKey(job) != ReleaseOrder.NO_KEY
                ? 0
                : Math.round(policy.patience()
                        * Math.max(0, latestStartMs(job) - context.now().ms()));
    }

    /** Marks the jobs that fit their team's quota together with the team's earlier submitted jobs. */
    private void markWithinQuota() {
        Map<String, double[]> sums = new HashMap<>();
        List<Job> all = new ArrayList<>(clusterState.jobs());
        all.sort(Comparator.comparing((Job j) -> j.submittedAt).thenComparing(Job::id));
        for (Job job : all) {
            Settings.Team team = settings.teams().get(job.spec().team());
            if (team != null && !job.isCancelled() && (job.keySetHold == null || !job.record.live.isEmpty())) {
                double[] sum = sums.computeIfAbsent(team.name(), k -> new double[2]);
                sum[0] += job.spec().tasks() * job.spec().cpus();
                sum[1] += job.spec().tasks() * job.spec().gpus();
                job.withinGuarantee =
                        sum[0] <= team.cpus() + QUOTA_TOLERANCE && sum[1] <= team.gpus() + QUOTA_TOLERANCE;
            }
        }
    }

    /** Returns the waiting jobs by rank (priority, then quota), then release order, then the time by which they should start. */
    List<Job> waitingJobsByObjective() {
        record Ranked(Job job, long shipKey, long startByMs) {}
        markWithinQuota();
        List<Ranked> ranked = new ArrayList<>();
        for (Job job : clusterState.jobs()) {
            if (!job.isCancelled() && job.keySetHold == null && job.record.waitingCount() > 0) {
                ranked.add(new Ranked(job, releaseOrderKey(job), startByMs(job)));
            }
        }
        ranked.sort(Comparator.comparingInt((Ranked r) -> rank(r.job))
                .thenComparingLong(Ranked::shipKey)
                .thenComparingLong(Ranked::startByMs));
        return ranked.stream().map(Ranked::job).toList();
    }

    /** Reorders the jobs listed in {@code preferred} among the positions that they occupy in the list, then sorts all by rank. */
    static List<Job> withPreferredOrder(List<Job> list, List<JobId> preferred) {
        if (preferred.isEmpty()) {
            return list;
        }
        Map<JobId, Job> waiting = new HashMap<>();
        list.forEach(j -> waiting.put(j.id(), j));
        Set<JobId> searched = new HashSet<>(preferred);
        var next = preferred.stream().filter(waiting::containsKey).iterator();
        List<Job> out = new ArrayList<>(list.size());
        for (Job j : list) {
            out.add(searched.contains(j.id()) ? waiting.get(next.next()) : j);
        }
        out.sort(Comparator.comparingInt(JobOrdering::rank));
        return out;
    }

    /**
     * Returns the job's rank. Lower ranks are planned first, and the search never changes the order of ranks. Higher priority comes
     * first, and jobs within their team's quota come before those beyond it. Prioritized jobs, whose class or team is below its
     * minimum service share, come before all others; {@link MinimumServiceShare} prioritizes no job over another team's guaranteed
     * quota. Jobs that are shed under overload come last.
     */
    static int rank(Job job) {
        if (job.prioritized) {
            return PRIORITIZED_RANK;
        }
        if (job.shed) {
            return SHED_RANK;
        }
        return baseRank(job);
    }

    /** Returns the rank by priority and quota alone, without regard to prioritization and load shedding. */
    static int baseRank(Job job) {
        return 2 * job.spec().priority().ordinal() + (job.withinGuarantee ? 0 : 1);
    }
}
