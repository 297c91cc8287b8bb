package org.beechhoist.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.beechhoist.config.PolicyScript;
import org.beechhoist.local.LocalCluster;
import org.beechhoist.local.LoopbackRegion;
import org.beechhoist.wire.ApiClient;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.ResizeRequest;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Three controllers and a signing floor over loopback sockets: two jobs are shrunk and grown hundreds of times while
 * machines die, hang and are taken with a notice, and controllers are killed. In the end every image has been signed
 * exactly once and every output is whole, counted from the files.
 */
@Tag("trial")
@Tag("clock")
class ElasticTrial {
    private static final int JOBS = 2;
    private static final int IMAGES = 220;
    private static final int WIDEST = 44;
    private static final int RESIZES = 360;
    private static final long TROUBLE_MS = 24_000;
    /** On a slow machine the resizes take longer. */
    private static final long LATEST_MS = 34_000;

    private static final long END_MS = 49_000;
    private static final int LEAST_RESIZES = 300;
    private static final int LEAST_SHRINKS = 100;
    private static final String DEPLOYMENT =
            """
            [deployment]
            nodes = 3
            zones = ["a", "b"]
            clock_error_ms = 100.0
            [[deployment.teams]]
            name = "ours"
            [deployment.workers]
            report_s = 0.5
            lease_s = 5.0
            cancel_s = 20.0
            [deployment.state]
            rps = 1500.0
            write_rps = 800.0
            value_kb = 8.0
            txn_ops = 40
            [deployment.cloud]
            rps = 20.0
            list_lag_s = 0.5
            [deployment.quota]
            max_sockets = 500
            """;

    private final long seed = Long.getLong("trial.seed", 1);
    private final SplittableRandom random = new SplittableRandom(seed);
    private final long began = System.nanoTime();
    private int resizes;
    private int shrinks;
    private int refused;
    private int lost;
    private int hung;
    private int notices;
    private int kills;
    private int troubles;

    private long ms() {
        return (System.nanoTime() - began) / 1_000_000;
    }

    private static JobSpec job(int i) throws MalformedMessageException {
        ObjectNode n = Codec.map()
                .put("ref", "job-00000" + i)
                .put("jobclass", "keysign")
                .put("owner", "ours")
                .put("shape", "array")
                .put("urgency", "normal")
                .put("pieces", IMAGES)
                .put("cores", 1.0)
                .put("accelerators", 0)
                .put("memGb", 1.0)
                .put("bundle", "img")
                .put("pullGb", 0.2)
                .put("samePlace", false)
                .put("apart", false)
                .put("loaner", true)
                .put("guessS", 1.7)
                .put("snapshotEveryS", 0)
                .put("snapshotCostS", 0);
        n.set("width", Codec.map().put("least", 10).put("most", WIDEST));
        return JobSpec.parse(n);
    }

    /** As urgent as the images, so that it never has one stopped. One replica a machine keeps fourteen machines there and leaves three slots on each. */
    private static JobSpec machines() throws MalformedMessageException {
        return JobSpec.parse(Codec.map()
                .put("ref", "job-9")
                .put("jobclass", "watch")
                .put("owner", "ours")
                .put("shape", "standing")
                .put("urgency", "normal")
                .put("pieces", 14)
                .put("cores", 5.0)
                .put("accelerators", 0)
                .put("memGb", 1.0)
                .put("bundle", "web")
                .put("pullGb", 0.1)
                .put("samePlace", false)
                .put("apart", false)
                .put("loaner", true)
                .put("guessS", 0)
                .put("snapshotEveryS", 0)
                .put("snapshotCostS", 0));
    }

