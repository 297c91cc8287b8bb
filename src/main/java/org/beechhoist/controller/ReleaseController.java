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

/** The leader's side of the release calendar: which jobs go first for it, what was done of each release, and whether it will be met. */
final class ReleaseController {
    /** What is done of each release: jobs, tasks, CPU seconds, and when the last job ended. Hints, written now and then. */
    static final String TALLIES_KEY = "rl/tally";
    /** Which jobs' order a change has changed. */
    static final String REORDERED_PREFIX = "rl/moved/";

    private static final Logger LOG = LoggerFactory.getLogger(ReleaseController.class);
    private static final long LOOK_EVERY_MS = 5000;
    private static final long WRITE_EVERY_MS = 15_000;
    private static final double PLENTY = 0.5;
    private static final int MOST_TOLD = 50;
    private static final int MOST_TALLIED = 150;
    /** Forecasts of one release that are held against what happens, this far apart; no release has this name. */
    private static final int MOST_SAID = 8;

    private static final long SAID_EVERY_MS = 30_000;
    private static final String RATIOS = "~forecasts";

    private record Tally(int jobs, int tasks, double cpuS, long lastMs) {}

    private final ControllerContext context;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final ClusterState clusterState;
    private final DurationEstimates estimates;
    private final Admission admission;
    /** Null where the calendar is off. */
    private final ReleaseRegistry releases;

    private Map<JobId, Long> keys = Map.of();
    private final Map<String, Tally> tallies = new TreeMap<>();
    private final Map<String, String> risks = new HashMap<>();
    private final Calibration calibration = new Calibration();
    /** By release: when it was said, and when it was said to end, by the time of day. */
    private final Map<String, List<long[]>> said = new HashMap<>();

    private boolean tallied;
    private boolean tallyDirty;
    private Due next = new Due();

    /** When something is next due. */
    private static final class Due {
        private long lookMs;
        private long writeMs;
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
            ReleaseRegistry releases) {
        this.context = context;
        this.store = store;
        this.election = election;
        this.requests = requests;
        this.writes = writes;
        this.clusterState = clusterState;
        this.estimates = estimates;
        this.admission = admission;
        this.releases = releases;
    }

    /** A new leadership begins. */
    void startTerm() {
        keys = Map.of();
        tallies.clear();
        risks.clear();
        calibration.clear();
        said.clear();
        tallied = false;
        tallyDirty = false;
        next = new Due();
    }

    private boolean on() {
        return releases != null && !releases.snapshot().isEmpty();
    }

    // ---- the order ----

    /** Before each plan: the order of all open jobs, by what is stored alone. */
    void updateOrder() {
        keys = on() ? keys(releases.snapshot()) : Map.of();
    }

