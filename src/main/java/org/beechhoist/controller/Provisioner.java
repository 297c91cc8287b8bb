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
import org.beechhoist.controller.worker.MachineLossTracker;
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

/** Manages the rented machines: lists them, rents more through {@link ScaleOutPolicy}, and releases idle, lost and failed ones. */
public final class Provisioner implements MachineReleases {
    private static final Logger LOG = LoggerFactory.getLogger(Provisioner.class);
    private static final int MAX_MACHINES_PER_RETURN = 100;
    private static final int MAX_CONCURRENT_RETURN_CALLS = 4;
    private static final long RUN_INTERVAL_MS = 1000;
    private static final long LIST_INTERVAL_MS = 6000;
    private static final long LIST_OVERDUE_MS = 15_000;
    private static final int MAX_REMEMBERED_RELEASES = 4000;
    /** The expected time until a machine that runs already sends its first heartbeat. */
    private static final long FIRST_HEARTBEAT_MS = 3000;
    /** The time before the expected start from which the estimate is extended by half of the machine's delay. */
    private static final long STARTUP_RECHECK_MS = 2000;
    /** The startup time in milliseconds per stated second, with a margin of a tenth. */
    private static final long EXPECTED_STARTUP_MS_PER_S = 1100;
    /** The time from a preemption notice to the release; the cloud's answer proves that the tasks are gone. */
    private static final long PREEMPTION_RELEASE_MS = 500;
    /** The time that a new term waits for the first complete list before it rents machines without one. */
    private static final long FIRST_LIST_TIMEOUT_MS = 15_000;
    /** The time without a heartbeat after which an unlisted machine is released. */
    private static final long UNLISTED_HEARTBEAT_TIMEOUT_MS = 6000;
    /** The margin added to the configured list lag before a missing machine counts as unlisted. */
    private static final int LIST_LAG_MARGIN_S = 5;

    private static final int CALL_TIMEOUT_MS = 5000;
    private static final int MS_PER_S = 1000;
    /** The part of the cloud's request limit that this node uses. */
    private static final double CLOUD_CALL_SHARE = 0.8;
    /** The startup time allowed for a machine of an unknown type. */
    private static final double UNKNOWN_TYPE_STARTUP_S = 120;

    private static final int STARTUP_TIMEOUT_FACTOR = 3;
    private static final int STARTUP_TIMEOUT_MARGIN_S = 45;

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
    private final MachineLossTracker lossTracker;
    private final ColdStartRecovery coldStart;
    private final Set<MachineId> released = BoundedCollections.insertionOrderedSet(MAX_REMEMBERED_RELEASES);
    private MonotonicTime nextRunAt = MonotonicTime.ZERO;
    private MonotonicTime nextListAt = MonotonicTime.ZERO;
    private boolean listInFlight;
    /** Whether a list was complete in this term: renting before that could duplicate existing machines. */
    private boolean isListComplete;

    private int returnCalls;
    private Predicate<MachineId> reservedForMigration = machine -> false;

    Provisioner(
            ControllerServices services,
            Policy policy,
            MachineTypeCatalog machineTypes,
            ClusterState clusterState,
            JobOrdering jobOrdering,
            DurationEstimates estimates,
            FaultTracker faultTracker,
            TaskRemoval taskRemoval,
            MachineLossTracker lossTracker,
            ColdStartRecovery coldStart,
            BiConsumer<Machine, Heartbeat> workerRestarted) {
        this.coldStart = coldStart;
        this.context = services.context();
        this.election = services.election();
        this.settings = services.settings();
        this.policy = policy;
        this.machineTypes = machineTypes;
        this.clusterState = clusterState;
        this.faultTracker = faultTracker;
        this.taskRemoval = taskRemoval;
        this.failureDetector =
                new FailureDetector(services, policy, clusterState, coldStart, lossTracker, workerRestarted);
        this.lossTracker = lossTracker;
        this.calls = new TokenBucket(settings.cloudLimits().rps() * CLOUD_CALL_SHARE);
        this.scaleOut = new ScaleOutPolicy(
                context, policy, election, machineTypes, clusterState, jobOrdering, estimates, calls);
    }

    /** Resets the state for a new term, whose fencing token is part of the names of its rentals. */
    void reset(FencingToken newToken) {
        scaleOut.reset(newToken);
        isListComplete = false;
        listInFlight = false;
        returnCalls = 0;
        failureDetector.reset();
        lossTracker.reset();
        nextListAt = context.now();
        nextRunAt = context.now();
    }

    /** Returns whether the cloud has listed all machines in this term. */
    boolean isListComplete() {
        return isListComplete;
    }

    /** Sets the test for machines on which a place is reserved for a migrating task; they are not released as idle. */
    void setReservedForMigration(Predicate<MachineId> isReserved) {
        reservedForMigration = isReserved;
    }

