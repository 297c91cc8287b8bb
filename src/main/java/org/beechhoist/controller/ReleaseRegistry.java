package org.beechhoist.controller;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.PrefixWatch;
import org.beechhoist.release.Release;
import org.beechhoist.release.Releases;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What a node knows of the release calendar: read once, then followed. */
final class ReleaseRegistry {
    static final String RELEASES_PREFIX = "rl/set/";
    private static final Logger LOG = LoggerFactory.getLogger(ReleaseRegistry.class);

    /** A release was put, moved or removed, {@code before} or {@code now} being null where there was or is none. */
    interface Listener {
        void releaseChanged(Release before, Release now);
    }

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final Listener listener;
    private final Map<String, Release> known = new TreeMap<>();
    private Releases snapshot = Releases.NONE;
    private boolean read;

    ReleaseRegistry(ControllerContext context, StoreClient store, TokenBucket requests, Listener listener) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.listener = listener;
    }

    void start() {
        new PrefixWatch(context, store, requests, RELEASES_PREFIX, known::clear, this::take, this::changes).start();
    }

    Releases snapshot() {
        return snapshot;
    }

    boolean isLoaded() {
        return read;
    }

    /** The release, removed ones too, or null. */
    Release find(String name) {
        return known.get(name);
    }

    int size() {
        return known.size();
    }

    private void take(StoreClient.KeyValue item) {
        String name = item.key().substring(RELEASES_PREFIX.length());
        try {
            if (item.value() == null) {
                known.remove(name);
            } else {
                Release release = Release.parse(item.value());
                Release old = known.get(name);
                if (old != null && old.changeNumber() > release.changeNumber()) {
                    LOG.error(
                            "release {}: change {} stands after change {}: somebody else has written it; {} is kept",
                            name,
                            release.changeNumber(),
                            old.changeNumber(),
                            old.ship());
                    return;
                }
                known.put(name, release);
            }
        } catch (MalformedMessageException e) {
            LOG.error("{} can't be read, its jobs go as those without a release: {}", item.key(), e.getMessage());
            known.remove(name);
        }
    }

    private void changes(List<StoreClient.KeyValue> log) {
        Map<String, Release> before = new TreeMap<>(known);
        log.forEach(this::take);
        boolean first = !read;
        read = true;
        if (!first && log.isEmpty()) {
            return;
        }
        snapshot = new Releases(known.values());
        if (first) {
            listener.releaseChanged(null, null);
            return;
        }
        for (StoreClient.KeyValue item : log) {
            String name = item.key().substring(RELEASES_PREFIX.length());
            listener.releaseChanged(before.get(name), known.get(name));
        }
    }
}
