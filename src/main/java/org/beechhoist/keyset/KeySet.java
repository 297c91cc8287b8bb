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
 * A key set as stored in the state service under {@code ks/set/NAME}. Immutable: each change returns a new instance.
 *
 * @param owner the team whose jobs may use the set
 * @param classes the job classes that may use the set; empty allows all jobs of the owner
 * @param changeNumber the number of the last change. It only increases and is also stored under {@code ks/num/NAME}, so
 *     that an old record written back is detected
 * @param versions all versions, oldest first
 */
public record KeySet(String name, String owner, List<String> classes, long changeNumber, List<Version> versions) {
    /** Maximum number of versions of a set. */
    public static final int MAX_VERSION_COUNT = 20;

    /** Maximum number of fingerprints of a version. */
    public static final int MAX_FINGERPRINT_COUNT = 16;

    private static final int MAX_NAME_LENGTH = 64;
    private static final int MAX_TEXT_LENGTH = 120;
    private static final String NAME_PATTERN = "[a-z0-9][a-z0-9._-]{0," + (MAX_NAME_LENGTH - 1) + "}";
    private static final String FINGERPRINT_PATTERN = "[0-9A-Za-z+/=:_-]{8,100}";

    /** The state of a version; stored and sent to clients in lower case. */
    public enum State {
        PROPOSED,
        APPROVED,
        SUPERSEDED,
        REVOKED;

        /** Returns the lower-case name that is stored and sent to clients. */
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
     * @param digest the digest of the content at the time of the proposal
     * @param changedBy the author of the last change
     * @param changedAtMs the wall-clock time of that change
     * @param reason the reason given for that change
     * @param drainDeadlineMs the wall-clock time until which jobs bound to a superseded version may run; 0 if not
     *     superseded
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
        Version withState(State next, Change change, long drainDeadlineMs) {
            return new Version(
                    version, fingerprints, digest, next, change.author, change.atMs, change.reason, drainDeadlineMs);
        }
    }

    /**
     * The author, time and reason of a change.
     *
     * @param atMs wall-clock time
     */
    public record Change(String author, long atMs, String reason) {
        /** Checks that author and reason are given and not too long. */
        public Change {
            if (author.isBlank() || author.length() > MAX_TEXT_LENGTH) {
                throw new IllegalArgumentException(
                        "who = \"" + author + "\": 1 to " + MAX_TEXT_LENGTH + " characters are expected");
            }
            if (reason.isBlank() || reason.length() > MAX_TEXT_LENGTH) {
                throw new IllegalArgumentException(
                        "why = \"" + reason + "\": 1 to " + MAX_TEXT_LENGTH + " characters are expected");
            }
        }
    }

    /** Returns whether the text is a valid name of a set. */
    public static boolean isValidName(String name) {
        return name.matches(NAME_PATTERN);
    }

    // ---- content ----

    /** Returns the SHA-256 of the canonical form: name, owner, version and the fingerprints sorted by character, one per line. */
    public static String digest(String name, String owner, long version, List<String> fingerprints) {
        List<String> lines = new ArrayList<>(List.of(name, owner, Long.toString(version)));
        fingerprints.stream().sorted().forEach(lines::add);
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256")
                    .digest(String.join("\n", lines).getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every JDK provides SHA-256
        }
    }

    /** Computes the digest of the version's current content; the digest stored with it is not used. */
    public String computeDigest(Version version) {
        return digest(name, owner, version.version, version.fingerprints);
    }

    /** Returns the version with this number, or null if there is none. */
    public Version version(long number) {
        return versions.stream()
                .filter(candidate -> candidate.version == number)
                .findFirst()
                .orElse(null);
    }

    /** Returns the approved version, or null if there is none. */
    public Version approvedVersion() {
        return versions.stream()
                .filter(candidate -> candidate.state == State.APPROVED)
                .findFirst()
                .orElse(null);
    }

    // ---- changes ----

