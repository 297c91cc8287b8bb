package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Job;
import org.beechhoist.plan.Evaluation;
import org.beechhoist.plan.Plan;
import org.beechhoist.plan.RandomSearch;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides when a new plan is made, the less often the larger plans are, and runs a random search for better job orders and
 * elastic widths in between.
 */
final class Planner {
    private static final Logger LOG = LoggerFactory.getLogger(Planner.class);
    /** Shortest pause between plans. */
    private static final long MIN_PAUSE_MS = 100;
    /** Number of searched gaps in a plan that lengthens the pause after it by one millisecond. */
    private static final long FITS_PER_MS = 400;
    /** Longest extension of the pause when inputs are processed late: without plans nothing would start. */
    private static final long MAX_LAG_PAUSE_MS = 1500;
    /** Added to each team's usage, so that a team that has used nothing yet doesn't outweigh all others. */
    private static final double MIN_USAGE = 0.05;

    private final ControllerContext context;
    private final Settings settings;
    private final Policy policy;
    private final SplittableRandom random;
    private final ClusterState clusterState;
    private final DurationEstimates estimates;
    private final JobOrdering ordering;
    private final ElasticWidths elastic;
    private final PlanBuilder builder;
    private MonotonicTime nextPlan = MonotonicTime.ZERO;
    private Plan plan;
    private RandomSearch<SearchCandidate> search;
    private MonotonicTime nextSearch = MonotonicTime.ZERO;
    private MonotonicTime searchEnds = MonotonicTime.ZERO;
    /** Best arrangement of the last search, applied to those of its jobs that still wait. */
    private SearchCandidate preferred = SearchCandidate.NONE;

    private long searchSteps;
    private long searchKept;

    Planner(WorkerComponents workers, Policy policy, SplittableRandom random, PlanBuilder builder) {
        this.context = workers.services.context();
        this.settings = workers.services.settings();
        this.policy = policy;
        this.random = random;
        this.clusterState = workers.clusterState;
        this.estimates = workers.estimates;
        this.ordering = workers.jobOrdering;
        this.elastic = workers.elasticWidths;
        this.builder = builder;
    }

    /** Forgets the search of an earlier term when a new one begins. */
    void startTerm() {
        search = null;
        preferred = SearchCandidate.NONE;
    }

    /** Forgets the plan and the search when the term ends. */
    void endTerm() {
        search = null;
        plan = null;
    }

    /** Returns whether a new plan was requested and the pause after the last one is over. */
    boolean isPlanDue() {
        return clusterState.replanRequested() && !context.now().isBefore(nextPlan);
    }

    /** Makes a new plan and returns it. */
    Plan createPlan() {
        clusterState.markReplanned();
        plan = builder.build(ordered(), preferred.fixedWidths());
        return plan;
    }

    /** Sets the earliest time of the next plan, once the current one has been acted on. */
    void startPause() {
        nextPlan = context.now().plusMs(pause(plan));
    }

    /** Returns when the newest plan has all of the job's tasks ended, or null if it doesn't place them all or has no end. */
    Long plannedEnd(Job job) {
        if (plan == null || job.spec().isService() || plan.unplacedCount(job.id()) > 0) {
            return null;
        }
        long end = 0;
        int waiting = 0;
        for (Plan.Reservation reservation : plan.reservations()) {
            if (reservation.job().equals(job.id())) {
                waiting++;
                end = Math.max(end, reservation.endMs());
            }
        }
        for (Placement placement : job.record.live.values()) {
            end = Math.max(end, estimates.expectedEnd(placement, context.now()).ms());
        }
        return waiting + job.record.live.size() + job.record.done.size()
                        < job.spec().tasks()
                ? null
                : end;
    }

    /** Returns whether a plan or a step of the search is to follow, at {@link #nextWorkAt}. */
    boolean hasPendingWork() {
        return clusterState.replanRequested() || search != null;
    }

    /** Returns when the next plan or step of the search is to be made. */
    MonotonicTime nextWorkAt() {
        return search != null ? context.now().plusMs(1) : nextPlan;
    }

    /** Returns the number of steps of all searches that have ended. */
    long searchSteps() {
        return searchSteps;
    }

