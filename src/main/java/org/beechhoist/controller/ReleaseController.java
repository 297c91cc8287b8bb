package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Job;
import org.beechhoist.release.Calibration;
import org.beechhoist.release.Forecast;
import org.beechhoist.release.Release;
import org.beechhoist.release.ReleaseOrder;
import org.beechhoist.release.Releases;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's part of the release calendar: orders jobs by their releases, counts the finished work of each release and forecasts
 * its end.
 */
final class ReleaseController {
    /** Finished jobs, tasks and CPU seconds of each release, and when its last job ended. Written periodically; may be outdated. */
    static final String TALLIES_KEY = "rl/tally";
    /** Jobs whose order was affected by the last change of a release. */
    static final String REORDERED_PREFIX = "rl/moved/";

    private static final Logger LOG = LoggerFactory.getLogger(ReleaseController.class);
    private static final long FORECAST_INTERVAL_MS = 5000;
    private static final long TALLY_WRITE_INTERVAL_MS = 15_000;
    private static final double MIN_FREE_WRITE_TOKENS_FRACTION = 0.5;
    private static final int MAX_LISTED_JOB_COUNT = 50;
    private static final int MAX_STORED_TALLY_COUNT = 150;
    /** Maximum number of forecasts per release that are kept to be compared with the actual end. */
    private static final int MAX_PENDING_FORECAST_COUNT = 8;

    private static final long PENDING_FORECAST_INTERVAL_MS = 30_000;
    /** Field of the calibration ratios in the tally record; not a valid name of a release. */
    private static final String RATIOS_FIELD = "~forecasts";

    private record Tally(int jobs, int tasks, double cpuS, long lastEndMs) {}

    private final ControllerContext context;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final ClusterState clusterState;
    private final DurationEstimates estimates;
    private final Admission admission;
    /** Null if the release calendar is disabled. */
    private final ReleaseRegistry registry;

    private Map<JobId, Long> orderKeys = Map.of();
    private final Map<String, Tally> tallies = new TreeMap<>();
    private final Map<String, String> risks = new HashMap<>();
    private final Calibration calibration = new Calibration();
    /** By release name: pairs of the wall-clock time of a forecast and the planned end. */
    private final Map<String, List<long[]>> pendingForecasts = new HashMap<>();

    private boolean tallyLoaded;
    private boolean tallyDirty;
    private NextRuns nextRuns = new NextRuns();

    /** Times of the next periodic actions. */
    private static final class NextRuns {
        private long forecastMs;
        private long tallyWriteMs;
    }

    ReleaseController(
            ControllerContext context,
            StoreClient store,
            LeaderElection election,
            TokenBucket requests,
            TokenBucket writes,
            ClusterState clusterState,
            DurationEstimates estimates,
            Admission admission,
            ReleaseRegistry registry) {
        this.context = context;
        this.store = store;
        this.election = election;
        this.requests = requests;
        this.writes = writes;
        this.clusterState = clusterState;
        this.estimates = estimates;
        this.admission = admission;
        this.registry = registry;
    }

    /** Resets all state at the start of a term. */
    void startTerm() {
        orderKeys = Map.of();
        tallies.clear();
        risks.clear();
        calibration.clear();
        pendingForecasts.clear();
        tallyLoaded = false;
        tallyDirty = false;
        nextRuns = new NextRuns();
    }

    private boolean hasReleases() {
        return registry != null && !registry.snapshot().isEmpty();
    }

    // ---- job order ----

    /** Computes the order of all open jobs before each plan, from stored data only. */
    void updateOrder() {
        orderKeys = hasReleases() ? computeOrderKeys(registry.snapshot()) : Map.of();
    }

    private Map<JobId, Long> computeOrderKeys(Releases currentReleases) {
        List<ReleaseOrder.OpenJob> open = new ArrayList<>();
        for (Job job : clusterState.jobs()) {
            if (!job.isCancelled()) {
                job.release = currentReleases.releaseOf(job.spec());
                open.add(new ReleaseOrder.OpenJob(
                        job.id(),
                        job.release,
                        job.record.submittedWallMs,
                        job.spec().tasks()
                                * job.spec().cpus()
                                * Math.max(1, job.spec().estimateS())));
            }
        }
        return ReleaseOrder.sortKeys(open, context.wallMs());
    }