    @Test
    void everyImageIsSignedOnceAndWhole(@TempDir Path dir) throws Exception {
        MachineType type = new MachineType("c8", 8, 0, 32, 20, 1, 0.2, 0.05, 0.5, List.of("a", "b"));
        SigningFloor floor = new SigningFloor(dir, random.split());
        LocalCluster.Layout layout = new LocalCluster.Layout(
                3,
                DEPLOYMENT,
                PolicyScript.load(Path.of("deploy/product.lua")),
                new LoopbackRegion.Layout(List.of(type), 10, 500, 5000, seed));
        int seen = 0;
        try (LocalCluster cluster = new LocalCluster(layout, floor)) {
            floor.holds = cluster.inRegion(region -> region::holds);
            ApiClient client = new ApiClient(cluster.nodes());
            submit(client, machines());
            for (int i = 1; i <= JOBS; i++) {
                submit(client, job(i));
            }
            long nextTrouble = 3000;
            long nextKill = 5000;
            long revive = Long.MAX_VALUE;
            int down = -1;
            while (ms() < TROUBLE_MS
                    || down >= 0
                    || ms() < LATEST_MS && (resizes < LEAST_RESIZES || shrinks < LEAST_SHRINKS)) {
                if (resizes < ms() * RESIZES / (TROUBLE_MS - 3000)) {
                    resize(client, 1 + random.nextInt(JOBS));
                }
                if (ms() > nextTrouble && ms() < TROUBLE_MS) {
                    nextTrouble = ms() + 500 + random.nextInt(1000);
                    seen = Math.max(seen, trouble(cluster, floor));
                }
                if (ms() > nextKill && ms() < TROUBLE_MS && down < 0) {
                    // Most of the time the one that leads: the worst moment is as likely as any other.
                    int leads = leader(cluster);
                    down = leads >= 0 && random.nextInt(4) > 0 ? leads : random.nextInt(3);
                    cluster.kill(down);
                    kills++;
                    revive = ms() + 1000;
                }
                if (down >= 0 && ms() > revive) {
                    cluster.boot(down);
                    down = -1;
                    nextKill = ms() + 4000 + random.nextInt(3000);
                }
                Thread.sleep(10);
            }
            for (int i = 1; i <= JOBS; i++) {
                ask(client, i, Codec.map().put("least", WIDEST).put("most", WIDEST));
            }
            boolean over = false;
            while (!over && ms() < END_MS) {
                over = true;
                for (int i = 1; i <= JOBS; i++) {
                    over &= done(client, i);
                }
                Thread.sleep(100);
            }
            assertTrue(over, "the jobs are not done in time");
        }
        SigningFloor.Found found = floor.found();
        int images = JOBS * IMAGES;
        System.out.printf(
                "trial: elastic seed=%d images=%d signed_once=%d signed_more=%d outputs=%d whole=%d together=%d "
                        + "resizes=%d shrinks=%d machines=%d lost=%d hung=%d notices=%d controllers_killed=%d starts=%d "
                        + "lossy_stops=%d grows_onto_drained=%d seconds=%.1f%n",
                seed,
                images,
                found.once(),
                found.more(),
                found.files(),
                found.whole(),
                floor.together,
                resizes,
                shrinks,
                seen,
                lost,
                hung,
                notices,
                kills,
                floor.starts,
                floor.lossyStops,
                floor.ontoDrained,
                ms() / 1000.0);
        assertEquals(images, found.once(), "images signed exactly once");
        assertEquals(0, found.more());
        assertEquals(images, found.whole(), "outputs whole");
        assertEquals(0, floor.together, "an image was under way on two machines at once");
        assertEquals(0, floor.ontoDrained);
        assertEquals(0, floor.lossyStops, "stops that threw work away");
        assertTrue(
                resizes >= LEAST_RESIZES && shrinks >= LEAST_SHRINKS && refused == 0,
                resizes + " resizes, " + shrinks + " shrinks, " + refused + " refused");
        assertTrue(
                seen >= 12 && lost > 2 && kills > 2,
                seen + " machines, " + lost + " lost, " + kills + " controllers killed");
    }

    private void submit(ApiClient client, JobSpec spec) throws InterruptedException {
        while (true) {
            try {
                if (client.submit(spec).status() < 300) {
                    return;
                }
            } catch (IOException e) {
                assertTrue(ms() < END_MS, "no node takes the job");
            }
            Thread.sleep(100);
        }
    }

    private void resize(ApiClient client, int job) throws MalformedMessageException {
        boolean bounds = random.nextInt(3) == 0;
        int width = random.nextInt(WIDEST);
        ask(
                client,
                job,
                bounds
                        ? Codec.map().put("least", width / 2).put("most", width)
                        : Codec.map().put("width", width));
    }

    private void ask(ApiClient client, int job, ObjectNode body) throws MalformedMessageException {
        while (ms() < END_MS) {
            try {
                ApiClient.Answer a = client.resize(new JobId("job-00000" + job), ResizeRequest.parse(body));
                if (a.status() == 200) {
                    resizes++;
                    shrinks += a.body().path("width").path("target").asInt()
                                    < a.body().path("running").asInt()
                            ? 1
                            : 0;
                    return;
                }
                if (a.status() == 409) {
                    refused += a.body().path("error").asText().contains("done") ? 0 : 1;
                    return;
                }
            } catch (IOException e) {
                // the next node, or the same one once it is back
            }
        }
    }

    private static boolean done(ApiClient client, int job) {
        try {
            return client.status(new JobId("job-00000" + job))
                    .body()
                    .path("status")
                    .asText()
                    .equals("done");
        } catch (IOException e) {
            return false;
        }
    }

    private static int leader(LocalCluster cluster) {
        for (int i = 0; i < cluster.nodes().size(); i++) {
            try {
                if (new ApiClient(List.of(cluster.nodes().get(i))).view("plan").status() == 200) {
                    return i;
                }
            } catch (IOException e) {
                // it is down
            }
        }
        return -1;
    }

    /** Something happens to a machine; hands over how many are up. */
    private int trouble(LocalCluster cluster, SigningFloor floor) {
        int kind = troubles++ % 4; // each kind often enough, whatever the seed
        int which = random.nextInt(1000);
        long hang = 1000 + random.nextInt(8000);
        return cluster.inRegion(region -> {
            List<String> up = new ArrayList<>(region.up());
            up.removeAll(floor.noticed.keySet());
            if (up.size() > 6) {
                String host = up.get(which % up.size());
                switch (kind) {
                    case 0 -> {
                        region.lose(host);
                        lost++;
                    }
                    case 1 -> {
                        region.hang(host, hang);
                        hung++;
                    }
                    default -> {
                        floor.noticed.put(host, System.nanoTime());
                        region.notice(host, 4);
                        notices++;
                    }
                }
            }
            return up.size();
        });
    }
}