    /**
     * Returns a new set, or the given set with a further proposed version.
     *
     * @param before the current set, or null if it does not exist yet
     */
    public static KeySet propose(
            KeySet before, String name, String owner, List<String> classes, List<String> fingerprints, Change change)
            throws MalformedMessageException {
        if (!isValidName(name)) {
            throw new MalformedMessageException("name = " + name + ": a to z, 0 to 9, dot, dash and underline, "
                    + MAX_NAME_LENGTH + " at most, are expected");
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
            if (!fingerprint.matches(FINGERPRINT_PATTERN)) {
                throw new MalformedMessageException(
                        "fingerprints: " + fingerprint + ": 8 to 100 letters, digits, and + / = : _ - are expected");
            }
        }
        if (fingerprints.stream().distinct().count() < fingerprints.size()) {
            throw new MalformedMessageException("fingerprints: each is expected once");
        }
    }

    /**
     * Removes the oldest version unless it is in use. Jobs bound to a removed version are held, as for a version that never
     * existed.
     */
    private static void removeOldest(List<Version> versions, long nowMs) throws MalformedMessageException {
        Version oldest = versions.get(0);
        if (oldest.state != State.REVOKED && !(oldest.state == State.SUPERSEDED && oldest.drainDeadlineMs < nowMs)) {
            throw new MalformedMessageException(
                    "versions: " + MAX_VERSION_COUNT + " at most, and version " + oldest.version + " is still in use");
        }
        versions.remove(0);
    }

    /**
     * Returns the set with this version approved, provided that its content matches the digest. The previously approved version
     * becomes superseded.
     *
     * @param drainDeadlineMs wall-clock time until which jobs bound to the superseded version may run
     */
    public KeySet approve(long version, String digest, long drainDeadlineMs, Change change)
            throws MalformedMessageException {
        Version keyVersion = requireVersion(version);
        if (!keyVersion.digest.equals(digest) || !computeDigest(keyVersion).equals(digest)) {
            throw new MalformedMessageException(
                    "digest = " + digest + ": version " + version + " holds " + computeDigest(keyVersion));
        }
        if (keyVersion.state == State.APPROVED) {
            return withReplacedVersion(keyVersion, keyVersion);
        }
        Version current = approvedVersion();
        if (current != null && current.version > version && keyVersion.state != State.REVOKED) {
            throw new MalformedMessageException("version = " + version + ": version " + current.version
                    + " is approved; only a newer one may follow, or one that was revoked");
        }
        KeySet superseded = current == null
                ? this
                : withReplacedVersion(current, current.withState(State.SUPERSEDED, change, drainDeadlineMs));
        return superseded.withReplacedVersion(keyVersion, keyVersion.withState(State.APPROVED, change, 0));
    }

    /** Returns the set with this version revoked. */
    public KeySet revoke(long version, Change change) throws MalformedMessageException {
        Version revoked = requireVersion(version);
        return withReplacedVersion(revoked, revoked.withState(State.REVOKED, change, 0));
    }

    private Version requireVersion(long version) throws MalformedMessageException {
        Version keyVersion = version(version);
        if (keyVersion == null) {
            throw new MalformedMessageException("version = " + version + ": one of "
                    + versions.stream().map(Version::version).toList() + " is expected");
        }
        return keyVersion;
    }

    private KeySet withReplacedVersion(Version from, Version to) {
        return new KeySet(
                name,
                owner,
                classes,
                changeNumber + 1,
                versions.stream()
                        .map(candidate -> candidate == from ? to : candidate)
                        .toList());
    }

    // ---- serialization ----

    /** Returns the form of the set that is stored and sent to clients. */
    public ObjectNode toNode() {
        ObjectNode node = Codec.map().put("name", name).put("owner", owner).put("number", changeNumber);
        ArrayNode classNames = node.putArray("classes");
        classes.forEach(classNames::add);
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
            ArrayNode fingerprintArray = row.putArray("fingerprints");
            version.fingerprints.forEach(fingerprintArray::add);
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
