package org.beechhoist.keyset;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.beechhoist.wire.KeySetBinding;
import org.beechhoist.wire.Revision;

/**
 * An immutable snapshot of all key sets, as a node has read them.
 *
 * @param sets the sets by name
 * @param mismatches detected mismatches by set name: a node found that the content was changed without a recorded change, and no
 *     version has been approved since
 * @param requiredClasses job classes whose jobs must be bound to a set
 * @param requiredTeams teams whose jobs must be bound to a set
 */
public record KeySets(
        Map<String, StoredKeySet> sets,
        Map<String, Mismatch> mismatches,
        Set<String> requiredClasses,
        Set<String> requiredTeams) {
    /** The snapshot without key sets. */
    public static final KeySets NONE = new KeySets(Map.of(), Map.of(), Set.of(), Set.of());

    /**
     * A key set and the revision of its stored record.
     *
     * @param set the key set, or null if the record cannot be parsed
     */
    public record StoredKeySet(KeySet set, Revision revision) {}

    /**
     * A difference between the stored and the expected content of a key set.
     *
     * @param detectedAtMs wall-clock time of the detection
     * @param detectedBy the node that detected it
     * @param found the digest or change that was found
     * @param expected the digest or change that was expected
     */
    public record Mismatch(long detectedAtMs, String detectedBy, String found, String expected) {
        String description() {
            return "it holds " + found + ", " + expected + " is what was known, seen by " + detectedBy;
        }
    }

    /**
     * The version that a submission is bound to, or the reason why it is refused.
     *
     * @param keySetBinding the binding; null if the job is refused, or is not bound to a set and need not be
     * @param refusalReason the reason for the refusal; null if the job is accepted
     */
    public record BindingDecision(KeySetBinding keySetBinding, String refusalReason) {
        private static BindingDecision refused(String reason) {
            return new BindingDecision(null, reason);
        }
    }

    /** Returns the revision of the set's record; {@link Revision#ABSENT} if there is no such set. */
    public Revision revision(String set) {
        StoredKeySet stored = sets.get(set);
        return stored == null ? Revision.ABSENT : stored.revision;
    }

    /**
     * Decides which version a new job is bound to: the approved version of the set that it names or, if its class or team requires
     * a set, of the only set that applies to it.
     *
     * @param named the set named by the job, or null
     */
    public BindingDecision bind(String team, String jobClass, String named) {
        if (named != null) {
            StoredKeySet stored = sets.get(named);
            if (stored == null || stored.set == null) {
                return BindingDecision.refused("keySet = " + named + ": no such key set");
            }
            if (!appliesTo(stored.set, team, jobClass)) {
                return BindingDecision.refused("keySet = " + named + ": it is for " + stored.set.owner()
                        + (stored.set.classes().isEmpty() ? "" : " and " + stored.set.classes()));
            }
            return decideFor(stored.set);
        }
        if (!requiredClasses.contains(jobClass) && !requiredTeams.contains(team)) {
            return new BindingDecision(null, null);
        }
        Map<String, KeySet> applicable = new TreeMap<>();
        for (StoredKeySet stored : sets.values()) {
            if (stored.set != null && appliesTo(stored.set, team, jobClass) && stored.set.approvedVersion() != null) {
                applicable.put(stored.set.name(), stored.set);
            }
        }
        // A set for the job class takes precedence over one for the whole team.
        List<KeySet> forClass = applicable.values().stream()
                .filter(set -> !set.classes().isEmpty())
                .toList();
        List<KeySet> candidates = forClass.isEmpty() ? List.copyOf(applicable.values()) : forClass;
        if (candidates.isEmpty()) {
            return BindingDecision.refused(
                    "keySet: jobs of " + team + " and " + jobClass + " need an approved key set, and there is none");
        }
        if (candidates.size() > 1) {
            return BindingDecision.refused(
                    "keySet: one of " + candidates.stream().map(KeySet::name).toList() + " is expected");
        }
        return decideFor(candidates.get(0));
    }

    private BindingDecision decideFor(KeySet keySet) {
        KeySet.Version version = keySet.approvedVersion();
        if (version == null) {
            return BindingDecision.refused("keySet = " + keySet.name() + ": no version of it is approved");
        }
        Mismatch mismatch = mismatches.get(keySet.name());
        if (mismatch != null || !keySet.computeDigest(version).equals(version.digest())) {
            return BindingDecision.refused("keySet = " + keySet.name() + ": mismatch, "
                    + (mismatch != null ? mismatch.description() : "it does not hold what was approved"));
        }
        return new BindingDecision(new KeySetBinding(keySet.name(), version.version(), version.digest()), null);
    }

    private static boolean appliesTo(KeySet keySet, String team, String jobClass) {
        return keySet.owner().equals(team)
                && (keySet.classes().isEmpty() || keySet.classes().contains(jobClass));
    }

    /**
     * Decides whether a job with this binding may run. The set must still contain this version with the same content, and the version
     * must be approved, or superseded with its drain deadline not yet reached.
     */
    public RunDecision runDecision(KeySetBinding binding, long nowMs) {
        StoredKeySet stored = sets.get(binding.keySet());
        if (stored == null) {
            return RunDecision.held(0, "the state service", "the key set is gone");
        }
        Mismatch mismatch = mismatches.get(binding.keySet());
        if (mismatch != null) {
            return RunDecision.held(mismatch.detectedAtMs, mismatch.detectedBy, "mismatch: " + mismatch.description());
        }
        KeySet.Version version = stored.set == null ? null : stored.set.version(binding.version());
        if (version == null) {
            return RunDecision.held(
                    0,
                    "the state service",
                    stored.set == null ? "mismatch: the key set can't be read" : "the version is gone");
        }
        String now = stored.set.computeDigest(version);
        if (!now.equals(binding.digest()) || !version.digest().equals(binding.digest())) {
            return RunDecision.held(
                    0, "the state service", "mismatch: it holds " + now + ", the job is bound to " + binding.digest());
        }
        return switch (version.state()) {
            case APPROVED -> RunDecision.MAY_RUN;
            case SUPERSEDED ->
                nowMs < version.drainDeadlineMs()
                        ? RunDecision.MAY_RUN
                        : RunDecision.held(
                                version.drainDeadlineMs(),
                                version.changedBy(),
                                "superseded, and its time to drain is over: " + version.reason());
            case REVOKED ->
                RunDecision.held(version.changedAtMs(), version.changedBy(), "revoked: " + version.reason());
            case PROPOSED -> RunDecision.held(version.changedAtMs(), version.changedBy(), "it is not approved");
        };
    }

    /**
     * Returns the digest or change in a modified record that this software cannot have written, which means that the record was
     * written to the state service directly; null if there is none.
     *
     * @param before the previously read set, or null
     * @param number the number of the last change as stored under its own key, or null
     */
    public static String findTampering(KeySet before, KeySet now, Long number) {
        if (now == null) {
            return null; // runDecision reports a record that cannot be parsed
        }
        for (KeySet.Version version : now.versions()) {
            KeySet.Version old = before == null ? null : before.version(version.version());
            if (!now.computeDigest(version).equals(version.digest())) {
                return now.computeDigest(version);
            }
            if (old != null && !old.digest().equals(version.digest())) {
                return version.digest();
            }
        }
        if (before != null && now.changeNumber() < before.changeNumber()
                || number != null && number != now.changeNumber()) {
            return "change " + now.changeNumber();
        }
        return null;
    }
}