    /** Returns the job's sort key, lower first; {@link ReleaseOrder#NO_KEY} for a job that is not ordered by a release. */
    long orderKey(Job job) {
        return orderKeys.getOrDefault(job.id(), ReleaseOrder.NO_KEY);
    }

    /** Returns the wall-clock due time of the job's release, or null. */
    Long dueMs(Job job) {
        return job.release == null || !hasReleases() ? null : Long.valueOf(job.release.dueMs());
    }

    /**
     * Handles a change of a release: computes the order again and stores which waiting jobs changed places. The author of the change is
     * in the release's history.
     */
    void handleReleaseChange(Release before, Release now) {
        Map<JobId, Long> previous = orderKeys;
        updateOrder();
        clusterState.requestReplan();
        Release release = now != null ? now : before;
        if (release == null) {
            return;
        }
        List<JobId> reorderedJobs = new ArrayList<>();
        for (Job job : clusterState.jobs()) {
            if (job.record.waitingCount() > 0
                    && !previous.getOrDefault(job.id(), ReleaseOrder.NO_KEY).equals(orderKey(job))) {
                reorderedJobs.add(job.id());
            }
        }
        LOG.info(
                "release changed: release={} status={} ship={} zone={} reorderedJobs={}",
                release.name(),
                now == null || now.removed() ? "removed" : "stands",
                release.ship(),
                release.zone(),
                reorderedJobs.size());
        ObjectNode value = Codec.map().put("number", release.changeNumber()).put("jobs", reorderedJobs.size());
        ArrayNode firstJobs = value.putArray("first");
        reorderedJobs.stream().sorted().limit(MAX_LISTED_JOB_COUNT).forEach(m -> firstJobs.add(m.text()));
        commitHint(election.guardedTransaction().put(REORDERED_PREFIX + release.name(), value));
    }