    /** Returns the number of moves that the searches that have ended kept. */
    long searchMovesKept() {
        return searchKept;
    }

    /** Makes one step of the periodic search if it is time for one; other inputs are processed between steps. */
    void runSearchStep() {
        if (search == null) {
            if (context.now().isBefore(nextSearch) || policy.searchIterations() == 0) {
                return;
            }
            startSearch();
        }
        if (search.finished() || !context.now().isBefore(searchEnds)) {
            finishSearch();
            return;
        }
        search.step();
    }

    private void startSearch() {
        nextSearch = context.now().plusMs(policy.searchEveryMs());
        searchEnds = context.now().plusMs(policy.searchMs());
        // An open objective decides a job's order: measurements showed that searching over such jobs uses up the
        // slack that objectives need. The search orders the others by waits, slowdown and fairness.
        List<JobId> free = ordered().stream()
                .filter(j -> !ordering.hasOpenObjective(j))
                .map(Job::id)
                .toList();
        SearchCandidate start = arrangement(free);
        search = new RandomSearch<>(
                start,
                SearchCandidate::randomNeighbor,
                this::evaluate,
                policy.weights(),
                start.hasMoves() ? policy.searchIterations() : 0,
                random);
    }

    private void finishSearch() {
        searchSteps += search.triedCount();
        searchKept += search.acceptedCount();
        if (search.acceptedCount() > 0) {
            preferred = search.best();
            clusterState.requestReplan();
            LOG.debug("search kept {} of {} moves", search.acceptedCount(), search.triedCount());
        } else if (!preferred.fixedWidths().isEmpty()) {
            preferred = preferred.withoutFixedWidths(); // the plan chooses the widths again
            clusterState.requestReplan();
        }
        search = null;
    }

    /** Returns the arrangement from which the search starts: the given jobs and the elastic jobs that may widen. */
    private SearchCandidate arrangement(List<JobId> free) {
        List<JobId> wide = new ArrayList<>();
        Map<JobId, Integer> widest = new HashMap<>();
        for (Job job : clusterState.jobs()) {
            if (job.record.width != null
                    && elastic.wideningOptions(job, elastic.regularWaitingCount(job), null) != null) {
                wide.add(job.id());
                widest.put(
                        job.id(),
                        Math.min(job.record.width.allowed().max(), job.spec().tasks()));
            }
        }
        return new SearchCandidate(free, wide, widest, Map.of());
    }

    /** Builds a plan for the arrangement and evaluates it. */
    private Evaluation evaluate(SearchCandidate arrangement) {
        List<Job> list = JobOrdering.withPreferredOrder(ordering.waitingJobsByObjective(), arrangement.jobOrder());
        Map<JobId, Evaluation.JobTiming> facts = new HashMap<>();
        for (Job job : list) {
            facts.put(
                    job.id(),
                    new Evaluation.JobTiming(
                            job.spec().team(),
                            job.submittedAt.ms(),
                            ordering.latestStartMs(job),
                            estimates.expectedMs(job.spec())));
        }
        Map<String, Double> usage = new HashMap<>();
        double totalCpuMs = Math.max(
                1,
                clusterState.teamCpuMs().values().stream()
                        .mapToDouble(Double::doubleValue)
                        .sum());
        for (String team : settings.teams().keySet()) {
            usage.put(team, MIN_USAGE + clusterState.teamCpuMs().getOrDefault(team, 0.0) / totalCpuMs);
        }
        return Evaluation.of(builder.build(list, arrangement.fixedWidths()), facts, usage);
    }

    /** Returns the pause after a plan: the larger the plan, and the later this node processes its inputs, the longer. */
    private long pause(Plan plan) {
        return MIN_PAUSE_MS + plan.gapSearches() / FITS_PER_MS + Math.min(MAX_LAG_PAUSE_MS, context.lagMs());
    }

    /** Returns the newest plan, or null. */
    Plan currentPlan() {
        return plan;
    }

    /** Returns the waiting jobs by objective, with the order that the last search preferred. */
    private List<Job> ordered() {
        return JobOrdering.withPreferredOrder(ordering.waitingJobsByObjective(), preferred.jobOrder());
    }
}
