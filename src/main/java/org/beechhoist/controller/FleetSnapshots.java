package org.beechhoist.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.store.FleetSnapshot;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the next leader needs of the machines before they speak: written a part at a time, at a stated share of the changes,
 * and read while the records are. Only hints: what the cloud lists and what machines say replaces them.
 */
final class FleetSnapshots {
    private static final Logger LOG = LoggerFactory.getLogger(FleetSnapshots.class);
    /** Written only where this much of a full budget of changes is left. */
    private static final double PLENTY = 0.6;
    /** Of the allowed changes, what the notes may take. */
    private static final double SHARE = 0.02;
    /** A part that has not changed is written again after this long, so that its age tells that somebody led. */
    private static final long RENEW_MS = 120_000;

    private static final long TOO_OLD_MS = 600_000;
    private static final long FIRST_MS = 15_000;
    private static final long AGAIN_MS = 500;
    private static final int MOST_TRIES = 6;
    private static final int MOST_IMAGES = 8;
    private static final int USUAL_BYTES = 80;

    private record Written(long content, MonotonicTime at) {}

    private final ControllerContext context;
    private final Settings settings;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final ClusterState clusterState;
    private final Map<Integer, Written> written = new HashMap<>();
    private final Set<Integer> beyond = new HashSet<>();
    private MonotonicTime next = MonotonicTime.ZERO;
    private boolean inFlight;
    private int cursor;
    private int parts = 1;
    /** The largest machine that was met, in bytes. */
    private int largest = USUAL_BYTES;

    FleetSnapshots(
            ControllerContext context,
            Settings settings,
            StoreClient store,
            LeaderElection election,
            TokenBucket requests,
            TokenBucket writes,
            ClusterState clusterState) {
        this.context = context;
        this.settings = settings;
        this.store = store;
        this.election = election;
        this.requests = requests;
        this.writes = writes;
        this.clusterState = clusterState;
    }

    /** A new leadership begins: what the last one noted is read. */
    void begin() {
        written.clear();
        beyond.clear();
        inFlight = false;
        cursor = 0;
        parts = 1;
        next = context.now().plusMs(FIRST_MS);
        read(null, new ArrayList<>(), 0, 0);
    }

    // ---- reading ----

    private void read(String after, List<FleetSnapshot> whole, int unread, int tries) {
        long term = clusterState.term();
        requests.takeOrOverdraw(context.now(), 1);
        store.list(FleetSnapshot.PREFIX, after, 100, page -> {
            if (term != clusterState.term()) {
                return;
            }
            if (!page.isOk()) {
                if (tries < MOST_TRIES) {
                    context.schedule(AGAIN_MS, () -> {
                        if (term == clusterState.term()) {
                            read(after, whole, unread, tries + 1);
                        }
                    });
                }
                return;
            }
            int bad = unread;
            for (StoreClient.KeyValue item : page.items()) {
                try {
                    FleetSnapshot snapshot = FleetSnapshot.parse(item.value());
                    if (!FleetSnapshot.key(snapshot.part()).equals(item.key())) {
                        throw new MalformedMessageException("part: it stands at " + item.key());
                    }
                    whole.add(snapshot);
                    beyond.add(snapshot.part());
                } catch (MalformedMessageException e) {
                    LOG.debug("{}: {}", item.key(), e.getMessage());
                    bad++;
                }
            }
            if (page.more() && !page.items().isEmpty()) {
                read(page.items().get(page.items().size() - 1).key(), whole, bad, 0);
            } else {
                take(whole, bad);
            }
        });
    }

    private void take(List<FleetSnapshot> whole, int bad) {
        List<FleetSnapshot> usable = whole.stream()
                .filter(s -> Math.abs(context.wallMs() - s.wallMs()) < TOO_OLD_MS)
                .toList();
        if (bad > 0 || usable.size() < whole.size()) {
            LOG.warn(
                    "notes on the fleet: {} parts taken, {} too old, {} torn or foreign: the cloud's list and reports tell the rest",
                    usable.size(),
                    whole.size() - usable.size(),
                    bad);
        }
        long taken = FleetSnapshot.merged(usable).values().stream()
                .filter(this::enter)
                .count();
        if (taken > 0) {
            LOG.info("notes on the fleet: {} machines known before they speak", taken);
            clusterState.requestReplan();
        }
    }

