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

/** A node's copy of the release calendar, read once from the state service and then kept up to date by a watch. */
final class ReleaseRegistry {
    static final String RELEASES_PREFIX = "rl/set/";
    private static final Logger LOG = LoggerFactory.getLogger(ReleaseRegistry.class);

    /** Receives changes of releases. */
    interface Listener {
        /**
         * Called after a release was put, moved or removed; {@code before} or {@code now} is null if there was or is none. Both are
         * null after the first read.
         */
        void releaseChanged(Release before, Release now);
    }

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final Listener listener;
    private final Map<String, Release> releases = new TreeMap<>();
    private Releases snapshot = Releases.NONE;
    private boolean loaded;

    ReleaseRegistry(ControllerContext context, StoreClient store, TokenBucket requests, Listener listener) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.listener = listener;
    }

    void start() {
        new PrefixWatch(context, store, requests, RELEASES_PREFIX, releases::clear, this::apply, this::applyChanges)
                .start();
    }

    Releases snapshot() {
        return snapshot;
    }

    /** Returns whether the releases have been read. */
    boolean isLoaded() {
        return loaded;
    }

    /** Returns the release, also if it is removed, or null if there is none. */
    Release find(String name) {
        return releases.get(name);
    }

    int size() {
        return releases.size();
    }

    private void apply(StoreClient.KeyValue item) {
        String name = item.key().substring(RELEASES_PREFIX.length());
        try {
            if (item.value() == null) {
                releases.remove(name);
            } else {
                Release release = Release.parse(item.value());
                Release previous = releases.get(name);
                if (previous != null && previous.changeNumber() > release.changeNumber()) {
                    LOG.error(
                            "older release record ignored, it was written by other software: release={} change={} knownChange={} keptShip={}",
                            name,
                            release.changeNumber(),
                            previous.changeNumber(),
                            previous.ship());
                    return;
                }
                releases.put(name, release);
            }
        } catch (MalformedMessageException e) {
            LOG.error(
                    "release record cannot be parsed, its jobs are ordered as jobs without a release: key={} error={}",
                    item.key(),
                    e.getMessage());
            releases.remove(name);
        }
    }

    private void applyChanges(List<StoreClient.KeyValue> items) {
        Map<String, Release> before = new TreeMap<>(releases);
        items.forEach(this::apply);
        boolean firstRead = !loaded;
        loaded = true;
        if (!firstRead && items.isEmpty()) {
            return;
        }
        snapshot = new Releases(releases.values());
        if (firstRead) {
            listener.releaseChanged(null, null);
            return;
        }
        for (StoreClient.KeyValue item : items) {
            String name = item.key().substring(RELEASES_PREFIX.length());
            listener.releaseChanged(before.get(name), releases.get(name));
        }
    }
}
