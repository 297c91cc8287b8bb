package org.beechhoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.Controller;
import org.beechhoist.controller.context.Effect;
import org.beechhoist.metrics.Metrics;
import org.beechhoist.net.EventLoop;
import org.beechhoist.net.HttpClient;
import org.beechhoist.peer.CancelledJob;
import org.beechhoist.peer.JobCount;
import org.beechhoist.peer.PeerCodec;
import org.beechhoist.peer.PeerState;
import org.beechhoist.standin.StateService;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.ServiceCalls;
import picocli.CommandLine;

/**
 * Loads what a controller loads, by electing a leader and taking a job without a network, and ends. The build archives
 * the classes loaded here, so that a restarted node on a small machine answers sooner.
 */
@CommandLine.Command(name = "warm", hidden = true, description = "Load the service's classes and end.")
final class Warm implements Callable<Integer> {
    private static final int STEPS = 40;

    @CommandLine.Option(names = "--config", required = true)
    private Path config;

    @Override
    public Integer call() throws Exception {
        Settings settings = Settings.load(config);
        PeerCodec peers = new PeerCodec();
        peers.decode(peers.encode(new PeerState(
                "warm",
                false,
                FencingToken.NONE,
                0,
                false,
                0,
                0,
                0,
                List.of(new JobCount(new JobId("job-1"), 1, 1)),
                List.of(new CancelledJob(new JobId("job-2"), 1)),
                List.of(new JobId("job-3")))));
        new HttpClient(new EventLoop(), "", 1);
        Controller core = new Controller(settings, Policy.DEFAULT, new Metrics(), 1);
        StateService state = new StateService(
                settings.stateLimits().txnOps(), settings.stateLimits().valueBytes());
        JsonNode types = Codec.decodeMap(Codec.encode(types()));
        MonotonicTime now = new MonotonicTime(1_000_000);
        core.start(now, 0);
        for (int i = 0; i < STEPS; i++) {
            now = now.plusMs(500);
            List<Effect> effects = core.drainEffects();
            for (Effect effect : effects) {
                if (effect instanceof Effect.Call call && call.target() == ServiceCalls.Target.STATE) {
                    MonotonicTime at = now;
                    state.handle(
                            now.ms(),
                            call.method(),
                            call.path(),
                            call.body(),
                            r -> core.handleCallResult(at, 0, call.id(), CallResult.answered(r.status(), r.body())));
                } else if (effect instanceof Effect.Call outgoing) {
                    core.handleCallResult(
                            now,
                            0,
                            outgoing.id(),
                            outgoing.path().equals("/machine_types")
                                    ? CallResult.answered(200, types)
                                    : CallResult.NOT_SENT);
                }
            }
            if (i == STEPS / 2) {
                core.handleRequest(now, 0, i, "POST", "/v1/jobs", Codec.encode(job()));
                core.handleRequest(now, 0, i + 1L, "GET", "/v1/plan", new byte[0]);
            }
            state.tick(now.ms());
            core.handleTimer(now, 0);
        }
        return 0;
    }

    private static ObjectNode types() {
        ObjectNode out = Codec.map();
        out.putArray("hosttypes")
                .addObject()
                .put("sku", "c4")
                .put("cores", 4)
                .put("accelerators", 0)
                .put("memGb", 16)
                .put("cacheGb", 10)
                .put("fetchGbPerS", 1)
                .put("rate", 1)
                .put("lowPrice", 0.5)
                .put("startupS", 10)
                .putArray("yards")
                .add("a");
        return out;
    }

    private static ObjectNode job() {
        return Codec.map()
                .put("ref", "job-1")
                .put("jobclass", "any")
                .put("owner", "ours")
                .put("shape", "array")
                .put("urgency", "normal")
                .put("pieces", 1)
                .put("cores", 1)
                .put("accelerators", 0)
                .put("memGb", 1)
                .put("bundle", "img")
                .put("pullGb", 0)
                .put("samePlace", false)
                .put("apart", false)
                .put("loaner", true)
                .put("guessS", 60)
                .put("snapshotEveryS", 0)
                .put("snapshotCostS", 0);
    }
}