    private void commitHint(Transaction transaction) {
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), 1);
        store.commit(transaction, c -> {}); // a failure is ignored: the next change writes again
    }

    // ---- progress and forecasts ----

    /** Counts a finished job for its release. */
    void recordEndedJob(Job job) {
        Release release =
                hasReleases() && !job.isCancelled() ? registry.snapshot().releaseOf(job.spec()) : null;
        if (release != null) {
            Tally tally = tallies.getOrDefault(release.name(), new Tally(0, 0, 0, 0));
            tallies.put(
                    release.name(),
                    new Tally(
                            tally.jobs + 1,
                            tally.tasks + job.spec().tasks(),
                            tally.cpuS
                                    + job.spec().tasks()
                                            * job.spec().cpus()
                                            * estimates.expectedMs(job.spec())
                                            / 1000.0,
                            context.wallMs()));
            tallyDirty = true;
        }
    }

    /** Updates the forecasts and writes the tallies; runs periodically. */
    void updateForecasts(Planner planner) {
        if (!hasReleases()) {
            return;
        }
        if (!tallyLoaded) {
            readTally();
        }
        if (context.now().ms() >= nextRuns.forecastMs) {
            nextRuns.forecastMs = context.now().ms() + FORECAST_INTERVAL_MS;
            Map<String, List<Job>> jobs = openJobsByRelease();
            for (Release release : registry.snapshot().all()) {
                List<Job> open = jobs.getOrDefault(release.name(), List.of());
                recordPlannedEnd(release, open, plannedEnd(open, planner));
                Forecast forecast = forecast(release, open, planner);
                String previous = risks.put(release.name(), forecast.risk() == null ? "" : forecast.risk());
                if (forecast.risk() != null && (previous == null || previous.isEmpty())) {
                    LOG.warn(
                            "release at risk: release={} maker={} risk={} dueInS={}",
                            release.name(),
                            release.maker(),
                            forecast.risk(),
                            (release.dueMs() - context.wallMs()) / 1000);
                }
            }
        }
        if (tallyDirty
                && tallyLoaded
                && context.now().ms() >= nextRuns.tallyWriteMs
                && writes.available(context.now()) >= MIN_FREE_WRITE_TOKENS_FRACTION * writes.capacity()) {
            nextRuns.tallyWriteMs = context.now().ms() + TALLY_WRITE_INTERVAL_MS;
            tallyDirty = false;
            commitHint(election.guardedTransaction().put(TALLIES_KEY, tallyNode()));
        }
    }

    /** Keeps the planned end until the last job of the release has ended, and then compares it with the actual end. */
    private void recordPlannedEnd(Release release, List<Job> open, long plannedEndMs) {
        List<long[]> pending = pendingForecasts.computeIfAbsent(release.name(), k -> new ArrayList<>());
        if (open.isEmpty()) {
            Tally tally = tallies.get(release.name());
            if (tally != null && !pending.isEmpty()) {
                pending.forEach(s -> calibration.addOutcome(s[0], s[1], tally.lastEndMs));
                tallyDirty = true;
            }
            pending.clear();
        } else if (plannedEndMs > 0
                && pending.size() < MAX_PENDING_FORECAST_COUNT
                && (pending.isEmpty()
                        || context.wallMs() - pending.get(pending.size() - 1)[0] >= PENDING_FORECAST_INTERVAL_MS)) {
            pending.add(new long[] {context.wallMs(), plannedEndMs});
        }
    }

    private ObjectNode tallyNode() {
        ObjectNode node = Codec.map();
        ArrayNode ratios = node.putArray(RATIOS_FIELD);
        calibration.ratios().forEach(x -> ratios.add(Math.round(100 * x)));
        tallies.entrySet().stream()
                .sorted(Comparator.comparingLong(e -> -e.getValue().lastEndMs))
                .limit(MAX_STORED_TALLY_COUNT)
                .forEach(entry -> node.putArray(entry.getKey())
                        .add(entry.getValue().jobs)
                        .add(entry.getValue().tasks)
                        .add(Math.round(entry.getValue().cpuS))
                        .add(entry.getValue().lastEndMs));
        return node;
    }

    private void readTally() {
        tallyLoaded = true;
        long term = clusterState.term();
        requests.takeOrOverdraw(context.now(), 1);
        store.get(TALLIES_KEY, read -> {
            if (term != clusterState.term()) {
                return;
            }
            if (!read.answered()) {
                tallyLoaded = false;
                return;
            }
            if (read.item() != null) {
                for (Map.Entry<String, JsonNode> entry : read.item().value().properties()) {
                    JsonNode row = entry.getValue();
                    if (entry.getKey().equals(RATIOS_FIELD)) {
                        row.forEach(x -> calibration.addRatio(x.asDouble() / 100));
                        continue;
                    }
                    Tally tally = tallies.getOrDefault(entry.getKey(), new Tally(0, 0, 0, 0));
                    tallies.put(
                            entry.getKey(),
                            new Tally(
                                    tally.jobs + row.path(0).asInt(),
                                    tally.tasks + row.path(1).asInt(),
                                    tally.cpuS + row.path(2).asDouble(),
                                    Math.max(tally.lastEndMs, row.path(3).asLong())));
                }
            }
        });
    }

    private Map<String, List<Job>> openJobsByRelease() {
        Map<String, List<Job>> jobsByRelease = new LinkedHashMap<>();
        for (Job job : clusterState.jobs()) {
            Release release = job.isCancelled() ? null : registry.snapshot().releaseOf(job.spec());
            if (release != null) {
                jobsByRelease
                        .computeIfAbsent(release.name(), k -> new ArrayList<>())
                        .add(job);
            }
        }
        return jobsByRelease;
    }

    /** Returns the wall-clock time at which the last planned job ends; 0 if none is planned. */
    private long plannedEnd(List<Job> jobs, Planner planner) {
        long end = 0;
        for (Job job : jobs) {
            Long planned = job.keySetHold != null ? null : planner.plannedEnd(job);
            end = planned == null
                    ? end
                    : Math.max(end, context.wallMs() + planned - context.now().ms());
        }
        return end;
    }

    private Forecast forecast(Release release, List<Job> jobs, Planner planner) {
        int held = 0;
        int unplanned = 0;
        boolean limited = false;
        long longest = 0;
        Map<String, double[]> used = clusterState.teamResourceUsage();
        for (Job job : jobs) {
            held += job.keySetHold != null ? 1 : 0;
            longest = Math.max(longest, estimates.expectedMs(job.spec()));
            limited |= job.record.waitingCount() > 0 && admission.exceedsTeamLimit(job, used);
            Long planned = job.keySetHold != null ? null : planner.plannedEnd(job);
            if (planned == null) {
                unplanned += job.keySetHold != null
                        ? 0
                        : Math.max(
                                1,
                                planner.currentPlan() == null
                                        ? job.record.waitingCount()
                                        : planner.currentPlan().unplacedCount(job.id()));
            }
        }
        long plannedEndMs = plannedEnd(jobs, planner);
        long end = plannedEndMs == 0 ? 0 : calibration.medianEndMs(context.wallMs(), plannedEndMs);
        return Forecast.of(
                new Forecast.Inputs(jobs.size(), held, unplanned, limited, end, longest),
                release.dueMs(),
                context.wallMs());
    }

    /** Returns for each release the requested, done, running and waiting work and the forecast, based on the current plan. */
    ArrayNode view(Planner planner) {
        ArrayNode rows = Codec.list();
        Map<String, List<Job>> jobs = openJobsByRelease();
        for (Release release : registry.snapshot().all().stream()
                .sorted(Comparator.comparingLong(Release::dueMs).thenComparing(Release::name))
                .toList()) {
            rows.add(viewOf(release, jobs.getOrDefault(release.name(), List.of()), planner));
        }
        return rows;
    }

    private ObjectNode viewOf(Release release, List<Job> jobs, Planner planner) {
        Tally tally = tallies.getOrDefault(release.name(), new Tally(0, 0, 0, 0));
        int done = tally.tasks;
        int running = 0;
        int waiting = 0;
        double doneS = tally.cpuS;
        double runningS = 0;
        double waitingS = 0;
        for (Job job : jobs) {
            double cpuSPerTask = job.spec().cpus() * estimates.expectedMs(job.spec()) / 1000.0;
            done += job.record.done.size();
            doneS += cpuSPerTask * job.record.done.size();
            running += job.record.live.size();
            runningS += cpuSPerTask * job.record.live.size();
            waiting += job.record.waitingCount();
            waitingS += cpuSPerTask * job.record.waitingCount();
        }
        Forecast forecast = forecast(release, jobs, planner);
        ObjectNode node = Codec.map()
                .put("name", release.name())
                .put("maker", release.maker())
                .put("ship", release.ship().toString())
                .put("zone", release.zone().getId())
                .put("due", release.dueMs())
                .put("dueInS", (release.dueMs() - context.wallMs()) / 1000.0)
                .put("jobsOpen", jobs.size())
                .put("jobsDone", tally.jobs)
                .put("tasksAsked", done + running + waiting)
                .put("tasksDone", done)
                .put("tasksRunning", running)
                .put("tasksWaiting", waiting)
                .put("cpuSAsked", Math.round(doneS + runningS + waitingS))
                .put("cpuSDone", Math.round(doneS))
                .put("cpuSRunning", Math.round(runningS))
                .put("cpuSWaiting", Math.round(waitingS));
        if (forecast.endMs() > 0) {
            long plannedEndMs = plannedEnd(jobs, planner);
            node.put("endsInS", (forecast.endMs() - context.wallMs()) / 1000.0)
                    .put("slackS", forecast.slackMs() / 1000.0)
                    .put("endsInSByPlan", (plannedEndMs - context.wallMs()) / 1000.0)
                    .put(
                            "nineOfTenInS",
                            (calibration.percentile90EndMs(context.wallMs(), plannedEndMs) - context.wallMs()) / 1000.0)
                    .put("forecastsSeen", calibration.size());
        }
        if (jobs.isEmpty() && tally.lastEndMs > 0) {
            node.put("lastEnded", tally.lastEndMs).put("met", tally.lastEndMs <= release.dueMs());
        }
        return node.put("atRisk", forecast.risk());
    }
}
