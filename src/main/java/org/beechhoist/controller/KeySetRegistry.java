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
 * A node's copy of the key sets, read once from the state service and then kept up to date by a watch. The copy may be stale, so
 * each decision based on it is guarded by the revision of the set. If a set was changed by anything other than this software, a
 * mismatch is stored in the state service for all nodes. It remains until a person approves a version again.
 */
final class KeySetRegistry {
    static final String PREFIX = "ks/";
    static final String SETS_PREFIX = "ks/set/";
    static final String CHANGE_NUMBERS_PREFIX = "ks/num/";
    static final String MISMATCHES_PREFIX = "ks/bad/";
    static final String REQUIRED_KEY = "ks/must";
    private static final Logger LOG = LoggerFactory.getLogger(KeySetRegistry.class);
    private static final long RETRY_DELAY_MS = 500;

    private record ChangeNumber(long number, Revision revision) {}

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final String nodeName;
    /** Runs after each change, so that the run decisions are made again. */
    private final Runnable onChange;

    private final Map<String, KeySets.StoredKeySet> sets = new TreeMap<>();
    private final Map<String, ChangeNumber> changeNumbers = new HashMap<>();
    private final Map<String, KeySets.Mismatch> mismatches = new HashMap<>();
    /** Mismatches that were detected here and are not stored yet. */
    private final Map<String, KeySets.Mismatch> unsavedMismatches = new HashMap<>();

    private final Set<String> requiredClasses = new TreeSet<>();
    private final Set<String> requiredTeams = new TreeSet<>();
    /** Sets whose guard failed in a commit: they have changed, and the new content is not read yet. */
    private final Set<String> staleSets = new HashSet<>();

    private KeySets snapshot = KeySets.NONE;
    private boolean loaded;

