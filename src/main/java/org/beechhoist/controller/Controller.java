package org.beechhoist.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ApiResponder;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.context.Effect;
import org.beechhoist.controller.context.Pacer;
import org.beechhoist.controller.leadership.LeaderElection;
import org.beechhoist.controller.leadership.PeerDirectory;
import org.beechhoist.controller.leadership.RequestShares;
import org.beechhoist.controller.leadership.WorkerReachability;
import org.beechhoist.controller.state.CancellationRegistry;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.controller.worker.CancellationAcknowledgements;
import org.beechhoist.metrics.Metrics;
import org.beechhoist.peer.CancelledJob;
import org.beechhoist.peer.JobCount;
import org.beechhoist.peer.PeerState;
import org.beechhoist.release.Release;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.MonotonicTime;

/**
 * One controller node as a state machine: inputs are requests, outcomes of calls and the passing of time, each with
 * the clocks' readings; what is to be sent and answered is drained after each. It does no I/O and reads no clock.
 */
public final class Controller {
    private static final long TICK_MS = 500;
    /** How much of what a node wanted a second ago it is thought to want still. */
    private static final double WANTED_BEFORE = 0.7;
    /** Submissions come in bursts: what a node may write at once after a quiet while. */
    private static final double LEAST_BURST = 8;

    private static final double SAFETY = 0.9;
    /** With less of a full budget a leader's own users may take no more of it than those of any other node. */
    private static final double SPARE = 0.75;

    private static final Set<String> VIEWS =
            Set.of("/v1/plan", "/v1/hosts", "/v1/teams", "/v1/falls", "/v1/start", "/v1/served", "/v1/metrics");
    private static final String CRON = "/v1/cron";
    private static final String CALENDARS = "/v1/calendars";
    private static final long TELL_MS = 1000;
    /** What the others should know at once is told no more often than this. */
    private static final long NEWS_MS = 20;
    /** The election's watch and lease make the state service answer more often than this. */
    private static final long STORE_SILENT_MS = 6000;
    /** Nothing heard of the state service, though it was asked so often, nor of others, who speak once a second. */
    private static final long CUT_MS = 3000;

    private static final int UNHEARD_CALLS = 2;

    private final Settings settings;
    private final Metrics metrics;
    private final ControllerContext context = new ControllerContext();
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final MachineTypeCatalog machineTypes;
    private final LeaderElection election;
    private final Leader leader;
    private final UserApi users;
    private final CancellationRegistry cancellations;
    private final CancellationAcknowledgements acknowledgements;
    private final Pacer newsPace;
    private final PeerDirectory peers;
    private final JobProgress progress = new JobProgress();
    private final WorkerReachability workerReachability;
    private double writesWanted;
    private double requestsWanted;
    private boolean sharesAsLeader;
    /** Null where it is off. */
    private final CronApi cron;
    /** Null where key sets are off. */
    private final KeySetRegistry keys;

    private final KeySetApi keySets;
    /** Null where the release calendar is off. */
    private final ReleaseRegistry releases;

    private final ReleaseApi releaseApi;
    /** Null where drains are off. */
    private final DrainRegistry drains;

    private final DrainApi drainApi;
    private boolean seenStore;
    private MonotonicTime storeServed = MonotonicTime.ZERO;
    private MonotonicTime storeHeard = MonotonicTime.ZERO;
    /** Calls to the state service in a row that had no answer of any kind. */
    private int storeUnheard;

    private MonotonicTime nextTell = MonotonicTime.ZERO;

