package org.beechhoist.keyset;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.beechhoist.wire.KeySetBinding;
import org.beechhoist.wire.Revision;

/**
 * All key sets as a node knows them at one moment.
 *
 * @param sets by name
 * @param marks by name: somebody has seen a set hold something else than it did, and nobody has approved it since
 * @param classes of which every job is bound to a set, and {@code teams}
 */
public record KeySets(Map<String, Known> sets, Map<String, Mark> marks, Set<String> classes, Set<String> teams) {
    public static final KeySets NONE = new KeySets(Map.of(), Map.of(), Set.of(), Set.of());

    /** @param set null where the record can't be read */
    public record Known(KeySet set, Revision revision) {}

    /** A mismatch that was seen: {@code saw} and {@code known} say what stood there and what should. */
    public record Mark(long atMs, String node, String saw, String known) {
        String text() {
            return "it holds " + saw + ", " + known + " is what was known, seen by " + node;
        }
    }

    /**
     * What a submission is bound to.
     *
     * @param pin null: to nothing, for nothing binds it
     * @param refusal why it can't be accepted; null: it can
     */
    public record Binding(KeySetBinding pin, String refusal) {
        private static Binding refused(String why) {
            return new Binding(null, why);
        }
    }

    public Revision revision(String set) {
        Known k = sets.get(set);
        return k == null ? Revision.ABSENT : k.revision;
    }

    /** @param named the set that the job names, or null */
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
        // One made for the class goes before one for all of the team.
        List<KeySet> forClass =
                fitting.values().stream().filter(s -> !s.classes().isEmpty()).toList();
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

    /** Whether what is bound so may run. Nothing but this very version with this very content, approved or draining, lets it. */
    public Verdict verdict(KeySetBinding pin, long nowMs) {
        Known known = sets.get(pin.keySet());
        if (known == null) {
            return Verdict.held(0, "the state service", "the key set is gone");
        }
        Mark mark = marks.get(pin.keySet());
        if (mark != null) {
            return Verdict.held(mark.atMs, mark.node, "mismatch: " + mark.text());
        }
        KeySet.Version version = known.set == null ? null : known.set.version(pin.version());
        if (version == null) {
            return Verdict.held(
                    0,
                    "the state service",
                    known.set == null ? "mismatch: the key set can't be read" : "the version is gone");
        }
        String now = known.set.digestNow(version);
        if (!now.equals(pin.digest()) || !version.digest().equals(pin.digest())) {
            return Verdict.held(
                    0, "the state service", "mismatch: it holds " + now + ", the job is bound to " + pin.digest());
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

    /** What a changed record shows that only a hand at the state service can have done; null: a change as people make them here. */
    public static String tampered(KeySet before, KeySet now, Long number) {
        if (now == null) {
            return null; // told by its verdict
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