    private Map<JobId, Long> keys(Releases of) {
        List<ReleaseOrder.OpenJob> open = new ArrayList<>();
        for (Job job : clusterState.jobs()) {
            if (!job.isCancelled()) {
                job.release = of.releaseOf(job.spec());
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

    /** The smaller the earlier; {@link ReleaseOrder#NO_KEY} for a job that no release speaks for. */
    long orderKey(Job job) {
        return keys.getOrDefault(job.id(), ReleaseOrder.NO_KEY);
    }

    /** The factory moment of what it counts for, by the time of day, or null. */
    Long dueMs(Job job) {
        return job.release == null || !on() ? null : Long.valueOf(job.release.dueMs());
    }

    /** A release has changed: who moved it is in its history; which jobs go in another order for it is written beside it. */
    void handleReleaseChange(Release before, Release now) {
        Map<JobId, Long> old = keys;
        updateOrder();
        clusterState.requestReplan();
        Release release = now != null ? now : before;
        if (release == null) {
            return;
        }
        List<JobId> moved = new ArrayList<>();
        for (Job job : clusterState.jobs()) {
            if (job.record.waitingCount() > 0
                    && !old.getOrDefault(job.id(), ReleaseOrder.NO_KEY).equals(orderKey(job))) {
                moved.add(job.id());
            }
        }
        LOG.info(
                "release {}: {} at {} {}, {} waiting jobs go in another order",
                release.name(),
                now == null || now.removed() ? "removed" : "stands",
                release.ship(),
                release.zone(),
                moved.size());
        ObjectNode value = Codec.map().put("number", release.changeNumber()).put("jobs", moved.size());
        ArrayNode names = value.putArray("first");
        moved.stream().sorted().limit(MOST_TOLD).forEach(m -> names.add(m.text()));
        write(election.guardedTransaction().put(REORDERED_PREFIX + release.name(), value));
    }

    private void write(Transaction transaction) {
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), 1);
        store.commit(transaction, c -> {}); // a hint: the next change says it again
    }

    // ---- what is done, and whether it will be met ----

    /** The job is over, by its tasks. */
    void recordEndedJob(Job job) {
        Release release = on() && !job.isCancelled() ? releases.snapshot().releaseOf(job.spec()) : null;
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

    void updateForecasts(Planner planner) {
        if (!on()) {
            return;
        }
        if (!tallied) {
            readTally();
        }
        if (context.now().ms() >= next.lookMs) {
            next.lookMs = context.now().ms() + LOOK_EVERY_MS;
            Map<String, List<Job>> jobs = jobsOf();
            for (Release release : releases.snapshot().all()) {
                List<Job> open = jobs.getOrDefault(release.name(), List.of());
                remember(release, open, plannedEnd(open, planner));
                Forecast forecast = forecast(release, open, planner);
                String old = risks.put(release.name(), forecast.risk() == null ? "" : forecast.risk());
                if (forecast.risk() != null && (old == null || old.isEmpty())) {
                    LOG.warn(
                            "release {} of {} is at risk: {}; {} s left to its factory moment",
                            release.name(),
                            release.maker(),
                            forecast.risk(),
                            (release.dueMs() - context.wallMs()) / 1000);
                }
            }
        }
        if (tallyDirty
                && tallied
                && context.now().ms() >= next.writeMs
                && writes.available(context.now()) >= PLENTY * writes.capacity()) {
            next.writeMs = context.now().ms() + WRITE_EVERY_MS;
            tallyDirty = false;
            write(election.guardedTransaction().put(TALLIES_KEY, tallyNode()));
        }
    }

    /** What the plan says now is kept until the release's last job is over, and then held against that. */
    private void remember(Release release, List<Job> open, long saidMs) {
        List<long[]> before = said.computeIfAbsent(release.name(), k -> new ArrayList<>());
        if (open.isEmpty()) {
            Tally tally = tallies.get(release.name());
            if (tally != null && !before.isEmpty()) {
                before.forEach(s -> calibration.addOutcome(s[0], s[1], tally.lastMs));
                tallyDirty = true;
            }
            before.clear();
        } else if (saidMs > 0
                && before.size() < MOST_SAID
                && (before.isEmpty() || context.wallMs() - before.get(before.size() - 1)[0] >= SAID_EVERY_MS)) {
            before.add(new long[] {context.wallMs(), saidMs});
        }
    }

    private ObjectNode tallyNode() {
        ObjectNode node = Codec.map();
        ArrayNode ratios = node.putArray(RATIOS);
        calibration.ratios().forEach(x -> ratios.add(Math.round(100 * x)));
        tallies.entrySet().stream()
                .sorted(Comparator.comparingLong(e -> -e.getValue().lastMs))
                .limit(MOST_TALLIED)
                .forEach(entry -> node.putArray(entry.getKey())
                        .add(entry.getValue().jobs)
                        .add(entry.getValue().tasks)
                        .add(Math.round(entry.getValue().cpuS))
                        .add(entry.getValue().lastMs));
        return node;
    }

    private void readTally() {
        tallied = true;
        long term = clusterState.term();
        requests.takeOrOverdraw(context.now(), 1);
        store.get(TALLIES_KEY, read -> {
            if (term != clusterState.term()) {
                return;
            }
            if (!read.answered()) {
                tallied = false;
                return;
            }
            if (read.item() != null) {
                for (Map.Entry<String, JsonNode> entry : read.item().value().properties()) {
                    JsonNode row = entry.getValue();
                    if (entry.getKey().equals(RATIOS)) {
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
                                    Math.max(tally.lastMs, row.path(3).asLong())));
                }
            }
        });
    }

    private Map<String, List<Job>> jobsOf() {
        Map<String, List<Job>> out = new LinkedHashMap<>();
        for (Job job : clusterState.jobs()) {
            Release release = job.isCancelled() ? null : releases.snapshot().releaseOf(job.spec());
            if (release != null) {
                out.computeIfAbsent(release.name(), k -> new ArrayList<>()).add(job);
            }
        }
        return out;
    }

    /** When the last of those that are planned is over by the plan, by the time of day; 0: none is planned. */
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
        long said = plannedEnd(jobs, planner);
        long end = said == 0 ? 0 : calibration.medianEndMs(context.wallMs(), said);
        return Forecast.of(
                new Forecast.Inputs(jobs.size(), held, unplanned, limited, end, longest),
                release.dueMs(),
                context.wallMs());
    }

    /** For each release what is asked, done, running and waiting, and when it will be over: by the plan as it is. */
    ArrayNode view(Planner planner) {
        ArrayNode rows = Codec.list();
        Map<String, List<Job>> jobs = jobsOf();
        for (Release release : releases.snapshot().all().stream()
                .sorted(Comparator.comparingLong(Release::dueMs).thenComparing(Release::name))
                .toList()) {
            rows.add(row(release, jobs.getOrDefault(release.name(), List.of()), planner));
        }
        return rows;
    }

    private ObjectNode row(Release release, List<Job> jobs, Planner planner) {
        Tally tally = tallies.getOrDefault(release.name(), new Tally(0, 0, 0, 0));
        int done = tally.tasks;
        int running = 0;
        int waiting = 0;
        double doneS = tally.cpuS;
        double runningS = 0;
        double waitingS = 0;
        for (Job job : jobs) {
            double each = job.spec().cpus() * estimates.expectedMs(job.spec()) / 1000.0;
            done += job.record.done.size();
            doneS += each * job.record.done.size();
            running += job.record.live.size();
            runningS += each * job.record.live.size();
            waiting += job.record.waitingCount();
            waitingS += each * job.record.waitingCount();
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
            long said = plannedEnd(jobs, planner);
            node.put("endsInS", (forecast.endMs() - context.wallMs()) / 1000.0)
                    .put("slackS", forecast.slackMs() / 1000.0)
                    .put("endsInSByPlan", (said - context.wallMs()) / 1000.0)
                    .put(
                            "nineOfTenInS",
                            (calibration.percentile90EndMs(context.wallMs(), said) - context.wallMs()) / 1000.0)
                    .put("forecastsSeen", calibration.size());
        }
        if (jobs.isEmpty() && tally.lastMs > 0) {
            node.put("lastEnded", tally.lastMs).put("met", tally.lastMs <= release.dueMs());
        }
        return node.put("atRisk", forecast.risk());
    }
}
