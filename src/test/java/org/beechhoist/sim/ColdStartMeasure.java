package org.beechhoist.sim;

import java.util.HashSet;
import java.util.Set;
import org.beechhoist.config.Policy;
import org.beechhoist.controller.context.Effect;
import org.beechhoist.standin.StateService;
import org.beechhoist.standin.Worker;
import org.beechhoist.store.JobRecord;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.TaskId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/** What a start takes, for docs/measurements.md: {@code mvn -q -Dtest=ColdStartMeasure -Dstart.seeds=2 test}. */
class ColdStartMeasure {
    private static World region(long seed, int machines) {
        Extent x = Extent.strict();
        x.zones = 4;
        x.leaseS = 26;
        World w = new World(
                seed, new WorldScale(5, machines * 2 / 15, 6000, 2000, StateService.KEPT_CHANGES, policy()).with(x));
        for (int i = 0; i < machines / 12; i++) {
            w.later(i * 40L, () -> FallTrial.arrive(w));
        }
        w.every(1_080_000L / machines, () -> {
            if (w.now < 100_000) {
                FallTrial.arrive(w);
            }
        });
        w.runUntil(60_000);
        return w;
    }

    private static Policy policy() {
        return Policy.DEFAULT.with(!Boolean.getBoolean("start.bare"), false);
    }

    @Test
    @EnabledIfSystemProperty(named = "start.seeds", matches = "[0-9]+")
    void byLengthAndSize() {
        for (long seed = 1; seed <= Long.getLong("start.seeds"); seed++) {
            for (int[] size : new int[][] {{1200, 2}, {1200, 10}, {1200, 40}, {1200, 400}, {300, 3}, {4000, 3}}) {
                World w = region(seed, size[0]);
                print(seed, size[1], w);
            }
        }
    }

    private static void print(long seed, int downS, World w) {
        int up = w.machinesUp();
        w.toll.forget();
        w.lost.forget();
        Set<TaskId> ran = new HashSet<>(w.running());
        w.loseMachines(up / 12);
        w.crashAll(i -> 1000L * downS);
        long back = w.now + 1000L * downS;
        w.runUntil(back - 1);
        w.counted.forgetBusiest();
        long core = w.counted.coreNanos;
        long[] first = {-1};
        int[] stops = {0};
        w.performed = (age, e) -> {
            boolean orders = e instanceof Effect.Call c && c.path().equals("/orders");
            String text = orders ? ((Effect.Call) e).body().toString() : "";
            first[0] = first[0] < 0 && text.contains("launch") ? w.now - back : first[0];
            stops[0] += text.split("\\\"kill\\\"", -1).length - 1;
        };
        w.runUntil(back + 10_000);
        long ms = (w.counted.coreNanos - core) / 1_000_000;
        long most = w.counted.mostDirect;
        int killed = stops[0];
        long requests = w.counted.mostRequests;
        w.performed = (age, e) -> {};
        w.runUntil(back + 120_000);
        System.out.printf(
                "start seed=%d machines=%d down_s=%d ran=%d lost_urgent=%d first_launch_s=%.1f urgent_again_after_start_s=%.1f all_again_after_start_s=%.1f"
                        + " orders_busiest_second=%d requests_busiest_second=%d kills_in_10_s=%d returned_in_use=%d lapsed=%d core_ms_in_10_s=%d not_yet=%d%n",
                seed,
                up,
                downS,
                ran.size(),
                w.lost.urgentTasks,
                first[0] / 1000.0,
                w.lost.longestUrgentMs / 1000.0 - downS,
                w.lost.longestMs / 1000.0 - downS,
                most,
                requests,
                killed,
                w.toll.returnedInUse,
                w.toll.lost(Worker.End.LAPSED),
                ms,
                w.lost.neverBack().size());
    }

    /** Reading what 100,000 open jobs and 15,000 machines have left, at the state service's limits. */
    @Test
    @EnabledIfSystemProperty(named = "start.seeds", matches = "[0-9]+")
    void reading() throws MalformedMessageException {
        Extent x = Extent.strict();
        World w = new World(9, new WorldScale(3, 4, 6000, 60_000, StateService.KEPT_CHANGES, policy()).with(x));
        w.runUntil(5000);
        w.crashAll(i -> 20_000);
        w.runUntil(14_000);
        for (int i = 0; i < 100_000; i++) {
            var spec = JobSpec.parse(JobSpec.withDefaults(Codec.map()
                    .put("ref", String.format("job-%06d", 100_000 + i))
                    .put("jobclass", "slow")
                    .put("owner", "blue")
                    .put("cores", 1.0)
                    .put("memGb", 1.0)
                    .put("bundle", "img-0")
                    .put("guessS", 60)));
            w.write(JobRecord.openKey(spec.id()), new JobRecord(spec, w.wall()).toNode());
        }
        long[] loaded = {-1};
        long from = w.counted.storeRequests;
        w.performed = (age, e) -> {
            if (loaded[0] < 0 && e instanceof Effect.Call c && c.path().startsWith("/changes?prefix=jo/")) {
                loaded[0] = w.now - 25_000;
            }
        };
        long core = w.counted.coreNanos;
        w.runUntil(60_000);
        System.out.printf(
                "reading 100000 open records: %.1f s after the start, %d requests in all, busiest second %d, %d ms of processor time until 35 s after it%n",
                loaded[0] / 1000.0,
                w.counted.storeRequests - from,
                w.counted.mostRequests,
                (w.counted.coreNanos - core) / 1_000_000);
    }
}
