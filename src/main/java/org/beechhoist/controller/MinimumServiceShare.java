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
import org.beechhoist.floor.Aged;
import org.beechhoist.floor.Floor;
import org.beechhoist.floor.Largest;
import org.beechhoist.floor.Ledger;
import org.beechhoist.floor.Share;
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

    private final ControllerContext turn;
    private final Settings settings;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final ClusterState book;
    private final DurationEstimates estimates;
    private final JobOrdering ordering;
    private final Ledger ledger = new Ledger();
    private final Largest largest = new Largest();
    private final ToDoubleFunction<Machine> cpus;
    private final Set<JobId> counted = new HashSet<>();
    private Set<JobId> lifted = Set.of();
    /** Open jobs whose time was up before are in the ledger already. */
    private long countedUntilWallMs;

    private boolean known;
    private MonotonicTime nextWrite = MonotonicTime.ZERO;

    MinimumServiceShare(
            ControllerContext turn,
            Settings settings,
            StoreClient store,
            LeaderElection election,
            TokenBucket requests,
            TokenBucket writes,
            ClusterState book,
            DurationEstimates estimates,
            JobOrdering ordering,
            ToDoubleFunction<Machine> cpus) {
        this.cpus = cpus;
        this.ordering = ordering;
        this.turn = turn;
        this.settings = settings;
        this.store = store;
        this.election = election;
        this.requests = requests;
        this.writes = writes;
        this.book = book;
        this.estimates = estimates;
    }

    /** A new leadership begins: what was counted before is read. */
    void begin() {
        ledger.clear();
        largest.clear();
        counted.clear();
        lifted = Set.of();
        known = false;
        countedUntilWallMs = 0;
        nextWrite = turn.now().plusMs(WRITE_EVERY_MS);
        long reign = book.reign();
        turn.after(READ_AFTER_MS, () -> {
            if (reign == book.reign()) {
                read(); // nothing hangs on it in a leadership's first seconds, in which all else is read
            }
        });
    }

    private void read() {
        long reign = book.reign();
        requests.take(turn.now(), 1);
        store.get(ServiceShareRecord.KEY, read -> {
            if (reign != book.reign()) {
                return;
            }
            if (!read.known()) {
                turn.after(AGAIN_MS, () -> {
                    if (reign == book.reign()) {
                        read();
                    }
                });
                return;
            }
            // Without a record the time before is unknown: jobs that were late by then count for nobody.
            countedUntilWallMs = turn.wallMs();
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
        if (job.groups == null) {
            JobSpec spec = job.spec();
            Set<String> all = new HashSet<>(groups(spec));
            if (job.release != null) {
                all.add("maker:" + job.release.maker());
            }
            all.addAll(largest.meet(spec.jobClass(), spec.tasks() * spec.cpus() * Math.max(1, spec.estimateS())));
            job.groups = Set.copyOf(all);
        }
        return job.groups;
    }

    /** The job is over, by its tasks. */
    void ended(Job job) {
        if (known && !job.cancelled() && counted.add(job.ref())) {
            count(job, turn.wallMs() <= limitWallMs(job));
        }
        counted.remove(job.ref());
    }

    private void count(Job job, boolean served) {
        groups(job).forEach(g -> ledger.count(g, turn.wallMs(), served));
    }

    /** Counts whose time is up, decides who goes first, and stores the counts now and then. */
    void tick() {
        if (!known) {
            return;
        }
        List<Floor.Waiting> waiting = new ArrayList<>();
        Set<String> guaranteed = new HashSet<>();
        for (Job job : book.jobs()) {
            if (job.guaranteed && job.hold == null && !job.cancelled() && job.record.waitingCount() > 0) {
                guaranteed.add(job.spec().team());
            }
        }
        for (Job job : book.jobs()) {
            long limit = limitWallMs(job);
            if (job.hold != null) {
                counted.add(job.ref()); // its waiting is on nobody's account, also when it goes on
            }
            if (job.cancelled() || job.hold != null) {
                continue;
            }
            if (job.spec().service()) {
                service(job, limit);
                continue;
            }
            groups(job);
            if (turn.wallMs() > limit) {
                if (counted.add(job.ref()) && limit > countedUntilWallMs) {
                    count(job, false);
                }
            } else if (job.lifted
                    || job.record.waitingCount() > 0
                            && (job.guaranteed
                                    || guaranteed.stream().allMatch(job.spec().team()::equals))) {
                long ends = turn.wallMs() + estimates.lengthMs(job.spec());
                waiting.add(new Floor.Waiting(job.ref(), groups(job), job.lifted, ends, limit));
            }
        }
        Set<JobId> before = lifted;
        lifted = Floor.lifted(ledger.shares(turn.wallMs()), waiting);
        Map<JobId, Integer> aged = aged();
        for (Job job : book.jobs()) {
            Integer part = aged.get(job.ref());
            if (part != null && !job.aged) {
                LOG.info(
                        "{} tasks of {} go first: nothing of it has begun for {} s",
                        part,
                        job.ref(),
                        (turn.wallMs() - job.record.submittedWallMs) / 1000);
            }
            job.aged = part != null;
            job.firstUpTo = part == null ? 0 : job.record.live.size() + job.record.done.size() + part;
            job.lifted = lifted.contains(job.ref());
            if (job.lifted && !before.contains(job.ref())) {
                LOG.info(
                        "{} goes first: its class {}, team {} or class's largest are below its half",
                        job.ref(),
                        job.spec().jobClass(),
                        job.spec().team());
            }
        }
        write();
    }

    /** A service is served once all of it runs in time; how long it then goes on is its user's matter. */
    private void service(Job job, long limit) {
        boolean runs = job.record.live.size() == job.spec().tasks()
                && job.record.live.values().stream().allMatch(p -> p.running != null);
        boolean late = turn.wallMs() > limit;
        if ((runs || late) && limit > countedUntilWallMs && counted.add(job.ref())) {
            count(job, !late);
        }
    }

    private Map<JobId, Integer> aged() {
        List<Aged.Waiting> waiting = new ArrayList<>();
        double all = 0;
        for (Machine h : book.hosts()) {
            all += h.up && !h.returning ? cpus.applyAsDouble(h) : 0;
        }
        for (Job job : book.jobs()) {
            if (!job.cancelled()
                    && job.hold == null
                    && !job.suspect()
                    && job.notBefore.ms() <= turn.now().ms()
                    && (job.aged || !job.begun())
                    && groups(job).stream().anyMatch(Largest::ofSize)) {
                long first = job.record.live.values().stream()
                        .mapToLong(p -> turn.now().since(p.since))
                        .max()
                        .orElse(0);
                JobSpec spec = job.spec();
                boolean whole = spec.gang() || spec.service() || spec.sameZone() || spec.apart();
                waiting.add(new Aged.Waiting(
                        job.ref(),
                        job.record.submittedWallMs,
                        whole,
                        spec.tasks(),
                        job.record.live.size() + job.record.done.size(),
                        first,
                        job.record.waitingCount(),
                        spec.cpus()));
            }
        }
        return Aged.first(waiting, all, turn.wallMs());
    }

    private void write() {
        if (turn.now().before(nextWrite) || writes.available(turn.now()) < PLENTY * writes.most()) {
            return;
        }
        nextWrite = turn.now().plusMs(WRITE_EVERY_MS);
        Transaction txn = election.guarded()
                .put(
                        ServiceShareRecord.KEY,
                        ServiceShareRecord.toNode(
                                ledger,
                                largest,
                                turn.wallMs(),
                                settings.stateLimits().valueBytes()));
        requests.take(turn.now(), 1);
        writes.take(turn.now(), 1);
        store.commit(txn, c -> {}); // the next one says it again
    }

    /** What was asked and served lately, by class and by team. */
    Map<String, Share> shares() {
        return ledger.shares(turn.wallMs());
    }

    /** The same, to be shown. */
    ObjectNode view() {
        ObjectNode out = Codec.map();
        ArrayNode rows = out.putArray("served");
        ledger.shares(turn.wallMs()).forEach((group, share) -> {
            int colon = group.indexOf(':');
            rows.addObject()
                    .put("kind", group.substring(0, colon))
                    .put("name", group.substring(colon + 1))
                    .put("asked", share.asked())
                    .put("served", share.served())
                    .put("share", share.value());
        });
        ArrayNode first = out.putArray("lifted");
        lifted.forEach(r -> first.add(r.text()));
        return out;
    }
}
