package org.beechhoist.controller.leadership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.CommitResult;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.Revision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who leads: a key held by a lease. The fencing token is the revision of the commit that wrote the key, and every commit of
 * a leader is guarded by it. A leader trusts its lease only as long as the last extension it sent can vouch for.
 */
public final class LeaderElection {
    public static final String KEY = "lead";
    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
    /** Covers the drift of two clocks, 0.05% each, and rounding. */
    private static final double DRIFT = 0.0015;

    private static final long MARGIN_MS = 300;
    /** A node that ends again and again would take its own key back each time, and lead for moments: others come first then. */
    private static final long SHORT_TERM_MS = 20_000;

    private static final int MAX_SHORT_TERMS = 2;
    private static final long MAX_PAUSE_MS = 8000;
    /** A watch is answered every 4 s: what the state service told longer ago is a memory. */
    private static final long LEADER_KNOWN_MS = 6000;

    /** What a change of leadership means to the rest. */
    public interface Listener {
        void won(FencingToken fencingToken);

        void lost();
    }

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final String node;
    private final long ttlMs;
    private final Listener listener;
    private String leader;
    private long lease;
    private boolean isLeading;
    private FencingToken fencingToken = FencingToken.NONE;
    private FencingToken firstFencingToken = FencingToken.NONE;
    private MonotonicTime leaseValidUntil = MonotonicTime.ZERO;
    /** When the state service last told whose the key is. */
    private MonotonicTime leaderKnownAt = MonotonicTime.ZERO;
    /** After giving the lead up: others come first. */
    private MonotonicTime campaignFrom = MonotonicTime.ZERO;

    private long round;
    /** How many short terms in a row this node has had, its earlier lives included, and when the present one began. */
    private int shortTerms;

    private long wonWallMs;

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

    /** True while this node may command workers. */
    public boolean holdsLease() {
        return isLeading && context.now().isBefore(leaseValidUntil);
    }

    /** Until when this node may command workers, by what is known now. */
    public MonotonicTime leaseValidUntil() {
        return leaseValidUntil;
    }

    /** True while the leadership is not known to be lost, though perhaps suspended. */
    boolean isLeading() {
        return isLeading;
    }

    public FencingToken fencingToken() {
        return fencingToken;
    }

    /** The first token of this leadership: whoever has seen it has spoken since. */
    public FencingToken firstFencingToken() {
        return firstFencingToken;
    }

    /** The other node that leads, or null: none does, or who did so is only remembered. */
    public String otherLeader() {
        return isLeading || context.now().since(leaderKnownAt) > LEADER_KNOWN_MS ? null : leader;
    }

    /** Guards a leader's transaction: late ones die when the key changes hands or is written anew. */
    public Transaction guardedTransaction() {
        return new Transaction().guard(KEY, new Revision(fencingToken.value()));
    }

    /** Adds a rewrite of the key, so that the commit's revision becomes the new fencing token. */
    public void addTokenRotation(Transaction transaction) {
        transaction.put(KEY, keyValue(), lease);
    }

    public void adoptToken(Revision revision) {
        fencingToken = new FencingToken(revision.value());
    }

    /** What a leader finds when it reads its key. */
    public enum KeyOwnership {
        HELD,
        LOST,
        UNKNOWN
    }

