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

/** Counts what each class and team asks and is served, keeps that through take-overs, and lifts jobs where one is behind its half. */
final class MinimumServiceShare {
    private static final Logger LOG = LoggerFactory.getLogger(MinimumServiceShare.class);
    private static final long WRITE_EVERY_MS = 15_000;
    private static final double PLENTY = 0.5;
    private static final long AGAIN_MS = 1000;
    private static final long READ_AFTER_MS = 4000;

    private final ControllerContext context;
    private final Settings settings;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final ClusterState clusterState;
    private final DurationEstimates estimates;
    private final JobOrdering ordering;
    private final ServiceShareWindow ledger = new ServiceShareWindow();
    private final LargestJobGroups largest = new LargestJobGroups();
    private final ToDoubleFunction<Machine> cpus;
    private final Set<JobId> counted = new HashSet<>();
    private Set<JobId> lifted = Set.of();
    /** Open jobs whose time was up before are in the ledger already. */
    private long countedUntilWallMs;

    private boolean known;
    private MonotonicTime nextWrite = MonotonicTime.ZERO;

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
            ToDoubleFunction<Machine> cpus) {
        this.cpus = cpus;
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

    /** A new leadership begins: what was counted before is read. */
    void startTerm() {
        ledger.clear();
        largest.clear();
        counted.clear();
        lifted = Set.of();
        known = false;
        countedUntilWallMs = 0;
        nextWrite = context.now().plusMs(WRITE_EVERY_MS);
        long term = clusterState.term();
        context.schedule(READ_AFTER_MS, () -> {
            if (term == clusterState.term()) {
                read(); // nothing hangs on it in a leadership's first seconds, in which all else is read
            }
        });
    }

    private void read() {
        long term = clusterState.term();
        requests.takeOrOverdraw(context.now(), 1);
        store.get(ServiceShareRecord.KEY, read -> {
            if (term != clusterState.term()) {
                return;
            }
            if (!read.answered()) {
                context.schedule(AGAIN_MS, () -> {
                    if (term == clusterState.term()) {
                        read();
                    }
                });
                return;
            }
            // Without a record the time before is unknown: jobs that were late by then count for nobody.
            countedUntilWallMs = context.wallMs();
            if (read.item() != null) {
                try {
                    countedUntilWallMs = ServiceShareRecord.read(read.item().value(), ledger, largest);
                } catch (MalformedMessageException e) {
                    LOG.warn("what was served before can't be read, it is counted anew: {}", e.getMessage());
                    ledger.clear();
                    largest.clear();
                }
            }
            known = true;
        });
    }

    /** By when the job counts as served, by the time of day. */
    private long limitWallMs(Job job) {
        long usual = job.record.submittedWallMs + ordering.servedWithinMs(job.spec());
        return job.release == null
                ? usual
                : Math.max(usual, job.release.dueMs()); // until then it is not late, however long it waits
    }

    /** The class and the team that a job counts for. */
    static Set<String> groups(JobSpec spec) {
        return Set.of("class:" + spec.jobClass(), "team:" + spec.team());
    }

    /** The same, the maker whose release it counts for, and its class's largest where it is one of them. */
    Set<String> groups(Job job) {
        if (!known) {
            return groups(job.spec());
        }
        if (job.shareGroups == null) {
            JobSpec spec = job.spec();
            Set<String> all = new HashSet<>(groups(spec));
            if (job.release != null) {
                all.add("maker:" + job.release.maker());
            }
            all.addAll(largest.recordJob(spec.jobClass(), spec.tasks() * spec.cpus() * Math.max(1, spec.estimateS())));
            job.shareGroups = Set.copyOf(all);
        }
        return job.shareGroups;
    }

    /** The job is over, by its tasks. */
    void recordEnded(Job job) {
        if (known && !job.isCancelled() && counted.add(job.id())) {
            count(job, context.wallMs() <= limitWallMs(job));
        }
        counted.remove(job.id());
    }

    private void count(Job job, boolean served) {
        groups(job).forEach(g -> ledger.recordOutcome(g, context.wallMs(), served));
    }

    /** Counts whose time is up, decides who goes first, and stores the counts now and then. */
    void updatePrioritizedJobs() {
        if (!known) {
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
            long limit = limitWallMs(job);
            if (job.keySetHold != null) {
                counted.add(job.id()); // its waiting is on nobody's account, also when it goes on
            }
            if (job.isCancelled() || job.keySetHold != null) {
                continue;
            }
            if (job.spec().isService()) {
                service(job, limit);
                continue;
            }
            groups(job);
            if (context.wallMs() > limit) {
                if (counted.add(job.id()) && limit > countedUntilWallMs) {
                    count(job, false);
                }
            } else if (job.prioritized
                    || job.record.waitingCount() > 0
                            && (job.withinGuarantee
                                    || guaranteed.stream().allMatch(job.spec().team()::equals))) {
                long ends = context.wallMs() + estimates.expectedMs(job.spec());
                waiting.add(new PrioritizedJobSelector.OpenJob(job.id(), groups(job), job.prioritized, ends, limit));
            }
        }
        Set<JobId> before = lifted;
        lifted = PrioritizedJobSelector.select(ledger.shares(context.wallMs()), waiting);
        Map<JobId, Integer> aged = aged();
        for (Job job : clusterState.jobs()) {
            Integer part = aged.get(job.id());
            if (part != null && !job.starving) {
                LOG.info(
                        "{} tasks of {} go first: nothing of it has begun for {} s",
                        part,
                        job.id(),
                        (context.wallMs() - job.record.submittedWallMs) / 1000);
            }
            job.starving = part != null;
            job.expeditedLimit = part == null ? 0 : job.record.live.size() + job.record.done.size() + part;
            job.prioritized = lifted.contains(job.id());
            if (job.prioritized && !before.contains(job.id())) {
                LOG.info(
                        "{} goes first: its class {}, team {} or class's largest are below its half",
                        job.id(),
                        job.spec().jobClass(),
                        job.spec().team());
            }
        }
        write();
    }

    /** A service is served once all of it runs in time; how long it then goes on is its user's matter. */
    private void service(Job job, long limit) {
        boolean runs = job.record.live.size() == job.spec().tasks()
                && job.record.live.values().stream().allMatch(p -> p.runningSince != null);
        boolean late = context.wallMs() > limit;
        if ((runs || late) && limit > countedUntilWallMs && counted.add(job.id())) {
            count(job, !late);
        }
    }

    private Map<JobId, Integer> aged() {
        List<StarvingJobSelector.OpenJob> waiting = new ArrayList<>();
        double all = 0;
        for (Machine h : clusterState.machines()) {
            all += h.up && !h.releasing ? cpus.applyAsDouble(h) : 0;
        }
        for (Job job : clusterState.jobs()) {
            if (!job.isCancelled()
                    && job.keySetHold == null
                    && !job.isSuspect()
                    && job.notBefore.ms() <= context.now().ms()
                    && (job.starving || !job.hasStarted())
                    && groups(job).stream().anyMatch(LargestJobGroups::isSizeGroup)) {
                long first = job.record.live.values().stream()
                        .mapToLong(p -> context.now().since(p.placedAt))
                        .max()
                        .orElse(0);
                JobSpec spec = job.spec();
                boolean whole = spec.isGang() || spec.isService() || spec.sameZone() || spec.antiAffinity();
                waiting.add(new StarvingJobSelector.OpenJob(
                        job.id(),
                        job.record.submittedWallMs,
                        whole,
                        spec.tasks(),
                        job.record.live.size() + job.record.done.size(),
                        first,
                        job.record.waitingCount(),
                        spec.cpus()));
            }
        }
        return StarvingJobSelector.select(waiting, all, context.wallMs());
    }

    private void write() {
        if (context.now().isBefore(nextWrite) || writes.available(context.now()) < PLENTY * writes.capacity()) {
            return;
        }
        nextWrite = context.now().plusMs(WRITE_EVERY_MS);
        Transaction transaction = election.guardedTransaction()
                .put(
                        ServiceShareRecord.KEY,
                        ServiceShareRecord.toNode(
                                ledger,
                                largest,
                                context.wallMs(),
                                settings.stateLimits().valueBytes()));
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), 1);
        store.commit(transaction, c -> {}); // the next one says it again
    }

    /** What was asked and served lately, by class and by team. */
    Map<String, ServiceShare> shares() {
        return ledger.shares(context.wallMs());
    }

    /** The same, to be shown. */
    ObjectNode view() {
        ObjectNode out = Codec.map();
        ArrayNode rows = out.putArray("served");
        ledger.shares(context.wallMs()).forEach((group, share) -> {
            int colon = group.indexOf(':');
            rows.addObject()
                    .put("kind", group.substring(0, colon))
                    .put("name", group.substring(colon + 1))
                    .put("asked", share.asked())
                    .put("served", share.served())
                    .put("share", share.fraction());
        });
        ArrayNode first = out.putArray("lifted");
        lifted.forEach(r -> first.add(r.text()));
        return out;
    }
}
