package org.beechhoist.core;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import org.beechhoist.store.Budget;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.Commit;
import org.beechhoist.store.Txn;
import org.beechhoist.wire.Baton;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.Outcome;
import org.beechhoist.wire.Revision;
import org.beechhoist.wire.Tick;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who leads: a key held by a lease. The baton is the revision of the commit that wrote the key, and every commit of
 * a leader is guarded by it. A leader trusts its lease only as long as the last extension it sent can vouch for.
 */
final class Election {
    static final String KEY = "lead";
    private static final Logger LOG = LoggerFactory.getLogger(Election.class);
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
    interface Listener {
        void won(Baton baton);

        void lost();
    }

    private final Turn turn;
    private final StoreClient store;
    private final Budget requests;
    private final String node;
    private final long ttlMs;
    private final Listener listener;
    private String leader;
    private long lease;
    private boolean leading;
    private Baton baton = Baton.NONE;
    private Baton firstBaton = Baton.NONE;
    private Tick validUntil = Tick.ZERO;
    /** When the state service last told whose the key is. */
    private Tick told = Tick.ZERO;
    /** After giving the lead up: others come first. */
    private Tick standFrom = Tick.ZERO;

    private long round;
    /** How many short reigns in a row this node has had, its earlier lives included, and when the present one began. */
    private int shortReigns;

    private long wonWallMs;

    Election(Turn turn, StoreClient store, Budget requests, String node, long ttlMs, Listener listener) {
        this.turn = turn;
        this.store = store;
        this.requests = requests;
        this.node = node;
        this.ttlMs = ttlMs;
        this.listener = listener;
    }

    /** True while this node may command workers. */
    boolean valid() {
        return leading && turn.now().before(validUntil);
    }

    /** Until when this node may command workers, by what is known now. */
    Tick validUntil() {
        return validUntil;
    }

    /** True while the leadership is not known to be lost, though perhaps suspended. */
    boolean leading() {
        return leading;
    }

    Baton baton() {
        return baton;
    }

    /** The first token of this leadership: whoever has seen it has spoken since. */
    Baton firstBaton() {
        return firstBaton;
    }

    /** The other node that leads, or null: none does, or who did so is only remembered. */
    String otherLeader() {
        return leading || turn.now().since(told) > TOLD_MS ? null : leader;
    }

    /** Guards a leader's transaction: late ones die when the key changes hands or is written anew. */
    Txn guarded() {
        return new Txn().guard(KEY, new Revision(baton.value()));
    }

    /** Adds a rewrite of the key, so that the commit's revision becomes the new baton. */
    void rotateIn(Txn txn) {
        txn.put(KEY, value(), lease);
    }

    void rotated(Revision revision) {
        baton = new Baton(revision.value());
    }

    /** What a leader finds when it reads its key. */
    enum Own {
        STILL,
        GONE,
        NOT_KNOWN
    }

    /** Reads whether the key is still held by this leadership's lease; its newest revision is the baton then. */
    void readOwn(Consumer<Own> then) {
        requests.take(turn.now(), 1);
        long held = lease;
        store.get(KEY, read -> {
            if (!read.known() || !leading || held != lease) {
                then.accept(Own.NOT_KNOWN);
            } else if (read.item() == null || read.item().lease() != held) {
                then.accept(Own.GONE);
            } else {
                rotated(read.item().version());
                then.accept(Own.STILL);
            }
        });
    }

    void start() {
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
            StoreClient.Item item = null;
            for (StoreClient.Item i : page.items()) {
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

    /** This node's earlier life held the key: was that one short reign too many? It stands again after a pause that grows. */
    private boolean endsAgainAndAgain(StoreClient.Item own) {
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
            StoreClient.Item last = null;
            for (StoreClient.Item i : changes.log()) {
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
        Tick sent = turn.now();
        requests.take(turn.now(), 2);
        store.grant(ttlMs, hold -> {
            if (expectedRound != round || hold == 0) {
                later(500, expectedRound);
                return;
            }
            wonWallMs = turn.wallMs();
            Txn txn = new Txn().guard(KEY, expected).put(KEY, value(), hold);
            store.commit(txn, commit -> {
                if (expectedRound != round) {
                    return;
                }
                if (commit.result() == Commit.Result.DONE) {
                    win(hold, commit.revision(), sent);
                } else {
                    // Ending the lease also ends a transaction that may still be on its way.
                    store.revoke(hold);
                    later(commit.result() == Commit.Result.CONFLICT ? 20 : 500, expectedRound);
                }
            });
        });
    }

    private void win(long hold, Revision revision, Tick sent) {
        lease = hold;
        leading = true;
        baton = new Baton(revision.value());
        firstBaton = baton;
        validUntil = Tick.ZERO;
        vouch(sent);
        LOG.info("leader from now on, baton {}", baton.value());
        long expectedRound = ++round;
        turn.after(ttlMs / 5, () -> extend(expectedRound));
        listener.won(baton);
    }

    private void vouch(Tick sent) {
        Tick until = sent.plusMs((long) (ttlMs * (1 - DRIFT)) - MARGIN_MS);
        if (validUntil.before(until)) {
            validUntil = until;
        }
    }

    private void extend(long expectedRound) {
        if (expectedRound != round || !leading) {
            return;
        }
        Tick sent = turn.now();
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
            } else if (result.kind() == Outcome.Kind.UNKNOWN && !valid()) {
                // Its requests may arrive all the same, and would keep the key from all others for as long as they do.
                lose("the state service has not answered for a lease");
            } else {
                turn.after(300, () -> extend(expectedRound));
            }
        });
    }

    /** Gives the lead up for another node to take; this one stands again after a while. */
    void makeWay(String cause, long forMs) {
        standFrom = turn.now().plusMs(forMs);
        lose(cause);
    }

    /** Called when the key turned out not to be this leader's any more. */
    void lose(String cause) {
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