    /** @param seed of the search's random moves */
    public Controller(Settings settings, Policy policy, Metrics metrics, long seed) {
        this.settings = settings;
        this.metrics = metrics;
        this.requests = new TokenBucket(settings.stateLimits().rps());
        this.writes = new TokenBucket(settings.stateLimits().writeRps());
        StoreClient store = new StoreClient((target, address, method, path, body, timeoutMs, then) ->
                context.call(target, address, method, path, body, timeoutMs, result -> {
                    storeUnheard = result.kind() == CallResult.Kind.ANSWERED ? 0 : storeUnheard + 1;
                    storeHeard = result.kind() == CallResult.Kind.ANSWERED ? context.now() : storeHeard;
                    if (result.kind() == CallResult.Kind.ANSWERED && result.status() < 500) {
                        seenStore = true;
                        storeServed = context.now();
                    }
                    then.accept(result);
                }));
        this.machineTypes = new MachineTypeCatalog(context);
        this.keys = policy.keySets()
                ? new KeySetRegistry(context, store, requests, writes, settings.node(), this::keysChanged)
                : null;
        this.keySets = keys == null ? null : new KeySetApi(context, settings, store, requests, writes, keys);
        this.releases = policy.releases() ? new ReleaseRegistry(context, store, requests, this::releaseChanged) : null;
        this.releaseApi =
                releases == null ? null : new ReleaseApi(context, settings, store, requests, writes, releases);
        this.drains = policy.drains() ? new DrainRegistry(context, store, requests, this::drainsChanged) : null;
        this.drainApi =
                drains == null ? null : new DrainApi(context, settings, store, requests, writes, machineTypes, drains);
        IdempotencyKeys onceKeys = new IdempotencyKeys(policy.cron(), keys);
        this.workerReachability =
                new WorkerReachability(Math.round(1000 * settings.workers().reportS()));
        this.peers = new PeerDirectory(settings.seeds().keySet());
        this.cancellations = new CancellationRegistry(context, settings);
        this.acknowledgements = new CancellationAcknowledgements(context);
        this.newsPace = new Pacer(context, NEWS_MS);
        this.users = new UserApi(
                context,
                settings,
                policy,
                store,
                requests,
                writes,
                machineTypes,
                this::promised,
                onceKeys,
                this::leaderWrites,
                this::cutOff,
                keys,
                this::confirmed,
                acknowledgements);
        this.cron =
                policy.cron().on() ? new CronApi(context, settings, store, requests, writes, users, this::held) : null;
        long ttl = Math.max(3000, Math.min(9000, settings.workers().leaseMs() / 4));
        this.election =
                new LeaderElection(context, store, requests, settings.node(), ttl, new LeaderElection.Listener() {
                    @Override
                    public void won(FencingToken fencingToken) {
                        share(true);
                        leader.begin();
                    }

                    @Override
                    public void lost() {
                        share(false);
                        progress.forgetTold();
                        cancellations.reset();
                        leader.end();
                    }
                });
        this.leader = new Leader(
                context,
                settings,
                policy,
                new SplittableRandom(seed),
                store,
                election,
                requests,
                writes,
                machineTypes,
                users,
                onceKeys,
                peers,
                keys,
                releases,
                drains,
                cancellations);
        share(false);
    }

    /** Whether this node leads and its changes do not suffice for everybody. */
    private boolean leaderWrites() {
        return election.holdsLease() && writes.available(context.now()) < SPARE * writes.capacity();
    }

    private void releaseChanged(Release before, Release now) {
        if (leader.active()) {
            leader.releaseChanged(before, now);
        }
    }

    private void keysChanged() {
        if (leader.active()) {
            leader.keysChanged();
        }
    }

    private void drainsChanged() {
        if (leader.active()) {
            leader.book().requestReplan();
        }
    }

    private void promised(JobId jobId, ObjectNode state) {
        if (keys != null) {
            keys.tell(state);
        }
        Job known = leader.active() ? leader.book().job(jobId) : null;
        OperatorViews.counted(known != null ? JobProgress.count(known) : progress.of(jobId, context.now()), state);
        if (known != null) {
            OperatorViews.promised(leader, jobId, state, context.now().ms());
            if (drains != null) {
                state.put("drained", DrainViews.told(known, leader.book()));
            }
        }
    }

    private String held(String table, String id) {
        return leader.active() && leader.schedules() != null
                ? leader.schedules().held(table, id)
                : null;
    }

