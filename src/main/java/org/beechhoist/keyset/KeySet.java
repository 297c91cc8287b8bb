package org.beechhoist.keyset;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/**
 * A key set as the state service holds it, {@code ks/set/NAME}.
 *
 * @param owner the team it is for
 * @param classes of jobs that it is for; empty: all of that team
 * @param number of its last change; it only grows, and is held beside it ({@code ks/num/NAME}) against a record that somebody
 *     brings back
 * @param versions the oldest first
 */
public record KeySet(String name, String owner, List<String> classes, long number, List<Version> versions) {
    public static final int MOST_VERSIONS = 20;
    public static final int MOST_FINGERPRINTS = 16;
    private static final int MOST_NAME = 64;
    private static final int MOST_TEXT = 120;
    private static final String NAME = "[a-z0-9][a-z0-9._-]{0," + (MOST_NAME - 1) + "}";
    private static final String FINGERPRINT = "[0-9A-Za-z+/=:_-]{8,100}";

    /** What became of a version. */
    public enum State {
        PROPOSED,
        APPROVED,
        SUPERSEDED,
        REVOKED;

        public String text() {
            return name().toLowerCase(Locale.ROOT);
        }

        static State parse(String text) throws MalformedMessageException {
            for (State state : values()) {
                if (state.text().equals(text)) {
                    return state;
                }
            }
            throw new MalformedMessageException(
                    "state = " + text + ": proposed, approved, superseded or revoked is expected");
        }
    }

    /**
     * @param digest of what it holds, as it was proposed
     * @param who changed it last, when by the time of day, and why
     * @param drainUntilMs superseded: jobs that are bound to it may run until then
     */
    public record Version(
            long version,
            List<String> fingerprints,
            String digest,
            State state,
            String who,
            long atMs,
            String why,
            long drainUntilMs) {
        Version is(State other, String by, long now, String because, long drain) {
            return new Version(version, fingerprints, digest, other, by, now, because, drain);
        }
    }

    /** Who makes a change, when and why. */
    public record Change(String who, long atMs, String why) {
        public Change {
            if (who.isBlank() || who.length() > MOST_TEXT) {
                throw new IllegalArgumentException(
                        "who = \"" + who + "\": 1 to " + MOST_TEXT + " characters are expected");
            }
            if (why.isBlank() || why.length() > MOST_TEXT) {
                throw new IllegalArgumentException(
                        "why = \"" + why + "\": 1 to " + MOST_TEXT + " characters are expected");
            }
        }
    }

    public static boolean validName(String name) {
        return name.matches(NAME);
    }

    // ---- what it holds ----

