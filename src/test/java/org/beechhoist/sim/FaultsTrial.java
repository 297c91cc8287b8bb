package org.beechhoist.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.beechhoist.controller.context.Effect;
import org.beechhoist.standin.StateService;
import org.beechhoist.standin.Worker;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Six hundred machines and five nodes, one to four drawn troubles at once: {@code mvn -q -Ptrial -Dtest=FaultsTrial -Dtrial.seed=N
 * test}. Limits are enforced; what is counted is seen from outside.
 */
@Tag("trial")
class FaultsTrial {
    private static final long ARRIVALS_MS = 200_000;
    private static final long TROUBLE_MS = 60_000;
    private static final long USUAL_MS = 300_000;

    enum Trouble {
        DEAF_TENTH(w -> w.deafen(z -> true, 0.1, drawn(w, 10_000, 80_000))),
        DEAF_ZONE(w -> w.deafen(zone(w)::equals, 1, drawn(w, 10_000, 60_000))),
        COPIES(w -> {
            w.copies.each = 1 + w.random.nextInt(3);
            w.copies.mostMs = drawn(w, 10_000, 90_000);
            w.later(60_000, () -> w.copies.each = 0);
        }),
        CUT_OFF(w -> {
            int node = w.random.nextBoolean() ? w.leader() : w.random.nextInt(w.nodeCount());
            w.isolate(node, w.random.nextBoolean(), drawn(w, 5000, 70_000));
            if (w.random.nextBoolean()) {
                w.isolate((node + 1) % w.nodeCount(), w.random.nextBoolean(), drawn(w, 5000, 70_000));
            }
        }),
        CUT_BUT_ONE_ZONE(w -> w.isolateWith(w.leader(), zone(w), w.random.nextBoolean(), drawn(w, 5000, 70_000))),
        ONE_WAY(w -> w.isolateOneWay(w.leader(), drawn(w, 10_000, 60_000))),
        MUTE(w -> w.mute(
                w.random.nextBoolean() ? w.leader() : w.random.nextInt(w.nodeCount()), drawn(w, 10_000, 60_000))),
        MID_ELECTION(w -> {
            for (int i = 0; i < w.nodeCount(); i++) {
                w.crashAt(
                        i,
                        e -> e instanceof Effect.Call c
                                && (c.path().equals("/leases") || c.path().startsWith("/store?prefix=jo/")),
                        30 + w.random.nextInt(500));
            }
            w.crash(w.leader(), 100 + w.random.nextInt(400));
        }),
        BACK_AT_ONCE(w -> {
            for (int i = 0; i < 20; i++) {
                w.later(i * 300L, w::restartMachine);
            }
        }),
        LOSSES(w -> {
            w.loseMachines(50);
            w.crash(w.random.nextInt(w.nodeCount()), 200);
        }),
        OUTAGE(w -> w.stateOutage(drawn(w, 5000, 20_000))),
        OVERLOAD(w -> {
            w.loseMachines(w.rented() / 3);
            w.crashAll(i -> 300 + 200L * i);
        });

        private final Consumer<World> begin;

        Trouble(Consumer<World> begin) {
            this.begin = begin;
        }
    }

    private static long drawn(World w, int from, int to) {
        return from + w.random.nextInt(to - from);
    }

    private static String zone(World w) {
        return w.zones().get(w.random.nextInt(w.zones().size()));
    }