    private void share(boolean leads) {
        sharesAsLeader = leads;
        writes.setRate(part(settings.stateLimits().writeRps(), writesWanted, PeerState::writeDemand), LEAST_BURST);
        requests.setRate(part(settings.stateLimits().rps(), requestsWanted, PeerState::requestDemand), 1);
    }

    private double part(double limit, double wanted, ToDoubleFunction<PeerState> others) {
        List<RequestShares.Demand> wants = new ArrayList<>(List.of(new RequestShares.Demand(sharesAsLeader, wanted)));
        wants.addAll(peers.demands(context.now(), others));
        return RequestShares.shareOfFirst(SAFETY * limit, wants);
    }

    /** Once a second: tells the others, and takes up what they told. */
    private void tell() {
        writesWanted = Math.max(WANTED_BEFORE * writesWanted, writes.drainDemand() + leader.backlog());
        requestsWanted = Math.max(WANTED_BEFORE * requestsWanted, requests.drainDemand());
        share(election.holdsLease());
        tell(leader.active() ? progress.toTell(leader.book()) : List.of());
    }

    private void tell(List<JobCount> counts) {
        if (!settings.seeds().isEmpty()) {
            context.publishToPeers(new PeerState(
                    settings.node(),
                    election.holdsLease(),
                    election.fencingToken(),
                    context.now().since(storeServed),
                    machineTypes.isLoaded() && seenStore,
                    workerReachability.recentHeartbeats(context.now()),
                    writesWanted,
                    requestsWanted,
                    counts,
                    cancellations.forPeers(),
                    acknowledgements.drainForPeers()));
        }
    }

    /** A cancellation is committed, and a user of this node is about to be told: whoever leads is to know, with or without the state service. */
    private void confirmed(JobId jobId, long wallMs) {
        cancellations.recordConfirmed(jobId, wallMs);
        boolean isNew = cancellations.record(jobId, wallMs);
        pursue(jobId, wallMs, isNew);
        if (isNew) {
            news();
        }
    }

    /** Some node is about to confirm a cancellation: if this one leads, it ends the job's tasks and acknowledges that none can start any more. */
    private void pursue(JobId jobId, long committedWallMs, boolean isNew) {
        if (isNew) {
            leader.cancelled(jobId);
        }
        if (leader.active()) {
            acknowledgements.register(jobId, committedWallMs);
        }
    }

    private void settleTurn() {
        leader.settleTurn();
        acknowledge();
    }

    private void acknowledge() {
        if (!acknowledgements.acknowledgeReady(leader::noTaskCanStart)) {
            return;
        }
        if (settings.seeds().isEmpty()) {
            acknowledgements.drainForPeers(); // there is nobody else to be told
        } else {
            news();
        }
    }

    private void news() {
        if (!newsPace.postponeIfTooSoon(this::news)) {
            newsPace.markDone();
            tell(List.of());
        }
    }

    public void start(MonotonicTime now, long wallMs) {
        context.beginInput(now, wallMs);
        nextTell = now.plusMs(TELL_MS);
        machineTypes.start();
        if (keys != null) {
            keys.start();
        }
        if (releases != null) {
            releases.start();
        }
        if (drains != null) {
            drains.start();
        }
        election.start();
        tick();
    }

    private void tick() {
        leader.tick();
        if (!context.now().isBefore(nextTell)) {
            nextTell = context.now().plusMs(TELL_MS);
            tell();
        }
        context.schedule(TICK_MS, this::tick);
    }

    /** A leader that stood still wakes with a leader's share of requests, and with all that users asked meanwhile: not its own any more. */
    private void begin(MonotonicTime now, long wallMs) {
        context.beginInput(now, wallMs);
        if (sharesAsLeader && !election.holdsLease()) {
            share(false);
        }
    }

    /** A deadline may have come. */
    public void time(MonotonicTime now, long wallMs) {
        begin(now, wallMs);
        context.runDueTimers();
        settleTurn();
    }

