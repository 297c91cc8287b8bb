package org.beechhoist.controller.leadership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.store.LeaderRecord;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.CommitResult;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.LeaseId;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.Revision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader election: the holder of a key that is bound to a lease leads. The fencing token is the revision of the
 * commit that wrote the key, and every commit of a leader is guarded by it. A leader trusts its lease only for as long
 * as is certain from the time at which it sent the last successful extension.
 */
public final class LeaderElection {
    /** The key of the state service whose holder leads. */
    public static final String LEADER_KEY = "lead";

    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
    /** Covers the drift of two clocks, 0.05% each, and rounding. */
    private static final double MAX_CLOCK_DRIFT_RATIO = 0.0015;

    private static final long LEASE_MARGIN_MS = 300;
    /**
     * A node that crashes repeatedly would regain its own key each time and lead only for moments. After more than
     * {@link #MAX_SHORT_TERMS} terms shorter than this, it lets other nodes campaign first.
     */
    private static final long MIN_STABLE_TERM_MS = 20_000;

    /** The time for which a node that can't read the state service's answers lets other nodes campaign. */
    private static final long UNREADABLE_PAUSE_MS = 5000;

    private static final int MAX_SHORT_TERMS = 2;
    private static final long MAX_CAMPAIGN_PAUSE_MS = 8000;
    /** A watch returns at least every 4 s, so a leader that the state service reported longer ago is out of date. */
    private static final long MAX_LEADER_AGE_MS = 6000;

    /** Receives changes of this node's leadership. */
    public interface Listener {
        /** Called when this node has become leader, with its first fencing token. */
        void leadershipWon(FencingToken fencingToken);

        /** Called when this node no longer leads. */
        void leadershipLost();
    }

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final String node;
    private final long ttlMs;
    private final Listener listener;
    private String leader;
    private LeaseId lease = LeaseId.NONE;
    private boolean isLeading;
    private FencingToken fencingToken = FencingToken.NONE;
    private FencingToken firstFencingToken = FencingToken.NONE;
    private MonotonicTime leaseValidUntil = MonotonicTime.ZERO;
    /** The time at which the state service last reported the holder of the key. */
    private MonotonicTime leaderKnownAt = MonotonicTime.ZERO;
    /** The earliest time at which this node campaigns, so that other nodes can win first. */
    private MonotonicTime campaignFrom = MonotonicTime.ZERO;

    /**
     * Incremented when reading of the key restarts and with each won election; responses to calls of earlier rounds are
     * ignored.
     */
    private long round;

    /** The number of consecutive short terms of this node, including earlier processes of the same name. */
    private int shortTerms;

    /** The time of day at which the present term began. */
    private long wonWallMs;

