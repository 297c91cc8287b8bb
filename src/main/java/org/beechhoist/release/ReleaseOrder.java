package org.beechhoist.release;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.wire.JobId;

/**
 * In which order jobs go for their releases' sake, within one rank: those of the nearest factory moment first; then those whose
 * moment has passed, the least late first, for the longest overdue is the least likely to be waited for; then all others. What can
 * still be met is not given up for what can't.
 *
 * <p>A maker for whom everything is due tomorrow overtakes others with no more than three quarters of the work that is open; beyond that its
 * jobs go as if they had no release. Without others there is nobody to overtake, and no bound.
 */
public final class ReleaseOrder {
    /** The key of a job without a release, and of one that is beyond its maker's bound. */
    public static final long NO_KEY = Long.MAX_VALUE;

    private static final long OVERDUE = 1L << 60;
    private static final double MOST_OF_ALL = 0.75;

    /** @param requestedCpuS all that the job asked for when it was submitted, done or not: the same for every leader */
    public record OpenJob(JobId job, Release release, long submittedMs, double requestedCpuS) {}

    private ReleaseOrder() {}

    /** The smaller the earlier; only jobs that have a release within its maker's bound are in it. */
    public static Map<JobId, Long> sortKeys(List<OpenJob> open, long nowMs) {
        double all = 0;
        Map<String, Double> ofMaker = new HashMap<>();
        List<OpenJob> released = new ArrayList<>();
        for (OpenJob job : open) {
            all += job.requestedCpuS;
            if (job.release != null) {
                released.add(job);
                ofMaker.merge(job.release.maker(), job.requestedCpuS, Double::sum);
            }
        }
        released.sort(Comparator.comparingLong((OpenJob o) -> key(o.release, nowMs))
                .thenComparingLong(OpenJob::submittedMs)
                .thenComparing(OpenJob::job));
        Map<JobId, Long> out = new HashMap<>();
        Map<String, Double> taken = new HashMap<>();
        for (OpenJob job : released) {
            String maker = job.release.maker();
            double before = taken.getOrDefault(maker, 0.0);
            boolean alone = ofMaker.get(maker) > all - 1e-6;
            if (alone || before == 0 || before + job.requestedCpuS <= MOST_OF_ALL * all + 1e-6) {
                out.put(job.job, key(job.release, nowMs));
                taken.put(maker, before + job.requestedCpuS);
            }
        }
        return out;
    }

    private static long key(Release release, long nowMs) {
        return release.dueMs() >= nowMs ? release.dueMs() : OVERDUE - release.dueMs();
    }
}
