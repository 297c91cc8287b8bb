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
 * A key set as the state service holds it, {@code ks/set/NAME}. It is immutable: a change returns a new one.
 *
 * @param owner the team that it is for
 * @param classes the classes of jobs that it is for; empty: all jobs of that team
 * @param changeNumber the number of its last change; it only grows, and is stored beside the record too ({@code ks/num/NAME}), so that
 *     an old record that somebody writes again is noticed
 * @param versions the oldest first
 */
public record KeySet(String name, String owner, List<String> classes, long changeNumber, List<Version> versions) {
    /** The most versions of a set. */
    public static final int MAX_VERSION_COUNT = 20;

    /** The most fingerprints of a version. */
    public static final int MAX_FINGERPRINT_COUNT = 16;

    private static final int MOST_NAME = 64;
    private static final int MOST_TEXT = 120;
    private static final String NAME = "[a-z0-9][a-z0-9._-]{0," + (MOST_NAME - 1) + "}";
    private static final String FINGERPRINT = "[0-9A-Za-z+/=:_-]{8,100}";

    /** The state of a version; stored and shown in lower case. */
    public enum State {
        PROPOSED,
        APPROVED,
        SUPERSEDED,
        REVOKED;

        /** Returns the state as it is stored and shown. */
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
     * One version of a set.
     *
     * @param digest the digest of what it holds, as it was proposed
     * @param changedBy who changed it last
     * @param changedAtMs when, by the time of day
     * @param reason the reason for that change
     * @param drainDeadlineMs until when jobs that are bound to a superseded version may run
     */
    public record Version(
            long version,
            List<String> fingerprints,
            String digest,
            State state,
            String changedBy,
            long changedAtMs,
            String reason,
            long drainDeadlineMs) {
        Version withState(State next, Change change, long drainUntil) {
            return new Version(
                    version, fingerprints, digest, next, change.author, change.atMs, change.reason, drainUntil);
        }
    }

    /**
     * Who makes a change, when and why.
     *
     * @param atMs by the time of day
     */
    public record Change(String author, long atMs, String reason) {
        /** Checks that who and why are given and not too long. */
        public Change {
            if (author.isBlank() || author.length() > MOST_TEXT) {
                throw new IllegalArgumentException(
                        "who = \"" + author + "\": 1 to " + MOST_TEXT + " characters are expected");
            }
            if (reason.isBlank() || reason.length() > MOST_TEXT) {
                throw new IllegalArgumentException(
                        "why = \"" + reason + "\": 1 to " + MOST_TEXT + " characters are expected");
            }
        }
    }

    /** Returns whether the text can be a set's name. */
    public static boolean isValidName(String name) {
        return name.matches(NAME);
    }

    // ---- content ----

    /** Returns the SHA-256 of the canonical form: name, owner and version, then the fingerprints sorted by character, one a line. */
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

    /** Returns the digest computed from what the version holds now, whatever digest is stored with it. */
    public String computeDigest(Version version) {
        return digest(name, owner, version.version, version.fingerprints);
    }

    /** Returns the version of this number, or null. */
    public Version version(long number) {
        return versions.stream()
                .filter(one -> one.version == number)
                .findFirst()
                .orElse(null);
    }

    /** Returns the approved version, or null. */
    public Version approvedVersion() {
        return versions.stream()
                .filter(one -> one.state == State.APPROVED)
                .findFirst()
                .orElse(null);
    }

    // ---- changes ----