    /** When {@link #time} should be called next, at the latest. */
    public MonotonicTime wakeAt() {
        MonotonicTime t = context.nextDeadline();
        return leader.wantsPlan() && (t == null || leader.nextPlan().isBefore(t)) ? leader.nextPlan() : t;
    }

    public List<Effect> drain() {
        return context.drainEffects();
    }

    public void outcome(MonotonicTime now, long wallMs, long call, CallResult result) {
        begin(now, wallMs);
        context.completeCall(call, result);
        context.runDueTimers();
        settleTurn();
    }

    /** What another controller said of itself. */
    public void peer(MonotonicTime now, long wallMs, PeerState state) {
        begin(now, wallMs);
        peers.recordMessage(state, now);
        progress.heard(state, now);
        for (CancelledJob c : state.cancelledJobs()) {
            pursue(c.job(), c.wallMs(), cancellations.record(c.job(), c.wallMs()));
        }
        state.acknowledgedCancellations().forEach(acknowledgements::receive);
        acknowledge();
    }

    /**
     * Ready once it can judge and store submissions. A node that alone is refused by the state service steps aside
     * for those that are served; in an outage that all share leaving would help nobody, and cost a growing pause.
     */
    private boolean ready() {
        boolean refusedAlone =
                context.now().since(storeServed) > STORE_SILENT_MS && peers.isServedElsewhere(context.now());
        return machineTypes.isLoaded() && seenStore && !refusedAlone && !cutOff();
    }

    /**
     * Whether neither the state service nor any other node reaches this one any more. An outage is answered, by 503, and others are
     * heard in it; a filter between nodes leaves the state service. Users are told at once, workers are sent on.
     */
    private boolean cutOff() {
        long quiet = context.now().since(storeHeard);
        return seenStore
                && (quiet > STORE_SILENT_MS || storeUnheard >= UNHEARD_CALLS && quiet > CUT_MS)
                && peers.allSilentFor(context.now(), CUT_MS);
    }

    /** A request on the public address. Each is answered with one {@link Effect.Answer}, perhaps later. */
    public void request(MonotonicTime now, long wallMs, long id, String method, String target, byte[] body) {
        begin(now, wallMs);
        context.runDueTimers();
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        if (cron != null && (path.startsWith(CRON) || path.startsWith(CALENDARS))) {
            cron(id, method, path, query < 0 ? "" : target.substring(query + 1), body);
        } else if (releaseApi != null && (path.equals(ReleaseApi.PATH) || path.startsWith(ReleaseApi.PATH + "/"))) {
            releaseApi.request(
                    method,
                    path,
                    body,
                    leader.active() ? leader : null,
                    (status, node) -> context.answer(id, status, node));
        } else if (drainApi != null && DrainApi.mine(path)) {
            drainApi.request(
                    method,
                    path,
                    body,
                    leader.active() ? leader.drains() : null,
                    (status, node) -> context.answer(id, status, node));
        } else if (keySets != null && (path.equals(KeySetApi.PATH) || path.startsWith(KeySetApi.PATH + "/"))) {
            keySets.request(
                    method,
                    path,
                    body,
                    leader.active() ? leader.book() : null,
                    (status, node) -> context.answer(id, status, node));
        } else {
            route(id, method, path, body);
        }
        settleTurn();
    }

    private void route(long id, String method, String path, byte[] body) {
        String need;
        if (path.equals("/v1/jobs")) {
            need = "POST";
        } else if (path.equals("/checkin")) {
            need = "POST";
        } else if (path.equals("/ready")) {
            need = "GET";
        } else if (VIEWS.contains(path)) {
            need = "GET";
        } else if (path.startsWith("/v1/jobs/")) {
            need = path.endsWith("/cancel") || path.endsWith("/width") ? "POST" : "GET";
        } else {
            context.answer(id, 404, Codec.map().put("error", "no such path"));
            return;
        }
        if (!method.equals(need)) {
            context.answer(id, 405, Codec.map().put("error", need + " expected"));
            return;
        }
        switch (path) {
            case "/v1/jobs" -> users.submit(id, body);
            case "/checkin" -> checkin(id, body);
            case "/ready" -> context.answer(id, ready() ? 200 : 503, null);
            case "/v1/metrics" -> context.answer(id, 200, metrics.toNode());
            case "/v1/plan", "/v1/hosts", "/v1/teams", "/v1/falls", "/v1/start", "/v1/served" -> view(id, path);
            default -> job(id, path.substring("/v1/jobs/".length()), body);
        }
    }

