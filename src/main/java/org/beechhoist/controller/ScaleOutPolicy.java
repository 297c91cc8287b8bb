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
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.ServiceCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents machines for what the plan can't start in time. */
final class ScaleOutPolicy {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOutPolicy.class);
    private static final int MAX_RENTAL = 50;
    private static final long NO_CAPACITY_PAUSE_MS = 20_000;
    /** So long after a refusal the cloud is thought to have no more of the kind. */
    private static final long SHORT_MS = 60_000;
    /** How late a task may begin before a machine is rented, by its slack; and how many of a job beyond the plan count. */
    private static final long LEAST_LATE_MS = 5000;

    private static final long LATE_MS = 45_000;
    private static final int MAX_UNPLACED = 500;
    /** A rental must gain at least this much for some task. */
    private static final long WORTH_MS = 5000;
    /** Rentals of one kind in one turn. */
    private static final int MAX_CALLS = 3;

    /** A kind of machine to rent, in one zone. */
    private static final class Offer {
        final MachineType type;
        final String zone;
        final boolean spot;
        /** Machines asked for and not answered yet. */
        int renting;

        MonotonicTime refusedUntil = MonotonicTime.ZERO;
        /** When it was last refused, or granted in part only; null: it was not since it was granted in full. */
        MonotonicTime shortAt;
        /** Machines this turn's plan would like. */
        int wanted;

        Offer(MachineType type, String zone, boolean spot) {
            this.type = type;
            this.zone = zone;
            this.spot = spot;
        }

        /** The same for offers of one kind whose prices differ. */
        String key() {
            return type.name() + "/" + zone + "/" + spot;
        }

        /** Of what the job needs and fewest have: GPUs, where it needs some. */
        double costFor(JobSpec spec) {
            return type.priceOf(spot) / Math.max(0.01, spec.gpus() > 0 ? type.gpus() : type.cpus());
        }

        boolean suits(JobSpec spec) {
            return spec.mayRunOn(type, zone, spot);
        }
    }

    /** What is still free on a machine about to be rented. */
    private static final class Space {
        final Offer offer;
        double cpus;
        double gpus;
        double memGb;

        Space(Offer offer) {
            this.offer = offer;
            cpus = offer.type.cpus();
            gpus = offer.type.gpus();
            memGb = offer.type.memGb();
        }

        boolean take(JobSpec spec) {
            if (cpus < spec.cpus() || gpus < spec.gpus() || memGb < spec.memGb()) {
                return false;
            }
            cpus -= spec.cpus();
            gpus -= spec.gpus();
            memGb -= spec.memGb();
            return true;
        }
    }

    private final ControllerContext context;
    private final Policy policy;
    private final LeaderElection election;
    private final MachineTypeCatalog machineTypes;
    private final ClusterState clusterState;
    private final JobOrdering ordering;
    private final DurationEstimates estimates;
    private final TokenBucket calls;
    private final Map<String, Offer> offers = new LinkedHashMap<>();
    private FencingToken fencingToken = FencingToken.NONE;
    private long sequence;
    private MonotonicTime lastRented = MonotonicTime.ZERO;

    /** @param calls the cloud calls left, shared with whoever else calls it */
    ScaleOutPolicy(
            ControllerContext context,
            Policy policy,
            LeaderElection election,
            MachineTypeCatalog machineTypes,
            ClusterState clusterState,
            JobOrdering ordering,
            DurationEstimates estimates,
            TokenBucket calls) {
        this.context = context;
        this.election = election;
        this.policy = policy;
        this.machineTypes = machineTypes;
        this.clusterState = clusterState;
        this.ordering = ordering;
        this.estimates = estimates;
        this.calls = calls;
    }

    /** A new leadership begins: its fencing token makes the names of its rentals. */
    void reset(FencingToken newBaton) {
        fencingToken = newBaton;
        sequence = 0;
        offers.clear();
        lastRented = MonotonicTime.ZERO;
    }

    private List<Offer> offers() {
        List<Offer> out = new ArrayList<>();
        for (MachineType type : machineTypes.all()) {
            for (String zone : type.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    Offer offer = new Offer(type, zone, spot);
                    Offer old = offers.get(offer.key());
                    if (old == null || old.type != type) { // prices move
                        if (old != null) {
                            offer.renting = old.renting;
                            offer.refusedUntil = old.refusedUntil;
                            offer.shortAt = old.shortAt;
                        }
                        offers.put(offer.key(), offer);
                        old = offer;
                    }
                    old.wanted = 0;
                    out.add(old);
                }
            }
        }
        return out;
    }

    /** Whether more machines for such a task may be had: none of the kind was refused lately, by all that is known. */
    boolean mayGrow(JobSpec spec) {
        for (Offer offer : offers.values()) {
            if (offer.suits(spec) && (offer.shortAt == null || context.now().since(offer.shortAt) > SHORT_MS)) {
                return true;
            }
        }
        return offers.isEmpty();
    }

    /** Room is being made at this moment: plans made before don't know it, and nothing is rented by them. */
    void wait(MonotonicTime now) {
        lastRented = lastRented.isBefore(now) ? now : lastRented;
    }

    /** Rents what the plan needs. A plan older than the last rental's answer doesn't know those machines yet. */
    void rentFor(Plan plan) {
        if (plan.madeAtMs() <= lastRented.ms()) {
            return;
        }
        long now = context.now().ms();
        List<Offer> all = offers();
        List<Space> spaces = new ArrayList<>();
        for (Offer offer : all) {
            for (int i = 0; i < offer.renting; i++) {
                spaces.add(new Space(offer));
            }
        }
        // Room on machines that boot counts, as far as this plan has not given it away.
        Map<MachineId, Space> booting = new LinkedHashMap<>();
        for (Machine machine : clusterState.machines()) {
            if (!machine.up && !machine.releasing && machine.isKnown() && !machine.listedRunning) {
                MachineType type = machineTypes.get(machine.type);
                if (type != null) {
                    booting.put(machine.id, new Space(new Offer(type, machine.zone, machine.spot)));
                }
            }
        }
        Map<Job, Long> rentAfter = new HashMap<>();
        Map<Job, List<Long>> late = new LinkedHashMap<>();
        for (Plan.Reservation reservation : plan.reservations()) {
            Job job = clusterState.job(reservation.job());
            long begin = job == null ? now : reservation.beginMs();
            if (!reservation.machineUp()) {
                Space space = booting.get(reservation.machine());
                if (space != null) {
                    space.take(reservation.spec());
                }
            }
            if (job != null
                    && !reservation.wide()
                    && !job.isSuspect()
                    && begin - now >= rentAfter.computeIfAbsent(job, this::rentAfterMs)) {
                late.computeIfAbsent(job, k -> new ArrayList<>()).add(begin);
            }
        }
        spaces.addAll(booting.values());
        late.forEach((j, begins) -> want(j, begins, all, spaces));
        for (Job job : clusterState.jobs()) {
            int unplaced = job.isCancelled() || job.isSuspect() || !job.notBefore.isBefore(context.now())
                    ? 0
                    : plan.unplaced(job.id());
            if (unplaced > 0) {
                want(job, Collections.nCopies(Math.min(MAX_UNPLACED, unplaced), Long.MAX_VALUE), all, spaces);
            }
        }
        for (Offer offer : all) {
            for (int i = 0; i < MAX_CALLS && offer.wanted > 0 && calls.tryTake(context.now(), 1); i++) {
                int count = Math.min(MAX_RENTAL, offer.wanted);
                offer.wanted -= count;
                rent(offer, count, "r-" + fencingToken.value() + "-" + ++sequence);
            }
        }
    }

    /**
     * How long a task may wait before a machine is rented for its like: a share of its slack. Even if it begins before
     * that machine is up, others wait behind it; rented for only when that gained something for the task itself, the
     * machines were always busy and every task waited about as long as one takes to boot.
     */
    long rentAfterMs(Job job) {
        if (job.record.width != null) {
            return LEAST_LATE_MS; // its sure part is wanted at once, not one round of tasks after the other
        }
        double share = policy.patience()
                * Math.max(0, ordering.latestStart(job) - context.now().ms());
        return Math.max(LEAST_LATE_MS, Math.min(LATE_MS, Math.round(share)));
    }

    /** A spot machine is worth renting to begin sooner; an ordinary one only where an objective is at stake. */
    private void want(Job job, List<Long> begins, List<Offer> all, List<Space> spaces) {
        JobSpec spec = job.spec();
        long latest = ordering.latestStart(job);
        int tried = 0; // a space too small for one of the job's tasks is too small for the next
        for (long begin : begins) {
            boolean fitted = false;
            while (!fitted && tried < spaces.size()) {
                Space space = spaces.get(tried);
                fitted = space.offer.suits(spec) && space.take(spec);
                tried += fitted ? 0 : 1;
            }
            if (fitted) {
                continue;
            }
            Offer best = null;
            for (Offer offer : all) {
                boolean allowed = offer.spot || begin > latest || !spec.spot();
                if (allowed
                        && offer.refusedUntil.isBefore(context.now())
                        && worth(offer, job, begin)
                        && offer.suits(spec)
                        && (best == null || cheaper(offer, best, spec))) {
                    best = offer;
                }
            }
            if (best == null) {
                continue;
            }
            best.wanted++;
            Space space = new Space(best);
            space.take(spec);
            spaces.add(space);
        }
    }

    private boolean worth(Offer offer, Job job, long beginMs) {
        long ready = context.now().ms()
                + Math.round(1000 * (offer.type.startupS() + job.spec().imageGb() / offer.type.fetchGbPerS()));
        if (beginMs == Long.MAX_VALUE || ready + WORTH_MS <= beginMs) {
            return true;
        }
        return offer.spot && ready <= beginMs + estimates.expectedMs(job.spec());
    }

    private static boolean cheaper(Offer offer, Offer than, JobSpec spec) {
        int cost = Double.compare(offer.costFor(spec), than.costFor(spec));
        return cost < 0 || (cost == 0 && offer.wanted < than.wanted);
    }

    /**
     * Rents machines that stand by, whatever the plan says; false where none may be asked for now.
     *
     * @param then told which were had, none perhaps
     */
    boolean spare(String type, String zone, boolean spot, int number, Consumer<List<MachineId>> then) {
        Offer offer = offers().stream()
                .filter(x -> x.type.name().equals(type) && x.zone.equals(zone) && x.spot == spot)
                .findFirst()
                .orElse(null);
        if (offer == null || context.now().isBefore(offer.refusedUntil) || !calls.tryTake(context.now(), 1)) {
            return false;
        }
        rent(offer, Math.min(MAX_RENTAL, number), "r-" + fencingToken.value() + "-" + ++sequence, then);
        return true;
    }

    private void rent(Offer offer, int number, String name) {
        rent(offer, number, name, machines -> {});
    }

    /** The name is never used for anything else; it is repeated until there is an answer. */
    private void rent(Offer offer, int number, String name, Consumer<List<MachineId>> then) {
        offer.renting += number;
        ObjectNode body = Codec.map()
                .put("rental", name)
                .put("hosttype", offer.type.name())
                .put("yard", offer.zone)
                .put("loaner", offer.spot)
                .put("number", number);
        attempt(offer, number, name, body, context.now(), then);
    }

    private void attempt(
            Offer asked,
            int number,
            String name,
            ObjectNode body,
            MonotonicTime first,
            Consumer<List<MachineId>> then) {
        long term = clusterState.term();
        context.callBefore(
                election.leaseValidUntil(),
                new ServiceRequest(ServiceCalls.Target.CLOUD, null, "POST", "/machines", body, 5000),
                result -> {
                    if (term != clusterState.term()) {
                        return;
                    }
                    Offer offer = offers.get(asked.key());
                    if (result.isOk() && result.body().path("hosts").isArray()) {
                        offer.renting -= number;
                        lastRented = context.now();
                        List<MachineId> had = new ArrayList<>();
                        for (JsonNode node : result.body().get("hosts")) {
                            had.add(new MachineId(node.asText()));
                            Machine machine = clusterState.machine(new MachineId(node.asText()));
                            machine.type = offer.type.name();
                            machine.zone = offer.zone;
                            machine.spot = offer.spot;
                            machine.confirmedPresent = true;
                            machine.rentedAt = first;
                        }
                        int got = had.size();
                        LOG.info(
                                "rental {}: {} of {} {} in {}{}",
                                name,
                                got,
                                number,
                                offer.type.name(),
                                offer.zone,
                                offer.spot ? ", spot" : "");
                        offer.shortAt = got < number ? context.now() : null;
                        if (got < number) {
                            offer.refusedUntil = context.now().plusMs(NO_CAPACITY_PAUSE_MS);
                        }
                        then.accept(had);
                    } else if (result.hasStatus(400)) {
                        offer.renting -= number;
                        offer.refusedUntil = context.now().plusMs(300_000);
                        LOG.warn("rental {} is refused as malformed", name);
                        then.accept(List.of());
                    } else if (result.hasStatus(503)
                            && result.body() != null
                            && "no capacity".equals(result.body().path("error").asText())) {
                        offer.renting -= number;
                        offer.shortAt = context.now();
                        offer.refusedUntil = context.now().plusMs(NO_CAPACITY_PAUSE_MS);
                        then.accept(List.of());
                    } else {
                        context.schedule(1500, () -> {
                            if (term == clusterState.term()) {
                                calls.takeOrOverdraw(context.now(), 1);
                                attempt(asked, number, name, body, first, then);
                            }
                        });
                    }
                });
    }
}
