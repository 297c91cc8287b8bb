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
 * @param marks mismatches by the set's name: a node has seen the set hold something else than it did, and nobody has approved it
 *     since
 * @param classes every job of these classes must be bound to a set
 * @param teams every job of these teams must be bound to a set
 */
public record KeySets(Map<String, Known> sets, Map<String, Mark> marks, Set<String> classes, Set<String> teams) {
    /** No key sets. */
    public static final KeySets NONE = new KeySets(Map.of(), Map.of(), Set.of(), Set.of());

    /**
     * A set and the revision of its record.
     *
     * @param set null if the record can't be read
     */
    public record Known(KeySet set, Revision revision) {}

    /**
     * A mismatch that was seen.
     *
     * @param atMs when, by the time of day
     * @param node which node saw it
     * @param saw what the set held
     * @param known what it should hold
     */
    public record Mark(long atMs, String node, String saw, String known) {
        String text() {
            return "it holds " + saw + ", " + known + " is what was known, seen by " + node;
        }
    }

    /**
     * What a submission is bound to, or why it is refused.
     *
     * @param keySetBinding null: it is bound to no set, and need not be
     * @param refusal why it can't be accepted; null: it can
     */
    public record Binding(KeySetBinding keySetBinding, String refusal) {
        private static Binding refused(String why) {
            return new Binding(null, why);
        }
    }

    /** Returns the revision of the set's record. */
    public Revision revision(String set) {
        Known known = sets.get(set);
        return known == null ? Revision.ABSENT : known.revision;
    }

    /**
     * Returns what a new job is bound to: the approved version of the set that it names, or of the one set that fits it if its class
     * or team needs one.
     *
     * @param named the set that the job names, or null
     */
    public Binding bind(String team, String jobClass, String named) {
        if (named != null) {
            Known known = sets.get(named);
            if (known == null || known.set == null) {
                return Binding.refused("keySet = " + named + ": no such key set");
            }
            if (!isFor(known.set, team, jobClass)) {
                return Binding.refused("keySet = " + named + ": it is for " + known.set.owner()
                        + (known.set.classes().isEmpty() ? "" : " and " + known.set.classes()));
            }
            return bound(known.set);
        }
        if (!classes.contains(jobClass) && !teams.contains(team)) {
            return new Binding(null, null);
        }
        Map<String, KeySet> fitting = new TreeMap<>();
        for (Known known : sets.values()) {
            if (known.set != null && isFor(known.set, team, jobClass) && known.set.approved() != null) {
                fitting.put(known.set.name(), known.set);
            }
        }
        // A set for the class goes before one for the whole team.
        List<KeySet> forClass = fitting.values().stream()
                .filter(set -> !set.classes().isEmpty())
                .toList();
        List<KeySet> left = forClass.isEmpty() ? List.copyOf(fitting.values()) : forClass;
        if (left.isEmpty()) {
            return Binding.refused(
                    "keySet: jobs of " + team + " and " + jobClass + " need an approved key set, and there is none");
        }
        if (left.size() > 1) {
            return Binding.refused(
                    "keySet: one of " + left.stream().map(KeySet::name).toList() + " is expected");
        }
        return bound(left.get(0));
    }

    private Binding bound(KeySet keySet) {
        KeySet.Version version = keySet.approved();
        if (version == null) {
            return Binding.refused("keySet = " + keySet.name() + ": no version of it is approved");
        }
        Mark mark = marks.get(keySet.name());
        if (mark != null || !keySet.digestNow(version).equals(version.digest())) {
            return Binding.refused("keySet = " + keySet.name() + ": mismatch, "
                    + (mark != null ? mark.text() : "it does not hold what was approved"));
        }
        return new Binding(new KeySetBinding(keySet.name(), version.version(), version.digest()), null);
    }

    private static boolean isFor(KeySet keySet, String team, String jobClass) {
        return keySet.owner().equals(team)
                && (keySet.classes().isEmpty() || keySet.classes().contains(jobClass));
    }

    /**
     * Returns whether a job that is bound so may run: only if the set still has exactly this version with exactly this content, and it
     * is approved, or superseded and may still be drained.
     */
    public Verdict verdict(KeySetBinding binding, long nowMs) {
        Known known = sets.get(binding.keySet());
        if (known == null) {
            return Verdict.held(0, "the state service", "the key set is gone");
        }
        Mark mark = marks.get(binding.keySet());
        if (mark != null) {
            return Verdict.held(mark.atMs, mark.node, "mismatch: " + mark.text());
        }
        KeySet.Version version = known.set == null ? null : known.set.version(binding.version());
        if (version == null) {
            return Verdict.held(
                    0,
                    "the state service",
                    known.set == null ? "mismatch: the key set can't be read" : "the version is gone");
        }
        String now = known.set.digestNow(version);
        if (!now.equals(binding.digest()) || !version.digest().equals(binding.digest())) {
            return Verdict.held(
                    0, "the state service", "mismatch: it holds " + now + ", the job is bound to " + binding.digest());
        }
        return switch (version.state()) {
            case APPROVED -> Verdict.MAY_RUN;
            case SUPERSEDED ->
                nowMs < version.drainUntilMs()
                        ? Verdict.MAY_RUN
                        : Verdict.held(
                                version.drainUntilMs(),
                                version.who(),
                                "superseded, and its time to drain is over: " + version.why());
            case REVOKED -> Verdict.held(version.atMs(), version.who(), "revoked: " + version.why());
            case PROPOSED -> Verdict.held(version.atMs(), version.who(), "it is not approved");
        };
    }

    /**
     * Returns what of a changed record can't have been written by this software, but only by somebody who writes to the state service
     * directly; null if there is nothing of the kind.
     *
     * @param before the set as it was known, or null
     * @param number the number of its last change as stored beside it, or null
     */
    public static String tampered(KeySet before, KeySet now, Long number) {
        if (now == null) {
            return null; // its verdict says so
        }
        for (KeySet.Version version : now.versions()) {
            KeySet.Version old = before == null ? null : before.version(version.version());
            if (!now.digestNow(version).equals(version.digest())) {
                return now.digestNow(version);
            }
            if (old != null && !old.digest().equals(version.digest())) {
                return version.digest();
            }
        }
        if (before != null && now.number() < before.number() || number != null && number != now.number()) {
            return "change " + now.number();
        }
        return null;
    }
}
