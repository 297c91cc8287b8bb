package org.beechhoist.controller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.floor.LargestJobGroups;
import org.beechhoist.floor.PrioritizedJobSelector;
import org.beechhoist.floor.ServiceShare;
import org.beechhoist.floor.ServiceShareWindow;
import org.beechhoist.floor.StarvingJobSelector;
import org.beechhoist.store.ServiceShareRecord;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the requested and served jobs of each class and team, preserves the counts across leader changes, and prioritizes jobs of
 * classes and teams that are below the minimum service share.
 */
final class MinimumServiceShare {
    private static final Logger LOG = LoggerFactory.getLogger(MinimumServiceShare.class);
    private static final long WRITE_INTERVAL_MS = 15_000;
    private static final double MIN_FREE_WRITES_FRACTION = 0.5;
    private static final long READ_RETRY_INTERVAL_MS = 1000;
    private static final long READ_DELAY_MS = 4000;

    private final ControllerContext context;
    private final Settings settings;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final ClusterState clusterState;
    private final DurationEstimates estimates;
    private final JobOrdering ordering;
    private final ServiceShareWindow serviceShareWindow = new ServiceShareWindow();
    private final LargestJobGroups largestJobGroups = new LargestJobGroups();
    private final ToDoubleFunction<Machine> machineCpus;
    private final Set<JobId> countedJobs = new HashSet<>();
    private Set<JobId> prioritizedJobs = Set.of();
    /** Open jobs whose time limit had passed before this time are already counted in the ledger. */
    private long countedUntilWallMs;

    private boolean loaded;
    private MonotonicTime nextWriteAt = MonotonicTime.ZERO;

    MinimumServiceShare(
            ControllerContext context,
            Settings settings,
            StoreClient store,
            LeaderElection election,
            TokenBucket requests,
            TokenBucket writes,
            ClusterState clusterState,
            DurationEstimates estimates,
            JobOrdering ordering,
            ToDoubleFunction<Machine> machineCpus) {
        this.machineCpus = machineCpus;
        this.ordering = ordering;
        this.context = context;
        this.settings = settings;
        this.store = store;
        this.election = election;
        this.requests = requests;
        this.writes = writes;
        this.clusterState = clusterState;
        this.estimates = estimates;
    }

    /** Starts a new term: clears the counts and schedules reading those of the previous leader. */
    void startTerm() {
        serviceShareWindow.clear();
        largestJobGroups.clear();
        countedJobs.clear();
        prioritizedJobs = Set.of();
        loaded = false;
        countedUntilWallMs = 0;
        nextWriteAt = context.now().plusMs(WRITE_INTERVAL_MS);
        long term = clusterState.term();
        context.schedule(READ_DELAY_MS, () -> {
            if (term == clusterState.term()) {
                readLedger(); // not needed in the first seconds of a term, when all other records are read
            }
        });
    }

    /** Reads the stored counts, and retries until the state service has answered. */
    private void readLedger() {
        long term = clusterState.term();
        requests.takeOrOverdraw(context.now(), 1);
        store.get(ServiceShareRecord.KEY, read -> {
            if (term != clusterState.term()) {
                return;
            }
            if (!read.answered()) {
                context.schedule(READ_RETRY_INTERVAL_MS, () -> {
                    if (term == clusterState.term()) {
                        readLedger();
                    }
                });
                return;
            }
            // Without a record the earlier counts are unknown: jobs that were late by now are not counted.
            countedUntilWallMs = context.wallMs();
            if (read.item() != null) {
                try {
                    countedUntilWallMs =
                            ServiceShareRecord.read(read.item().value(), serviceShareWindow, largestJobGroups);
                } catch (MalformedMessageException e) {
                    LOG.warn("service share record unreadable, counts restart from zero: error={}", e.getMessage());
                    serviceShareWindow.clear();
                    largestJobGroups.clear();
                }
            }
            loaded = true;
        });
    }

