package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.BoundedCollections;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.controller.worker.ColdStartRecovery;
import org.beechhoist.controller.worker.FailureDetector;
import org.beechhoist.controller.worker.FaultTracker;
import org.beechhoist.controller.worker.LossRecovery;
import org.beechhoist.controller.worker.MachineReleases;
import org.beechhoist.controller.worker.TaskRemoval;
import org.beechhoist.plan.Plan;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.ServiceCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the machines: has them rented, lists them, returns what idles, is lost or never comes up. */
public final class Provisioner implements MachineReleases {
    private static final Logger LOG = LoggerFactory.getLogger(Provisioner.class);
    private static final int MAX_RETURN = 100;
    private static final int MOST_RETURN_CALLS = 4;
    private static final long EVERY_MS = 1000;
    private static final long LIST_OVERDUE_MS = 15_000;
    private static final int REMEMBERED_GONE = 4000;
    private static final long SOON_HEARD_MS = 3000;
    /** By then the cloud has taken it, or will at any moment; its answer proves that what was there is gone. */
    private static final long NOTICE_OVER_MS = 500;
    /** How long a new leadership waits for the first list before it rents without. */
    private static final long FIRST_LIST_MS = 15_000;

    private final ControllerContext turn;
    private final Settings settings;
    private final Policy policy;
    private final LeaderElection election;
    private final MachineTypeCatalog types;
    private final ClusterState book;
    private final FaultTracker faults;
    private final TaskRemoval departures;
    private final TokenBucket calls;
    private final ScaleOutPolicy renting;
    private final FailureDetector silence;
    private final LossRecovery recovery;
    private final ColdStartRecovery starting;
    private final Set<MachineId> gone = BoundedCollections.added(REMEMBERED_GONE);
    private MonotonicTime nextTurn = MonotonicTime.ZERO;
    private MonotonicTime nextList = MonotonicTime.ZERO;
    private boolean listing;
    /** Whether this leadership has seen all machines once: before that, it would rent what it already has. */
    private boolean listed;

    private int returnCalls;
    private Predicate<MachineId> kept = h -> false;

    Provisioner(
            ControllerContext turn,
            Settings settings,
            Policy policy,
            LeaderElection election,
            MachineTypeCatalog types,
            ClusterState book,
            JobOrdering ordering,
            DurationEstimates estimates,
            FaultTracker faults,
            TaskRemoval departures,
            LossRecovery recovery,
            ColdStartRecovery starting,
            BiConsumer<Machine, Heartbeat> beganAnew) {
        this.starting = starting;
        this.turn = turn;
        this.election = election;
        this.settings = settings;
        this.policy = policy;
        this.types = types;
        this.book = book;
        this.faults = faults;
        this.departures = departures;
        this.silence = new FailureDetector(turn, settings, policy, election, book, starting, recovery, beganAnew);
        this.recovery = recovery;
        this.calls = new TokenBucket(settings.cloudLimits().rps() * 0.8);
        this.renting = new ScaleOutPolicy(turn, policy, election, types, book, ordering, estimates, calls);
    }

    /** A new leadership begins: its fencing token makes the names of its rentals. */
    void reset(FencingToken newBaton) {
        renting.reset(newBaton);
        listed = false;
        listing = false;
        returnCalls = 0;
        silence.reset();
        recovery.reset();
        nextList = turn.now();
        nextTurn = turn.now();
    }

    /** Whether this leadership has seen all machines that the cloud lists. */
    boolean listed() {
        return listed;
    }

    /** Who knows which machines have a place that is kept for a task on its way. */
    void kept(Predicate<MachineId> by) {
        kept = by;
    }

    ScaleOutPolicy renting() {
        return renting;
    }

    @Override
    public boolean gone(MachineId id) {
        return gone.contains(id);
    }

    long readyAt(Machine machine, MachineType type) {
        if (machine.listedUp) {
            return turn.now().ms() + SOON_HEARD_MS; // it runs, and only has to find this node
        }
        long expected = (machine.rentedAt == null ? turn.now().ms() : machine.rentedAt.ms())
                + Math.round(1100 * type.startupS());
        long late = turn.now().ms() - expected;
        return late > -2000 ? turn.now().ms() + Math.max(3000, late / 2) : expected;
    }

    void tick(Plan plan) {
        if (turn.now().before(nextTurn)) {
            return;
        }
        nextTurn = turn.now().plusMs(EVERY_MS);
        lookAfterHosts(plan);
        if (turn.now().since(nextList) > LIST_OVERDUE_MS) {
            list(); // with few calls, or a fall that takes long, everything else would always come first
        }
        sendReturns(true);
        boolean oriented = listed || turn.now().since(book.wonAt()) > FIRST_LIST_MS;
        if (plan != null && oriented) {
            renting.rentFor(plan);
        }
        list();
        sendReturns(false);
    }

    /** Only what must be gone is returned: while the book is not certain nothing else is decided. */
    void returnOverdue() {
        sendReturns(true);
    }

    // ---- the list ----

    private void list() {
        if (!turn.now().before(nextList) && !listing && calls.tryTake(turn.now(), 1)) {
            listing = true;
            list(null, new HashMap<>(), turn.now());
        }
    }