    /** Over the canonical form: name, owner and version, then the fingerprints in their order by character, a line each. */
    public static String digest(String name, String owner, long version, List<String> fingerprints) {
        List<String> lines = new ArrayList<>(List.of(name, owner, Long.toString(version)));
        fingerprints.stream().sorted().forEach(lines::add);
        try {
            byte[] sum = MessageDigest.getInstance("SHA-256")
                    .digest(String.join("\n", lines).getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(sum);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every JDK has it
        }
    }

    /** The digest of what the version holds now, whatever digest stands beside it. */
    public String digestNow(Version version) {
        return digest(name, owner, version.version, version.fingerprints);
    }

    public Version version(long number) {
        return versions.stream().filter(v -> v.version == number).findFirst().orElse(null);
    }

    public Version approved() {
        return versions.stream()
                .filter(v -> v.state == State.APPROVED)
                .findFirst()
                .orElse(null);
    }

    // ---- changes ----

    /** A new set, or a new version of one; {@code before} is null for the first. */
    public static KeySet propose(
            KeySet before, String name, String owner, List<String> classes, List<String> fingerprints, Change by)
            throws MalformedMessageException {
        if (!validName(name)) {
            throw new MalformedMessageException("name = " + name + ": a to z, 0 to 9, dot, dash and underline, "
                    + MOST_NAME + " at most, are expected");
        }
        if (before != null && !before.owner.equals(owner)) {
            throw new MalformedMessageException(
                    "owner = " + owner + ": " + before.owner + ", whose set it is, is expected");
        }
        if (fingerprints.isEmpty() || fingerprints.size() > MOST_FINGERPRINTS) {
            throw new MalformedMessageException(
                    "fingerprints: 1 to " + MOST_FINGERPRINTS + " are expected, not " + fingerprints.size());
        }
        for (String fingerprint : fingerprints) {
            if (!fingerprint.matches(FINGERPRINT)) {
                throw new MalformedMessageException(
                        "fingerprints: " + fingerprint + ": 8 to 100 letters, digits, and + / = : _ - are expected");
            }
        }
        if (fingerprints.stream().distinct().count() < fingerprints.size()) {
            throw new MalformedMessageException("fingerprints: each is expected once");
        }
        List<Version> all = new ArrayList<>(before == null ? List.of() : before.versions);
        if (all.size() == MOST_VERSIONS) {
            // Jobs that are bound to the oldest are held from then on, as if it had never been; one in use is not
            // dropped.
            State oldest = all.get(0).state;
            if (oldest != State.REVOKED && !(oldest == State.SUPERSEDED && all.get(0).drainUntilMs < by.atMs)) {
                throw new MalformedMessageException("versions: " + MOST_VERSIONS + " at most, and version "
                        + all.get(0).version + " is still in use");
            }
            all.remove(0);
        }
        long next = all.isEmpty() ? 1 : all.get(all.size() - 1).version + 1;
        List<String> sorted = fingerprints.stream().sorted().toList();
        all.add(new Version(
                next, sorted, digest(name, owner, next, sorted), State.PROPOSED, by.who, by.atMs, by.why, 0));
        return new KeySet(name, owner, List.copyOf(classes), before == null ? 1 : before.number + 1, all);
    }

    /** Approves this very version; the one approved before is superseded, and what is bound to it may run on until {@code drainUntilMs}. */
    public KeySet approve(long version, String digest, long drainUntilMs, Change by) throws MalformedMessageException {
        Version keyVersion = known(version);
        if (!keyVersion.digest.equals(digest) || !digestNow(keyVersion).equals(digest)) {
            throw new MalformedMessageException(
                    "digest = " + digest + ": version " + version + " holds " + digestNow(keyVersion));
        }
        if (keyVersion.state == State.APPROVED) {
            return changed(keyVersion, keyVersion);
        }
        Version last = approved();
        if (last != null && last.version > version && keyVersion.state != State.REVOKED) {
            throw new MalformedMessageException("version = " + version + ": version " + last.version
                    + " is approved; only a newer one may follow, or one that was revoked");
        }
        KeySet out =
                last == null ? this : changed(last, last.is(State.SUPERSEDED, by.who, by.atMs, by.why, drainUntilMs));
        return out.changed(keyVersion, keyVersion.is(State.APPROVED, by.who, by.atMs, by.why, 0));
    }

    public KeySet revoke(long version, Change by) throws MalformedMessageException {
        Version v = known(version);
        return changed(v, v.is(State.REVOKED, by.who, by.atMs, by.why, 0));
    }

    private Version known(long version) throws MalformedMessageException {
        Version keyVersion = version(version);
        if (keyVersion == null) {
            throw new MalformedMessageException("version = " + version + ": one of "
                    + versions.stream().map(Version::version).toList() + " is expected");
        }
        return keyVersion;
    }

    private KeySet changed(Version from, Version to) {
        return new KeySet(
                name,
                owner,
                classes,
                number + 1,
                versions.stream().map(v -> v == from ? to : v).toList());
    }

    // ---- as stored and shown ----

    public ObjectNode toNode() {
        ObjectNode node = Codec.map().put("name", name).put("owner", owner).put("number", number);
        ArrayNode otherClasses = node.putArray("classes");
        classes.forEach(otherClasses::add);
        ArrayNode all = node.putArray("versions");
        for (Version version : versions) {
            ObjectNode row = all.addObject()
                    .put("version", version.version)
                    .put("digest", version.digest)
                    .put("state", version.state.text())
                    .put("who", version.who)
                    .put("at", version.atMs)
                    .put("why", version.why);
            if (version.drainUntilMs > 0) {
                row.put("drainUntil", version.drainUntilMs);
            }
            ArrayNode f = row.putArray("fingerprints");
            version.fingerprints.forEach(f::add);
        }
        return node;
    }

    public static KeySet parse(JsonNode node) throws MalformedMessageException {
        if (node == null || !node.path("versions").isArray()) {
            throw new MalformedMessageException("versions: a list is expected");
        }
        List<Version> versions = new ArrayList<>();
        for (JsonNode version : node.get("versions")) {
            versions.add(new Version(
                    Codec.wholeNumber(version, "version", 1, Integer.MAX_VALUE),
                    Codec.textList(version.get("fingerprints"), "fingerprints"),
                    Codec.text(version, "digest"),
                    State.parse(Codec.text(version, "state")),
                    Codec.text(version, "who"),
                    version.path("at").asLong(),
                    Codec.text(version, "why"),
                    version.path("drainUntil").asLong()));
        }
        return new KeySet(
                Codec.text(node, "name"),
                Codec.text(node, "owner"),
                Codec.isAbsent(node, "classes") ? List.of() : Codec.textList(node.get("classes"), "classes"),
                Codec.wholeNumber(node, "number", 1, Long.MAX_VALUE),
                versions);
    }
}