    /** Returns the wall-clock time by which the job must end to count as served. */
    private long servedByWallMs(Job job) {
        long byObjectiveWallMs = job.record.submittedWallMs + ordering.servedWithinMs(job.spec());
        // A job of a release is not late before the release is due.
        return job.release == null ? byObjectiveWallMs : Math.max(byObjectiveWallMs, job.release.dueMs());
    }

    /** Returns the groups that a job counts for by its spec: its class and its team. */
    static Set<String> groups(JobSpec spec) {
        return Set.of("class:" + spec.jobClass(), "team:" + spec.team());
    }

    /** Returns the groups that the job counts for: class, team, the maker of its release, and size groups of its class. */
    Set<String> groups(Job job) {
        if (!loaded) {
            return groups(job.spec());
        }
        if (job.shareGroups == null) {
            JobSpec spec = job.spec();
            Set<String> groups = new HashSet<>(groups(spec));
            if (job.release != null) {
                groups.add("maker:" + job.release.maker());
            }
            groups.addAll(largestJobGroups.recordJob(
                    spec.jobClass(), spec.tasks() * spec.cpus() * Math.max(1, spec.estimateS())));
            job.shareGroups = Set.copyOf(groups);
        }
        return job.shareGroups;
    }

    /** Counts a job whose tasks have ended as served or not served. */
    void recordEnded(Job job) {
        if (loaded && !job.isCancelled() && countedJobs.add(job.id())) {
            recordOutcome(job, context.wallMs() <= servedByWallMs(job));
        }
        countedJobs.remove(job.id());
    }

    private void recordOutcome(Job job, boolean served) {
        groups(job).forEach(g -> serviceShareWindow.recordOutcome(g, context.wallMs(), served));
    }

    /** Counts jobs whose time limit has passed, selects the prioritized and starving jobs, and stores the counts periodically. */
    void updatePrioritizedJobs() {
        if (!loaded) {
            return;
        }
        List<PrioritizedJobSelector.OpenJob> waiting = new ArrayList<>();
        Set<String> guaranteed = new HashSet<>();
        for (Job job : clusterState.jobs()) {
            if (job.withinGuarantee && job.keySetHold == null && !job.isCancelled() && job.record.waitingCount() > 0) {
                guaranteed.add(job.spec().team());
            }
        }
        for (Job job : clusterState.jobs()) {
            long limit = servedByWallMs(job);
            if (job.keySetHold != null) {
                countedJobs.add(job.id()); // never counted, even after its hold is lifted
            }
            if (job.isCancelled() || job.keySetHold != null) {
                continue;
            }
            if (job.spec().isService()) {
                recordServiceOutcome(job, limit);
                continue;
            }
            groups(job);
            if (context.wallMs() > limit) {
                if (countedJobs.add(job.id()) && limit > countedUntilWallMs) {
                    recordOutcome(job, false);
                }
            } else if (job.prioritized
                    || job.record.waitingCount() > 0
                            && (job.withinGuarantee
                                    || guaranteed.stream().allMatch(job.spec().team()::equals))) {
                long endsIfFirstMs = context.wallMs() + estimates.expectedMs(job.spec());
                waiting.add(new PrioritizedJobSelector.OpenJob(
                        job.id(), groups(job), job.prioritized, endsIfFirstMs, limit));
            }
        }
        Set<JobId> previous = prioritizedJobs;
        prioritizedJobs = PrioritizedJobSelector.select(serviceShareWindow.shares(context.wallMs()), waiting);
        Map<JobId, Integer> expeditedTasks = selectStarvingJobs();
        for (Job job : clusterState.jobs()) {
            Integer expedited = expeditedTasks.get(job.id());
            if (expedited != null && !job.starving) {
                LOG.info(
                        "starving job expedited: tasks={} job={} waiting_s={}",
                        expedited,
                        job.id(),
                        (context.wallMs() - job.record.submittedWallMs) / 1000);
            }
            job.starving = expedited != null;
            job.expeditedLimit = expedited == null ? 0 : job.record.live.size() + job.record.done.size() + expedited;
            job.prioritized = prioritizedJobs.contains(job.id());
            if (job.prioritized && !previous.contains(job.id())) {
                LOG.info(
                        "job prioritized, a group is below its minimum service share: job={} class={} team={}",
                        job.id(),
                        job.spec().jobClass(),
                        job.spec().team());
            }
        }
        writeLedger();
    }

