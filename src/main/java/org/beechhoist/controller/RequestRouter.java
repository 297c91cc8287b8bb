package org.beechhoist.controller;

import java.util.List;
import java.util.Set;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.metrics.Metrics;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;

/** Routes requests on the public address by path and method. */
final class RequestRouter {
    static final String PLAN_VIEW = "/v1/plan";
    static final String MACHINES_VIEW = "/v1/hosts";
    static final String TEAMS_VIEW = "/v1/teams";
    static final String LOSS_RECOVERY_VIEW = "/v1/falls";
    static final String COLD_START_VIEW = "/v1/start";
    static final String SERVICE_SHARE_VIEW = "/v1/served";

    private static final String METRICS_VIEW = "/v1/metrics";
    private static final String READY = "/ready";
    private static final String HEARTBEAT = "/checkin";
    private static final String JOBS = "/v1/jobs";
    private static final String JOB_PREFIX = JOBS + "/";
    private static final String CANCEL = "/cancel";
    private static final String WIDTH = "/width";
    private static final Set<String> READ_PATHS = Set.of(
            READY,
            PLAN_VIEW,
            MACHINES_VIEW,
            TEAMS_VIEW,
            LOSS_RECOVERY_VIEW,
            COLD_START_VIEW,
            SERVICE_SHARE_VIEW,
            METRICS_VIEW);

    private static final String GET = "GET";
    private static final String POST = "POST";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int UNAVAILABLE = 503;

    private final ControllerContext context;
    private final Metrics metrics;
    private final UserApi users;
    private final LeaderRequests leaderRequests;
    private final NodeReadiness readiness;
    private final List<FeatureApi> features;

    /**
     * Creates a router.
     *
     * @param features the APIs of the enabled features: the first that handles a path receives the request
     */
    RequestRouter(
            ControllerContext context,
            Metrics metrics,
            UserApi users,
            LeaderRequests leaderRequests,
            NodeReadiness readiness,
            List<FeatureApi> features) {
        this.context = context;
        this.metrics = metrics;
        this.users = users;
        this.leaderRequests = leaderRequests;
        this.readiness = readiness;
        this.features = List.copyOf(features);
    }

    /** Handles a request; it is answered now or later. */
    void route(ApiRequest request) {
        for (FeatureApi feature : features) {
            if (feature.handles(request.path())) {
                feature.handle(request, (status, node) -> context.respond(request.id(), status, node));
                return;
            }
        }
        String expected = expectedMethod(request.path());
        if (expected == null) {
            context.respond(request.id(), NOT_FOUND, Codec.map().put("error", "no such path"));
        } else if (!request.method().equals(expected)) {
            context.respond(request.id(), METHOD_NOT_ALLOWED, Codec.map().put("error", expected + " expected"));
        } else {
            handle(request);
        }
    }

    /** Returns the method that a path requires, or null if there is no such path. */
    private static String expectedMethod(String path) {
        if (path.equals(JOBS) || path.equals(HEARTBEAT)) {
            return POST;
        }
        if (READ_PATHS.contains(path)) {
            return GET;
        }
        if (path.startsWith(JOB_PREFIX)) {
            return path.endsWith(CANCEL) || path.endsWith(WIDTH) ? POST : GET;
        }
        return null;
    }

    private void handle(ApiRequest request) {
        long id = request.id();
        switch (request.path()) {
            case JOBS -> users.submit(id, request.body());
            case HEARTBEAT -> leaderRequests.handleHeartbeat(id, request.body());
            case READY -> context.respond(id, readiness.isReady() ? OK : UNAVAILABLE, null);
            case METRICS_VIEW -> context.respond(id, OK, metrics.toNode());
            case PLAN_VIEW, MACHINES_VIEW, TEAMS_VIEW, LOSS_RECOVERY_VIEW, COLD_START_VIEW, SERVICE_SHARE_VIEW ->
                leaderRequests.answerView(id, request.path());
            default -> job(id, request.path().substring(JOB_PREFIX.length()), request.body());
        }
    }

    private void job(long id, String idAndAction, byte[] body) {
        boolean cancels = idAndAction.endsWith(CANCEL);
        boolean resizes = idAndAction.endsWith(WIDTH);
        String jobId = cancels || resizes ? idAndAction.substring(0, idAndAction.lastIndexOf('/')) : idAndAction;
        if (!JobId.isValid(jobId)) {
            context.respond(id, NOT_FOUND, Codec.map().put("error", "no such job"));
        } else if (cancels) {
            users.cancel(id, new JobId(jobId), 0);
        } else if (resizes) {
            users.resize(id, new JobId(jobId), body);
        } else {
            users.status(id, new JobId(jobId));
        }
    }
}
