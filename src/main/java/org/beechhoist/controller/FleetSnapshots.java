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
 * Stores snapshots of the known machines for the next leader, which uses them until the first heartbeats arrive. One part is
 * written at a time, at a fixed share of the write rate; all parts are read while the job records are loaded. The snapshots are
 * hints: the cloud's machine list and heartbeats override them.
 */
final class FleetSnapshots {
    private static final Logger LOG = LoggerFactory.getLogger(FleetSnapshots.class);
    /** The share of the write budget that must be free for a snapshot to be written. */
    private static final double MIN_FREE_WRITE_SHARE = 0.6;
    /** The share of the allowed write rate that snapshots may use. */
    private static final double MAX_WRITE_SHARE = 0.02;
    /** The age at which an unchanged part is written again, so that a recent part shows that a leader was active. */
    private static final long REFRESH_INTERVAL_MS = 120_000;

    private static final long MAX_AGE_MS = 600_000;
    private static final long FIRST_WRITE_DELAY_MS = 15_000;
    private static final long READ_RETRY_DELAY_MS = 500;
    private static final int MAX_READ_RETRIES = 6;
    private static final int READ_PAGE_ITEMS = 100;
    private static final int MS_PER_S = 1000;
    private static final double MIN_WRITES_PER_S = 0.02;
    private static final int MS_PER_MINUTE = 60_000;
    private static final int MAX_IMAGES_PER_MACHINE = 8;
    private static final int TYPICAL_MACHINE_BYTES = 80;

    private record WrittenPart(long contentHash, MonotonicTime at) {}

    private final ControllerContext context;
    private final Settings settings;
    private final StoreClient store;
    private final LeaderElection election;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final ClusterState clusterState;
    private final Map<Integer, WrittenPart> writtenParts = new HashMap<>();
    private final Set<Integer> storedParts = new HashSet<>();
    private MonotonicTime nextWriteAt = MonotonicTime.ZERO;
    private boolean writeInFlight;
    private int nextPart;
    private int partCount = 1;
    /** The largest size of a machine's entry seen in this process, in bytes. */
    private int maxMachineBytes = TYPICAL_MACHINE_BYTES;

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

    /** Starts a new term: resets the state and reads the snapshots of the previous leader. */
    void startTerm() {
        writtenParts.clear();
        storedParts.clear();
        writeInFlight = false;
        nextPart = 0;
        partCount = 1;
        nextWriteAt = context.now().plusMs(FIRST_WRITE_DELAY_MS);
        readSnapshots(null, new ArrayList<>(), 0, 0);
    }

    // ---- reading ----

    private void readSnapshots(String after, List<FleetSnapshot> snapshots, int malformed, int retries) {
        long term = clusterState.term();
        requests.takeOrOverdraw(context.now(), 1);
        store.list(FleetSnapshot.PREFIX, after, READ_PAGE_ITEMS, page -> {
            if (term != clusterState.term()) {
                return;
            }
            if (!page.isOk()) {
                if (retries < MAX_READ_RETRIES) {
                    context.schedule(READ_RETRY_DELAY_MS, () -> {
                        if (term == clusterState.term()) {
                            readSnapshots(after, snapshots, malformed, retries + 1);
                        }
                    });
                }
                return;
            }
            int malformedCount = malformed;
            for (StoreClient.KeyValue item : page.items()) {
                try {
                    FleetSnapshot snapshot = FleetSnapshot.parse(item.value());
                    if (!FleetSnapshot.key(snapshot.part()).equals(item.key())) {
                        throw new MalformedMessageException("part: does not match its key " + item.key());
                    }
                    snapshots.add(snapshot);
                    storedParts.add(snapshot.part());
                } catch (MalformedMessageException e) {
                    LOG.debug("fleet snapshot part ignored: key={} error=\"{}\"", item.key(), e.getMessage());
                    malformedCount++;
                }
            }
            if (page.more() && !page.items().isEmpty()) {
                readSnapshots(page.items().get(page.items().size() - 1).key(), snapshots, malformedCount, 0);
            } else {
                applySnapshots(snapshots, malformedCount);
            }
        });
    }

    private void applySnapshots(List<FleetSnapshot> snapshots, int malformedCount) {
        List<FleetSnapshot> usable = snapshots.stream()
                .filter(s -> Math.abs(context.wallMs() - s.wallMs()) < MAX_AGE_MS)
                .toList();
        if (malformedCount > 0 || usable.size() < snapshots.size()) {
            LOG.warn(
                    "fleet snapshot incomplete: usableParts={} expiredParts={} malformedParts={}",
                    usable.size(),
                    snapshots.size() - usable.size(),
                    malformedCount);
        }
        long addedCount = FleetSnapshot.merged(usable).values().stream()
                .filter(this::addIfUnknown)
                .count();
        if (addedCount > 0) {
            LOG.info("fleet snapshot applied: machines={}", addedCount);
            clusterState.requestReplan();
        }
    }

