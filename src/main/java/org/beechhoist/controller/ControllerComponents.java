package org.beechhoist.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.ControllerServices;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.leadership.PeerDirectory;
import org.beechhoist.controller.leadership.WorkerReachability;
import org.beechhoist.controller.state.CancellationRegistry;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.controller.worker.CancellationAcknowledgements;
import org.beechhoist.metrics.Metrics;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.JobId;

/**
 * Composition root of a controller node: constructs its components, in this order, and connects them. It contains no
 * scheduling logic.
 *
 * <p>Components that need one constructed later receive a method of this class, which reads the field when it is
 * called.
 */
final class ControllerComponents {
    private static final long MIN_ELECTION_LEASE_MS = 3000;
    private static final long MAX_ELECTION_LEASE_MS = 9000;
    /** The minimum ratio of a worker's lease to a leader's lease. */
    private static final long MIN_WORKER_TO_ELECTION_LEASE_RATIO = 4;

    private static final long MS_PER_S = 1000;

    final ControllerContext context = new ControllerContext();
    final MachineTypeCatalog machineTypes;
    final FeatureModules features;
    final RequestLimitDivider limits;
    final LeaderElection election;
    final Leader leader;
    final PeerExchange peerExchange;
    final RequestRouter router;

    private final JobProgress progress = new JobProgress();
    private final CancellationRegistry cancellations;

    /**
     * Constructs the components.
     *
     * @param seed seeds the random moves of the plan search
     */
    ControllerComponents(Settings settings, Policy policy, Metrics metrics, long seed) {
        TokenBucket requests = new TokenBucket(settings.stateLimits().rps());
        TokenBucket writes = new TokenBucket(settings.stateLimits().writeRps());
        StateServiceMonitor stateService = new StateServiceMonitor(context);
        StoreClient store = stateService.client();
        StateServiceAccess access = new StateServiceAccess(context, settings, store, requests, writes);
        machineTypes = new MachineTypeCatalog(context);
        features = FeatureModules.create(access, policy, machineTypes, this::activeLeader);
        IdempotencyKeys idempotencyKeys = new IdempotencyKeys(policy.cron(), features.keySetRegistryOrNull());
        WorkerReachability workerReachability =
                new WorkerReachability(Math.round(MS_PER_S * settings.workers().reportS()));
        PeerDirectory peers = new PeerDirectory(settings.seeds().keySet());
        NodeReadiness readiness = new NodeReadiness(context, stateService, machineTypes, peers);
        limits = new RequestLimitDivider(access, peers);
        cancellations = new CancellationRegistry(context, settings);
        CancellationAcknowledgements acknowledgements = new CancellationAcknowledgements(context);
        UserApi users = createUserApi(access, policy, idempotencyKeys, readiness, acknowledgements);
        Optional<FeatureApi> cron = createCronApi(access, policy, users);
        election = createElection(access);
        context.onFailure(new FailureRecovery(context, election)::handleFailure);
        ControllerServices services = new ControllerServices(context, settings, store, requests, writes, election);
        NodeComponents node = new NodeComponents(machineTypes, users, idempotencyKeys, peers, cancellations);
        leader = new Leader(services, policy, new SplittableRandom(seed), node, features);
        PeerStatePublisher publisher = new PeerStatePublisher(
                services, readiness, workerReachability, limits, cancellations, acknowledgements);
        peerExchange = new PeerExchange(context, publisher, peers, progress, cancellations, acknowledgements, leader);
        LeaderRequests leaderRequests = new LeaderRequests(services, leader, peers, workerReachability);
        router = new RequestRouter(context, metrics, users, leaderRequests, readiness, featureApis(cron));
        limits.divide(false);
    }

    private UserApi createUserApi(
            StateServiceAccess access,
            Policy policy,
            IdempotencyKeys idempotencyKeys,
            NodeReadiness readiness,
            CancellationAcknowledgements acknowledgements) {
        JobStatusDetails statusDetails = new JobStatusDetails(context, features, progress, this::activeLeader);
        return new UserApi(
                context,
                access.settings(),
                policy,
                access.store(),
                access.requestTokens(),
                access.writeTokens(),
                machineTypes,
                statusDetails::addTo,
                idempotencyKeys,
                this::isLeaderShortOfWrites,
                readiness::isIsolated,
                features.keySetRegistryOrNull(),
                this::cancellationConfirmed,
                acknowledgements);
    }

    private Optional<FeatureApi> createCronApi(StateServiceAccess access, Policy policy, UserApi users) {
        if (!policy.cron().on()) {
            return Optional.empty();
        }
        return Optional.of(new CronRequests(new CronApi(
                context,
                access.settings(),
                access.store(),
                access.requestTokens(),
                access.writeTokens(),
                users,
                this::cronHoldReason)));
    }

    private LeaderElection createElection(StateServiceAccess access) {
        Settings settings = access.settings();
        long leaseMs = Math.max(
                MIN_ELECTION_LEASE_MS,
                Math.min(MAX_ELECTION_LEASE_MS, settings.workers().leaseMs() / MIN_WORKER_TO_ELECTION_LEASE_RATIO));
        return new LeaderElection(
                context, access.store(), access.requestTokens(), settings.node(), leaseMs, new TermListener());
    }

    /** Returns the APIs of the enabled features; if two handle a path, the first receives the request. */
    private List<FeatureApi> featureApis(Optional<FeatureApi> cron) {
        List<FeatureApi> apis = new ArrayList<>();
        cron.ifPresent(apis::add);
        features.releases().ifPresent(apis::add);
        features.drains().ifPresent(apis::add);
        features.keySets().ifPresent(apis::add);
        return apis;
    }

    private Optional<Leader> activeLeader() {
        return leader.isActive() ? Optional.of(leader) : Optional.empty();
    }

    private boolean isLeaderShortOfWrites() {
        return election.holdsLease() && limits.isShortOfWrites();
    }

    private void cancellationConfirmed(JobId jobId, long committedWallMs) {
        peerExchange.cancellationConfirmed(jobId, committedWallMs);
    }

    /**
     * Returns the reason why an entry of a cron table is held, or null if it is not held or this node does not know.
     */
    private String cronHoldReason(String table, String entry) {
        return activeLeader()
                .flatMap(Leader::cronController)
                .map(schedules -> schedules.holdReason(table, entry))
                .orElse(null);
    }

    /** Starts and ends the leader's terms. */
    private final class TermListener implements LeaderElection.Listener {
        @Override
        public void leadershipWon(FencingToken fencingToken) {
            limits.divide(true);
            leader.startTerm();
        }

        @Override
        public void leadershipLost() {
            limits.divide(false);
            progress.clearPublished();
            cancellations.reset();
            leader.endTerm();
        }
    }
}
