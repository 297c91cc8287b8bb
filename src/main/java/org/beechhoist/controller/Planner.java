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
 * Decides when a new plan is made and runs a random search for better job orders and elastic widths between plans. The larger
 * the plans are, the less often they are made.
 */
final class Planner {
    private static final Logger LOG = LoggerFactory.getLogger(Planner.class);
    /** Shortest pause between plans. */
    private static final long MIN_PAUSE_MS = 100;
    /** The number of gaps searched for a plan that lengthens the pause after it by one millisecond. */
    private static final long SEARCHED_GAPS_PER_PAUSE_MS = 400;
    /** Longest extension of the pause when inputs are processed late. It is bounded because no task starts without a plan. */
    private static final long MAX_LAG_PAUSE_MS = 1500;
    /** Added to each team's usage, so that a team that has used nothing yet doesn't outweigh all others. */
    private static final double BASE_TEAM_USAGE = 0.05;

    private final ControllerContext context;
    private final Settings settings;
    private final Policy policy;
    private final SplittableRandom random;
    private final ClusterState clusterState;
    private final DurationEstimates estimates;
    private final JobOrdering ordering;
    private final ElasticWidths elastic;
    private final PlanBuilder builder;
    private MonotonicTime nextPlanAt = MonotonicTime.ZERO;
    private Plan plan;
    private RandomSearch<SearchCandidate> search;
    private MonotonicTime nextSearchAt = MonotonicTime.ZERO;
    private MonotonicTime searchEndsAt = MonotonicTime.ZERO;
    /** The best candidate of the last search, applied to those of its jobs that are still waiting. */
    private SearchCandidate preferredCandidate = SearchCandidate.NONE;

    private long searchSteps;
    private long searchMovesKept;

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

    /** Discards the search of the previous term when a new term begins. */
    void startTerm() {
        search = null;
        preferredCandidate = SearchCandidate.NONE;
    }

    /** Discards the plan and the search when the term ends. */
    void endTerm() {
        search = null;
        plan = null;
    }

    /** Returns whether a new plan was requested and the pause after the last one is over. */
    boolean isPlanDue() {
        return clusterState.replanRequested() && !context.now().isBefore(nextPlanAt);
    }

    /** Makes a new plan and returns it. */
    Plan createPlan() {
        clusterState.markReplanned();
        plan = builder.build(orderedWaitingJobs(), preferredCandidate.fixedWidths());
        return plan;
    }

    /** Sets the earliest time of the next plan; called once the tasks of the current one have been placed. */
    void startPause() {
        nextPlanAt = context.now().plusMs(pauseMs(plan));
    }

    /** Returns the time at which all tasks of the job end by the newest plan, or null for a service or if a task is not placed. */
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

    /** Returns whether a new plan or a search step is pending; it is due at {@link #nextWorkAt}. */
    boolean hasPendingWork() {
        return clusterState.replanRequested() || search != null;
    }

    /** Returns the time of the next plan or search step. */
    MonotonicTime nextWorkAt() {
        return search != null ? context.now().plusMs(1) : nextPlanAt;
    }

    /** Returns the number of steps of all completed searches. */
    long searchSteps() {
        return searchSteps;
    }

    /** Returns the number of moves kept by all completed searches. */
    long searchMovesKept() {
        return searchMovesKept;
    }

    /** Runs one step of the periodic search if a search is due; other inputs are processed between steps. */
    void runSearchStep() {
        if (search == null) {
            if (context.now().isBefore(nextSearchAt) || policy.searchIterations() == 0) {
                return;
            }
            startSearch();
        }
        if (search.finished() || !context.now().isBefore(searchEndsAt)) {
            finishSearch();
            return;
        }
        search.step();
    }

    private void startSearch() {
        nextSearchAt = context.now().plusMs(policy.searchEveryMs());
        searchEndsAt = context.now().plusMs(policy.searchMs());
        // Jobs with an open objective keep their order: measurements showed that searching over them uses up the
        // slack that objectives need. The search orders the other jobs by wait, slowdown and fairness.
        List<JobId> reorderable = orderedWaitingJobs().stream()
                .filter(j -> !ordering.hasOpenObjective(j))
                .map(Job::id)
                .toList();
        SearchCandidate start = startCandidate(reorderable);
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
        searchMovesKept += search.acceptedCount();
        if (search.acceptedCount() > 0) {
            preferredCandidate = search.best();
            clusterState.requestReplan();
            LOG.debug(
                    "plan search finished: moves_kept={} moves_tried={}", search.acceptedCount(), search.triedCount());
        } else if (!preferredCandidate.fixedWidths().isEmpty()) {
            preferredCandidate = preferredCandidate.withoutFixedWidths(); // the next plan chooses the widths again
            clusterState.requestReplan();
        }
        search = null;
    }

    /** Returns the candidate from which the search starts: the given jobs, and the elastic jobs that may widen. */
    private SearchCandidate startCandidate(List<JobId> reorderable) {
        List<JobId> elasticJobs = new ArrayList<>();
        Map<JobId, Integer> maxWidths = new HashMap<>();
        for (Job job : clusterState.jobs()) {
            if (job.record.width != null
                    && elastic.wideningOptions(job, elastic.regularWaitingCount(job), null) != null) {
                elasticJobs.add(job.id());
                maxWidths.put(
                        job.id(),
                        Math.min(job.record.width.allowed().max(), job.spec().tasks()));
            }
        }
        return new SearchCandidate(reorderable, elasticJobs, maxWidths, Map.of());
    }

    /** Builds a plan for the candidate and evaluates it. */
    private Evaluation evaluate(SearchCandidate candidate) {
        List<Job> jobs = JobOrdering.withPreferredOrder(ordering.waitingJobsByObjective(), candidate.jobOrder());
        Map<JobId, Evaluation.JobTiming> timings = new HashMap<>();
        for (Job job : jobs) {
            timings.put(
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
            usage.put(team, BASE_TEAM_USAGE + clusterState.teamCpuMs().getOrDefault(team, 0.0) / totalCpuMs);
        }
        return Evaluation.of(builder.build(jobs, candidate.fixedWidths()), timings, usage);
    }

    /** Returns the pause after a plan, which grows with the size of the plan and with the lag of this node's input processing. */
    private long pauseMs(Plan plan) {
        return MIN_PAUSE_MS
                + plan.gapSearches() / SEARCHED_GAPS_PER_PAUSE_MS
                + Math.min(MAX_LAG_PAUSE_MS, context.lagMs());
    }

    /** Returns the newest plan, or null if there is none. */
    Plan currentPlan() {
        return plan;
    }

    /** Returns the waiting jobs by objective, reordered by the best candidate of the last search. */
    private List<Job> orderedWaitingJobs() {
        return JobOrdering.withPreferredOrder(ordering.waitingJobsByObjective(), preferredCandidate.jobOrder());
    }
}