    @Test
    void troublesAreSeenThrough() {
        long seed = Long.getLong("trial.seed", 1);
        Extent x = Extent.strict();
        x.zones = 4;
        x.leaseS = 26;
        World w = new World(seed, new WorldScale(5, 90, 6000, 1000, StateService.KEPT_CHANGES).with(x));
        for (int i = 0; i < 60; i++) {
            w.later(i * 40L, () -> FallTrial.arrive(w));
        }
        w.every(1000, () -> {
            if (w.now < ARRIVALS_MS) {
                FallTrial.arrive(w);
            }
        });
        w.every(9000, () -> {
            if (w.now < ARRIVALS_MS) {
                w.cancelSome();
                w.askForUnknown();
            }
        });
        w.callCopies.setShareOfAll(0.1);
        w.callCopies.setShare(CallCopies.Kind.COMMAND, 1);
        w.callCopies.afterForget = 1;
        w.callCopies.afterRestart = 1;
        int[] most = new int[1];
        w.every(5000, () -> most[0] = Math.max(most[0], w.machinesUp()));
        long[] unled = new long[2];
        w.every(500, () -> {
            unled[0] = w.view("/v1/start") != null ? 0 : unled[0] + 500;
            unled[1] = w.now > 5000 ? Math.max(unled[1], unled[0]) : 0;
        });
        List<String> told = new ArrayList<>();
        List<Trouble> left = new ArrayList<>(List.of(Trouble.values()));
        int n = 1 + w.random.nextInt(4);
        boolean outage = false;
        for (int i = 0; i < n; i++) {
            Trouble t = left.remove(w.random.nextInt(left.size()));
            outage |= t == Trouble.OUTAGE;
            told.add(t.name().toLowerCase(Locale.ROOT));
            w.later(TROUBLE_MS + w.random.nextInt(20_000), () -> t.begin.accept(w));
        }
        w.runUntil(ARRIVALS_MS);
        w.noCrash();
        w.runUntil(ARRIVALS_MS + 30_000);
        for (long end = w.now + 300_000; w.now < end && !w.unfinished().isEmpty(); ) {
            w.runUntil(w.now + 5000);
        }
        Map<String, Served.Share> served = Served.of(w, USUAL_MS, j -> true);
        Map<String, Served.Share> largest = Served.largest(w, USUAL_MS, j -> true);
        long wait = Served.longestWaitOfLargest(w, j -> true);
        System.out.printf(
                "trial: faults seed=%d machines_up=%d troubles=%s jobs=%d unfinished=%d launches_to_deaf=%d same_in_a_row=%d"
                        + " launches_to_gone=%d carried_out_twice=%d copies=%d call_copies=%s copies_after_forget=%s written_again=%s"
                        + " leases_ended=%d longest_unled_s=%.1f longest_unanswered_s=%.1f least_share=%.2f"
                        + " least_share_of_largest=%.2f longest_wait_of_largest_s=%.1f changes=%d rules_broken=0%n",
                seed,
                most[0],
                String.join("+", told),
                w.allJobs().size(),
                w.unfinished().size(),
                w.copies.launchesToDeaf,
                w.copies.mostInARow,
                w.copies.launchesToGone,
                w.toll.carriedOutTwice,
                w.copies.sent,
                CallCopies.summary(w.callCopies.arrived),
                CallCopies.summary(w.callCopies.arrivedAfterForget),
                CallCopies.summary(w.callCopies.writtenAgain),
                w.toll.lost(Worker.End.LAPSED),
                unled[1] / 1000.0,
                w.users.longestUnansweredMs / 1000.0,
                Served.least(served),
                Served.least(largest),
                wait / 1000.0,
                w.counted.puts);
        assertTrue(most[0] > 450, most[0] + " machines");
        assertEquals(List.of(), w.unfinished());
        assertEquals(0, w.toll.carriedOutTwice, "launches that were carried out twice");
        assertTrue(
                w.copies.mostInARow <= 2,
                "the same launch " + w.copies.mostInARow + " times to a machine that did not hear, or was gone");
        assertTrue(
                told.stream().anyMatch(t -> t.startsWith("deaf")) || w.toll.lost(Worker.End.LAPSED) == 0,
                "leases ended, and no machine was deaf");
        assertTrue(unled[1] <= (outage ? 40_000 : 20_000), unled[1] + " ms without a leader");
        assertTrue(
                w.users.longestUnansweredMs <= 10_000,
                w.users.longestUnanswered + " was not answered for " + w.users.longestUnansweredMs + " ms");
        assertTrue(Served.least(served) >= 0.6, "least served: " + served);
        assertTrue(Served.least(largest) >= 0.6, "least served of the largest: " + largest);
        assertTrue(wait <= 240_000, "one of the largest began after " + wait + " ms");
    }
}
