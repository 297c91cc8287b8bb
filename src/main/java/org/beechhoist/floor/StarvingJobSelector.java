package org.beechhoist.floor;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.wire.JobId;

/**
 * Selects the starving jobs: those of the largest of which nothing has begun for long. A first part of such a job goes before all
 * others, because it too has to begin within four minutes, whatever else has a higher priority. Only a part, since what load shedding
 * sheds is not to cost the jobs that can be in time (done for every job it cost a tenth of them); and together no more than a share of
 * the machines, so that work of high priority never waits for many of them.
 */
public final class StarvingJobSelector {
    /** The time from its submission by which a job is to have begun. */
    public static final long BEGIN_WITHIN_MS = 240_000;
    /** The time from its submission after which a job's first part goes first. */
    private static final long STARVING_AFTER_MS = 140_000;
    /** So long after its start a job stays selected: a start counts only if nothing stops it for half a minute. */
    private static final long BEGUN_FOR_MS = 40_000;
    /** One task of so many goes first; once a job has begun, its other tasks go in their usual order. */
    private static final int TASKS_PER_FIRST = 5;
    /** The part of all CPUs that such first parts may ask for together; one of them always may. */
    private static final double MAX_CPU_PART = 0.25;

    /**
     * A job of its class's largest half of which nothing has begun, or only what went first for this reason.
     *
     * @param sinceMs when it was submitted
     * @param whole whether its tasks need one another or a zone together: all of it goes first, or nothing
     * @param tasks all its tasks
     * @param begun tasks on machines or done
     * @param begunMs how long ago the first of them was placed
     * @param waiting its waiting tasks
     * @param cpus CPUs of one task
     */
    public record Waiting(
            JobId job, long sinceMs, boolean whole, int tasks, int begun, long begunMs, int waiting, double cpus) {
        private long starvingFromMs() {
            return sinceMs + STARVING_AFTER_MS;
        }

        /** Returns how many tasks of it still have to go first. */
        private int part() {
            int first = whole ? tasks : Math.max(1, tasks / TASKS_PER_FIRST);
            return Math.max(0, Math.min(waiting, first - begun));
        }
    }

    private StarvingJobSelector() {}

    /**
     * Returns the starving jobs and how many further tasks of each go first, none for a job that has enough; no task of a job in it may
     * be stopped for another job's sake.
     */
    public static Map<JobId, Integer> select(List<Waiting> waiting, double allCpus, long nowMs) {
        Map<JobId, Integer> out = new LinkedHashMap<>();
        List<Waiting> old = new ArrayList<>();
        for (Waiting claim : waiting) {
            if (nowMs >= claim.starvingFromMs() && (claim.part() > 0 || claim.begunMs < BEGUN_FOR_MS)) {
                old.add(claim);
            }
        }
        // Jobs that have begun keep what they have; then the oldest come first.
        old.sort(Comparator.comparing((Waiting claim) -> claim.begun == 0)
                .thenComparingLong(Waiting::starvingFromMs)
                .thenComparing(Waiting::job));
        double taken = 0;
        for (Waiting claim : old) {
            double cpus = claim.part() * claim.cpus;
            if (taken > 0 && cpus > 0 && taken + cpus > MAX_CPU_PART * allCpus) {
                break; // smaller jobs that still fit would keep this one waiting for ever
            }
            out.put(claim.job, claim.part());
            taken += cpus;
        }
        return out;
    }
}