    /** Returns the policy that rents machines. */
    ScaleOutPolicy scaleOutPolicy() {
        return scaleOut;
    }

    @Override
    public void probeForRestart(Machine machine) {
        failureDetector.probeForRestart(machine);
    }

    @Override
    public boolean isReleased(MachineId id) {
        return released.contains(id);
    }

    /** Returns when a machine that is not up is expected to be ready, in milliseconds. */
    long expectedReadyAtMs(Machine machine, MachineType type) {
        if (machine.listedRunning) {
            return context.now().ms() + FIRST_HEARTBEAT_MS; // it runs already; only its first heartbeat is missing
        }
        long expected = (machine.rentedAt == null ? context.now().ms() : machine.rentedAt.ms())
                + Math.round(EXPECTED_STARTUP_MS_PER_S * type.startupS());
        long late = context.now().ms() - expected;
        return late > -STARTUP_RECHECK_MS ? context.now().ms() + Math.max(FIRST_HEARTBEAT_MS, late / 2) : expected;
    }

    /** Checks, releases and lists machines, and rents those that the plan needs; the plan may be null. */
    void updateMachines(Plan plan) {
        if (context.now().isBefore(nextRunAt)) {
            return;
        }
        nextRunAt = context.now().plusMs(RUN_INTERVAL_MS);
        checkMachines(plan);
        if (context.now().since(nextListAt) > LIST_OVERDUE_MS) {
            startListing(); // listed before the releases, which would otherwise use up all calls when calls are few or
            // many machines are lost
        }
        sendReturns(true);
        boolean mayRent = isListComplete || context.now().since(clusterState.termStartedAt()) > FIRST_LIST_TIMEOUT_MS;
        if (plan != null && mayRent) {
            scaleOut.rentFor(plan);
        }
        startListing();
        sendReturns(false);
    }

    /** Sends only the releases of machines that hold tasks; used while the cluster state is uncertain. */
    void sendReleasesWithTasks() {
        sendReturns(true);
    }

    // ---- machine list ----

    private void startListing() {
        if (!context.now().isBefore(nextListAt) && !listInFlight && calls.tryTake(context.now(), 1)) {
            listInFlight = true;
            requestPage(null, new HashMap<>(), context.now());
        }
    }

