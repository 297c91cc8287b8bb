package org.beechhoist.floor;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.wire.JobId;

/**
 * Selects the starving jobs: those among the largest of which no task has started for a long time. Some tasks of
 * such a job are placed before all other work, because it too has to start within four minutes, whatever has a
 * higher priority. It is only a part of the tasks, because jobs that load shedding sheds must not displace those
 * that can finish in time (placing all tasks of every such job first cost a tenth of those). All of them together
 * get only a part of the machines, so that work of high priority never waits for many of them.
 */
public final class StarvingJobSelector {
    /** The time after its submission within which a job must start. */
    public static final long MAX_TIME_TO_START_MS = 240_000;
    /** The time after its submission from which a job that has not started is starving. */
    private static final long STARVING_AFTER_MS = 140_000;
    /**
     * The time for which a job stays selected after its start; a start counts only if it is not stopped within half a
     * minute.
     */
    private static final long KEEP_SELECTED_MS = 40_000;
    /**
     * One in this many tasks of a job is placed first; once these have started, its other tasks are placed in the
     * usual order.
     */
    private static final int TASKS_PER_EXPEDITED_TASK_COUNT = 5;
    /** The fraction of all CPUs that these first tasks of all jobs may use together; those of one job are always allowed. */
    private static final double MAX_CPU_FRACTION = 0.25;

    /**
     * A job of its class's largest half of which no task has started, or only tasks selected here.
     *
     * @param submittedMs when the job was submitted
     * @param allOrNothing whether its tasks depend on one another or on a common zone, so that either all of them
     *     are placed first or none
     * @param tasks the number of its tasks
     * @param begun the number of its tasks that are on machines or done
     * @param sinceFirstPlacedMs the time since the first of them was placed
     * @param waiting the number of its waiting tasks
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

        /** Returns how many further tasks of the job are to be placed first. */
        private int expeditedTasks() {
            int first = allOrNothing ? tasks : Math.max(1, tasks / TASKS_PER_EXPEDITED_TASK_COUNT);
            return Math.max(0, Math.min(waiting, first - begun));
        }
    }

    private StarvingJobSelector() {}

    /**
     * Returns the starving jobs and how many further tasks of each are placed first, 0 for a job that has enough. No
     * task of these jobs may be preempted.
     */
    public static Map<JobId, Integer> select(List<OpenJob> waiting, double allCpus, long nowMs) {
        Map<JobId, Integer> out = new LinkedHashMap<>();
        List<OpenJob> old = new ArrayList<>();
        for (OpenJob openJob : waiting) {
            if (nowMs >= openJob.starvingFromMs()
                    && (openJob.expeditedTasks() > 0 || openJob.sinceFirstPlacedMs < KEEP_SELECTED_MS)) {
                old.add(openJob);
            }
        }
        // Jobs that have started come first and keep their tasks; then the oldest.
        old.sort(Comparator.comparing((OpenJob openJob) -> openJob.begun == 0)
                .thenComparingLong(OpenJob::starvingFromMs)
                .thenComparing(OpenJob::job));
        double taken = 0;
        for (OpenJob openJob : old) {
            double cpus = openJob.expeditedTasks() * openJob.cpus;
            if (taken > 0 && cpus > 0 && taken + cpus > MAX_CPU_FRACTION * allCpus) {
                break; // if smaller jobs that still fit were selected, this one could wait forever
            }
            out.put(openJob.job, openJob.expeditedTasks());
            taken += cpus;
        }
        return out;
    }
}
