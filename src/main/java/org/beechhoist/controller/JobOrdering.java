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
import org.beechhoist.release.ShipOrder;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;

/** In which order waiting jobs are planned: by urgency and guarantee, then by what is promised of them. */
final class JobOrdering {
    /** How long a job may wait that no objective speaks for, or none any more. */
    private static final long NO_OBJECTIVE_MS = 300_000;
    /** Rooms are not free to the second that the plan says. */
    private static final long BEGIN_MARGIN_MS = 30_000;

    private static final int FIRST = -1;
    private static final int LAST = Integer.MAX_VALUE;
    /** A job that is late by less than this may still be in time, for lengths are guesses. */
    private static final long GUESSED_MS = 3000;

    private static final double SERVED_TIMES = 1.5;

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

    /** The release calendar's order and moments; without it jobs go as if there were no releases. */
    void releases(ReleaseController desk) {
        releases = desk;
    }

    /** Its place among jobs of its rank, for its release's sake. */
    long shipKey(Job job) {
        return releases == null ? ShipOrder.NONE : releases.key(job);
    }

    /** When the job's waiting tasks should begin, for the first of its objectives that can still be met; the largest too begin in four minutes. */
    long latestStart(Job job) {
        long latest = objective(job);
        Long ships = releases == null ? null : releases.dueMs(job);
        if (ships != null) {
            latest =
                    stillOpen(latest, context.now().ms() + ships - context.wallMs() - estimates.expectedMs(job.spec()));
        }
        return job.hasBegun()
                ? latest
                : stillOpen(latest, job.submittedAt.ms() + StarvingJobSelector.BEGIN_WITHIN_MS - BEGIN_MARGIN_MS);
    }

    private long objective(Job job) {
        long length = estimates.expectedMs(job.spec());
        long from = job.submittedAt.ms();
        long latest = Math.max(from, context.now().ms()) + NO_OBJECTIVE_MS;
        if (job.spec().deadlineS() != null) {
            latest = stillOpen(latest, from + Math.round(1000 * job.spec().deadlineS()) - length);
        }
        for (Settings.Objective objective : settings.objectives()) {
            if (job.spec().jobClass().equals(objective.jobClass())) {
                switch (objective.kind()) {
                    case "finished" ->
                        latest = stillOpen(latest, from + Math.round(1000 * objective.withinS()) - length);
                    case "wait" -> latest = stillOpen(latest, from + Math.round(1000 * objective.withinS()));
                    case "deadline" -> {
                        if (job.spec().deadlineS() != null) {
                            latest = stillOpen(
                                    latest,
                                    from
                                            + Math.round(1000
                                                    * objective.times()
                                                    * job.spec().deadlineS())
                                            - length);
                        }
                    }
                    default -> {}
                }
            } else if (objective.kind().equals("guarantee") && job.withinQuota) {
                latest = stillOpen(latest, from + Math.round(1000 * objective.withinS()));
            }
        }
        return latest;
    }

    boolean objectiveOpen(Job job) {
        return shipKey(job) != ShipOrder.NONE
                || objective(job) < Math.max(job.submittedAt.ms(), context.now().ms()) + NO_OBJECTIVE_MS;
    }

    private long stillOpen(long latest, long candidate) {
        return candidate + GUESSED_MS < context.now().ms() ? latest : Math.min(latest, candidate);
    }

    /** By when the job counts as served, from its submission on: the last of what its class is promised, or 1.5 times its deadline. */
    long servedWithinMs(JobSpec spec) {
        double most = spec.deadlineS() == null ? 0 : SERVED_TIMES * spec.deadlineS();
        for (Settings.Objective objective : settings.objectives()) {
            if (objective.kind().equals("finished") && spec.jobClass().equals(objective.jobClass())) {
                most = Math.max(most, objective.withinS());
            }
        }
        return most == 0 ? NO_OBJECTIVE_MS : Math.round(1000 * most);
    }

