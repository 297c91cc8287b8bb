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
    public static final long MAX_TIME_TO_START_MS = 240_000;
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
     * @param submittedMs when it was submitted
     * @param allOrNothing whether its tasks need one another or a zone together: all of it goes first, or nothing
     * @param tasks all its tasks
     * @param begun tasks on machines or done
     * @param sinceFirstPlacedMs how long ago the first of them was placed
     * @param waiting its waiting tasks
     * @param cpus CPUs of one task
     */
    public record OpenJob(
            JobId job,
            long submittedMs,
            boolean allOrNothing,
            int tasks,
            int begun,
            long sinceFirstPlacedMs,
            int waiting,
            double cpus) {
        private long starvingFromMs() {
            return submittedMs + STARVING_AFTER_MS;
        }

        /** Returns how many tasks of it still have to go first. */
        private int part() {
            int first = allOrNothing ? tasks : Math.max(1, tasks / TASKS_PER_FIRST);
            return Math.max(0, Math.min(waiting, first - begun));
        }
    }

    private StarvingJobSelector() {}

    /**
     * Returns the starving jobs and how many further tasks of each go first, none for a job that has enough; no task of a job in it may
     * be stopped for another job's sake.
     */
    public static Map<JobId, Integer> select(List<OpenJob> waiting, double allCpus, long nowMs) {
        Map<JobId, Integer> out = new LinkedHashMap<>();
        List<OpenJob> old = new ArrayList<>();
        for (OpenJob claim : waiting) {
            if (nowMs >= claim.starvingFromMs() && (claim.part() > 0 || claim.sinceFirstPlacedMs < BEGUN_FOR_MS)) {
                old.add(claim);
            }
        }
        // Jobs that have begun keep what they have; then the oldest come first.
        old.sort(Comparator.comparing((OpenJob claim) -> claim.begun == 0)
                .thenComparingLong(OpenJob::starvingFromMs)
                .thenComparing(OpenJob::job));
        double taken = 0;
        for (OpenJob claim : old) {
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
