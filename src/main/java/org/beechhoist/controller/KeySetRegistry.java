package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.PrefixWatch;
import org.beechhoist.keyset.KeySet;
import org.beechhoist.keyset.KeySets;
import org.beechhoist.keyset.RunDecision;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.KeySetBinding;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.Revision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a node knows of the key sets: read once, then followed. It may be behind, so whatever rests on it is guarded by the
 * revision of the set that it was decided by. A set that holds something else than it did, by a hand that is not ours, is marked
 * in the state service for all nodes, and stays so until somebody approves it anew.
 */
final class KeySetRegistry {
    static final String PREFIX = "ks/";
    static final String SETS_PREFIX = "ks/set/";
    static final String CHANGE_NUMBERS_PREFIX = "ks/num/";
    static final String MISMATCHES_PREFIX = "ks/bad/";
    static final String REQUIRED_KEY = "ks/must";
    private static final Logger LOG = LoggerFactory.getLogger(KeySetRegistry.class);
    private static final long AGAIN_MS = 500;

    private record Number(long number, Revision revision) {}

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final String node;
    /** Something has changed: who may run is to be looked at anew. */
    private final Runnable changed;

    private final Map<String, KeySets.StoredKeySet> sets = new TreeMap<>();
    private final Map<String, Number> numbers = new HashMap<>();
    private final Map<String, KeySets.Mismatch> marks = new HashMap<>();
    /** Seen here and not stored yet. */
    private final Map<String, KeySets.Mismatch> toMark = new HashMap<>();

    private final Set<String> classes = new TreeSet<>();
    private final Set<String> teams = new TreeSet<>();
    /** Sets whose guard has failed: they have changed, and the change has not come yet. */
    private final Set<String> behind = new HashSet<>();

    private KeySets snapshot = KeySets.NONE;
    private boolean known;