    /** Reads whether the key is still held by this leadership's lease; its newest revision is the fencing token then. */
    public void readKeyOwnership(Consumer<KeyOwnership> then) {
        requests.takeOrOverdraw(context.now(), 1);
        long held = lease;
        store.get(KEY, read -> {
            if (!read.answered() || !isLeading || held != lease) {
                then.accept(KeyOwnership.UNKNOWN);
            } else if (read.item() == null || read.item().lease() != held) {
                then.accept(KeyOwnership.LOST);
            } else {
                adoptToken(read.item().version());
                then.accept(KeyOwnership.HELD);
            }
        });
    }

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
        // A listing, for it tells the store's revision too: the key's own may be older than any change the store still
        // keeps, and a watch from there would be answered 410 at once, for ever.
        store.list(KEY, null, 10, page -> {
            if (expectedRound != round || isLeading) {
                return;
            }
            if (!page.isOk()) {
                readKeyLater(700, expectedRound);
                return;
            }
            StoreClient.KeyValue item = null;
            for (StoreClient.KeyValue i : page.items()) {
                item = i.key().equals(KEY) ? i : item;
            }
            leader = item == null ? null : item.value().path("node").asText(null);
            leaderKnownAt = context.now();
            if (item == null && context.now().isBefore(campaignFrom)) {
                readKeyLater(700, expectedRound);
            } else if (item == null) {
                campaign(expectedRound, Revision.ABSENT);
            } else if (node.equals(leader) && restartsRepeatedly(item)) {
                store.revokeLease(item.lease());
                readKeyLater(700, expectedRound);
            } else if (node.equals(leader)) {
                // An earlier life of this process held it; that process is dead, so its key may be replaced.
                leader = null;
                campaign(expectedRound, item.version());
            } else {
                watchKey(expectedRound, page.revision());
            }
        });
    }

    private ObjectNode keyValue() {
        return Codec.map().put("node", node).put("at", wonWallMs).put("short", shortTerms);
    }

    /** This node's earlier life held the key: was that one short term too many? It stands again after a pause that grows. */
    private boolean restartsRepeatedly(StoreClient.KeyValue own) {
        boolean brief = context.wallMs() - own.value().path("at").longValue() < SHORT_TERM_MS;
        shortTerms = brief ? own.value().path("short").intValue() + 1 : 0;
        if (shortTerms <= MAX_SHORT_TERMS) {
            return false;
        }
        long pause = Math.min(MAX_PAUSE_MS, 1000L << Math.min(10, shortTerms - MAX_SHORT_TERMS - 1));
        LOG.warn("{} short reigns of this node in a row: others come first for {} s", shortTerms, pause / 1000.0);
        campaignFrom = context.now().plusMs(pause);
        return true;
    }

    private void watchKey(long expectedRound, Revision after) {
        requests.takeOrOverdraw(context.now(), 1);
        store.watch(KEY, after, 4000, changes -> {
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
                last = i.key().equals(KEY) ? i : last;
            }
            if (last == null) {
                // Nothing for a while; read the key instead of trusting the watch for ever.
                readKeyLater(0, expectedRound);
            } else if (last.value() == null) {
                leader = null;
                if (context.now().isBefore(campaignFrom)) {
                    readKeyLater(700, expectedRound);
                } else {
                    campaign(expectedRound, Revision.ABSENT);
                }
            } else {
                leader = last.value().path("node").asText(null);
                watchKey(expectedRound, changes.revision());
            }
        });
    }

    private void campaign(long expectedRound, Revision expected) {
        MonotonicTime sent = context.now();
        requests.takeOrOverdraw(context.now(), 2);
        store.grantLease(ttlMs, hold -> {
            if (expectedRound != round || hold == 0) {
                readKeyLater(500, expectedRound);
                return;
            }
            wonWallMs = context.wallMs();
            Transaction transaction = new Transaction().guard(KEY, expected).put(KEY, keyValue(), hold);
            store.commit(transaction, commit -> {
                if (expectedRound != round) {
                    return;
                }
                if (commit.outcome() == CommitResult.Outcome.COMMITTED) {
                    becomeLeader(hold, commit.revision(), sent);
                } else {
                    // Ending the lease also ends a transaction that may still be on its way.
                    store.revokeLease(hold);
                    readKeyLater(commit.outcome() == CommitResult.Outcome.CONFLICT ? 20 : 500, expectedRound);
                }
            });
        });
    }

    private void becomeLeader(long hold, Revision revision, MonotonicTime sent) {
        lease = hold;
        isLeading = true;
        fencingToken = new FencingToken(revision.value());
        firstFencingToken = fencingToken;
        leaseValidUntil = MonotonicTime.ZERO;
        extendValidity(sent);
        LOG.info("leader from now on, baton {}", fencingToken.value());
        long expectedRound = ++round;
        context.schedule(ttlMs / 5, () -> extendLease(expectedRound));
        listener.won(fencingToken);
    }

    private void extendValidity(MonotonicTime sent) {
        MonotonicTime until = sent.plusMs((long) (ttlMs * (1 - DRIFT)) - MARGIN_MS);
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
                // Its requests may arrive all the same, and would keep the key from all others for as long as they do.
                loseLeadership("the state service has not answered for a lease");
            } else {
                context.schedule(300, () -> extendLease(expectedRound));
            }
        });
    }

    /** Gives the lead up for another node to take; this one stands again after a while. */
    public void stepDown(String cause, long forMs) {
        campaignFrom = context.now().plusMs(forMs);
        loseLeadership(cause);
    }

    /** Called when the key turned out not to be this leader's any more. */
    public void loseLeadership(String cause) {
        if (!isLeading) {
            return;
        }
        LOG.info("no longer leader, baton {}: {}", fencingToken.value(), cause);
        isLeading = false;
        leader = null;
        store.revokeLease(lease);
        listener.lost();
        start();
    }
}