    /** {@code /v1/cron}, {@code /v1/cron/TABLE[/remove]}, {@code /v1/calendars/NAME}. */
    private void cron(long id, String method, String path, String query, byte[] body) {
        ApiResponder responder = (status, node) -> context.answer(id, status, node);
        boolean post = method.equals("POST");
        try {
            if (path.startsWith(CALENDARS + "/")) {
                String name = path.substring(CALENDARS.length() + 1);
                if (post) {
                    cron.installCalendar(name, Codec.decodeMap(body), responder);
                } else {
                    cron.calendar(name, responder);
                }
            } else if (path.equals(CRON) && !post) {
                cron.list(responder);
            } else if (path.startsWith(CRON + "/") && post && path.endsWith("/remove")) {
                cron.remove(path.substring(CRON.length() + 1, path.length() - "/remove".length()), responder);
            } else if (path.startsWith(CRON + "/") && post) {
                cron.install(path.substring(CRON.length() + 1), Codec.decodeMap(body), responder);
            } else if (path.startsWith(CRON + "/")) {
                int after =
                        query.matches("after=[0-9]{1,8}") ? Integer.parseInt(query.substring("after=".length())) : 0;
                cron.show(path.substring(CRON.length() + 1), after, responder);
            } else {
                responder.respond(404, Codec.map().put("error", "no such path"));
            }
        } catch (MalformedMessageException e) {
            responder.respond(400, Codec.map().put("error", e.getMessage()));
        }
    }

    private void view(long id, String path) {
        if (!(path.equals("/v1/start") ? election.holdsLease() : leader.active())) {
            notLeader(id);
            return;
        }
        long now = context.now().ms();
        context.answer(
                id,
                200,
                switch (path) {
                    case "/v1/plan" -> OperatorViews.plan(leader, now);
                    case "/v1/hosts" -> OperatorViews.hosts(leader, now);
                    case "/v1/falls" -> leader.recovery().view();
                    case "/v1/start" -> leader.starting().view();
                    case "/v1/served" ->
                        leader.floor() == null ? Codec.map() : leader.floor().view();
                    default -> OperatorViews.teams(leader, settings);
                });
    }

    private void job(long id, String rest, byte[] body) {
        boolean cancel = rest.endsWith("/cancel");
        boolean width = rest.endsWith("/width");
        String ref = cancel || width ? rest.substring(0, rest.lastIndexOf('/')) : rest;
        if (!JobId.isValid(ref)) {
            context.answer(id, 404, Codec.map().put("error", "no such job"));
        } else if (cancel) {
            users.cancel(id, new JobId(ref), 0);
        } else if (width) {
            users.resize(id, new JobId(ref), body);
        } else {
            users.status(id, new JobId(ref));
        }
    }

    private void checkin(long id, byte[] body) {
        Heartbeat report;
        try {
            report = Heartbeat.parse(Codec.decodeMap(body));
        } catch (MalformedMessageException e) {
            context.answer(id, 400, Codec.map().put("error", e.getMessage()));
            return;
        }
        workerReachability.recordHeartbeat(context.now());
        if (election.holdsLease()) {
            leader.checkin(id, report);
            return;
        }
        notLeader(id);
    }

    private void notLeader(long id) {
        ObjectNode where = Codec.map();
        String hint = peers.leader(context.now());
        String foreman = hint != null ? hint : election.otherLeader();
        if (foreman != null) {
            where.put("foreman", foreman);
        }
        context.answer(id, 421, where);
    }
}
