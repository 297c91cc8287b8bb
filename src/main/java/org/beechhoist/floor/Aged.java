package org.beechhoist.floor;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.wire.JobId;

/**
 * Of which of the largest jobs a first part goes before all others, because nothing of them has begun for long: they too have to
 * begin within four minutes, whoever else is more urgent. Only a part, for what triage leaves behind is not to cost those that can
 * be in time (done for every job it cost a tenth of them); together no more than a share of the machines, so that urgent work never waits for many of them.
 */
public final class Aged {
    /** By when a job is to have begun. */
    public static final long BEGUN_MS = 240_000;
    /** From when on a job's first part goes first. */
    private static final long FROM_MS = 140_000;
    /** A start counts that nothing stops for half a minute. */
    private static final long SAFE_MS = 40_000;
    /** One task of so many begins early: what has begun goes on in its own turn. */
    private static final int ONE_OF = 5;
    /** Of all CPUs, what such parts may ask for together; one of them always may. */
    private static final double SHARE = 0.25;

    /**
     * One of its class's largest half, of which nothing has begun, or only what went first for this reason.
     *
     * @param sinceMs when it was submitted
     * @param whole whether its tasks need one another or a place together: all of it goes first, or nothing
     * @param begun tasks on machines or done, the first {@code begunMs} ago
     * @param cpus of one task
     */
    public record Waiting(
            JobId job, long sinceMs, boolean whole, int tasks, int begun, long begunMs, int waiting, double cpus) {
        private long fromMs() {
            return sinceMs + FROM_MS;
        }

        private int part() {
            int first = whole ? tasks : Math.max(1, tasks / ONE_OF);
            return Math.max(0, Math.min(waiting, first - begun));
        }
    }

    private Aged() {}

    /** How many tasks of which jobs go first; none of a job that is named may be stopped for another's sake. */
    public static Map<JobId, Integer> first(List<Waiting> waiting, double allCpus, long nowMs) {
        Map<JobId, Integer> out = new LinkedHashMap<>();
        List<Waiting> old = new ArrayList<>();
        for (Waiting claim : waiting) {
            if (nowMs >= claim.fromMs() && (claim.part() > 0 || claim.begunMs < SAFE_MS)) {
                old.add(claim);
            }
        }
        // Who has begun keeps what it has, and the oldest come first.
        old.sort(Comparator.comparing((Waiting w) -> w.begun == 0)
                .thenComparingLong(Waiting::fromMs)
                .thenComparing(Waiting::job));
        double taken = 0;
        for (Waiting claim : old) {
            double cpus = claim.part() * claim.cpus;
            if (taken > 0 && cpus > 0 && taken + cpus > SHARE * allCpus) {
                break; // smaller ones that fit beside what goes first would keep it waiting for ever
            }
            out.put(claim.job, claim.part());
            taken += cpus;
        }
        return out;
    }
}
