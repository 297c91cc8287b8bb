package org.beechhoist.release;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.wire.JobId;

/**
 * The order of jobs of the same rank by their releases. Jobs of releases that are not overdue come first, earliest due time first.
 * Jobs of overdue releases follow, least overdue first, because the factory is least likely to wait for the longest overdue one. All
 * other jobs come last. So a release that can still be met does not lose to one that cannot.
 *
 * <p>At most three quarters of the open work can be put first for one maker, so that a maker with every release due tomorrow cannot
 * block the others. Its further jobs are ordered as jobs without a release. A maker's first
 * job is always put first, and there is no limit if all open work is of one maker.
 */
public final class ReleaseOrder {
    /** The sort key of a job without a release, and of a job beyond its maker's limit. */
    public static final long NO_KEY = Long.MAX_VALUE;

    private static final long OVERDUE_BASE = 1L << 60;
    private static final double MAX_MAKER_FRACTION = 0.75;
    private static final double CPU_S_TOLERANCE = 1e-6;

    /**
     * An open job.
     *
     * @param release the release that the job belongs to, or null
     * @param requestedCpuS CPU seconds requested at submission, whether done or not, so that every leader computes the same order
     */
    public record OpenJob(JobId job, Release release, long submittedMs, double requestedCpuS) {}

    private ReleaseOrder() {}

    /** Returns the sort keys, lower first, of the jobs that have a release and are within their maker's limit. */
    public static Map<JobId, Long> sortKeys(List<OpenJob> open, long nowMs) {
        double totalCpuS = 0;
        Map<String, Double> cpuSByMaker = new HashMap<>();
        List<OpenJob> jobsWithRelease = new ArrayList<>();
        for (OpenJob job : open) {
            totalCpuS += job.requestedCpuS;
            if (job.release != null) {
                jobsWithRelease.add(job);
                cpuSByMaker.merge(job.release.maker(), job.requestedCpuS, Double::sum);
            }
        }
        jobsWithRelease.sort(Comparator.comparingLong((OpenJob o) -> sortKey(o.release, nowMs))
                .thenComparingLong(OpenJob::submittedMs)
                .thenComparing(OpenJob::job));
        Map<JobId, Long> keys = new HashMap<>();
        Map<String, Double> acceptedCpuSByMaker = new HashMap<>();
        for (OpenJob job : jobsWithRelease) {
            String maker = job.release.maker();
            double acceptedCpuS = acceptedCpuSByMaker.getOrDefault(maker, 0.0);
            boolean onlyMaker = cpuSByMaker.get(maker) > totalCpuS - CPU_S_TOLERANCE;
            if (onlyMaker
                    || acceptedCpuS == 0
                    || acceptedCpuS + job.requestedCpuS <= MAX_MAKER_FRACTION * totalCpuS + CPU_S_TOLERANCE) {
                keys.put(job.job, sortKey(job.release, nowMs));
                acceptedCpuSByMaker.put(maker, acceptedCpuS + job.requestedCpuS);
            }
        }
        return keys;
    }

    private static long sortKey(Release release, long nowMs) {
        return release.dueMs() >= nowMs ? release.dueMs() : OVERDUE_BASE - release.dueMs();
    }
}
