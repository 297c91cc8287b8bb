package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.beechhoist.config.Policy;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.context.ServiceRequest;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.DurationEstimates;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.plan.Plan;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.ServiceCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents machines for tasks that the plan cannot start in time. */
final class ScaleOutPolicy {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOutPolicy.class);
    private static final int MAX_MACHINES_PER_RENTAL = 50;
    private static final long NO_CAPACITY_PAUSE_MS = 20_000;
    /** The pause in requests for an offer after the cloud refused one as malformed. */
    private static final long MALFORMED_PAUSE_MS = 300_000;

    private static final long RETRY_DELAY_MS = 1500;
    private static final int CALL_TIMEOUT_MS = 5000;
    private static final int MS_PER_S = 1000;
    /** The time after a refusal for which an offer is assumed to have no capacity. */
    private static final long SHORTAGE_DURATION_MS = 60_000;
    /** The shortest start delay of a task for which a machine is rented. */
    private static final long MIN_TOLERATED_DELAY_MS = 5000;
    /** The start delay for which a machine is rented even if the task has more slack. */
    private static final long MAX_TOLERATED_DELAY_MS = 45_000;
    /** The number of unplanned tasks of one job that are considered. */
    private static final int MAX_UNPLACED_TASKS_PER_JOB = 500;
    /** The least time by which a rental must bring forward a task's start. */
    private static final long MIN_GAIN_MS = 5000;
    /** Rental requests for one offer in one run. */
    private static final int MAX_RENTALS_PER_OFFER = 3;

    private final ControllerContext context;
    private final Policy policy;
    private final LeaderElection election;
    private final MachineTypeCatalog machineTypes;
    private final ClusterState clusterState;
    private final JobOrdering jobOrdering;
    private final DurationEstimates estimates;
    private final TokenBucket calls;
    private final Map<String, MachineOffer> offers = new LinkedHashMap<>();
    private FencingToken fencingToken = FencingToken.NONE;
    private long sequence;
    private MonotonicTime lastRented = MonotonicTime.ZERO;

    /**
     * Creates the policy.
     *
     * @param calls the limit of cloud calls, shared with the other callers
     */
    ScaleOutPolicy(
            ControllerContext context,
            Policy policy,
            LeaderElection election,
            MachineTypeCatalog machineTypes,
            ClusterState clusterState,
            JobOrdering jobOrdering,
            DurationEstimates estimates,
            TokenBucket calls) {
        this.context = context;
        this.election = election;
        this.policy = policy;
        this.machineTypes = machineTypes;
        this.clusterState = clusterState;
        this.jobOrdering = jobOrdering;
        this.estimates = estimates;
        this.calls = calls;
    }

    /** Resets the state for a new term, whose fencing token is part of the names of its rentals. */
    void reset(FencingToken newToken) {
        fencingToken = newToken;
        sequence = 0;
        offers.clear();
        lastRented = MonotonicTime.ZERO;
    }

    private List<MachineOffer> refreshOffers() {
        List<MachineOffer> out = new ArrayList<>();
        for (MachineType type : machineTypes.all()) {
            for (String zone : type.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    MachineOffer offer = new MachineOffer(type, zone, spot);
                    MachineOffer old = offers.get(offer.key());
                    if (old == null || old.type != type) { // prices change
                        if (old != null) {
                            offer.pendingCount = old.pendingCount;
                            offer.refusedUntil = old.refusedUntil;
                            offer.shortageAt = old.shortageAt;
                        }
                        offers.put(offer.key(), offer);
                        old = offer;
                    }
                    old.neededCount = 0;
                    out.add(old);
                }
            }
        }
        return out;
    }

    /** Returns whether more machines for such a task may be available: a suitable offer had no recent refusal. */
    boolean mayHaveCapacityFor(JobSpec spec) {
        for (MachineOffer offer : offers.values()) {
            if (offer.suits(spec)
                    && (offer.shortageAt == null || context.now().since(offer.shortageAt) > SHORTAGE_DURATION_MS)) {
                return true;
            }
        }
        return offers.isEmpty();
    }

    /** Ignores plans made until now, which do not reflect capacity that is being freed: no machines are rented for them. */
    void ignorePlansUntil(MonotonicTime now) {
        lastRented = lastRented.isBefore(now) ? now : lastRented;
    }

    /** Rents the machines that the plan needs. Ignores a plan older than the last grant, since it lacks the granted machines. */
    void rentFor(Plan plan) {
        if (plan.createdAtMs() <= lastRented.ms()) {
            return;
        }
        List<MachineOffer> all = refreshOffers();
        List<MachineCapacity> capacities = pendingCapacities(all);
        Map<MachineId, MachineCapacity> booting = bootingCapacities();
        Map<Job, List<Long>> late = lateStarts(plan, booting);
        capacities.addAll(booting.values());
        late.forEach((job, begins) -> requestMachines(job, begins, all, capacities));
        requestForUnplaced(plan, all, capacities);
        for (MachineOffer offer : all) {
            for (int i = 0;
                    i < MAX_RENTALS_PER_OFFER && offer.neededCount > 0 && calls.tryTake(context.now(), 1);
                    i++) {
                int count = Math.min(MAX_MACHINES_PER_RENTAL, offer.neededCount);
                offer.neededCount -= count;
                rent(offer, count, nextRentalName(), machines -> {});
            }
        }
    }

    private static List<MachineCapacity> pendingCapacities(List<MachineOffer> all) {
        List<MachineCapacity> capacities = new ArrayList<>();
        for (MachineOffer offer : all) {
            for (int i = 0; i < offer.pendingCount; i++) {
                capacities.add(new MachineCapacity(offer));
            }
        }
        return capacities;
    }

    /** Returns the capacity of the machines that are booting. */
    private Map<MachineId, MachineCapacity> bootingCapacities() {
        Map<MachineId, MachineCapacity> booting = new LinkedHashMap<>();
        for (Machine machine : clusterState.machines()) {
            if (!machine.up && !machine.releasing && machine.isTypeKnown() && !machine.listedRunning) {
                MachineType type = machineTypes.get(machine.type);
                if (type != null) {
                    booting.put(machine.id, new MachineCapacity(new MachineOffer(type, machine.zone, machine.spot)));
                }
            }
        }
        return booting;
    }

    /** Returns the planned starts that are too late, by job, and deducts the plan's reservations from the booting machines. */
    private Map<Job, List<Long>> lateStarts(Plan plan, Map<MachineId, MachineCapacity> booting) {
        long now = context.now().ms();
        Map<Job, Long> toleratedDelays = new HashMap<>();
        Map<Job, List<Long>> late = new LinkedHashMap<>();
        for (Plan.Reservation reservation : plan.reservations()) {
            Job job = clusterState.job(reservation.job());
            long begin = job == null ? now : reservation.beginMs();
            if (!reservation.machineUp()) {
                MachineCapacity capacity = booting.get(reservation.machine());
                if (capacity != null) {
                    capacity.tryTake(reservation.spec());
                }
            }
            if (job != null
                    && !reservation.beyondGuarantee()
                    && !job.isSuspect()
                    && begin - now >= toleratedDelays.computeIfAbsent(job, this::toleratedDelayMs)) {
                late.computeIfAbsent(job, key -> new ArrayList<>()).add(begin);
            }
        }
        return late;
    }

    private void requestForUnplaced(Plan plan, List<MachineOffer> all, List<MachineCapacity> capacities) {
        for (Job job : clusterState.jobs()) {
            int unplaced = job.isCancelled() || job.isSuspect() || !job.notBefore.isBefore(context.now())
                    ? 0
                    : plan.unplacedCount(job.id());
            if (unplaced > 0) {
                List<Long> never = Collections.nCopies(Math.min(MAX_UNPLACED_TASKS_PER_JOB, unplaced), Long.MAX_VALUE);
                requestMachines(job, never, all, capacities);
            }
        }
    }

    private String nextRentalName() {
        sequence++;
        return "r-" + fencingToken.text() + "-" + sequence;
    }

    /**
     * Returns how long a task may wait before a machine is rented: a share of its slack. The machine serves queued tasks even if this
     * one starts earlier elsewhere. When machines were rented only if the task itself gained, all machines were always busy and every
     * task waited for about the boot time of a machine.
     */
    long toleratedDelayMs(Job job) {
        if (job.record.width != null) {
            // The guaranteed width must run at once, not in successive rounds of tasks.
            return MIN_TOLERATED_DELAY_MS;
        }
        double share = policy.patience()
                * Math.max(0, jobOrdering.latestStartMs(job) - context.now().ms());
        return Math.max(MIN_TOLERATED_DELAY_MS, Math.min(MAX_TOLERATED_DELAY_MS, Math.round(share)));
    }

    /** Requests spot machines to start tasks earlier, and ordinary ones only where the latest start would be missed. */
    private void requestMachines(Job job, List<Long> begins, List<MachineOffer> all, List<MachineCapacity> capacities) {
        JobSpec spec = job.spec();
        long latest = jobOrdering.latestStartMs(job);
        int tried = 0; // capacity too small for one of the job's tasks is too small for the next
        for (long begin : begins) {
            boolean fitted = false;
            while (!fitted && tried < capacities.size()) {
                MachineCapacity capacity = capacities.get(tried);
                fitted = capacity.offer.suits(spec) && capacity.tryTake(spec);
                tried += fitted ? 0 : 1;
            }
            if (fitted) {
                continue;
            }
            MachineOffer best = bestOffer(job, begin, latest, all);
            if (best == null) {
                continue;
            }
            best.neededCount++;
            MachineCapacity capacity = new MachineCapacity(best);
            capacity.tryTake(spec);
            capacities.add(capacity);
        }
    }

    /** Returns the cheapest offer worth renting for a task that would otherwise begin at {@code begin}, or null. */
    private MachineOffer bestOffer(Job job, long begin, long latest, List<MachineOffer> all) {
        JobSpec spec = job.spec();
        MachineOffer best = null;
        for (MachineOffer offer : all) {
            boolean allowed = offer.spot || begin > latest || !spec.spot();
            if (allowed
                    && offer.refusedUntil.isBefore(context.now())
                    && isWorthwhile(offer, job, begin)
                    && offer.suits(spec)
                    && (best == null || isCheaper(offer, best, spec))) {
                best = offer;
            }
        }
        return best;
    }

    private boolean isWorthwhile(MachineOffer offer, Job job, long beginMs) {
        long ready = context.now().ms()
                + Math.round(MS_PER_S * (offer.type.startupS() + job.spec().imageGb() / offer.type.fetchGbPerS()));
        if (beginMs == Long.MAX_VALUE || ready + MIN_GAIN_MS <= beginMs) {
            return true;
        }
        return offer.spot && ready <= beginMs + estimates.expectedMs(job.spec());
    }

    private static boolean isCheaper(MachineOffer offer, MachineOffer than, JobSpec spec) {
        int cost = Double.compare(offer.costFor(spec), than.costFor(spec));
        return cost < 0 || (cost == 0 && offer.neededCount < than.neededCount);
    }

    /**
     * Rents standby machines independently of the plan, and returns false if none may be requested now.
     *
     * @param then receives the granted machines, possibly none
     */
    boolean tryRentStandby(String type, String zone, boolean spot, int number, Consumer<List<MachineId>> then) {
        MachineOffer offer = refreshOffers().stream()
                .filter(candidate ->
                        candidate.type.name().equals(type) && candidate.zone.equals(zone) && candidate.spot == spot)
                .findFirst()
                .orElse(null);
        if (offer == null || context.now().isBefore(offer.refusedUntil) || !calls.tryTake(context.now(), 1)) {
            return false;
        }
        rent(offer, Math.min(MAX_MACHINES_PER_RENTAL, number), nextRentalName(), then);
        return true;
    }

    /** Rents machines under a unique rental name; the request is repeated until it is answered. */
    private void rent(MachineOffer offer, int number, String name, Consumer<List<MachineId>> then) {
        offer.pendingCount += number;
        ObjectNode body = Codec.map()
                .put("rental", name)
                .put("hosttype", offer.type.name())
                .put("yard", offer.zone)
                .put("loaner", offer.spot)
                .put("number", number);
        send(new RentalRequest(offer.key(), number, name, body, context.now(), then));
    }

    private void send(RentalRequest rental) {
        long term = clusterState.term();
        context.callBefore(
                election.leaseValidUntil(),
                new ServiceRequest(
                        ServiceCalls.Target.CLOUD, null, "POST", "/machines", rental.body(), CALL_TIMEOUT_MS),
                result -> {
                    if (term == clusterState.term()) {
                        handleAnswer(rental, result, term);
                    }
                });
    }

    private void handleAnswer(RentalRequest rental, CallResult result, long term) {
        MachineOffer offer = offers.get(rental.offerKey());
        if (result.isOk() && result.body().path("hosts").isArray()) {
            applyGrant(rental, offer, result.body().get("hosts"));
        } else if (result.hasStatus(400)) {
            offer.pendingCount -= rental.number();
            offer.refusedUntil = context.now().plusMs(MALFORMED_PAUSE_MS);
            LOG.warn("rental refused as malformed: rental={}", rental.name());
            rental.then().accept(List.of());
        } else if (result.hasStatus(503)
                && result.body() != null
                && "no capacity".equals(result.body().path("error").asText())) {
            offer.pendingCount -= rental.number();
            offer.shortageAt = context.now();
            offer.refusedUntil = context.now().plusMs(NO_CAPACITY_PAUSE_MS);
            rental.then().accept(List.of());
        } else {
            context.schedule(RETRY_DELAY_MS, () -> {
                if (term == clusterState.term()) {
                    calls.takeOrOverdraw(context.now(), 1);
                    send(rental);
                }
            });
        }
    }

    private void applyGrant(RentalRequest rental, MachineOffer offer, JsonNode hosts) {
        offer.pendingCount -= rental.number();
        lastRented = context.now();
        List<MachineId> granted = new ArrayList<>();
        for (JsonNode node : hosts) {
            granted.add(new MachineId(node.asText()));
            Machine machine = clusterState.machine(new MachineId(node.asText()));
            machine.type = offer.type.name();
            machine.zone = offer.zone;
            machine.spot = offer.spot;
            machine.confirmedPresent = true;
            machine.rentedAt = rental.requestedAt();
        }
        int count = granted.size();
        LOG.info(
                "machines rented: rental={} granted={} requested={} type={} zone={} spot={}",
                rental.name(),
                count,
                rental.number(),
                offer.type.name(),
                offer.zone,
                offer.spot);
        offer.shortageAt = count < rental.number() ? context.now() : null;
        if (count < rental.number()) {
            offer.refusedUntil = context.now().plusMs(NO_CAPACITY_PAUSE_MS);
        }
        rental.then().accept(granted);
    }
}