    private void list(String after, Map<MachineId, JsonNode> found, MonotonicTime asked) {
        long term = book.reign();
        String path = "/machines?limit=500" + (after == null ? "" : "&after=" + after);
        turn.call(ServiceCalls.Target.CLOUD, null, "GET", path, null, 5000, result -> {
            if (term != book.reign()) {
                return;
            }
            listing = false;
            nextList = turn.now().plusMs(6000);
            if (!result.ok() || !result.body().path("hosts").isArray()) {
                return;
            }
            String last = null;
            for (JsonNode node : result.body().get("hosts")) {
                last = node.path("ref").asText("");
                if (!last.isEmpty()) {
                    found.put(new MachineId(last), node);
                }
            }
            if (result.body().path("more").asBoolean() && last != null) {
                listing = true;
                calls.take(turn.now(), 1);
                list(last, found, asked);
            } else {
                listed(found, asked);
            }
        });
    }

    private void listed(Map<MachineId, JsonNode> found, MonotonicTime asked) {
        listed = true;
        starting.listed();
        found.forEach((id, node) -> {
            if (gone.contains(id)) {
                return; // the list lags
            }
            Machine machine = book.host(id);
            if (!machine.known()) {
                machine.type = node.path("hosttype").asText(null);
                machine.zone = node.path("yard").asText(null);
                machine.spot = node.path("loaner").asBoolean();
                machine.address = node.path("address").asText(null);
            }
            if (machine.rentedAt == null) {
                machine.rentedAt =
                        asked.plusMs(-Math.round(1000 * node.path("ageS").asDouble(0)));
            }
            machine.listedUp = node.path("status").asText().equals("running");
            machine.there = true;
            if (node.path("status").asText().equals("failed")) {
                giveBack(machine, "it failed");
            }
        });
        long blind = Math.round(1000 * (2 * settings.cloudLimits().listLagS() + 5));
        for (Machine machine : book.hosts()) {
            MonotonicTime since =
                    machine.rentedAt != null ? machine.rentedAt : machine.placements.isEmpty() ? asked : book.wonAt();
            boolean old = asked.since(since) > blind;
            if (!found.containsKey(machine.id) && old && turn.now().since(book.heard(machine)) > 6000) {
                giveBack(machine, "the cloud doesn't list it any more");
            }
        }
    }

    // ---- returning ----

    @Override
    public void giveBack(Machine machine, String why) {
        if (!machine.returning) {
            machine.returning = true;
            LOG.info("{} is returned: {}", machine.id, why);
        }
    }

    private void lookAfterHosts(Plan plan) {
        Set<MachineId> planned = plan == null ? Set.of() : plan.plannedHosts();
        silence.look();
        for (Machine machine : book.hosts()) {
            if (machine.returning) {
                continue;
            }
            MachineType type = types.get(machine.type);
            if (!machine.up && !machine.placements.isEmpty() && silence.gone(machine)) {
                giveBack(machine, "it holds tasks and has not reported to this leader");
            } else if (!machine.up) {
                MonotonicTime since = machine.rentedAt == null ? book.heard(machine) : machine.rentedAt;
                double allowed = type == null ? 120 : Math.max(3 * type.startupS(), type.startupS() + 45);
                if (turn.now().since(since) > 1000 * allowed
                        && turn.now().since(book.heard(machine)) > silence.missedMs()) {
                    giveBack(machine, "it never came up");
                }
            } else if (silence.gone(machine)) {
                giveBack(machine, "it is silent");
            } else if (silence.deaf(machine)) {
                giveBack(machine, "it speaks but does not hear");
            } else if (machine.noticeEnds != null && machine.placements.isEmpty() && machine.strangers == 0) {
                giveBack(machine, "it is about to be taken and empty");
            } else if (machine.noticeEnds != null && turn.now().since(machine.noticeEnds) > NOTICE_OVER_MS) {
                giveBack(machine, "its notice has run out");
            } else if (faults.faulty(machine)) {
                giveBack(machine, "jobs of several users failed on it");
            } else if (!machine.placements.isEmpty()
                    || machine.strangers > 0
                    || planned.contains(machine.id)
                    || machine.cordonedBy != null
                    || machine.spareOf != null
                    || kept.test(machine.id)) {
                machine.idleSince = null;
            } else if (machine.idleSince == null) {
                machine.idleSince = turn.now();
            } else if (turn.now().since(machine.idleSince)
                    > (machine.spot ? policy.idleSpotMs() : policy.idleOrdinaryMs())) {
                giveBack(machine, "it idles");
            }
        }
    }

    /** Several calls may be on their way: five hundred dead machines are five calls, and their tasks wait for each. */
    private void sendReturns(boolean withTasks) {
        List<Machine> due = recovery.toReturn(withTasks);
        for (int from = 0; from < due.size() && returnCalls < MOST_RETURN_CALLS; from += MAX_RETURN) {
            if (!calls.tryTake(turn.now(), 1)) {
                return;
            }
            sendReturn(due.subList(from, Math.min(due.size(), from + MAX_RETURN)));
        }
    }

    private void sendReturn(List<Machine> hosts) {
        ObjectNode body = Codec.map();
        ArrayNode list = body.putArray("hosts");
        for (Machine machine : hosts) {
            machine.returnAsked = true;
            list.add(machine.id.text());
        }
        returnCalls++;
        long term = book.reign();
        turn.command(
                election.validUntil(),
                ServiceCalls.Target.CLOUD,
                null,
                "POST",
                "/machines/return",
                body,
                5000,
                result -> {
                    if (term != book.reign()) {
                        return;
                    }
                    returnCalls--;
                    for (Machine machine : hosts) {
                        machine.returnAsked = false;
                        if (result.is(200)) {
                            gone.add(machine.id);
                            departures.hostGone(machine.id);
                        }
                    }
                });
    }
}