    /**
     * Returns a new set, or a set with a new version.
     *
     * @param before the set so far; null: there is none
     */
    public static KeySet propose(
            KeySet before, String name, String owner, List<String> classes, List<String> fingerprints, Change change)
            throws MalformedMessageException {
        if (!isValidName(name)) {
            throw new MalformedMessageException("name = " + name + ": a to z, 0 to 9, dot, dash and underline, "
                    + MOST_NAME + " at most, are expected");
        }
        if (before != null && !before.owner.equals(owner)) {
            throw new MalformedMessageException(
                    "owner = " + owner + ": " + before.owner + ", whose set it is, is expected");
        }
        checkFingerprints(fingerprints);
        List<Version> all = new ArrayList<>(before == null ? List.of() : before.versions);
        if (all.size() == MAX_VERSION_COUNT) {
            removeOldest(all, change.atMs);
        }
        long next = all.isEmpty() ? 1 : all.get(all.size() - 1).version + 1;
        List<String> sorted = fingerprints.stream().sorted().toList();
        String digest = digest(name, owner, next, sorted);
        all.add(new Version(next, sorted, digest, State.PROPOSED, change.author, change.atMs, change.reason, 0));
        return new KeySet(name, owner, List.copyOf(classes), before == null ? 1 : before.changeNumber + 1, all);
    }

    private static void checkFingerprints(List<String> fingerprints) throws MalformedMessageException {
        if (fingerprints.isEmpty() || fingerprints.size() > MAX_FINGERPRINT_COUNT) {
            throw new MalformedMessageException(
                    "fingerprints: 1 to " + MAX_FINGERPRINT_COUNT + " are expected, not " + fingerprints.size());
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
    }

    /** Removes the oldest version unless it is in use. Jobs that are bound to it are held from then on, as if it had never existed. */
    private static void removeOldest(List<Version> versions, long nowMs) throws MalformedMessageException {
        Version oldest = versions.get(0);
        if (oldest.state != State.REVOKED && !(oldest.state == State.SUPERSEDED && oldest.drainDeadlineMs < nowMs)) {
            throw new MalformedMessageException(
                    "versions: " + MAX_VERSION_COUNT + " at most, and version " + oldest.version + " is still in use");
        }
        versions.remove(0);
    }

    /**
     * Returns the set with this version approved, if it holds what the digest says; the version approved before is superseded.
     *
     * @param drainUntilMs until when jobs that are bound to the superseded version may run
     */
    public KeySet approve(long version, String digest, long drainUntilMs, Change change)
            throws MalformedMessageException {
        Version keyVersion = existing(version);
        if (!keyVersion.digest.equals(digest) || !computeDigest(keyVersion).equals(digest)) {
            throw new MalformedMessageException(
                    "digest = " + digest + ": version " + version + " holds " + computeDigest(keyVersion));
        }
        if (keyVersion.state == State.APPROVED) {
            return changed(keyVersion, keyVersion);
        }
        Version last = approvedVersion();
        if (last != null && last.version > version && keyVersion.state != State.REVOKED) {
            throw new MalformedMessageException("version = " + version + ": version " + last.version
                    + " is approved; only a newer one may follow, or one that was revoked");
        }
        KeySet out = last == null ? this : changed(last, last.withState(State.SUPERSEDED, change, drainUntilMs));
        return out.changed(keyVersion, keyVersion.withState(State.APPROVED, change, 0));
    }

    /** Returns the set with this version revoked. */
    public KeySet revoke(long version, Change change) throws MalformedMessageException {
        Version revoked = existing(version);
        return changed(revoked, revoked.withState(State.REVOKED, change, 0));
    }

    private Version existing(long version) throws MalformedMessageException {
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
                changeNumber + 1,
                versions.stream().map(one -> one == from ? to : one).toList());
    }

    // ---- as stored and shown ----

    /** Returns the set as it is stored and shown. */
    public ObjectNode toNode() {
        ObjectNode node = Codec.map().put("name", name).put("owner", owner).put("number", changeNumber);
        ArrayNode otherClasses = node.putArray("classes");
        classes.forEach(otherClasses::add);
        ArrayNode all = node.putArray("versions");
        for (Version version : versions) {
            ObjectNode row = all.addObject()
                    .put("version", version.version)
                    .put("digest", version.digest)
                    .put("state", version.state.text())
                    .put("who", version.changedBy)
                    .put("at", version.changedAtMs)
                    .put("why", version.reason);
            if (version.drainDeadlineMs > 0) {
                row.put("drainUntil", version.drainDeadlineMs);
            }
            ArrayNode prints = row.putArray("fingerprints");
            version.fingerprints.forEach(prints::add);
        }
        return node;
    }

    /** Reads a stored set. */
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