    KeySetRegistry(
            ControllerContext context,
            StoreClient store,
            TokenBucket requests,
            TokenBucket writes,
            String nodeName,
            Runnable onChange) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.writes = writes;
        this.nodeName = nodeName;
        this.onChange = onChange;
    }

    void start() {
        new PrefixWatch(context, store, requests, PREFIX, this::clear, this::apply, this::applyChanges).start();
    }

    // ---- decisions ----

    /** Decides which version a new job is bound to; returns null while the key sets are not read yet. */
    KeySets.BindingDecision bind(JobSpec spec) {
        return loaded ? snapshot.bind(spec.team(), spec.jobClass(), spec.keySet()) : null;
    }

    /** Decides whether a job with this binding may run now. */
    RunDecision runDecision(KeySetBinding binding) {
        return loaded ? snapshot.runDecision(binding, context.wallMs()) : RunDecision.UNKNOWN;
    }

    KeySets snapshot() {
        return snapshot;
    }

    /** Returns whether the key sets have been read. */
    boolean isLoaded() {
        return loaded;
    }

    /** Returns whether the copy of the set is not known to be stale, so that it may be used together with its guard. */
    boolean isUpToDate(String set) {
        return loaded && !staleSets.contains(set);
    }

    /** Adds a guard to the transaction, which then fails unless the set has the revision known here. */
    void addGuard(Transaction transaction, String set) {
        transaction.guard(SETS_PREFIX + set, snapshot.revision(set));
    }

    /**
     * Reads the sets among the failed guards again, and runs {@code afterwards} for each one that was read.
     *
     * @return whether there is a set among the failed guards
     */
    boolean refreshConflicting(Set<String> failed, Runnable afterwards) {
        boolean anySet = false;
        for (String key : failed) {
            if (key.startsWith(SETS_PREFIX)) {
                anySet = true;
                refresh(key.substring(SETS_PREFIX.length()), afterwards);
            }
        }
        return anySet;
    }

    private void refresh(String set, Runnable afterwards) {
        staleSets.add(set);
        requests.takeOrOverdraw(context.now(), 1);
        store.get(SETS_PREFIX + set, read -> {
            if (!read.answered()) {
                context.schedule(RETRY_DELAY_MS, () -> refresh(set, afterwards));
                return;
            }
            // No mismatch check here: the change number arrives only with the watch.
            if (read.item() == null) {
                sets.remove(set);
            } else if (sets.get(set) == null
                    || sets.get(set).revision().compareTo(read.item().version()) < 0) {
                sets.put(
                        set,
                        new KeySets.StoredKeySet(
                                parseOrNull(read.item()), read.item().version()));
            }
            staleSets.remove(set);
            publishSnapshot();
            afterwards.run();
        });
    }

    /** Adds to the state of an open job, if the job may not run, since when, by whom and why it is held. */
    void addHoldDetails(ObjectNode state) {
        JsonNode binding = state.get("keySet");
        if (binding == null) {
            return;
        }
        try {
            RunDecision decision = runDecision(KeySetBinding.parse(binding));
            if (!decision.mayRun()) {
                ObjectNode held = state.putObject("held");
                held.put("set", binding.path("set").asText())
                        .put("version", binding.path("version").asLong())
                        .put("by", decision.decidedBy())
                        .put("why", decision.reason());
                if (decision.sinceMs() > 0) {
                    held.put("since", decision.sinceMs());
                }
                state.put("reason", "held: key set " + binding.path("set").asText() + ": " + decision.reason());
            }
        } catch (MalformedMessageException e) {
            LOG.debug("{}", e.getMessage());
        }
    }

    // ---- updates from the state service ----

    private void clear() {
        sets.clear();
        changeNumbers.clear();
        mismatches.clear();
        requiredClasses.clear();
        requiredTeams.clear();
    }

    private void applyChanges(List<StoreClient.KeyValue> items) {
        Map<String, KeySets.StoredKeySet> previousSets = new HashMap<>(sets);
        items.forEach(this::apply);
        if (!loaded) {
            LOG.info(
                    "key sets loaded: sets={} requiredClasses={} requiredTeams={}",
                    sets.size(),
                    requiredClasses.size(),
                    requiredTeams.size());
        }
        boolean firstRead = !loaded;
        loaded = true;
        sets.forEach((name, stored) -> detectMismatch(name, firstRead ? null : previousSets.get(name), stored));
        if (firstRead || !items.isEmpty()) {
            publishSnapshot();
        }
        saveMismatches();
    }

    private static KeySet parseOrNull(StoreClient.KeyValue item) {
        try {
            return KeySet.parse(item.value());
        } catch (MalformedMessageException e) {
            LOG.error(
                    "key set record cannot be parsed, jobs bound to it are held: key={} error={}",
                    item.key(),
                    e.getMessage());
            return null;
        }
    }

    private void apply(StoreClient.KeyValue item) {
        String key = item.key();
        boolean deleted = item.value() == null;
        if (key.startsWith(SETS_PREFIX)) {
            String name = key.substring(SETS_PREFIX.length());
            KeySets.StoredKeySet previous = sets.get(name);
            if (deleted) {
                sets.remove(name);
            } else if (previous == null || previous.revision().compareTo(item.version()) < 0) {
                sets.put(name, new KeySets.StoredKeySet(parseOrNull(item), item.version()));
            }
        } else if (key.startsWith(CHANGE_NUMBERS_PREFIX)) {
            String name = key.substring(CHANGE_NUMBERS_PREFIX.length());
            if (deleted) {
                changeNumbers.remove(name);
            } else {
                changeNumbers.put(
                        name, new ChangeNumber(item.value().path("number").asLong(), item.version()));
            }
        } else if (key.startsWith(MISMATCHES_PREFIX)) {
            String name = key.substring(MISMATCHES_PREFIX.length());
            unsavedMismatches.remove(name);
            if (deleted) {
                mismatches.remove(name);
            } else {
                mismatches.put(
                        name,
                        new KeySets.Mismatch(
                                item.value().path("at").asLong(),
                                item.value().path("node").asText(),
                                item.value().path("saw").asText(),
                                item.value().path("known").asText()));
            }
        } else if (key.equals(REQUIRED_KEY)) {
            requiredClasses.clear();
            requiredTeams.clear();
            if (!deleted) {
                item.value().path("classes").forEach(c -> requiredClasses.add(c.asText()));
                item.value().path("teams").forEach(t -> requiredTeams.add(t.asText()));
            }
        }
    }

    /** Records a mismatch if the set was written by other software: this one writes the change number in the same transaction. */
    private void detectMismatch(String name, KeySets.StoredKeySet before, KeySets.StoredKeySet now) {
        ChangeNumber number = changeNumbers.get(name);
        if (now.set() == null
                || mismatches.containsKey(name)
                || before != null && before.revision().equals(now.revision())) {
            return;
        }
        KeySet previous = before == null ? null : before.set();
        String found = KeySets.findTampering(previous, now.set(), number == null ? null : number.number);
        if (found == null && (number == null || !number.revision.equals(now.revision()))) {
            found = "change " + now.set().changeNumber() + " of another hand";
        }
        if (found == null) {
            return;
        }
        String expected = previous != null && previous.approvedVersion() != null
                ? previous.approvedVersion().digest()
                : "change " + (number == null ? "?" : String.valueOf(number.number));
        LOG.error("key set mismatch, jobs bound to it are held: set={} found={} expected={}", name, found, expected);
        KeySets.Mismatch mismatch = new KeySets.Mismatch(context.wallMs(), nodeName, found, expected);
        mismatches.put(name, mismatch);
        unsavedMismatches.put(name, mismatch);
    }

    /** Stores the detected mismatches for all nodes, including those started later. */
    private void saveMismatches() {
        for (Map.Entry<String, KeySets.Mismatch> entry : List.copyOf(unsavedMismatches.entrySet())) {
            KeySets.Mismatch mismatch = entry.getValue();
            Transaction transaction = new Transaction()
                    .guard(MISMATCHES_PREFIX + entry.getKey(), Revision.ABSENT)
                    .put(
                            MISMATCHES_PREFIX + entry.getKey(),
                            Codec.map()
                                    .put("at", mismatch.detectedAtMs())
                                    .put("node", mismatch.detectedBy())
                                    .put("saw", mismatch.found())
                                    .put("known", mismatch.expected()));
            requests.takeOrOverdraw(context.now(), 1);
            writes.takeOrOverdraw(context.now(), 1);
            store.commit(transaction, commit -> {
                if (commit.outcome() == StoreClient.CommitResult.Outcome.COMMITTED
                        || commit.outcome() == StoreClient.CommitResult.Outcome.CONFLICT) {
                    unsavedMismatches.remove(entry.getKey(), mismatch);
                } else {
                    context.schedule(RETRY_DELAY_MS, this::saveMismatches);
                }
            });
        }
    }

    private void publishSnapshot() {
        snapshot = new KeySets(
                Map.copyOf(sets), Map.copyOf(mismatches), Set.copyOf(requiredClasses), Set.copyOf(requiredTeams));
        onChange.run();
    }

    /** Returns the names of all sets, sorted. */
    List<String> names() {
        return new ArrayList<>(sets.keySet());
    }
}
