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
import org.beechhoist.controller.context.ServiceRequest;
import org.beechhoist.controller.leadership.ControllerServices;
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

    private final ControllerContext context;
    private final Settings settings;
    private final Policy policy;
    private final LeaderElection election;
    private final MachineTypeCatalog machineTypes;
    private final ClusterState clusterState;
    private final FaultTracker faultTracker;
    private final TaskRemoval taskRemoval;
    private final TokenBucket calls;
    private final ScaleOutPolicy scaleOut;
    private final FailureDetector failureDetector;
    private final LossRecovery lossRecovery;
    private final ColdStartRecovery coldStart;
    private final Set<MachineId> gone = BoundedCollections.insertionOrderedSet(REMEMBERED_GONE);
    private MonotonicTime nextTurn = MonotonicTime.ZERO;
    private MonotonicTime nextList = MonotonicTime.ZERO;
    private boolean listing;
    /** Whether this leadership has seen all machines once: before that, it would rent what it already has. */
    private boolean listed;

    private int returnCalls;
    private Predicate<MachineId> kept = h -> false;

    Provisioner(
            ControllerServices services,
            Policy policy,
            MachineTypeCatalog machineTypes,
            ClusterState clusterState,
            JobOrdering ordering,
            DurationEstimates estimates,
            FaultTracker faultTracker,
            TaskRemoval taskRemoval,
            LossRecovery lossRecovery,
            ColdStartRecovery coldStart,
            BiConsumer<Machine, Heartbeat> beganAnew) {
        this.coldStart = coldStart;
        this.context = services.context();
        this.election = services.election();
        this.settings = services.settings();
        this.policy = policy;
        this.machineTypes = machineTypes;
        this.clusterState = clusterState;
        this.faultTracker = faultTracker;
        this.taskRemoval = taskRemoval;
        this.failureDetector = new FailureDetector(services, policy, clusterState, coldStart, lossRecovery, beganAnew);
        this.lossRecovery = lossRecovery;
        this.calls = new TokenBucket(settings.cloudLimits().rps() * 0.8);
        this.scaleOut =
                new ScaleOutPolicy(context, policy, election, machineTypes, clusterState, ordering, estimates, calls);
    }

    /** A new leadership begins: its fencing token makes the names of its rentals. */
    void reset(FencingToken newBaton) {
        scaleOut.reset(newBaton);
        listed = false;
        listing = false;
        returnCalls = 0;
        failureDetector.reset();
        lossRecovery.reset();
        nextList = context.now();
        nextTurn = context.now();
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
        return scaleOut;
    }

    @Override
    public boolean isReleased(MachineId id) {
        return gone.contains(id);
    }

    long readyAt(Machine machine, MachineType type) {
        if (machine.listedRunning) {
            return context.now().ms() + SOON_HEARD_MS; // it runs, and only has to find this node
        }
        long expected = (machine.rentedAt == null ? context.now().ms() : machine.rentedAt.ms())
                + Math.round(1100 * type.startupS());
        long late = context.now().ms() - expected;
        return late > -2000 ? context.now().ms() + Math.max(3000, late / 2) : expected;
    }

    void tick(Plan plan) {
        if (context.now().isBefore(nextTurn)) {
            return;
        }
        nextTurn = context.now().plusMs(EVERY_MS);
        lookAfterHosts(plan);
        if (context.now().since(nextList) > LIST_OVERDUE_MS) {
            list(); // with few calls, or a fall that takes long, everything else would always come first
        }
        sendReturns(true);
        boolean oriented = listed || context.now().since(clusterState.termBeganAt()) > FIRST_LIST_MS;
        if (plan != null && oriented) {
            scaleOut.rentFor(plan);
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
        if (!context.now().isBefore(nextList) && !listing && calls.tryTake(context.now(), 1)) {
            listing = true;
            list(null, new HashMap<>(), context.now());
        }
    }

    private void list(String after, Map<MachineId, JsonNode> found, MonotonicTime asked) {
        long term = clusterState.term();
        String path = "/machines?limit=500" + (after == null ? "" : "&after=" + after);
        context.call(ServiceCalls.Target.CLOUD, null, "GET", path, null, 5000, result -> {
            if (term != clusterState.term()) {
                return;
            }
            listing = false;
            nextList = context.now().plusMs(6000);
            if (!result.isOk() || !result.body().path("hosts").isArray()) {
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
                calls.takeOrOverdraw(context.now(), 1);
                list(last, found, asked);
            } else {
                listed(found, asked);
            }
        });
    }

    private void listed(Map<MachineId, JsonNode> found, MonotonicTime asked) {
        listed = true;
        coldStart.markListed();
        found.forEach((id, node) -> {
            if (gone.contains(id)) {
                return; // the list lags
            }
            Machine machine = clusterState.machine(id);
            if (!machine.isKnown()) {
                machine.type = node.path("hosttype").asText(null);
                machine.zone = node.path("yard").asText(null);
                machine.spot = node.path("loaner").asBoolean();
                machine.address = node.path("address").asText(null);
            }
            if (machine.rentedAt == null) {
                machine.rentedAt =
                        asked.plusMs(-Math.round(1000 * node.path("ageS").asDouble(0)));
            }
            machine.listedRunning = node.path("status").asText().equals("running");
            machine.confirmedPresent = true;
            if (node.path("status").asText().equals("failed")) {
                releaseMachine(machine, "it failed");
            }
        });
        long blind = Math.round(1000 * (2 * settings.cloudLimits().listLagS() + 5));
        for (Machine machine : clusterState.machines()) {
            MonotonicTime since = machine.rentedAt != null
                    ? machine.rentedAt
                    : machine.placements.isEmpty() ? asked : clusterState.termBeganAt();
            boolean old = asked.since(since) > blind;
            if (!found.containsKey(machine.id)
                    && old
                    && context.now().since(clusterState.lastHeardOf(machine)) > 6000) {
                releaseMachine(machine, "the cloud doesn't list it any more");
            }
        }
    }

    // ---- returning ----

    @Override
    public void releaseMachine(Machine machine, String why) {
        if (!machine.releasing) {
            machine.releasing = true;
            LOG.info("{} is returned: {}", machine.id, why);
        }
    }

    private void lookAfterHosts(Plan plan) {
        Set<MachineId> planned = plan == null ? Set.of() : plan.plannedMachines();
        failureDetector.check();
        for (Machine machine : clusterState.machines()) {
            if (machine.releasing) {
                continue;
            }
            MachineType type = machineTypes.get(machine.type);
            if (!machine.up && !machine.placements.isEmpty() && failureDetector.isGone(machine)) {
                releaseMachine(machine, "it holds tasks and has not reported to this leader");
            } else if (!machine.up) {
                MonotonicTime since = machine.rentedAt == null ? clusterState.lastHeardOf(machine) : machine.rentedAt;
                double allowed = type == null ? 120 : Math.max(3 * type.startupS(), type.startupS() + 45);
                if (context.now().since(since) > 1000 * allowed
                        && context.now().since(clusterState.lastHeardOf(machine))
                                > failureDetector.heartbeatTimeoutMs()) {
                    releaseMachine(machine, "it never came up");
                }
            } else if (failureDetector.isGone(machine)) {
                releaseMachine(machine, "it is silent");
            } else if (failureDetector.isUnreachable(machine)) {
                releaseMachine(machine, "it speaks but does not hear");
            } else if (machine.preemptedAt != null && machine.placements.isEmpty() && machine.unknownTasks == 0) {
                releaseMachine(machine, "it is about to be taken and empty");
            } else if (machine.preemptedAt != null && context.now().since(machine.preemptedAt) > NOTICE_OVER_MS) {
                releaseMachine(machine, "its notice has run out");
            } else if (faultTracker.isMachineFaulty(machine)) {
                releaseMachine(machine, "jobs of several users failed on it");
            } else if (!machine.placements.isEmpty()
                    || machine.unknownTasks > 0
                    || planned.contains(machine.id)
                    || machine.cordonedBy != null
                    || machine.standbyFor != null
                    || kept.test(machine.id)) {
                machine.idleSince = null;
            } else if (machine.idleSince == null) {
                machine.idleSince = context.now();
            } else if (context.now().since(machine.idleSince)
                    > (machine.spot ? policy.idleSpotMs() : policy.idleOrdinaryMs())) {
                releaseMachine(machine, "it idles");
            }
        }
    }

    /** Several calls may be on their way: five hundred dead machines are five calls, and their tasks wait for each. */
    private void sendReturns(boolean withTasks) {
        List<Machine> due = lossRecovery.machinesToRelease(withTasks);
        for (int from = 0; from < due.size() && returnCalls < MOST_RETURN_CALLS; from += MAX_RETURN) {
            if (!calls.tryTake(context.now(), 1)) {
                return;
            }
            sendReturn(due.subList(from, Math.min(due.size(), from + MAX_RETURN)));
        }
    }

    private void sendReturn(List<Machine> machines) {
        ObjectNode body = Codec.map();
        ArrayNode list = body.putArray("hosts");
        for (Machine machine : machines) {
            machine.releaseRequested = true;
            list.add(machine.id.text());
        }
        returnCalls++;
        long term = clusterState.term();
        context.callBefore(
                election.leaseValidUntil(),
                new ServiceRequest(ServiceCalls.Target.CLOUD, null, "POST", "/machines/return", body, 5000),
                result -> {
                    if (term != clusterState.term()) {
                        return;
                    }
                    returnCalls--;
                    for (Machine machine : machines) {
                        machine.releaseRequested = false;
                        if (result.hasStatus(200)) {
                            gone.add(machine.id);
                            taskRemoval.machineGone(machine.id);
                        }
                    }
                });
    }
}