    /** The first moment by which the job is to be over that it can still meet, or null: all are missed, or there is none. */
    Long overBy(Job job) {
        long least = context.now().ms() + estimates.expectedMs(job.spec()) - GUESSED_MS;
        Long first = null;
        for (long within : overWithinMs(job.spec())) {
            long due = job.submittedAt.ms() + within;
            first = due >= least && (first == null || due < first) ? Long.valueOf(due) : first;
        }
        return first;
    }

    /** Whether it is promised at all by when the job is over. */
    boolean hasEnd(JobSpec spec) {
        return !overWithinMs(spec).isEmpty();
    }

    private List<Long> overWithinMs(JobSpec spec) {
        List<Long> out = new ArrayList<>();
        if (spec.deadlineS() != null) {
            out.add(Math.round(1000 * spec.deadlineS()));
            out.add(Math.round(1000 * SERVED_TIMES * spec.deadlineS()));
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
     * Under overload a promise of a start would have every job begun and none ended, the newest first: what counts is by when
     * it must begin to be over in time.
     */
    private long beginBy(Job job) {
        Long due = overloaded ? overBy(job) : null;
        return due == null ? latestStart(job) : due - estimates.expectedMs(job.spec());
    }

    void overloaded(boolean is) {
        overloaded = is;
    }

    /** How long it waits for a machine at the lowest price; for a release not at all: one of a later date would begin in its place. */
    long patience(Job job) {
        return shipKey(job) != ShipOrder.NONE
                ? 0
                : Math.round(policy.patience()
                        * Math.max(0, latestStart(job) - context.now().ms()));
    }

    private void markGuaranteed() {
        Map<String, double[]> sums = new HashMap<>();
        List<Job> all = new ArrayList<>(clusterState.jobs());
        all.sort(Comparator.comparing((Job j) -> j.submittedAt).thenComparing(Job::id));
        for (Job job : all) {
            Settings.Team team = settings.teams().get(job.spec().team());
            if (team != null && !job.isCancelled() && (job.keySetHold == null || !job.record.live.isEmpty())) {
                double[] sum = sums.computeIfAbsent(team.name(), k -> new double[2]);
                sum[0] += job.spec().tasks() * job.spec().cpus();
                sum[1] += job.spec().tasks() * job.spec().gpus();
                job.withinQuota = sum[0] <= team.cpus() + 1e-6 && sum[1] <= team.gpus() + 1e-6;
            }
        }
    }

    /** The waiting jobs: more urgent first, then what is guaranteed, then by when they should begin. */
    List<Job> byObjective() {
        record Ranked(Job job, long ships, long latest) {}
        markGuaranteed();
        List<Ranked> ranked = new ArrayList<>();
        for (Job job : clusterState.jobs()) {
            if (!job.isCancelled() && job.keySetHold == null && job.record.waitingCount() > 0) {
                ranked.add(new Ranked(job, shipKey(job), beginBy(job)));
            }
        }
        ranked.sort(Comparator.comparingInt((Ranked r) -> rank(r.job))
                .thenComparingLong(Ranked::ships)
                .thenComparingLong(Ranked::latest));
        return ranked.stream().map(Ranked::job).toList();
    }

    /** The jobs that the last search placed keep its order among themselves, in the places that are theirs. */
    static List<Job> arranged(List<Job> list, List<JobId> preferred) {
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
     * More urgent work first, and what a team is guaranteed before what it borrows: no search may trade that. What is lifted
     * for its class's or team's half comes before all; {@link MinimumServiceShare} lifts nothing over another team's guarantee. What is
     * left behind under overload comes after all.
     */
    static int rank(Job job) {
        if (job.prioritized) {
            return FIRST;
        }
        if (job.shed) {
            return LAST;
        }
        return usualRank(job);
    }

    static int usualRank(Job job) {
        return 2 * job.spec().priority().ordinal() + (job.withinQuota ? 0 : 1);
    }
}