    /** Counts a service: as served once all its tasks run within the time limit, otherwise as not served once the limit has passed. */
    private void recordServiceOutcome(Job job, long limit) {
        boolean running = job.record.live.size() == job.spec().tasks()
                && job.record.live.values().stream().allMatch(p -> p.runningSince != null);
        boolean late = context.wallMs() > limit;
        if ((running || late) && limit > countedUntilWallMs && countedJobs.add(job.id())) {
            recordOutcome(job, !late);
        }
    }

    /** Returns the starving jobs and the number of tasks to expedite for each. */
    private Map<JobId, Integer> selectStarvingJobs() {
        List<StarvingJobSelector.OpenJob> waiting = new ArrayList<>();
        double totalCpus = 0;
        for (Machine machine : clusterState.machines()) {
            totalCpus += machine.up && !machine.releasing ? machineCpus.applyAsDouble(machine) : 0;
        }
        for (Job job : clusterState.jobs()) {
            if (!job.isCancelled()
                    && job.keySetHold == null
                    && !job.isSuspect()
                    && job.notBefore.ms() <= context.now().ms()
                    && (job.starving || !job.hasStarted())
                    && groups(job).stream().anyMatch(LargestJobGroups::isSizeGroup)) {
                long begunMs = job.record.live.values().stream()
                        .mapToLong(p -> context.now().since(p.placedAt))
                        .max()
                        .orElse(0);
                JobSpec spec = job.spec();
                boolean placedTogether = spec.isGang() || spec.isService() || spec.sameZone() || spec.antiAffinity();
                waiting.add(new StarvingJobSelector.OpenJob(
                        job.id(),
                        job.record.submittedWallMs,
                        placedTogether,
                        spec.tasks(),
                        job.record.live.size() + job.record.done.size(),
                        begunMs,
                        job.record.waitingCount(),
                        spec.cpus()));
            }
        }
        return StarvingJobSelector.select(waiting, totalCpus, context.wallMs());
    }

    /** Writes the counts if the interval has passed and enough of the write budget is available. */
    private void writeLedger() {
        if (context.now().isBefore(nextWriteAt)
                || writes.available(context.now()) < MIN_FREE_WRITES_FRACTION * writes.capacity()) {
            return;
        }
        nextWriteAt = context.now().plusMs(WRITE_INTERVAL_MS);
        Transaction transaction = election.guardedTransaction()
                .put(
                        ServiceShareRecord.KEY,
                        ServiceShareRecord.toNode(
                                serviceShareWindow,
                                largestJobGroups,
                                context.wallMs(),
                                settings.stateLimits().valueBytes()));
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), 1);
        store.commit(transaction, c -> {}); // no retry: the next write contains the same counts
    }

    /** Returns the recently requested and served jobs by group. */
    Map<String, ServiceShare> shares() {
        return serviceShareWindow.shares(context.wallMs());
    }

    /** Returns the shares of all groups and the prioritized jobs as a view. */
    ObjectNode view() {
        ObjectNode out = Codec.map();
        ArrayNode rows = out.putArray("served");
        serviceShareWindow.shares(context.wallMs()).forEach((group, share) -> {
            int colon = group.indexOf(':');
            rows.addObject()
                    .put("kind", group.substring(0, colon))
                    .put("name", group.substring(colon + 1))
                    .put("asked", share.asked())
                    .put("served", share.served())
                    .put("share", share.fraction());
        });
        ArrayNode jobs = out.putArray("lifted");
        prioritizedJobs.forEach(r -> jobs.add(r.text()));
        return out;
    }
}
