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
    private static final long SHORT_REIGN_MS = 20_000;

    private static final int MOST_SHORT_REIGNS = 2;
    private static final long LONGEST_PAUSE_MS = 8000;
    /** A watch is answered every 4 s: what the state service told longer ago is a memory. */
    private static final long TOLD_MS = 6000;

    /** What a change of leadership means to the rest. */
    public interface Listener {
        void won(FencingToken baton);

        void lost();
    }

    private final ControllerContext turn;
    private final StoreClient store;
    private final TokenBucket requests;
    private final String node;
    private final long ttlMs;
    private final Listener listener;
    private String leader;
    private long lease;
    private boolean leading;
    private FencingToken baton = FencingToken.NONE;
    private FencingToken firstBaton = FencingToken.NONE;
    private MonotonicTime validUntil = MonotonicTime.ZERO;
    /** When the state service last told whose the key is. */
    private MonotonicTime told = MonotonicTime.ZERO;
    /** After giving the lead up: others come first. */
    private MonotonicTime standFrom = MonotonicTime.ZERO;

    private long round;
    /** How many short terms in a row this node has had, its earlier lives included, and when the present one began. */
    private int shortReigns;

    private long wonWallMs;

    public LeaderElection(
            ControllerContext turn,
            StoreClient store,
            TokenBucket requests,
            String node,
            long ttlMs,
            Listener listener) {
        this.turn = turn;
        this.store = store;
        this.requests = requests;
        this.node = node;
        this.ttlMs = ttlMs;
        this.listener = listener;
    }

    /** True while this node may command workers. */
    public boolean valid() {
        return leading && turn.now().before(validUntil);
    }

    /** Until when this node may command workers, by what is known now. */
    public MonotonicTime validUntil() {
        return validUntil;
    }

    /** True while the leadership is not known to be lost, though perhaps suspended. */
    boolean leading() {
        return leading;
    }

    public FencingToken baton() {
        return baton;
    }

    /** The first token of this leadership: whoever has seen it has spoken since. */
    public FencingToken firstBaton() {
        return firstBaton;
    }

    /** The other node that leads, or null: none does, or who did so is only remembered. */
    public String otherLeader() {
        return leading || turn.now().since(told) > TOLD_MS ? null : leader;
    }

    /** Guards a leader's transaction: late ones die when the key changes hands or is written anew. */
    public Transaction guarded() {
        return new Transaction().guard(KEY, new Revision(baton.value()));
    }

    /** Adds a rewrite of the key, so that the commit's revision becomes the new fencing token. */
    public void rotateIn(Transaction txn) {
        txn.put(KEY, value(), lease);
    }

    public void rotated(Revision revision) {
        baton = new FencingToken(revision.value());
    }

    /** What a leader finds when it reads its key. */
    public enum KeyOwnership {
        STILL,
        GONE,
        NOT_KNOWN
    }

    /** Reads whether the key is still held by this leadership's lease; its newest revision is the fencing token then. */
    public void readOwn(Consumer<KeyOwnership> then) {
        requests.take(turn.now(), 1);
        long held = lease;
        store.get(KEY, read -> {
            if (!read.known() || !leading || held != lease) {
                then.accept(KeyOwnership.NOT_KNOWN);
            } else if (read.item() == null || read.item().lease() != held) {
                then.accept(KeyOwnership.GONE);
            } else {
                rotated(read.item().version());
                then.accept(KeyOwnership.STILL);
            }
        });
    }

    public void start() {
        readKey(++round);
    }

    private void later(long ms, long expectedRound) {
        turn.after(ms, () -> {
            if (expectedRound == round && !leading) {
                readKey(expectedRound);
            }
        });
    }

    private void readKey(long expectedRound) {
        requests.take(turn.now(), 1);
        // A listing, for it tells the store's revision too: the key's own may be older than any change the store still
        // keeps, and a watch from there would be answered 410 at once, for ever.
        store.list(KEY, null, 10, page -> {
            if (expectedRound != round || leading) {
                return;
            }
            if (!page.ok()) {
                later(700, expectedRound);
                return;
            }
            StoreClient.KeyValue item = null;
            for (StoreClient.KeyValue i : page.items()) {
                item = i.key().equals(KEY) ? i : item;
            }
            leader = item == null ? null : item.value().path("node").asText(null);
            told = turn.now();
            if (item == null && turn.now().before(standFrom)) {
                later(700, expectedRound);
            } else if (item == null) {
                stand(expectedRound, Revision.ABSENT);
            } else if (node.equals(leader) && endsAgainAndAgain(item)) {
                store.revoke(item.lease());
                later(700, expectedRound);
            } else if (node.equals(leader)) {
                // An earlier life of this process held it; that process is dead, so its key may be replaced.
                leader = null;
                stand(expectedRound, item.version());
            } else {
                watch(expectedRound, page.revision());
            }
        });
    }

    private ObjectNode value() {
        return Codec.map().put("node", node).put("at", wonWallMs).put("short", shortReigns);
    }

    /** This node's earlier life held the key: was that one short term too many? It stands again after a pause that grows. */
    private boolean endsAgainAndAgain(StoreClient.KeyValue own) {
        boolean brief = turn.wallMs() - own.value().path("at").longValue() < SHORT_REIGN_MS;
        shortReigns = brief ? own.value().path("short").intValue() + 1 : 0;
        if (shortReigns <= MOST_SHORT_REIGNS) {
            return false;
        }
        long pause = Math.min(LONGEST_PAUSE_MS, 1000L << Math.min(10, shortReigns - MOST_SHORT_REIGNS - 1));
        LOG.warn("{} short reigns of this node in a row: others come first for {} s", shortReigns, pause / 1000.0);
        standFrom = turn.now().plusMs(pause);
        return true;
    }

    private void watch(long expectedRound, Revision after) {
        requests.take(turn.now(), 1);
        store.changes(KEY, after, 4000, changes -> {
            if (expectedRound != round || leading) {
                return;
            }
            if (changes.status() != 200) {
                later(changes.status() == 410 ? 100 : 500, expectedRound);
                return;
            }
            told = turn.now();
            StoreClient.KeyValue last = null;
            for (StoreClient.KeyValue i : changes.log()) {
                last = i.key().equals(KEY) ? i : last;
            }
            if (last == null) {
                // Nothing for a while; read the key instead of trusting the watch for ever.
                later(0, expectedRound);
            } else if (last.value() == null) {
                leader = null;
                if (turn.now().before(standFrom)) {
                    later(700, expectedRound);
                } else {
                    stand(expectedRound, Revision.ABSENT);
                }
            } else {
                leader = last.value().path("node").asText(null);
                watch(expectedRound, changes.revision());
            }
        });
    }

    private void stand(long expectedRound, Revision expected) {
        MonotonicTime sent = turn.now();
        requests.take(turn.now(), 2);
        store.grant(ttlMs, hold -> {
            if (expectedRound != round || hold == 0) {
                later(500, expectedRound);
                return;
            }
            wonWallMs = turn.wallMs();
            Transaction txn = new Transaction().guard(KEY, expected).put(KEY, value(), hold);
            store.commit(txn, commit -> {
                if (expectedRound != round) {
                    return;
                }
                if (commit.result() == CommitResult.Outcome.DONE) {
                    win(hold, commit.revision(), sent);
                } else {
                    // Ending the lease also ends a transaction that may still be on its way.
                    store.revoke(hold);
                    later(commit.result() == CommitResult.Outcome.CONFLICT ? 20 : 500, expectedRound);
                }
            });
        });
    }

    private void win(long hold, Revision revision, MonotonicTime sent) {
        lease = hold;
        leading = true;
        baton = new FencingToken(revision.value());
        firstBaton = baton;
        validUntil = MonotonicTime.ZERO;
        vouch(sent);
        LOG.info("leader from now on, baton {}", baton.value());
        long expectedRound = ++round;
        turn.after(ttlMs / 5, () -> extend(expectedRound));
        listener.won(baton);
    }

    private void vouch(MonotonicTime sent) {
        MonotonicTime until = sent.plusMs((long) (ttlMs * (1 - DRIFT)) - MARGIN_MS);
        if (validUntil.before(until)) {
            validUntil = until;
        }
    }

    private void extend(long expectedRound) {
        if (expectedRound != round || !leading) {
            return;
        }
        MonotonicTime sent = turn.now();
        requests.take(turn.now(), 1);
        store.extend(lease, result -> {
            if (expectedRound != round || !leading) {
                return;
            }
            if (result.is(200)) {
                vouch(sent);
                turn.after(Math.max(100, ttlMs / 5 - turn.now().since(sent)), () -> extend(expectedRound));
            } else if (result.is(404)) {
                lose("the lease ended");
            } else if (result.kind() == CallResult.Kind.UNKNOWN && !valid()) {
                // Its requests may arrive all the same, and would keep the key from all others for as long as they do.
                lose("the state service has not answered for a lease");
            } else {
                turn.after(300, () -> extend(expectedRound));
            }
        });
    }

    /** Gives the lead up for another node to take; this one stands again after a while. */
    public void makeWay(String cause, long forMs) {
        standFrom = turn.now().plusMs(forMs);
        lose(cause);
    }

    /** Called when the key turned out not to be this leader's any more. */
    public void lose(String cause) {
        if (!leading) {
            return;
        }
        LOG.info("no longer leader, baton {}: {}", baton.value(), cause);
        leading = false;
        leader = null;
        store.revoke(lease);
        listener.lost();
        start();
    }
}