    /**
     * Creates the election; {@link #start} begins it.
     *
     * @param requests tokens for requests to the state service
     * @param node this node's name
     * @param ttlMs the time after which the lease of the key expires without an extension
     */
    public LeaderElection(
            ControllerContext context,
            StoreClient store,
            TokenBucket requests,
            String node,
            long ttlMs,
            Listener listener) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.node = node;
        this.ttlMs = ttlMs;
        this.listener = listener;
    }

    /** Returns whether this node leads and its lease is certain to be valid now: it may command workers. */
    public boolean holdsLease() {
        return isLeading && context.now().isBefore(leaseValidUntil);
    }

    /** Returns the time until which this node may command workers, as far as is known now. */
    public MonotonicTime leaseValidUntil() {
        return leaseValidUntil;
    }

    /** Returns whether the leadership is not known to be lost; the lease may have expired nevertheless. */
    public boolean isLeading() {
        return isLeading;
    }

    /** Returns the newest fencing token of this term. */
    public FencingToken fencingToken() {
        return fencingToken;
    }

    /**
     * Returns the first fencing token of this term: a worker that has seen it has exchanged messages with this node
     * since.
     */
    public FencingToken firstFencingToken() {
        return firstFencingToken;
    }

    /** Returns the other node that leads; null if none does or the state service has not confirmed it recently. */
    public String otherLeader() {
        return isLeading || context.now().since(leaderKnownAt) > MAX_LEADER_AGE_MS ? null : leader;
    }

    /** Returns a new transaction that fails once the key has another holder or has been rewritten. */
    public Transaction guardedTransaction() {
        return new Transaction().guard(LEADER_KEY, new Revision(fencingToken.value()));
    }

    /** Adds a rewrite of the key to the transaction, so that the commit's revision becomes the new fencing token. */
    public void addTokenRotation(Transaction transaction) {
        transaction.put(LEADER_KEY, keyValue(), lease);
    }

    /** Sets the fencing token to the revision at which the key was rewritten. */
    public void adoptToken(Revision revision) {
        fencingToken = new FencingToken(revision.value());
    }

    /** The result of a leader's read of the key: held by its lease, no longer held, or no response. */
    public enum KeyOwnership {
        HELD,
        LOST,
        UNKNOWN
    }

    /** Reads whether the key is still held by this term's lease; if so, its newest revision becomes the fencing token. */
    public void readKeyOwnership(Consumer<KeyOwnership> then) {
        requests.takeOrOverdraw(context.now(), 1);
        LeaseId held = lease;
        store.get(LEADER_KEY, read -> {
            if (read.malformed() != null && isLeading && held.equals(lease)) {
                stepDownUnreadable(LEADER_KEY, read.malformed());
                then.accept(KeyOwnership.UNKNOWN);
            } else if (!read.answered() || !isLeading || !held.equals(lease)) {
                then.accept(KeyOwnership.UNKNOWN);
            } else if (read.item() == null || !read.item().lease().equals(held)) {
                then.accept(KeyOwnership.LOST);
            } else {
                adoptToken(read.item().version());
                then.accept(KeyOwnership.HELD);
            }
        });
    }

    /** Begins to read and watch the key; the node campaigns as soon as no node holds it. */
    public void start() {
        readKey(++round);
    }

    private void readKeyLater(long ms, long expectedRound) {
        context.schedule(ms, () -> {
            if (expectedRound == round && !isLeading) {
                readKey(expectedRound);
            }
        });
    }

    private void readKey(long expectedRound) {
        requests.takeOrOverdraw(context.now(), 1);
        // Uses a listing because it also returns the store's revision. The key's own revision may be older than the
        // change log that the store retains, and a watch from there would always fail with 410 immediately.
        store.list(LEADER_KEY, null, 10, page -> {
            if (expectedRound != round || isLeading) {
                return;
            }
            if (!page.isOk()) {
                readKeyLater(700, expectedRound);
                return;
            }
            StoreClient.KeyValue item = null;
            for (StoreClient.KeyValue i : page.items()) {
                item = i.key().equals(LEADER_KEY) ? i : item;
            }
            leader = item == null ? null : LeaderRecord.parse(item.value()).node();
            leaderKnownAt = context.now();
            if (item == null && context.now().isBefore(campaignFrom)) {
                readKeyLater(700, expectedRound);
            } else if (item == null) {
                campaign(expectedRound, Revision.ABSENT);
            } else if (node.equals(leader) && restartsRepeatedly(item)) {
                store.revokeLease(item.lease());
                readKeyLater(700, expectedRound);
            } else if (node.equals(leader)) {
                // The key is held by an earlier process of this node. That process has ended, so its key may be
                // replaced.
                leader = null;
                campaign(expectedRound, item.version());
            } else {
                watchKey(expectedRound, page.revision());
            }
        });
    }

    private ObjectNode keyValue() {
        return new LeaderRecord(node, wonWallMs, shortTerms).toNode();
    }

    /**
     * Returns whether this node, whose earlier process held the key, has had too many consecutive short terms. It
     * campaigns again after a pause that doubles each time.
     */
    private boolean restartsRepeatedly(StoreClient.KeyValue own) {
        LeaderRecord earlier = LeaderRecord.parse(own.value());
        boolean brief = context.wallMs() - earlier.wonAtWallMs() < MIN_STABLE_TERM_MS;
        shortTerms = brief ? earlier.shortTerms() + 1 : 0;
        if (shortTerms <= MAX_SHORT_TERMS) {
            return false;
        }
        long pause = Math.min(MAX_CAMPAIGN_PAUSE_MS, 1000L << Math.min(10, shortTerms - MAX_SHORT_TERMS - 1));
        LOG.warn("campaign postponed: node={} shortTerms={} pauseS={}", node, shortTerms, pause / 1000.0);
        campaignFrom = context.now().plusMs(pause);
        return true;
    }

    private void watchKey(long expectedRound, Revision after) {
        requests.takeOrOverdraw(context.now(), 1);
        store.watch(LEADER_KEY, after, 4000, changes -> {
            if (expectedRound != round || isLeading) {
                return;
            }
            if (changes.status() != 200) {
                readKeyLater(changes.status() == 410 ? 100 : 500, expectedRound);
                return;
            }
            leaderKnownAt = context.now();
            StoreClient.KeyValue last = null;
            for (StoreClient.KeyValue i : changes.changes()) {
                last = i.key().equals(LEADER_KEY) ? i : last;
            }
            if (last == null) {
                // No change for a while: read the key again instead of relying on the watch alone.
                readKeyLater(0, expectedRound);
            } else if (last.value() == null) {
                leader = null;
                if (context.now().isBefore(campaignFrom)) {
                    readKeyLater(700, expectedRound);
                } else {
                    campaign(expectedRound, Revision.ABSENT);
                }
            } else {
                leader = LeaderRecord.parse(last.value()).node();
                watchKey(expectedRound, changes.revision());
            }
        });
    }

    private void campaign(long expectedRound, Revision expected) {
        MonotonicTime sent = context.now();
        requests.takeOrOverdraw(context.now(), 2);
        store.grantLease(ttlMs, hold -> {
            if (expectedRound != round || hold.equals(LeaseId.NONE)) {
                readKeyLater(500, expectedRound);
                return;
            }
            wonWallMs = context.wallMs();
            Transaction transaction =
                    new Transaction().guard(LEADER_KEY, expected).put(LEADER_KEY, keyValue(), hold);
            store.commit(transaction, commit -> {
                if (expectedRound != round) {
                    return;
                }
                if (commit.outcome() == CommitResult.Outcome.COMMITTED) {
                    becomeLeader(hold, commit.revision(), sent);
                } else {
                    // Revoking the lease also makes a transaction fail that may still be in flight.
                    store.revokeLease(hold);
                    readKeyLater(commit.outcome() == CommitResult.Outcome.CONFLICT ? 20 : 500, expectedRound);
                }
            });
        });
    }

    private void becomeLeader(LeaseId hold, Revision revision, MonotonicTime sent) {
        lease = hold;
        isLeading = true;
        fencingToken = new FencingToken(revision.value());
        firstFencingToken = fencingToken;
        leaseValidUntil = MonotonicTime.ZERO;
        extendValidity(sent);
        LOG.info("leadership won: node={} token={}", node, fencingToken.text());
        long expectedRound = ++round;
        context.schedule(ttlMs / 5, () -> extendLease(expectedRound));
        listener.leadershipWon(fencingToken);
    }

    private void extendValidity(MonotonicTime sent) {
        MonotonicTime until = sent.plusMs((long) (ttlMs * (1 - MAX_CLOCK_DRIFT_RATIO)) - LEASE_MARGIN_MS);
        if (leaseValidUntil.isBefore(until)) {
            leaseValidUntil = until;
        }
    }

    private void extendLease(long expectedRound) {
        if (expectedRound != round || !isLeading) {
            return;
        }
        MonotonicTime sent = context.now();
        requests.takeOrOverdraw(context.now(), 1);
        store.extendLease(lease, result -> {
            if (expectedRound != round || !isLeading) {
                return;
            }
            if (result.hasStatus(200)) {
                extendValidity(sent);
                context.schedule(
                        Math.max(100, ttlMs / 5 - context.now().since(sent)), () -> extendLease(expectedRound));
            } else if (result.hasStatus(404)) {
                loseLeadership("the lease ended");
            } else if (result.kind() == CallResult.Kind.UNKNOWN && !holdsLease()) {
                // The extensions may still take effect without a response, and would keep all other nodes from taking
                // the key.
                loseLeadership("the state service has not answered for a lease");
            } else {
                context.schedule(300, () -> extendLease(expectedRound));
            }
        });
    }

    /** Gives up leadership so that another node can win; this node campaigns again after {@code forMs} milliseconds. */
    public void stepDown(String cause, long forMs) {
        campaignFrom = context.now().plusMs(forMs);
        loseLeadership(cause);
    }

    /**
     * Gives up leadership because this node can't read what a leader needs; it would keep the lease and do nothing.
     *
     * @param key the key or prefix that was read
     * @param problem what is wrong with the answer
     */
    public void stepDownUnreadable(String key, String problem) {
        stepDown("answers about " + key + " can't be read: " + problem, UNREADABLE_PAUSE_MS);
    }

    /** Ends this node's leadership because the key or its lease is lost, or another node is to lead. */
    public void loseLeadership(String cause) {
        if (!isLeading) {
            return;
        }
        LOG.info("leadership lost: node={} token={} cause={}", node, fencingToken.text(), cause);
        isLeading = false;
        leader = null;
        store.revokeLease(lease);
        listener.leadershipLost();
        start();
    }
}