    private void requestPage(String after, Map<MachineId, JsonNode> found, MonotonicTime requestedAt) {
        long term = clusterState.term();
        String path = "/machines?limit=500" + (after == null ? "" : "&after=" + after);
        context.call(ServiceCalls.Target.CLOUD, null, "GET", path, null, CALL_TIMEOUT_MS, result -> {
            if (term != clusterState.term()) {
                return;
            }
            listInFlight = false;
            nextListAt = context.now().plusMs(LIST_INTERVAL_MS);
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
                listInFlight = true;
                calls.takeOrOverdraw(context.now(), 1);
                requestPage(last, found, requestedAt);
            } else {
                applyList(found, requestedAt);
            }
        });
    }

    private void applyList(Map<MachineId, JsonNode> found, MonotonicTime requestedAt) {
        isListComplete = true;
        coldStart.recordMachinesListed();
        found.forEach((id, node) -> applyListed(id, node, requestedAt));
        long listLagMs = Math.round(MS_PER_S * (2 * settings.cloudLimits().listLagS() + LIST_LAG_MARGIN_S));
        for (Machine machine : clusterState.machines()) {
            boolean old = requestedAt.since(knownSince(machine, requestedAt)) > listLagMs;
            if (!found.containsKey(machine.id)
                    && old
                    && context.now().since(clusterState.lastContactAt(machine)) > UNLISTED_HEARTBEAT_TIMEOUT_MS) {
                releaseMachine(machine, "no longer in the cloud's machine list");
            }
        }
    }

    private void applyListed(MachineId id, JsonNode node, MonotonicTime requestedAt) {
        if (released.contains(id)) {
            return; // the list lags
        }
        Machine machine = clusterState.machine(id);
        if (!machine.isTypeKnown()) {
            machine.type = node.path("hosttype").asText(null);
            machine.zone = node.path("yard").asText(null);
            machine.spot = node.path("loaner").asBoolean();
            machine.address = node.path("address").asText(null);
        }
        if (machine.rentedAt == null) {
            machine.rentedAt =
                    requestedAt.plusMs(-Math.round(MS_PER_S * node.path("ageS").asDouble(0)));
        }
        machine.listedRunning = node.path("status").asText().equals("running");
        machine.confirmedPresent = true;
        if (node.path("status").asText().equals("failed")) {
            releaseMachine(machine, "failed according to the cloud");
        }
    }

    private MonotonicTime knownSince(Machine machine, MonotonicTime requestedAt) {
        if (machine.rentedAt != null) {
            return machine.rentedAt;
        }
        return machine.placements.isEmpty() ? requestedAt : clusterState.termStartedAt();
    }

    // ---- releasing ----

    @Override
    public void releaseMachine(Machine machine, String why) {
        if (!machine.releasing) {
            machine.releasing = true;
            LOG.info("machine released: machine={} reason={}", machine.id, why);
        }
    }

    private void checkMachines(Plan plan) {
        Set<MachineId> planned = plan == null ? Set.of() : plan.plannedMachines();
        failureDetector.checkMachines();
        for (Machine machine : clusterState.machines()) {
            if (machine.releasing) {
                continue;
            }
            if (machine.up) {
                checkRunning(machine, planned);
            } else {
                checkNotUp(machine);
            }
        }
    }

    /** Releases a machine that is not up if it is considered gone with its tasks or did not start in time. */
    private void checkNotUp(Machine machine) {
        MachineType type = machineTypes.get(machine.type);
        if (!machine.placements.isEmpty() && failureDetector.shouldReleaseSilent(machine)) {
            releaseMachine(machine, "holds tasks but sent no heartbeat to this leader");
            return;
        }
        MonotonicTime since = machine.rentedAt == null ? clusterState.lastContactAt(machine) : machine.rentedAt;
        double allowedS = type == null
                ? UNKNOWN_TYPE_STARTUP_S
                : Math.max(STARTUP_TIMEOUT_FACTOR * type.startupS(), type.startupS() + STARTUP_TIMEOUT_MARGIN_S);
        if (context.now().since(since) > MS_PER_S * allowedS
                && context.now().since(clusterState.lastContactAt(machine)) > failureDetector.heartbeatTimeoutMs()) {
            releaseMachine(machine, "startup timed out");
        }
    }

    /** Releases a running machine that is lost, preempted, faulty or idle. */
    private void checkRunning(Machine machine, Set<MachineId> planned) {
        if (failureDetector.shouldReleaseSilent(machine)) {
            releaseMachine(machine, "no heartbeats");
        } else if (failureDetector.shouldReleaseUnreachable(machine)) {
            releaseMachine(machine, "sends heartbeats but receives no commands");
        } else if (machine.preemptionAt != null && machine.placements.isEmpty() && machine.unknownTasks == 0) {
            releaseMachine(machine, "preemption notice and no tasks");
        } else if (machine.preemptionAt != null && context.now().since(machine.preemptionAt) > PREEMPTION_RELEASE_MS) {
            releaseMachine(machine, "preemption notice expired");
        } else if (faultTracker.isMachineFaulty(machine)) {
            releaseMachine(machine, "jobs of several users failed on this machine");
        } else if (isNeeded(machine, planned)) {
            machine.idleSince = null;
        } else if (machine.idleSince == null) {
            machine.idleSince = context.now();
        } else if (context.now().since(machine.idleSince)
                > (machine.spot ? policy.idleSpotMs() : policy.idleOrdinaryMs())) {
            releaseMachine(machine, "idle");
        }
    }

    private boolean isNeeded(Machine machine, Set<MachineId> planned) {
        return !machine.placements.isEmpty()
                || machine.unknownTasks > 0
                || planned.contains(machine.id)
                || machine.cordonedBy != null
                || machine.reservedForDrain != null
                || reservedForMigration.test(machine.id);
    }

    /** Sends release calls, several at a time: 500 lost machines take five calls, and their tasks cannot restart before those. */
    private void sendReturns(boolean withTasks) {
        List<Machine> due = lossTracker.machinesToRelease(withTasks);
        for (int from = 0;
                from < due.size() && returnCalls < MAX_CONCURRENT_RETURN_CALLS;
                from += MAX_MACHINES_PER_RETURN) {
            if (!calls.tryTake(context.now(), 1)) {
                return;
            }
            sendReturn(due.subList(from, Math.min(due.size(), from + MAX_MACHINES_PER_RETURN)));
        }
    }

    private void sendReturn(List<Machine> machines) {
        ObjectNode body = Codec.map();
        ArrayNode list = body.putArray("hosts");
        for (Machine machine : machines) {
            machine.releaseInFlight = true;
            list.add(machine.id.text());
        }
        returnCalls++;
        long term = clusterState.term();
        context.callBefore(
                election.leaseValidUntil(),
                new ServiceRequest(ServiceCalls.Target.CLOUD, null, "POST", "/machines/return", body, CALL_TIMEOUT_MS),
                result -> {
                    if (term != clusterState.term()) {
                        return;
                    }
                    returnCalls--;
                    for (Machine machine : machines) {
                        machine.releaseInFlight = false;
                        if (result.hasStatus(200)) {
                            released.add(machine.id);
                            taskRemoval.removeMachine(machine.id);
                        }
                    }
                });
    }
}
