package org.beechhoist.core;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.beechhoist.release.Release;
import org.beechhoist.release.Releases;
import org.beechhoist.store.Budget;
import org.beechhoist.store.StoreClient;
import org.beechhoist.wire.Malformed;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What a node knows of the release calendar: read once, then followed. */
final class ReleaseBook {
    static final String SETS = "rl/set/";
    private static final Logger LOG = LoggerFactory.getLogger(ReleaseBook.class);

    /** A release was put, moved or removed, {@code before} or {@code now} being null where there was or is none. */
    interface Listener {
        void changed(Release before, Release now);
    }

    private final Turn turn;
    private final StoreClient store;
    private final Budget requests;
    private final Listener listener;
    private final Map<String, Release> known = new TreeMap<>();
    private Releases snapshot = Releases.NONE;
    private boolean read;

    ReleaseBook(Turn turn, StoreClient store, Budget requests, Listener listener) {
        this.turn = turn;
        this.store = store;
        this.requests = requests;
        this.listener = listener;
    }

    void start() {
        new Following(turn, store, requests, SETS, known::clear, this::take, this::changes).start();
    }

    Releases snapshot() {
        return snapshot;
    }

    boolean read() {
        return read;
    }

    /** The release, removed ones too, or null. */
    Release known(String name) {
        return known.get(name);
    }

    int size() {
        return known.size();
    }

    private void take(StoreClient.Item item) {
        String name = item.key().substring(SETS.length());
        try {
            if (item.value() == null) {
                known.remove(name);
            } else {
                Release release = Release.parse(item.value());
                Release old = known.get(name);
                if (old != null && old.number() > release.number()) {
                    LOG.error(
                            "release {}: change {} stands after change {}: somebody else has written it; {} is kept",
                            name,
                            release.number(),
                            old.number(),
                            old.ship());
                    return;
                }
                known.put(name, release);
            }
        } catch (Malformed e) {
            LOG.error("{} can't be read, its jobs go as those without a release: {}", item.key(), e.getMessage());
            known.remove(name);
        }
    }

    private void changes(List<StoreClient.Item> log) {
        Map<String, Release> before = new TreeMap<>(known);
        log.forEach(this::take);
        boolean first = !read;
        read = true;
        if (!first && log.isEmpty()) {
            return;
        }
        snapshot = new Releases(known.values());
        if (first) {
            listener.changed(null, null);
            return;
        }
        for (StoreClient.Item item : log) {
            String name = item.key().substring(SETS.length());
            listener.changed(before.get(name), known.get(name));
        }
    }
}
