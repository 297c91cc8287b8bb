package org.beechhoist.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * The resources that a team's maximum quota leaves free over time. Starts are rounded down and ends up to whole
 * seconds, so that usage is never underestimated and the number of steps stays small for any number of tasks.
 */
final class TeamQuotaProfile {
    private static final long STEP_MS = 1000;
    private static final double EPSILON = 1e-6;

    private record Usage(long from, long to, double cpus, double gpus) {}

    private final long nowMs;
    private final double cpus;
    private final double gpus;
    /** The sum of all reserved CPUs, as if all were in use at the same time. */
    private double totalCpus;
    /** The sum of all reserved GPUs, as if all were in use at the same time. */
    private double totalGpus;
    /** Usage that is not yet in the profile, which is created only for a team that may reach its quota. */
    private final List<Usage> pending;

    private AvailabilityProfile profile;

    TeamQuotaProfile(long nowMs, double cpus, double gpus) {
        this.nowMs = nowMs;
        this.cpus = cpus;
        this.gpus = gpus;
        this.pending = new ArrayList<>();
    }

    TeamQuotaProfile(TeamQuotaProfile other) {
        nowMs = other.nowMs;
        cpus = other.cpus;
        gpus = other.gpus;
        totalCpus = other.totalCpus;
        totalGpus = other.totalGpus;
        pending = new ArrayList<>(other.pending);
        profile = other.profile == null ? null : new AvailabilityProfile(other.profile);
    }

    /** Adds what the team uses between two times. */
    void reserve(long from, long to, double cpus, double gpus) {
        totalCpus += cpus;
        totalGpus += gpus;
        Usage use = new Usage(
                nowMs + (from - nowMs) / STEP_MS * STEP_MS,
                nowMs + (to - nowMs + STEP_MS - 1) / STEP_MS * STEP_MS,
                cpus,
                gpus);
        if (profile == null) {
            if (!isUnlimited()) {
                pending.add(use);
            }
        } else {
            profile.reserve(use.from, use.to, use.cpus, use.gpus, 0);
        }
    }

    private boolean isUnlimited() {
        return Double.isInfinite(cpus) && Double.isInfinite(gpus);
    }

    /**
     * Returns the free resources over time, or null if all usage at the same time plus the given resources stays
     * within the quota.
     */
    AvailabilityProfile availabilityIfLimiting(double moreCpus, double moreGpus) {
        if (totalCpus + moreCpus <= cpus + EPSILON && totalGpus + moreGpus <= gpus + EPSILON) {
            return null;
        }
        if (profile == null) {
            profile = new AvailabilityProfile(nowMs, cpus, gpus, Double.POSITIVE_INFINITY);
            pending.forEach(use -> profile.reserve(use.from, use.to, use.cpus, use.gpus, 0));
            pending.clear();
        }
        return profile;
    }
}