    /** Whether it was not known yet. */
    private boolean enter(FleetSnapshot.Machine machine) {
        Machine known = clusterState.machine(machine.id());
        if (known.isTypeKnown()) {
            return false; // it has spoken, or the list was quicker
        }
        known.type = machine.type();
        known.zone = machine.zone();
        known.spot = machine.spot();
        known.address = machine.address();
        known.imagesEpoch = machine.epoch();
        known.listedRunning = true;
        if (machine.rentedWallMs() > 0) {
            known.rentedAt = context.now().plusMs(Math.min(0, machine.rentedWallMs() - context.wallMs()));
        }
        known.images.putAll(machine.images());
        return true;
    }

    // ---- writing ----

    /** Looks at one part, and writes it if it has changed and writes are to spare. */
    void tick() {
        if (inFlight || context.now().isBefore(next) || writes.available(context.now()) < PLENTY * writes.capacity()) {
            return;
        }
        int count = (int)
                clusterState.machines().stream().filter(FleetSnapshots::noted).count();
        parts = FleetSnapshot.parts(count, largest, settings.stateLimits().valueBytes());
        int part = cursor++ % parts;
        FleetSnapshot snapshot = new FleetSnapshot(part, parts, context.wallMs(), machines(part));
        Written old = written.get(part);
        long content = snapshot.contentHash();
        if (old == null || old.content != content || context.now().since(old.at) > RENEW_MS) {
            ObjectNode value = snapshot.toNode();
            if (Codec.jsonBytes(value) <= settings.stateLimits().valueBytes()) {
                write(part, value, new Written(content, context.now()));
            }
            return;
        }
        // The fleet was larger once: what it was cut into then is in the way of nobody, but stale.
        beyond.stream().filter(p -> p >= parts).findFirst().ifPresent(p -> write(p, null, null));
    }

    private static boolean noted(Machine known) {
        return known.lastHeartbeat != null && known.isTypeKnown() && !known.releasing;
    }

    private List<FleetSnapshot.Machine> machines(int part) {
        List<FleetSnapshot.Machine> out = new ArrayList<>();
        for (Machine known : clusterState.machines()) {
            if (noted(known) && FleetSnapshot.partOf(known.id, parts) == part) {
                FleetSnapshot.Machine machine = machine(known);
                largest = Math.max(largest, FleetSnapshot.bytes(machine));
                out.add(machine);
            }
        }
        return out;
    }

    private FleetSnapshot.Machine machine(Machine known) {
        Map<String, Double> images = new LinkedHashMap<>();
        int skip = Math.max(0, known.images.size() - MOST_IMAGES); // the least recently used come first
        for (Map.Entry<String, Double> entry : known.images.entrySet()) {
            if (skip-- <= 0) {
                images.put(entry.getKey(), entry.getValue());
            }
        }
        long rented =
                known.rentedAt == null ? 0 : context.wallMs() - context.now().since(known.rentedAt);
        // To the minute: the clocks' wander would make every part differ every time.
        return new FleetSnapshot.Machine(
                known.id,
                known.address,
                known.type,
                known.zone,
                known.spot,
                known.epoch,
                rented / 60_000 * 60_000,
                images);
    }

    private void write(int part, ObjectNode value, Written now) {
        Transaction transaction = election.guardedTransaction();
        if (value == null) {
            transaction.delete(FleetSnapshot.key(part));
        } else {
            transaction.put(FleetSnapshot.key(part), value);
        }
        inFlight = true;
        next = context.now()
                .plusMs(Math.round(
                        1000 / Math.max(0.02, SHARE * settings.stateLimits().writeRps())));
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), 1);
        long term = clusterState.term();
        store.commit(transaction, commit -> {
            if (term != clusterState.term()) {
                return;
            }
            inFlight = false;
            if (commit.outcome() == StoreClient.CommitResult.Outcome.COMMITTED && now != null) {
                written.put(part, now);
                beyond.add(part);
            } else if (commit.outcome() == StoreClient.CommitResult.Outcome.COMMITTED) {
                written.remove(part);
                beyond.remove(part);
            }
        });
    }
}