    /** Adds the machine unless it is known already, and returns whether it was added. */
    private boolean addIfUnknown(FleetSnapshot.Machine machine) {
        Machine known = clusterState.machine(machine.id());
        if (known.isTypeKnown()) {
            return false; // known from a heartbeat or the cloud's list, which are newer
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

    /** Checks the next part and writes it if it has changed or is old, provided that enough of the write budget is free. */
    void writeNextPart() {
        if (writeInFlight
                || context.now().isBefore(nextWriteAt)
                || writes.available(context.now()) < MIN_FREE_WRITE_SHARE * writes.capacity()) {
            return;
        }
        int count = (int) clusterState.machines().stream()
                .filter(FleetSnapshots::isIncluded)
                .count();
        partCount = FleetSnapshot.parts(
                count, maxMachineBytes, settings.stateLimits().valueBytes());
        int part = nextPart++ % partCount;
        FleetSnapshot snapshot = new FleetSnapshot(part, partCount, context.wallMs(), machinesInPart(part));
        WrittenPart old = writtenParts.get(part);
        long content = snapshot.contentHash();
        if (old == null || old.contentHash != content || context.now().since(old.at) > REFRESH_INTERVAL_MS) {
            ObjectNode value = snapshot.toNode();
            if (Codec.jsonBytes(value) <= settings.stateLimits().valueBytes()) {
                write(part, value, new WrittenPart(content, context.now()));
            }
            return;
        }
        // Deletes parts left from a larger fleet, which had more parts: they do no harm but are stale.
        storedParts.stream().filter(p -> p >= partCount).findFirst().ifPresent(p -> write(p, null, null));
    }

    private static boolean isIncluded(Machine known) {
        return known.lastHeartbeat != null && known.isTypeKnown() && known.address != null && !known.releasing;
    }

    private List<FleetSnapshot.Machine> machinesInPart(int part) {
        List<FleetSnapshot.Machine> out = new ArrayList<>();
        for (Machine known : clusterState.machines()) {
            if (isIncluded(known) && FleetSnapshot.partOf(known.id, partCount) == part) {
                FleetSnapshot.Machine machine = snapshotOf(known);
                maxMachineBytes = Math.max(maxMachineBytes, FleetSnapshot.bytes(machine));
                out.add(machine);
            }
        }
        return out;
    }

    private FleetSnapshot.Machine snapshotOf(Machine known) {
        Map<String, Double> images = new LinkedHashMap<>();
        int skip = Math.max(0, known.images.size() - MAX_IMAGES_PER_MACHINE); // the least recently used come first
        for (Map.Entry<String, Double> entry : known.images.entrySet()) {
            if (skip-- <= 0) {
                images.put(entry.getKey(), entry.getValue());
            }
        }
        long rented =
                known.rentedAt == null ? 0 : context.wallMs() - context.now().since(known.rentedAt);
        // Rounded to the minute: otherwise clock drift would change every part on each write.
        return new FleetSnapshot.Machine(
                known.id,
                known.address,
                known.type,
                known.zone,
                known.spot,
                known.epoch,
                rented / MS_PER_MINUTE * MS_PER_MINUTE,
                images);
    }

    private void write(int part, ObjectNode value, WrittenPart now) {
        Transaction transaction = election.guardedTransaction();
        if (value == null) {
            transaction.delete(FleetSnapshot.key(part));
        } else {
            transaction.put(FleetSnapshot.key(part), value);
        }
        writeInFlight = true;
        nextWriteAt = context.now()
                .plusMs(Math.round(MS_PER_S
                        / Math.max(
                                MIN_WRITES_PER_S,
                                MAX_WRITE_SHARE * settings.stateLimits().writeRps())));
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), 1);
        long term = clusterState.term();
        store.commit(transaction, commit -> {
            if (term != clusterState.term()) {
                return;
            }
            writeInFlight = false;
            if (commit.outcome() == StoreClient.CommitResult.Outcome.COMMITTED && now != null) {
                writtenParts.put(part, now);
                storedParts.add(part);
            } else if (commit.outcome() == StoreClient.CommitResult.Outcome.COMMITTED) {
                writtenParts.remove(part);
                storedParts.remove(part);
            }
        });
    }
}