    KeySetRegistry(
            ControllerContext context,
            StoreClient store,
            TokenBucket requests,
            TokenBucket writes,
            String node,
            Runnable changed) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.writes = writes;
        this.node = node;
        this.changed = changed;
    }

    void start() {
        new PrefixWatch(context, store, requests, PREFIX, this::begun, this::take, this::changes).start();
    }

    // ---- what follows from it ----

    /** What the job is bound to, or null: nothing is known yet. */
    KeySets.BindingDecision bind(JobSpec spec) {
        return known ? snapshot.bind(spec.team(), spec.jobClass(), spec.keySet()) : null;
    }

    RunDecision runDecision(KeySetBinding pin) {
        return known ? snapshot.runDecision(pin, context.wallMs()) : RunDecision.UNKNOWN;
    }

    KeySets snapshot() {
        return snapshot;
    }

    boolean isLoaded() {
        return known;
    }

    /** Whether what is known of the set may be relied on, under its guard. */
    boolean isUpToDate(String set) {
        return known && !behind.contains(set);
    }

    /** The transaction is made only if the set is as it is known here. */
    void addGuard(Transaction transaction, String set) {
        transaction.guard(SETS_PREFIX + set, snapshot.revision(set));
    }

    /** Whether the transaction failed for a set that has changed; what is known of it is read again, and {@code then} follows. */
    boolean refreshConflicting(Set<String> failed, Runnable then) {
        boolean any = false;
        for (String key : failed) {
            if (key.startsWith(SETS_PREFIX)) {
                any = true;
                refresh(key.substring(SETS_PREFIX.length()), then);
            }
        }
        return any;
    }

    private void refresh(String set, Runnable then) {
        behind.add(set);
        requests.takeOrOverdraw(context.now(), 1);
        store.get(SETS_PREFIX + set, read -> {
            if (!read.answered()) {
                context.schedule(AGAIN_MS, () -> refresh(set, then));
                return;
            }
            // The change is not judged by this one read: its number comes with the watch.
            if (read.item() == null) {
                sets.remove(set);
            } else if (sets.get(set) == null
                    || sets.get(set).revision().compareTo(read.item().version()) < 0) {
                sets.put(
                        set,
                        new KeySets.StoredKeySet(read(read.item()), read.item().version()));
            }
            behind.remove(set);
            renew();
            then.run();
        });
    }

    /** Adds to an open job's state that it is held, since when, by whom and why. */
    void addHoldDetails(ObjectNode state) {
        JsonNode pin = state.get("keySet");
        if (pin == null) {
            return;
        }
        try {
            RunDecision verdict = runDecision(KeySetBinding.parse(pin));
            if (!verdict.mayRun()) {
                ObjectNode held = state.putObject("held");
                held.put("set", pin.path("set").asText())
                        .put("version", pin.path("version").asLong())
                        .put("by", verdict.decidedBy())
                        .put("why", verdict.reason());
                if (verdict.sinceMs() > 0) {
                    held.put("since", verdict.sinceMs());
                }
                state.put("reason", "held: key set " + pin.path("set").asText() + ": " + verdict.reason());
            }
        } catch (MalformedMessageException e) {
            LOG.debug("{}", e.getMessage());
        }
    }

    // ---- reading ----

    private void begun() {
        sets.clear();
        numbers.clear();
        marks.clear();
        classes.clear();
        teams.clear();
    }

    private void changes(List<StoreClient.KeyValue> log) {
        Map<String, KeySets.StoredKeySet> before = new HashMap<>(sets);
        log.forEach(this::take);
        if (!known) {
            LOG.info("{} key sets, {} classes and {} teams need one", sets.size(), classes.size(), teams.size());
        }
        boolean first = !known;
        known = true;
        sets.forEach((name, k) -> look(name, first ? null : before.get(name), k));
        if (first || !log.isEmpty()) {
            renew();
        }
        mark();
    }

    private static KeySet read(StoreClient.KeyValue item) {
        try {
            return KeySet.parse(item.value());
        } catch (MalformedMessageException e) {
            LOG.error("{} can't be read, jobs that are bound to it are held: {}", item.key(), e.getMessage());
            return null;
        }
    }

    private void take(StoreClient.KeyValue item) {
        String key = item.key();
        boolean gone = item.value() == null;
        if (key.startsWith(SETS_PREFIX)) {
            String name = key.substring(SETS_PREFIX.length());
            KeySets.StoredKeySet old = sets.get(name);
            if (gone) {
                sets.remove(name);
            } else if (old == null || old.revision().compareTo(item.version()) < 0) {
                sets.put(name, new KeySets.StoredKeySet(read(item), item.version()));
            }
        } else if (key.startsWith(CHANGE_NUMBERS_PREFIX)) {
            String name = key.substring(CHANGE_NUMBERS_PREFIX.length());
            if (gone) {
                numbers.remove(name);
            } else {
                numbers.put(name, new Number(item.value().path("number").asLong(), item.version()));
            }
        } else if (key.startsWith(MISMATCHES_PREFIX)) {
            String name = key.substring(MISMATCHES_PREFIX.length());
            toMark.remove(name);
            if (gone) {
                marks.remove(name);
            } else {
                marks.put(
                        name,
                        new KeySets.Mismatch(
                                item.value().path("at").asLong(),
                                item.value().path("node").asText(),
                                item.value().path("saw").asText(),
                                item.value().path("known").asText()));
            }
        } else if (key.equals(REQUIRED_KEY)) {
            classes.clear();
            teams.clear();
            if (!gone) {
                item.value().path("classes").forEach(c -> classes.add(c.asText()));
                item.value().path("teams").forEach(t -> teams.add(t.asText()));
            }
        }
    }

    /** Whether somebody has written over the set: every change of ours moves its number in the same transaction. */
    private void look(String name, KeySets.StoredKeySet before, KeySets.StoredKeySet now) {
        Number number = numbers.get(name);
        if (now.set() == null
                || marks.containsKey(name)
                || before != null && before.revision().equals(now.revision())) {
            return;
        }
        KeySet old = before == null ? null : before.set();
        String saw = KeySets.findTampering(old, now.set(), number == null ? null : number.number);
        if (saw == null && (number == null || !number.revision.equals(now.revision()))) {
            saw = "change " + now.set().changeNumber() + " of another hand";
        }
        if (saw == null) {
            return;
        }
        String should = old != null && old.approvedVersion() != null
                ? old.approvedVersion().digest()
                : "change " + (number == null ? "?" : String.valueOf(number.number));
        LOG.error(
                "key set {}: mismatch: {} stands there, {} is what was known; jobs that are bound to it are held",
                name,
                saw,
                should);
        KeySets.Mismatch mark = new KeySets.Mismatch(context.wallMs(), node, saw, should);
        marks.put(name, mark);
        toMark.put(name, mark);
    }

    /** Tells all nodes, those to come too. */
    private void mark() {
        for (Map.Entry<String, KeySets.Mismatch> entry : List.copyOf(toMark.entrySet())) {
            KeySets.Mismatch mark = entry.getValue();
            Transaction transaction = new Transaction()
                    .guard(MISMATCHES_PREFIX + entry.getKey(), Revision.ABSENT)
                    .put(
                            MISMATCHES_PREFIX + entry.getKey(),
                            Codec.map()
                                    .put("at", mark.detectedAtMs())
                                    .put("node", mark.detectedBy())
                                    .put("saw", mark.found())
                                    .put("known", mark.expected()));
            requests.takeOrOverdraw(context.now(), 1);
            writes.takeOrOverdraw(context.now(), 1);
            store.commit(transaction, commit -> {
                if (commit.outcome() == StoreClient.CommitResult.Outcome.COMMITTED
                        || commit.outcome() == StoreClient.CommitResult.Outcome.CONFLICT) {
                    toMark.remove(entry.getKey(), mark);
                } else {
                    context.schedule(AGAIN_MS, this::mark);
                }
            });
        }
    }

    private void renew() {
        snapshot = new KeySets(Map.copyOf(sets), Map.copyOf(marks), Set.copyOf(classes), Set.copyOf(teams));
        changed.run();
    }

    /** Names of all sets, in their order. */
    List<String> names() {
        return new ArrayList<>(sets.keySet());
    }
}
