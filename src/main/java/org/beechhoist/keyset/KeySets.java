package org.beechhoist.keyset;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.beechhoist.wire.KeySetBinding;
import org.beechhoist.wire.Revision;

/**
 * All key sets as a node knows them at one moment; immutable.
 *
 * @param sets by name
 * @param mismatches mismatches by the set's name: a node has seen the set hold something else than it did, and nobody has approved it
 *     since
 * @param requiredClasses every job of these classes must be bound to a set
 * @param requiredTeams every job of these teams must be bound to a set
 */
public record KeySets(
        Map<String, StoredKeySet> sets,
        Map<String, Mismatch> mismatches,
        Set<String> requiredClasses,
        Set<String> requiredTeams) {
    /** No key sets. */
    public static final KeySets NONE = new KeySets(Map.of(), Map.of(), Set.of(), Set.of());

    /**
     * A set and the revision of its record.
     *
     * @param set null if the record can't be read
     */
    public record StoredKeySet(KeySet set, Revision revision) {}

    /**
     * A mismatch that was seen.
     *
     * @param detectedAtMs when, by the time of day
     * @param detectedBy which node saw it
     * @param found what the set held
     * @param expected what it should hold
     */
    public record Mismatch(long detectedAtMs, String detectedBy, String found, String expected) {
        String description() {
            return "it holds " + found + ", " + expected + " is what was known, seen by " + detectedBy;
        }
    }

    /**
     * What a submission is bound to, or why it is refused.
     *
     * @param keySetBinding null: it is bound to no set, and need not be
     * @param refusalReason why it can't be accepted; null: it can
     */
    public record BindingDecision(KeySetBinding keySetBinding, String refusalReason) {
        private static BindingDecision refused(String why) {
            return new BindingDecision(null, why);
        }
    }

    /** Returns the revision of the set's record. */
    public Revision revision(String set) {
        StoredKeySet known = sets.get(set);
        return known == null ? Revision.ABSENT : known.revision;
    }

    /**
     * Returns what a new job is bound to: the approved version of the set that it names, or of the one set that fits it if its class
     * or team needs one.
     *
     * @param named the set that the job names, or null
     */
    public BindingDecision bind(String team, String jobClass, String named) {
        if (named != null) {
            StoredKeySet known = sets.get(named);
            if (known == null || known.set == null) {
                return BindingDecision.refused("keySet = " + named + ": no such key set");
            }
            if (!isFor(known.set, team, jobClass)) {
                return BindingDecision.refused("keySet = " + named + ": it is for " + known.set.owner()
                        + (known.set.classes().isEmpty() ? "" : " and " + known.set.classes()));
            }
            return bound(known.set);
        }
        if (!requiredClasses.contains(jobClass) && !requiredTeams.contains(team)) {
            return new BindingDecision(null, null);
        }
        Map<String, KeySet> fitting = new TreeMap<>();
        for (StoredKeySet known : sets.values()) {
            if (known.set != null && isFor(known.set, team, jobClass) && known.set.approvedVersion() != null) {
                fitting.put(known.set.name(), known.set);
            }
        }
        // A set for the class goes before one for the whole team.
        List<KeySet> forClass = fitting.values().stream()
                .filter(set -> !set.classes().isEmpty())
                .toList();
        List<KeySet> left = forClass.isEmpty() ? List.copyOf(fitting.values()) : forClass;
        if (left.isEmpty()) {
            return BindingDecision.refused(
                    "keySet: jobs of " + team + " and " + jobClass + " need an approved key set, and there is none");
        }
        if (left.size() > 1) {
            return BindingDecision.refused(
                    "keySet: one of " + left.stream().map(KeySet::name).toList() + " is expected");
        }
        return bound(left.get(0));
    }

    private BindingDecision bound(KeySet keySet) {
        KeySet.Version version = keySet.approvedVersion();
        if (version == null) {
            return BindingDecision.refused("keySet = " + keySet.name() + ": no version of it is approved");
        }
        Mismatch mark = mismatches.get(keySet.name());
        if (mark != null || !keySet.computeDigest(version).equals(version.digest())) {
            return BindingDecision.refused("keySet = " + keySet.name() + ": mismatch, "
                    + (mark != null ? mark.description() : "it does not hold what was approved"));
        }
        return new BindingDecision(new KeySetBinding(keySet.name(), version.version(), version.digest()), null);
    }

    private static boolean isFor(KeySet keySet, String team, String jobClass) {
        return keySet.owner().equals(team)
                && (keySet.classes().isEmpty() || keySet.classes().contains(jobClass));
    }

    /**
     * Returns whether a job that is bound so may run: only if the set still has exactly this version with exactly this content, and it
     * is approved, or superseded and may still be drained.
     */
    public RunDecision runDecision(KeySetBinding binding, long nowMs) {
        StoredKeySet known = sets.get(binding.keySet());
        if (known == null) {
            return RunDecision.held(0, "the state service", "the key set is gone");
        }
        Mismatch mark = mismatches.get(binding.keySet());
        if (mark != null) {
            return RunDecision.held(mark.detectedAtMs, mark.detectedBy, "mismatch: " + mark.description());
        }
        KeySet.Version version = known.set == null ? null : known.set.version(binding.version());
        if (version == null) {
            return RunDecision.held(
                    0,
                    "the state service",
                    known.set == null ? "mismatch: the key set can't be read" : "the version is gone");
        }
        String now = known.set.computeDigest(version);
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
     * Returns what of a changed record can't have been written by this software, but only by somebody who writes to the state service
     * directly; null if there is nothing of the kind.
     *
     * @param before the set as it was known, or null
     * @param number the number of its last change as stored beside it, or null
     */
    public static String findTampering(KeySet before, KeySet now, Long number) {
        if (now == null) {
            return null; // its verdict says so
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
